// Package target implements a stand-in for the targets that operators run: an HTTP
// handler with a number of slots, a service time and simulated faults.
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

// Behaviour configures the service time and the simulated faults of a target.
type Behaviour struct {
	// Time is the service time of a request, for which it occupies a slot.
	Time lacewingramp.Duration `json:"time"`
	// Fail makes the target respond to every request with status 500.
	Fail bool `json:"fail"`
	// Shed makes the target reject every request with status 503 without running it.
	Shed bool `json:"shed"`
	// Leaving makes responses announce that the target accepts no new requests.
	Leaving bool `json:"leaving"`
	// Poison crashes the target if a request's body contains this text. Empty means
	// that no request crashes it.
	Poison string `json:"poison"`
	// Down is how long the target is unavailable after a crash.
	Down lacewingramp.Duration `json:"down"`
	// Cross makes responses carry a request id that is not the id of their request.
	Cross bool `json:"cross"`
	// Cut makes the target close the connection before the response body is complete.
	Cut bool `json:"cut"`
}

// Runs are the statistics of a target since it was created. Requests that are shed, or
// that arrive while the target is down, are not counted.
type Runs struct {
	// Started is the number of requests that started to run.
	Started int64 `json:"started"`
	// PeakRunning is the maximum number of requests that ran at the same time.
	PeakRunning int `json:"worst"`
	// Over is the number of requests that started while all slots were in use.
	Over int64 `json:"over"`
	// Crashes is the number of crashes.
	Crashes int64 `json:"crashes"`
	// Keys holds the number of started requests by idempotency key.
	Keys map[string]int `json:"keys"`
	// Authorized is the number of requests with an Authorization header. There should
	// be none, because the header would disclose the caller's key to the target.
	Authorized int64 `json:"authorized"`
	// Customers holds the number of started requests by customer.
	Customers map[string]int64 `json:"customers"`
}

// Target is a stand-in target. crashed is closed and replaced when it crashes; until
// downUntil it then aborts all requests.
type Target struct {
	name          string
	slots         int
	sharedCounter *Crowd

	mu        sync.Mutex
	behaviour Behaviour
	running   int
	stats     Runs
	downUntil time.Time
	crashed   chan struct{}
}

// New returns a target with a name, a number of slots and a behaviour. It runs requests
// even if all slots are in use, and counts them in Runs.Over.
func New(name string, slots int, b Behaviour) *Target {
	return &Target{
		name: name, slots: slots, behaviour: b, crashed: make(chan struct{}),
		stats: Runs{Keys: make(map[string]int), Customers: make(map[string]int64)},
	}
}

// Join makes c count the running requests of the target, in addition to its own
// statistics. It must be called before the first request.
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
	r := t.stats
	r.Keys = make(map[string]int, len(t.stats.Keys))
	for k, n := range t.stats.Keys {
		r.Keys[k] = n
	}
	r.Customers = make(map[string]int64, len(t.stats.Customers))
	for k, n := range t.stats.Customers {
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
	behaviour, crashed, ok := t.begin(r)
	// While the target is down, close the connection without a response.
	if !ok {
		panic(http.ErrAbortHandler)
	}
	if behaviour.Shed {
		t.end()
		w.Header().Set(attempt.HeaderShed, "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.end()
	if behaviour.Poison != "" && strings.Contains(string(body), behaviour.Poison) {
		t.crash(behaviour)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(time.Duration(behaviour.Time)):
	case <-r.Context().Done():
		return
	case <-crashed:
		panic(http.ErrAbortHandler)
	}
	t.writeResponse(w, r, behaviour, body)
}

func (t *Target) begin(r *http.Request) (Behaviour, chan struct{}, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().Before(t.downUntil) {
		return Behaviour{}, nil, false
	}
	t.sharedCounter.add(1)
	// A request that is shed occupies a slot until it is answered, but does not run.
	if t.behaviour.Shed {
		t.running++
		return t.behaviour, t.crashed, true
	}
	if t.running >= t.slots {
		t.stats.Over++
	}
	t.running++
	t.stats.Started++
	t.stats.PeakRunning = max(t.stats.PeakRunning, t.running)
	t.stats.Customers[r.Header.Get(attempt.HeaderCustomer)]++
	if r.Header.Get("Authorization") != "" {
		t.stats.Authorized++
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		t.stats.Keys[key]++
	}
	return t.behaviour, t.crashed, true
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.sharedCounter.add(-1)
}

// crash aborts all running requests. For the duration behaviour.Down, it aborts new
// requests as well.
func (t *Target) crash(behaviour Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Crashes++
	t.downUntil = time.Now().Add(time.Duration(behaviour.Down))
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

func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, behaviour Behaviour, body []byte) {
	id := r.Header.Get(attempt.HeaderRequest)
	if behaviour.Cross {
		id = "crossed"
	}
	w.Header().Set(attempt.HeaderRequest, id)
	w.Header().Set("Content-Type", "application/json")
	if behaviour.Leaving {
		w.Header().Set(attempt.HeaderLeaving, "yes")
	}
	sum := sha256.Sum256(body)
	echo, _ := json.Marshal(Echo{
		Target: t.name, Method: r.Method, URI: r.URL.RequestURI(),
		Customer: r.Header.Get(attempt.HeaderCustomer), Hash: hex.EncodeToString(sum[:]),
	})
	if behaviour.Fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if behaviour.Cut {
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write(echo)
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(echo)
}
