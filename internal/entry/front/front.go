// Package front is the HTTP handler for callers. It answers lookups (GET /steer), and
// serves requests to the routes of the Table.
//
// A caller sends its key in the header "Authorization: Bearer KEY". The key is
// removed before a request is forwarded. Every refusal of a request to a route states
// its verdict in the header Lacewingramp-Verdict and in a JSON body.
//
// # Usage
//
//	handler := &front.Handler{State: s, Timer: timer, Dispatcher: dispatcher, RequestCounter: tally}
//	http.Serve(listener, handler)
package front

import (
	"bytes"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/record"
	"lacewingramp.example/lacewingramp/internal/entry/dispatch"
	"lacewingramp.example/lacewingramp/internal/entry/state"
)

// Headers that are exchanged with callers.
const (
	// HeaderVerdict contains the verdict, which states whether the request ran.
	HeaderVerdict = "Lacewingramp-Verdict"
	// HeaderCause contains the cause of a refusal.
	HeaderCause = "Lacewingramp-Cause"
	// HeaderRevision contains the revision of the Table in force at the instance.
	HeaderRevision = "Lacewingramp-Revision"
	// HeaderIdempotencyKey contains the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// reservedHeaderPrefix is the prefix of headers that only the program sets. They
	// are removed from the requests of callers and the responses of targets.
	reservedHeaderPrefix = "Lacewingramp-"
)

// MaxBodyBytes is the maximum size of a request's body.
const MaxBodyBytes = 1 << 20

// Handler handles the requests of callers. The exported fields except Draining
// must be set before its first use.
type Handler struct {
	State          *state.State
	Timer          lacewingramp.Timer
	Dispatcher     *dispatch.Dispatcher
	RequestCounter lacewingramp.RequestCounter
	// Draining is set when the instance is leaving. Requests are still served, but
	// each response closes its connection, so that callers use other instances.
	Draining atomic.Bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/steer" && r.Method == http.MethodGet {
		h.lookup(w, r)
		return
	}
	started := h.Timer.Now()
	req, err := h.readRequest(w, r)
	if err != nil {
		h.writeRefusal(w, r, lacewingramp.RefusalOf(err))
		h.count(req, lacewingramp.RefusalOf(err), started)
		return
	}
	resp := h.Dispatcher.Serve(r.Context(), req)
	if resp.Refusal != nil {
		h.writeRefusal(w, r, resp.Refusal)
	} else {
		h.writeResponse(w, r.Method, resp)
	}
	h.count(req, resp.Refusal, started)
}

func (h *Handler) count(req *lacewingramp.ForwardRequest, r *lacewingramp.Refusal, started time.Time) {
	verdict, cause := lacewingramp.Ran, lacewingramp.CauseNone
	if r != nil {
		verdict, cause = r.Verdict, r.Cause
	}
	customer, route := "", ""
	if req != nil {
		customer, route = req.Customer, req.Route
	}
	h.RequestCounter.Count(customer, route, verdict, cause, h.Timer.Now().Sub(started))
}

// readRequest converts an HTTP request to a ForwardRequest, which does not contain the
// key. If it fails after a route was found, it also returns an incomplete
// ForwardRequest, whose Route and Customer are used to count the request.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request) (*lacewingramp.ForwardRequest, error) {
	tableIndex := h.State.Index()
	if tableIndex == nil {
		return nil, lacewingramp.NewRefusal(lacewingramp.CauseTable, "no table in force yet")
	}
	route, ok := tableIndex.Match(r)
	if !ok {
		return nil, lacewingramp.NewRefusal(lacewingramp.CauseRoute, "no such route")
	}
	req := &lacewingramp.ForwardRequest{
		ID: rand.Text(), Revision: tableIndex.Table.Revision, Route: route.Name, Method: r.Method,
		URI: r.URL.RequestURI(), Remaining: time.Duration(route.Deadline), IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	}
	key := callerKey(r)
	if err := h.identify(req, route, key); err != nil {
		return req, err
	}
	if len(req.IdempotencyKey) > record.MaxKeyBytes {
		return req, lacewingramp.NewRefusal(lacewingramp.CauseSize, "the idempotency key is too long")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		return req, bodyError(err)
	}
	req.Body = body
	if key != "" && (strings.Contains(req.URI, key) || strings.Contains(req.IdempotencyKey, key) || bytes.Contains(body, []byte(key))) {
		return req, lacewingramp.NewRefusal(lacewingramp.CauseKey, "the key stands outside its header")
	}
	req.Header = forwardedHeaders(r.Header, key)
	return req, nil
}

func bodyError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return lacewingramp.NewRefusal(lacewingramp.CauseSize, "the body is too large")
	}
	return lacewingramp.NewRefusal(lacewingramp.CauseSize, "the body did not arrive")
}

// identify sets the customer that the caller's key belongs to. Unless the route
// allows anonymous requests, it returns an error if the key is missing or unknown, or
// if the Table has not been confirmed to be the newest for so long that a newer one
// may have revoked the key.
func (h *Handler) identify(req *lacewingramp.ForwardRequest, route *lacewingramp.Route, key string) error {
	customer, ok := h.State.Index().Customer(key)
	if ok {
		req.Customer = customer.Name
	}
	if route.AllowAnonymous {
		return nil
	}
	if !ok {
		return lacewingramp.NewRefusal(lacewingramp.CauseKey, "no valid key")
	}
	maxUnconfirmed := time.Duration(route.MaxUnconfirmed)
	if maxUnconfirmed == 0 {
		maxUnconfirmed = lacewingramp.DefaultMaxUnconfirmed
	}
	h.State.Lock()
	age := h.Timer.Now().Sub(h.State.TableConfirmedAt)
	h.State.Unlock()
	if age > maxUnconfirmed {
		return lacewingramp.NewRefusal(lacewingramp.CauseUnconfirmed, "revocations have not been confirmed for too long")
	}
	return nil
}

const bearer = "Bearer "

func callerKey(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

// removedHeaders are the headers that are not forwarded: those that apply to one
// connection only, and the one that contains the key.
var removedHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Host": true, "Content-Length": true,
	"Accept-Encoding": true, "Expect": true,
}

// forwardedHeaders returns a copy of the headers that may be forwarded. It leaves
// out each header that contains the key.
func forwardedHeaders(in http.Header, key string) http.Header {
	out := make(http.Header, len(in))
	connectionHeaders := make(map[string]bool)
	for _, v := range in["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	for name, values := range in {
		if removedHeaders[name] || connectionHeaders[name] || strings.HasPrefix(name, reservedHeaderPrefix) || containsKey(name, values, key) {
			continue
		}
		out[name] = values
	}
	return out
}

func containsKey(name string, values []string, key string) bool {
	if key == "" {
		return false
	}
	if strings.Contains(strings.ToLower(name), strings.ToLower(key)) {
		return true
	}
	for _, v := range values {
		if strings.Contains(v, key) {
			return true
		}
	}
	return false
}

func callerAddress(r *http.Request) netip.Addr {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	a, _ := netip.ParseAddr(host)
	return a.Unmap()
}
