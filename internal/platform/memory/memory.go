// Package memory is a stand-in for the platform's store that keeps its items
// in memory and fails on request.
//
// # Usage
//
//	var store memory.Store
//	revision, err := store.Swap(ctx, "a", []byte("1"), 0, 0)
//	store.SetFaults(memory.Faults{Down: true})
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Faults are the ways in which the store can be made to fail.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Slow is added to every call.
	Slow lacewingramp.Duration `json:"slow"`
	// Lost is how many of the next writes take effect without an answer.
	Lost int `json:"lost"`
	// Silent keeps watches open without telling them of changes.
	Silent bool `json:"silent"`
	// Lapse ends every lease at once.
	Lapse bool `json:"lapse"`
}

// Calls counts the calls of each kind. A waiting watch counts once.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Store is an in-memory lacewingramp.Store. Its zero value is ready and safe
// for use by many goroutines.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]lacewingramp.Item
	history  []lacewingramp.Change
	leases   map[lacewingramp.LeaseID]lease
	serial   lacewingramp.LeaseID
	changed  chan struct{}
	faults   Faults
	calls    Calls
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// historyLength is how many past changes a watch can start from.
const historyLength = 4096

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.signal()
	if f.Lapse {
		s.expire(time.Now().Add(maxLease))
	}
}

const maxLease = 24 * time.Hour

// Calls returns the counts so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Restore puts the value of a key back without regard to its revision, as
// the restore of an old backup would.
func (s *Store) Restore(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(lacewingramp.Item{Key: key, Value: value})
}

// enter waits out a slow store and locks it.
func (s *Store) enter(ctx context.Context) error {
	s.mu.Lock()
	slow := time.Duration(s.faults.Slow)
	s.mu.Unlock()
	if slow > 0 {
		select {
		case <-ctx.Done():
			return lacewingramp.ErrUnreachable
		case <-time.After(slow):
		}
	}
	s.mu.Lock()
	if s.faults.Down {
		s.mu.Unlock()
		return lacewingramp.ErrUnreachable
	}
	s.expire(time.Now())
	return nil
}

func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.end) {
			continue
		}
		delete(s.leases, id)
		for _, i := range s.sorted("") {
			if i.Lease == id {
				s.remove(i.Key)
			}
		}
	}
}

func (s *Store) sorted(prefix string) []lacewingramp.Item {
	var all []lacewingramp.Item
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) {
			all = append(all, i)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(lacewingramp.Change{Item: lacewingramp.Item{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) write(i lacewingramp.Item) int64 {
	if s.items == nil {
		s.items = make(map[string]lacewingramp.Item)
	}
	s.revision++
	i.Revision = s.revision
	s.items[i.Key] = i
	s.record(lacewingramp.Change{Item: i})
	return s.revision
}

func (s *Store) record(c lacewingramp.Change) {
	s.history = append(s.history, c)
	if len(s.history) > historyLength {
		s.history = s.history[1:]
	}
	s.signal()
}

func (s *Store) signal() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// lost takes one of the answers that are to be lost.
func (s *Store) lost() error {
	if s.faults.Lost == 0 {
		return nil
	}
	s.faults.Lost--
	return lacewingramp.ErrUnknownOutcome
}
