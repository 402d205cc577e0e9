// Package memory implements lacewingramp.Store in memory, as a stand-in for the
// platform's store that can simulate faults.
//
// # Usage
//
//	var store memory.Store
//	revision, err := store.CompareAndSwap(ctx, "a", []byte("1"), 0, 0)
//	store.SetFaults(memory.Faults{Unavailable: true})
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Faults are the faults that the store simulates.
type Faults struct {
	// Unavailable makes every call fail with lacewingramp.ErrUnreachable.
	Unavailable bool `json:"down"`
	// Delay is added to the duration of every call.
	Delay lacewingramp.Duration `json:"slow"`
	// LostResponses is the number of following writes that take effect but return
	// lacewingramp.ErrUnknownOutcome.
	LostResponses int `json:"lost"`
	// SilentWatches keeps watches open without notifying them of changes.
	SilentWatches bool `json:"silent"`
	// ExpireLeases makes all current leases expire at once, when the faults are set.
	ExpireLeases bool `json:"lapse"`
}

// Calls counts the calls of each kind. A watch counts once, however many changes it
// delivers.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Store is an in-memory lacewingramp.Store. The zero value is an empty store. It is
// safe for concurrent use. historyChanged is closed and replaced when watches have to
// read the history again.
type Store struct {
	mu             sync.Mutex
	revision       int64
	keyValues      map[string]lacewingramp.KeyValue
	history        []lacewingramp.Change
	leases         map[lacewingramp.LeaseID]lease
	lastLease      lacewingramp.LeaseID
	historyChanged chan struct{}
	faults         Faults
	calls          Calls
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// maxHistory is the maximum number of past changes that are kept for watches. Older
// changes are lost to a watch, without an error.
const maxHistory = 4096

// SetFaults replaces the simulated faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
	if f.ExpireLeases {
		s.expireLeases(time.Now().Add(maxLeaseTTL))
	}
}

// maxLeaseTTL is assumed to be longer than the time to live of any lease.
// Faults.ExpireLeases expires the leases as if this time had passed.
const maxLeaseTTL = 24 * time.Hour

// Calls returns the number of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Restore sets the value of a key regardless of its revision, to simulate that an old
// backup of the store was restored.
func (s *Store) Restore(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putKeyValue(lacewingramp.KeyValue{Key: key, Value: value})
}

// lock waits for the simulated delay, locks the store and removes expired leases with
// their keys. If it returns an error, the store is not locked.
func (s *Store) lock(ctx context.Context) error {
	s.mu.Lock()
	delay := time.Duration(s.faults.Delay)
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
			return lacewingramp.ErrUnreachable
		case <-time.After(delay):
		}
	}
	s.mu.Lock()
	if s.faults.Unavailable {
		s.mu.Unlock()
		return lacewingramp.ErrUnreachable
	}
	s.expireLeases(time.Now())
	return nil
}

func (s *Store) expireLeases(now time.Time) {
	for id, lease := range s.leases {
		if now.Before(lease.expiresAt) {
			continue
		}
		delete(s.leases, id)
		for _, kv := range s.sortedKeyValues("") {
			if kv.Lease == id {
				s.deleteKey(kv.Key)
			}
		}
	}
}

func (s *Store) sortedKeyValues(prefix string) []lacewingramp.KeyValue {
	var all []lacewingramp.KeyValue
	for k, i := range s.keyValues {
		if strings.HasPrefix(k, prefix) {
			all = append(all, i)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}

func (s *Store) deleteKey(key string) {
	if _, ok := s.keyValues[key]; !ok {
		return
	}
	delete(s.keyValues, key)
	s.revision++
	s.appendHistory(lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) putKeyValue(kv lacewingramp.KeyValue) int64 {
	if s.keyValues == nil {
		s.keyValues = make(map[string]lacewingramp.KeyValue)
	}
	s.revision++
	kv.Revision = s.revision
	s.keyValues[kv.Key] = kv
	s.appendHistory(lacewingramp.Change{KeyValue: kv})
	return s.revision
}

func (s *Store) appendHistory(c lacewingramp.Change) {
	s.history = append(s.history, c)
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	if s.historyChanged != nil {
		close(s.historyChanged)
	}
	s.historyChanged = make(chan struct{})
}

// simulateLostResponse returns lacewingramp.ErrUnknownOutcome if the response to the
// current write is to be lost according to Faults.LostResponses.
func (s *Store) simulateLostResponse() error {
	if s.faults.LostResponses == 0 {
		return nil
	}
	s.faults.LostResponses--
	return lacewingramp.ErrUnknownOutcome
}
