// Package gateway serves an in-memory store over the subset of etcd's v3
// JSON API that internal/platform/etcd calls. Tests and the embedded default
// run it where operators run the platform's store.
//
// # Usage
//
//	http.Serve(listener, gateway.New(&memory.Store{}))
//
// A POST of memory.Faults to /faults switches faults on and off. A GET of
// /calls returns memory.Calls.
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

// lostAnswerDelay holds a lost answer until its caller has given up.
const lostAnswerDelay = 30 * time.Second

const codeUnavailable = 14

type gateway struct {
	store *memory.Store
}

// New returns a handler over store.
func New(store *memory.Store) http.Handler {
	g := &gateway{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", handle(g.scan))
	mux.HandleFunc("POST /v3/kv/txn", handle(g.txn))
	mux.HandleFunc("POST /v3/kv/deleterange", handle(g.remove))
	mux.HandleFunc("POST /v3/lease/grant", handle(g.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", handle(g.renew))
	mux.HandleFunc("POST /v3/watch", g.watch)
	mux.HandleFunc("POST /faults", handle(g.faults))
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(store.Calls())
	})
	return mux
}

// handle decodes a message, calls f and writes its answer or its error.
func handle[I, O any](f func(context.Context, I) (O, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in I
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := f(r.Context(), in)
		if errors.Is(err, lacewingramp.ErrUnknownOutcome) {
			hold(r.Context())
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			writeError(w, err)
			return
		}
		_ = json.NewEncoder(w).Encode(out)
	}
}

func hold(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(lostAnswerDelay):
	}
}

func writeError(w http.ResponseWriter, err error) {
	e := etcd.ErrorResponse{Error: err.Error(), Message: err.Error(), Code: codeUnavailable}
	status := http.StatusServiceUnavailable
	if errors.Is(err, lacewingramp.ErrLeaseExpired) {
		e.Code = etcd.CodeNotFound
		status = http.StatusNotFound
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e)
}

func (g *gateway) scan(ctx context.Context, in etcd.RangeRequest) (etcd.RangeResponse, error) {
	var out etcd.RangeResponse
	if len(in.RangeEnd) > 0 {
		items, err := g.store.Range(ctx, string(in.Key))
		for _, i := range items {
			out.Pairs = append(out.Pairs, pair(i, in.KeysOnly))
		}
		return out, err
	}
	i, err := g.store.Get(ctx, string(in.Key))
	if i.Revision > 0 {
		out.Pairs = append(out.Pairs, pair(i, in.KeysOnly))
	}
	return out, err
}

func pair(i lacewingramp.Item, keysOnly bool) etcd.Pair {
	p := etcd.Pair{Key: []byte(i.Key), ModRevision: i.Revision, Lease: int64(i.Lease)}
	if !keysOnly {
		p.Value = i.Value
	}
	return p
}

func (g *gateway) txn(ctx context.Context, in etcd.TxnRequest) (etcd.TxnResponse, error) {
	var out etcd.TxnResponse
	if len(in.Compare) != 1 || len(in.Success) != 1 || in.Success[0].Put == nil {
		return out, errors.New("one compare and one put are served")
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

func (g *gateway) remove(ctx context.Context, in etcd.DeleteRequest) (struct{}, error) {
	return struct{}{}, g.store.Delete(ctx, string(in.Key))
}

func (g *gateway) grant(ctx context.Context, in etcd.GrantRequest) (etcd.LeaseResponse, error) {
	id, err := g.store.GrantLease(ctx, in.TTL)
	return etcd.LeaseResponse{ID: int64(id), TTL: in.TTL}, err
}

func (g *gateway) renew(ctx context.Context, in etcd.RenewRequest) (etcd.RenewResponse, error) {
	err := g.store.RenewLease(ctx, lacewingramp.LeaseID(in.ID))
	if errors.Is(err, lacewingramp.ErrLeaseExpired) {
		return etcd.RenewResponse{Result: etcd.LeaseResponse{ID: in.ID}}, nil
	}
	return etcd.RenewResponse{Result: etcd.LeaseResponse{ID: in.ID, TTL: 1}}, err
}

func (g *gateway) faults(_ context.Context, in memory.Faults) (struct{}, error) {
	g.store.SetFaults(in)
	return struct{}{}, nil
}

func (g *gateway) watch(w http.ResponseWriter, r *http.Request) {
	var in etcd.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c := http.NewResponseController(w)
	e := json.NewEncoder(w)
	_ = e.Encode(etcd.WatchMessage{})
	_ = c.Flush()
	_ = g.store.Watch(r.Context(), string(in.Create.Key), in.Create.StartRevision-1, func(ch lacewingramp.Change) {
		_ = e.Encode(message(ch))
		_ = c.Flush()
	})
}

func message(c lacewingramp.Change) etcd.WatchMessage {
	e := etcd.Event{Pair: pair(c.Item, false)}
	if c.Deleted {
		e.Type = etcd.EventDelete
	}
	var m etcd.WatchMessage
	m.Result.Header.Revision = c.Revision
	m.Result.Events = []etcd.Event{e}
	return m
}
