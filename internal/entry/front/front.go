// Package front answers callers over HTTP: look-ups, and requests to the
// routes of the Table.
//
// A caller shows its key in the header "Authorization: Bearer KEY". The key
// is removed before a request goes anywhere else. Every refusal names its
// verdict, in the header Lacewingramp-Verdict and in a JSON body.
//
// # Usage
//
//	handler := &front.Handler{State: s, Timer: timer, Carrier: carrier}
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
	"lacewingramp.example/lacewingramp/internal/entry/carrier"
	"lacewingramp.example/lacewingramp/internal/entry/state"
)

// Headers that are exchanged with callers.
const (
	// HeaderVerdict names the verdict on the request.
	HeaderVerdict = "Lacewingramp-Verdict"
	// HeaderCause names the cause of a refusal.
	HeaderCause = "Lacewingramp-Cause"
	// HeaderRevision is the revision in force at the instance.
	HeaderRevision = "Lacewingramp-Revision"
	// HeaderRepeat carries the caller's idempotency key.
	HeaderRepeat = "Idempotency-Key"
	// headerOwn begins the names of headers that callers may not set.
	headerOwn = "Lacewingramp-"
)

// MaxBodyBytes is the largest body of a request.
const MaxBodyBytes = 1 << 20

// Handler answers callers. Exported fields are set before its first use.
type Handler struct {
	State   *state.State
	Timer   lacewingramp.Timer
	Carrier *carrier.Carrier
	Counter lacewingramp.Counter
	// Closed tells callers to go elsewhere once it is set, while requests
	// are still served.
	Closed atomic.Bool
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/steer" && r.Method == http.MethodGet {
		h.steer(w, r)
		return
	}
	begun := h.Timer.Now()
	c, err := h.read(w, r)
	if err != nil {
		h.refuse(w, r, lacewingramp.RefusalOf(err))
		h.count(c, lacewingramp.RefusalOf(err), begun)
		return
	}
	a := h.Carrier.Serve(r.Context(), c)
	if a.Refusal != nil {
		h.refuse(w, r, a.Refusal)
	} else {
		h.answer(w, r.Method, a)
	}
	h.count(c, a.Refusal, begun)
}

func (h *Handler) count(c *lacewingramp.Carry, r *lacewingramp.Refusal, begun time.Time) {
	verdict, cause := lacewingramp.Ran, lacewingramp.CauseNone
	if r != nil {
		verdict, cause = r.Verdict, r.Cause
	}
	customer, route := "", ""
	if c != nil {
		customer, route = c.Customer, c.Route
	}
	h.Counter.Count(customer, route, verdict, cause, h.Timer.Now().Sub(begun))
}

// read turns an HTTP request into a Carry, which holds no key. Where it
// fails it returns what it knows for the counters.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (*lacewingramp.Carry, error) {
	x := h.State.Index()
	if x == nil {
		return nil, lacewingramp.NewRefusal(lacewingramp.CauseTable, "no table in force yet")
	}
	route, ok := x.Match(r)
	if !ok {
		return nil, lacewingramp.NewRefusal(lacewingramp.CauseRoute, "no such route")
	}
	c := &lacewingramp.Carry{
		ID: rand.Text(), Revision: x.Table.Revision, Route: route.Name, Method: r.Method,
		URI: r.URL.RequestURI(), Remaining: time.Duration(route.Deadline), IdempotencyKey: r.Header.Get(HeaderRepeat),
	}
	key := callerKey(r)
	if err := h.identify(c, route, key); err != nil {
		return c, err
	}
	if len(c.IdempotencyKey) > record.MaxKeyBytes {
		return c, lacewingramp.NewRefusal(lacewingramp.CauseSize, "the idempotency key is too long")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		return c, bodyError(err)
	}
	c.Body = body
	if key != "" && (strings.Contains(c.URI, key) || strings.Contains(c.IdempotencyKey, key) || bytes.Contains(body, []byte(key))) {
		return c, lacewingramp.NewRefusal(lacewingramp.CauseKey, "the key stands outside its header")
	}
	c.Header = forwarded(r.Header, key)
	return c, nil
}

func bodyError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return lacewingramp.NewRefusal(lacewingramp.CauseSize, "the body is too large")
	}
	return lacewingramp.NewRefusal(lacewingramp.CauseSize, "the body did not arrive")
}

// identify finds the customer of the caller's key.
func (h *Handler) identify(c *lacewingramp.Carry, route *lacewingramp.Route, key string) error {
	customer, ok := h.State.Index().Customer(key)
	if ok {
		c.Customer = customer.Name
	}
	if route.AllowAnonymous {
		return nil
	}
	if !ok {
		return lacewingramp.NewRefusal(lacewingramp.CauseKey, "no valid key")
	}
	offline := time.Duration(route.MaxUnconfirmed)
	if offline == 0 {
		offline = lacewingramp.DefaultMaxUnconfirmed
	}
	h.State.Lock()
	age := h.Timer.Now().Sub(h.State.Confirmed)
	h.State.Unlock()
	if age > offline {
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

// dropped are the headers that concern one connection, and the key.
var dropped = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Host": true, "Content-Length": true,
	"Accept-Encoding": true, "Expect": true,
}

// forwarded copies the headers that go to the other side.
func forwarded(in http.Header, key string) http.Header {
	out := make(http.Header, len(in))
	named := make(map[string]bool)
	for _, v := range in["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	for name, values := range in {
		if dropped[name] || named[name] || strings.HasPrefix(name, headerOwn) || holds(name, values, key) {
			continue
		}
		out[name] = values
	}
	return out
}

func holds(name string, values []string, key string) bool {
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
