// Package target is a stand-in for the targets of operators: an HTTP server
// with a number of slots, a service time and faults to switch on.
//
// # Usage
//
//	t := target.New("recipes-1", 3, target.Behaviour{Time: lacewingramp.Duration(5 * time.Millisecond)})
//	http.Serve(listener, t)
//
// A POST of Behaviour to /behaviour changes it while requests run. A GET of
// /runs returns Runs.
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

// Behaviour is how the target answers.
type Behaviour struct {
	// Time is how long a request runs.
	Time lacewingramp.Duration `json:"time"`
	// Fail answers every request with status 500.
	Fail bool `json:"fail"`
	// Shed refuses every request before it runs.
	Shed bool `json:"shed"`
	// Leaving announces that the target wants nothing new.
	Leaving bool `json:"leaving"`
	// Poison is a text in a body that crashes the target.
	Poison string `json:"poison"`
	// Down is how long a crashed target takes to come back.
	Down lacewingramp.Duration `json:"down"`
	// Cross answers with the id of another request.
	Cross bool `json:"cross"`
	// Cut ends every answer half way.
	Cut bool `json:"cut"`
}

// Runs is what the target has seen.
type Runs struct {
	// Started counts requests that began to run.
	Started int64 `json:"started"`
	// Worst is the most that ran at a time.
	Worst int `json:"worst"`
	// Over counts requests that began while every slot was in use.
	Over int64 `json:"over"`
	// Crashes counts how often the target died.
	Crashes int64 `json:"crashes"`
	// Keys counts the runs of each idempotency key.
	Keys map[string]int `json:"keys"`
	// Authorized counts requests that bore a key of a caller.
	Authorized int64 `json:"authorized"`
	// Customers counts runs by customer.
	Customers map[string]int64 `json:"customers"`
}

// Target is the stand-in.
type Target struct {
	name  string
	slots int
	crowd *Crowd

	mu        sync.Mutex
	behaviour Behaviour
	running   int
	runs      Runs
	dead      time.Time
	crash     chan struct{}
}

// New returns a target called name with a number of slots.
func New(name string, slots int, b Behaviour) *Target {
	return &Target{
		name: name, slots: slots, behaviour: b, crash: make(chan struct{}),
		runs: Runs{Keys: make(map[string]int), Customers: make(map[string]int64)},
	}
}

// Join has a Crowd count what runs on the target, too. It is called before the
// target gets its first request.
func (t *Target) Join(c *Crowd) {
	t.crowd = c
}

// SetBehaviour changes how the target answers.
func (t *Target) SetBehaviour(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
}

// Runs returns what the target has seen.
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

// ServeHTTP answers one request.
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
	b, crash, ok := t.begin(r)
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
		t.die(b)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(time.Duration(b.Time)):
	case <-r.Context().Done():
		return
	case <-crash:
		panic(http.ErrAbortHandler)
	}
	t.answer(w, r, b, body)
}

func (t *Target) begin(r *http.Request) (Behaviour, chan struct{}, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().Before(t.dead) {
		return Behaviour{}, nil, false
	}
	t.crowd.add(1)
	if t.behaviour.Shed {
		t.running++
		return t.behaviour, t.crash, true
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
	return t.behaviour, t.crash, true
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.crowd.add(-1)
}

// die ends everything that runs and refuses to answer for a while.
func (t *Target) die(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs.Crashes++
	t.dead = time.Now().Add(time.Duration(b.Down))
	close(t.crash)
	t.crash = make(chan struct{})
}

// Echo is the body of the target's answer: what it was asked, so that a
// caller can tell that the answer is its own.
type Echo struct {
	Target   string `json:"target"`
	Method   string `json:"method"`
	URI      string `json:"uri"`
	Customer string `json:"customer"`
	Hash     string `json:"hash"`
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, b Behaviour, body []byte) {
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
