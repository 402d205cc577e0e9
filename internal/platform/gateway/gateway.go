// Package gateway serves an in-memory store over the subset of etcd's v3 JSON API
// that internal/platform/etcd uses. It takes the place of the platform's store in
// tests, in the program standin and in the deployments of internal/operator/trial.
//
// # Usage
//
//	http.Serve(listener, gateway.New(&memory.Store{}))
//
// A POST of memory.Faults to /faults replaces the simulated faults of the store. A GET
// of /calls returns memory.Calls.
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/platform/etcd"
	"lacewingramp.example/lacewingramp/internal/platform/memory"
)

// lostResponseDelay is how long the connection of a request whose response is lost
// stays open without a response, so that the client times out first.
const lostResponseDelay = 30 * time.Second

// codeUnavailable is the gRPC status code for a service that is unavailable.
const codeUnavailable = 14

type gateway struct {
	store *memory.Store
}

// New returns a handler that serves store.
func New(store *memory.Store) http.Handler {
	g := &gateway{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", jsonHandler(g.handleRange))
	mux.HandleFunc("POST /v3/kv/txn", jsonHandler(g.handleTxn))
	mux.HandleFunc("POST /v3/kv/deleterange", jsonHandler(g.handleDelete))
	mux.HandleFunc("POST /v3/lease/grant", jsonHandler(g.handleGrant))
	mux.HandleFunc("POST /v3/lease/keepalive", jsonHandler(g.handleRenew))
	mux.HandleFunc("POST /v3/watch", g.handleWatch)
	mux.HandleFunc("POST /faults", jsonHandler(g.handleFaults))
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(store.Calls())
	})
	return mux
}

// jsonHandler returns a handler that decodes the request, calls f and writes the
// response or error that f returns. After lacewingramp.ErrUnknownOutcome, which
// simulates a lost response, it writes nothing and closes the connection.
func jsonHandler[I, O any](f func(context.Context, I) (O, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in I
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := f(r.Context(), in)
		if errors.Is(err, lacewingramp.ErrUnknownOutcome) {
			waitForDisconnect(r.Context())
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			writeError(w, err)
			return
		}
		_ = json.NewEncoder(w).Encode(out)
	}
}

func waitForDisconnect(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(lostResponseDelay):
	}
}

func writeError(w http.ResponseWriter, err error) {
	response := etcd.ErrorResponse{Error: err.Error(), Message: err.Error(), Code: codeUnavailable}
	status := http.StatusServiceUnavailable
	if errors.Is(err, lacewingramp.ErrLeaseExpired) {
		response.Code = etcd.CodeNotFound
		status = http.StatusNotFound
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response)
}

func (g *gateway) handleRange(ctx context.Context, in etcd.RangeRequest) (etcd.RangeResponse, error) {
	var out etcd.RangeResponse
	if len(in.RangeEnd) > 0 {
		keyValues, err := g.store.Range(ctx, string(in.Key))
		for _, kv := range keyValues {
			out.Pairs = append(out.Pairs, newPair(kv, in.KeysOnly))
		}
		return out, err
	}
	kv, err := g.store.Get(ctx, string(in.Key))
	if kv.Revision > 0 {
		out.Pairs = append(out.Pairs, newPair(kv, in.KeysOnly))
	}
	return out, err
}

func newPair(kv lacewingramp.KeyValue, keysOnly bool) etcd.Pair {
	pair := etcd.Pair{Key: []byte(kv.Key), ModRevision: kv.Revision, Lease: int64(kv.Lease)}
	if !keysOnly {
		pair.Value = kv.Value
	}
	return pair
}

func (g *gateway) handleTxn(ctx context.Context, in etcd.TxnRequest) (etcd.TxnResponse, error) {
	var out etcd.TxnResponse
	if len(in.Compare) != 1 || len(in.Success) != 1 || in.Success[0].Put == nil {
		return out, errors.New("only transactions with one compare and one put are supported")
	}
	put := in.Success[0].Put
	base := in.Compare[0].ModRevision
	revision, err := g.store.CompareAndSwap(ctx, string(put.Key), put.Value, base, lacewingramp.LeaseID(put.Lease))
	if errors.Is(err, lacewingramp.ErrConflict) {
		return out, nil
	}
	out.Header.Revision = revision
	out.Succeeded = true
	return out, err
}

func (g *gateway) handleDelete(ctx context.Context, in etcd.DeleteRequest) (struct{}, error) {
	return struct{}{}, g.store.Delete(ctx, string(in.Key))
}

func (g *gateway) handleGrant(ctx context.Context, in etcd.GrantRequest) (etcd.LeaseResponse, error) {
	id, err := g.store.GrantLease(ctx, in.TTL)
	return etcd.LeaseResponse{ID: int64(id), TTL: in.TTL}, err
}

func (g *gateway) handleRenew(ctx context.Context, in etcd.RenewRequest) (etcd.RenewResponse, error) {
	err := g.store.RenewLease(ctx, lacewingramp.LeaseID(in.ID))
	if errors.Is(err, lacewingramp.ErrLeaseExpired) {
		return etcd.RenewResponse{Result: etcd.LeaseResponse{ID: in.ID}}, nil
	}
	return etcd.RenewResponse{Result: etcd.LeaseResponse{ID: in.ID, TTL: 1}}, err
}

func (g *gateway) handleFaults(_ context.Context, in memory.Faults) (struct{}, error) {
	g.store.SetFaults(in)
	return struct{}{}, nil
}

func (g *gateway) handleWatch(w http.ResponseWriter, r *http.Request) {
	var in etcd.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	_ = encoder.Encode(etcd.WatchMessage{})
	_ = controller.Flush()
	_ = g.store.Watch(r.Context(), string(in.Create.Key), in.Create.StartRevision-1, func(change lacewingramp.Change) {
		_ = encoder.Encode(newWatchMessage(change))
		_ = controller.Flush()
	})
}

func newWatchMessage(change lacewingramp.Change) etcd.WatchMessage {
	event := etcd.Event{Pair: newPair(change.KeyValue, false)}
	if change.Deleted {
		event.Type = etcd.EventDelete
	}
	var message etcd.WatchMessage
	message.Result.Header.Revision = change.Revision
	message.Result.Events = []etcd.Event{event}
	return message
}
