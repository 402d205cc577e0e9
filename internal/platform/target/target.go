// Package target is a stand-in for the targets that operators run: an HTTP handler
// with a number of slots, a service time and simulated faults.
//
// # Usage
//
//	t := target.New("recipes-1", 3, target.Behaviour{Time: lacewingramp.Duration(5 * time.Millisecond)})
//	http.Serve(listener, t)
//
// A POST of Behaviour to /behaviour replaces the behaviour, also while requests run.
// A GET of /runs returns Runs.
package target

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/attempt"
)

// Behaviour configures how the target responds.
type Behaviour struct {
	// Time is the service time of a request.
	Time lacewingramp.Duration `json:"time"`
	// Fail makes the target respond to every request with status 500.
	Fail bool `json:"fail"`
	// Shed makes the target reject every request with status 503 before it runs.
	Shed bool `json:"shed"`
	// Leaving makes responses announce that the target accepts no new requests.
	Leaving bool `json:"leaving"`
	// Poison is a text that crashes the target if it occurs in a request's body.
	Poison string `json:"poison"`
	// Down is how long the target is unavailable after a crash.
	Down lacewingramp.Duration `json:"down"`
	// Cross makes responses bear the id of another request.
	Cross bool `json:"cross"`
	// Cut truncates the body of every response.
	Cut bool `json:"cut"`
}

// Runs has the statistics of a target.
type Runs struct {
	// Started is the number of requests that started to run.
	Started int64 `json:"started"`
	// Worst is the maximum number of requests that ran at the same time.
	Worst int `json:"worst"`
	// Over is the number of requests that started while all slots were in use.
	Over int64 `json:"over"`
	// Crashes is the number of crashes.
	Crashes int64 `json:"crashes"`
	// Keys has the number of runs for each idempotency key.
	Keys map[string]int `json:"keys"`
	// Authorized is the number of requests with an Authorization header, which would
	// disclose the caller's key to the target.
	Authorized int64 `json:"authorized"`
	// Customers has the number of runs for each customer.
	Customers map[string]int64 `json:"customers"`
}

// Target is a stand-in target.
type Target struct {
	name          string
	slots         int
	sharedCounter *Crowd

	mu        sync.Mutex
	behaviour Behaviour
	running   int
	runs      Runs
	downUntil time.Time
	crashed   chan struct{}
}

// New returns a target with the name and a number of slots.
func New(name string, slots int, b Behaviour) *Target {
	return &Target{
		name: name, slots: slots, behaviour: b, crashed: make(chan struct{}),
		runs: Runs{Keys: make(map[string]int), Customers: make(map[string]int64)},
	}
}

// Join makes a Crowd count the running requests of the target as
// well. It must be called before the first request.
func (t *Target) Join(c *Crowd) {
	t.sharedCounter = c
}

// SetBehaviour replaces the behaviour of the target.
func (t *Target) SetBehaviour(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
}

// Runs returns the statistics of the target.
func (t *Target) Runs() Runs {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runs
	r.Keys = make(map[string]int, len(t.runs.Keys))
	for k, n := range t.runs.Keys {
		r.Keys[k] = n
	}
	r.Customers = make(map[string]int64, len(t.runs.Customers))
	for k, n := range t.runs.Customers {
		r.Customers[k] = n
	}
	return r
}

// ServeHTTP handles a request to the target, or to the paths that control it.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/behaviour":
		var b Behaviour
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetBehaviour(b)
	case "/runs":
		_ = json.NewEncoder(w).Encode(t.Runs())
	default:
		t.run(w, r)
	}
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	b, crashed, ok := t.begin(r)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	if b.Shed {
		t.end()
		w.Header().Set(attempt.HeaderShed, "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.end()
	if b.Poison != "" && strings.Contains(string(body), b.Poison) {
		t.crash(b)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(time.Duration(b.Time)):
	case <-r.Context().Done():
		return
	case <-crashed:
		panic(http.ErrAbortHandler)
	}
	t.writeResponse(w, r, b, body)
}

func (t *Target) begin(r *http.Request) (Behaviour, chan struct{}, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().Before(t.downUntil) {
		return Behaviour{}, nil, false
	}
	t.sharedCounter.add(1)
	if t.behaviour.Shed {
		t.running++
		return t.behaviour, t.crashed, true
	}
	if t.running >= t.slots {
		t.runs.Over++
	}
	t.running++
	t.runs.Started++
	t.runs.Worst = max(t.runs.Worst, t.running)
	t.runs.Customers[r.Header.Get(attempt.HeaderCustomer)]++
	if r.Header.Get("Authorization") != "" {
		t.runs.Authorized++
	}
	if k := r.Header.Get("Idempotency-Key"); k != "" {
		t.runs.Keys[k]++
	}
	return t.behaviour, t.crashed, true
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.sharedCounter.add(-1)
}

// crash aborts all running requests. Until the end of b.Down, new requests are
// aborted, too.
func (t *Target) crash(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs.Crashes++
	t.downUntil = time.Now().Add(time.Duration(b.Down))
	close(t.crashed)
	t.crashed = make(chan struct{})
}

// Echo is the body of the target's response. It describes the request, so that a
// caller can detect a response to another request. Hash is the SHA-256 of the
// request's body.
type Echo struct {
	Target   string `json:"target"`
	Method   string `json:"method"`
	URI      string `json:"uri"`
	Customer string `json:"customer"`
	Hash     string `json:"hash"`
}

func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, b Behaviour, body []byte) {
	id := r.Header.Get(attempt.HeaderRequest)
	if b.Cross {
		id = "crossed"
	}
	w.Header().Set(attempt.HeaderRequest, id)
	w.Header().Set("Content-Type", "application/json")
	if b.Leaving {
		w.Header().Set(attempt.HeaderLeaving, "yes")
	}
	sum := sha256.Sum256(body)
	out, _ := json.Marshal(Echo{
		Target: t.name, Method: r.Method, URI: r.URL.RequestURI(),
		Customer: r.Header.Get(attempt.HeaderCustomer), Hash: hex.EncodeToString(sum[:]),
	})
	if b.Fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if b.Cut {
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write(out)
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(out)
}
