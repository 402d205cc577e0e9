package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
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
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease,omitempty"`
	Tombstone      bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. It is
// always sound.
type store struct {
	address string

	mu        sync.Mutex
	items     map[string]item
	history   []item
	revision  int64
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{}
}

// maxPage is the number of items of a full page.
const maxPage = 500

func newStore(address string) (*store, error) {
	s := &store{address: address, items: map[string]item{}, leases: map[int64]*lease{}, revision: 10, nextLease: 77000, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lacewingramp/kv-key", s.get)
	mux.HandleFunc("GET /lacewingramp/"+names["range"], s.list)
	mux.HandleFunc("GET /lacewingramp/"+names["watch"], s.watch)
	mux.HandleFunc("POST /lacewingramp/"+names["transaction"], s.txn)
	mux.HandleFunc("POST /lacewingramp/kv-lease", s.grant)
	mux.HandleFunc("POST /lacewingramp/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /lacewingramp/kv-lease-end/{id}", s.end)
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, mux) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

func (s *store) apply(i item) {
	s.revision++
	i.Revision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		i.CreateRevision = s.revision
		if old, ok := s.items[i.Key]; ok {
			i.CreateRevision = old.CreateRevision
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator and the upstreams do.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(item{Key: key, Value: raw})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.apply(item{Key: key, Tombstone: true})
	}
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.apply(item{Key: key, Tombstone: true})
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"asOf": s.revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "createRevision": i.CreateRevision, "lease": i.Lease, "asOf": s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > maxPage
	if more {
		found = found[:maxPage]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "hasMore": more, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if after > revision {
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Conditions []item   `json:"expectedRev"`
		Writes     []item   `json:"writes"`
		Delete     []string `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, current := false, []item{}
	for _, c := range in.Conditions {
		i := s.items[c.Key]
		conflict = conflict || i.Revision != c.Revision
		if i.Revision != 0 {
			current = append(current, i)
		}
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, i := range in.Writes {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range in.Writes {
		s.apply(item{Key: i.Key, Value: i.Value, Lease: i.Lease})
	}
	for _, key := range in.Delete {
		if _, ok := s.items[key]; ok {
			s.apply(item{Key: key, Tombstone: true})
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL float64 `json:"ttlS_time"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(max(1, min(600, in.TTL)) * float64(time.Second))
	s.leases[s.nextLease] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttlS_time": ttl.Seconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttlS_time": l.ttl.Seconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
