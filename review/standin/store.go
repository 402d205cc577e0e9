package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value, or an event of a watch.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision"`
	Lease          int64  `json:"lease"`
	Tombstone      bool   `json:"tombstone,omitempty"`
}

// state is all that a copy of the store holds.
type state struct {
	items    map[string]item
	history  []item
	first    int64
	revision int64
	leases   map[int64]lease
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

func (s *state) clone() state {
	return state{items: maps.Clone(s.items), history: slices.Clone(s.history), first: s.first, revision: s.revision, leases: maps.Clone(s.leases)}
}

// store is a stand-in of the platform's store.
type store struct {
	w       *world
	address string

	mu        sync.Mutex
	state     state
	era       int
	away      bool
	lastLease int64
	changed   chan struct{}
	cut       chan struct{}
}

func newStore(w *world) (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		w: w, address: l.Addr().String(), changed: make(chan struct{}), cut: make(chan struct{}), lastLease: 40,
		state: state{items: map[string]item{}, revision: 100, first: 100, leases: map[int64]lease{}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lacewingramp/kv-key", s.get)
	mux.HandleFunc("GET /lacewingramp/"+names["range"], s.list)
	mux.HandleFunc("GET /lacewingramp/"+names["watch"], s.watch)
	mux.HandleFunc("POST /lacewingramp/"+names["transaction"], s.txn)
	mux.HandleFunc("POST /lacewingramp/kv-lease", s.grant)
	mux.HandleFunc("POST /lacewingramp/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /lacewingramp/kv-lease-end/{id}", s.endLease)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			away := s.away
			s.expire()
			rw.Header().Set("Store-Era", strconv.Itoa(s.era))
			rw.Header().Set("Content-Type", "application/json")
			s.mu.Unlock()
			if away {
				drop(rw)
				return
			}
			mux.ServeHTTP(rw, r)
		}))
	}()
	return s, nil
}

// drop resets the channel of a call.
func drop(rw http.ResponseWriter) {
	if c, _, err := rw.(http.Hijacker).Hijack(); err == nil {
		c.Close()
	}
}

// expire removes the leases that have ended. Leases pause while the store is away.
func (s *store) expire() {
	if s.away {
		return
	}
	for id, l := range s.state.leases {
		if time.Now().After(l.until) {
			s.removeLease(id)
		}
	}
}

func (s *store) removeLease(id int64) {
	delete(s.state.leases, id)
	for key, i := range s.state.items {
		if i.Lease == id {
			s.apply(item{Key: key, Tombstone: true})
		}
	}
}

// apply makes one change.
func (s *store) apply(i item) int64 {
	s.state.revision++
	i.Revision, i.CreateRevision = s.state.revision, s.state.revision
	if old, ok := s.state.items[i.Key]; ok {
		i.CreateRevision = old.CreateRevision
	}
	if i.Tombstone {
		delete(s.state.items, i.Key)
	} else {
		s.state.items[i.Key] = i
	}
	s.state.history = append(s.state.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return i.Revision
}

// put writes a key as the operator and the upstreams do. It reports false while the store
// is away.
func (s *store) put(key string, value any) (time.Time, bool) {
	raw, err := json.Marshal(value)
	must(err)
	return s.putRaw(key, raw)
}

func (s *store) putRaw(key string, raw []byte) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return time.Time{}, false
	}
	rev := s.apply(item{Key: key, Value: raw})
	go s.w.note("store: %s written at revision %d", key, rev)
	return time.Now(), true
}

// has reports whether a key has a value, and whether the store answers at all.
func (s *store) has(key string, value any) (same, answers bool) {
	raw, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.state.items[key].Value) == string(raw), !s.away
}

func (s *store) remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	if _, ok := s.state.items[key]; ok {
		rev := s.apply(item{Key: key, Tombstone: true})
		go s.w.note("store: %s removed at revision %d", key, rev)
	}
	return true
}

// copy returns a copy of the store as it is now.
func (s *store) copy() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

func (s *store) revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.cut)
	s.cut = make(chan struct{})
}

// comeBack ends goAway. The store comes back from a copy, one era later.
func (s *store) comeBack(c state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = c.clone()
	for id, l := range s.state.leases {
		l.until = time.Now().Add(l.ttl)
		s.state.leases[id] = l
	}
	s.era++
	s.away = false
}

func reply(rw http.ResponseWriter, v any) { _ = json.NewEncoder(rw).Encode(v) }

func (s *store) get(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.state.items[r.URL.Query().Get("key")]
	if !ok {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	reply(rw, i)
}

func (s *store) list(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	all := []item{}
	for key, i := range s.state.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			all = append(all, i)
		}
	}
	slices.SortFunc(all, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(rw, map[string]any{"items": all, "hasMore": false, "asOf": s.state.revision})
}

func (s *store) watch(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.state.first || after > s.state.revision {
			s.mu.Unlock()
			rw.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.state.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		asOf, changed, cut := s.state.revision, s.changed, s.cut
		s.mu.Unlock()
		if len(events) > 0 {
			reply(rw, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-cut:
			drop(rw)
			return
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(rw, map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
}

func (s *store) txn(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Conditions []item   `json:"expectedRev"`
		Writes     []item   `json:"writes"`
		Delete     []string `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	var now []item
	for _, c := range in.Conditions {
		failed = failed || s.state.items[c.Key].Revision != c.Revision
		if i, ok := s.state.items[c.Key]; ok {
			now = append(now, i)
		}
	}
	if failed {
		rw.WriteHeader(http.StatusPreconditionFailed)
		reply(rw, map[string]any{"items": now})
		return
	}
	for _, i := range in.Writes {
		if _, ok := s.state.leases[i.Lease]; i.Lease != 0 && !ok {
			rw.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range in.Writes {
		rev := s.apply(item{Key: i.Key, Value: i.Value, Lease: i.Lease})
		go s.w.note("store: %s written by the system at revision %d", i.Key, rev)
	}
	for _, key := range in.Delete {
		s.apply(item{Key: key, Tombstone: true})
	}
	reply(rw, map[string]any{"revision": s.state.revision})
}

func (s *store) grant(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL float64 `json:"ttlS_time"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(in.TTL * float64(time.Second))
	s.state.leases[s.lastLease] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(rw, map[string]any{"lease": s.lastLease, "ttlS_time": in.TTL})
}

func (s *store) keep(rw http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.state.leases[id]
	if !ok {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	s.state.leases[id] = l
	reply(rw, map[string]any{"lease": id, "ttlS_time": l.ttl.Seconds()})
}

func (s *store) endLease(rw http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.state.leases[id]; !ok {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	s.removeLease(id)
	reply(rw, map[string]any{})
}
