package memory

import (
	"context"
	"strings"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Get returns the key with its value. If the key does not exist, its revision is 0.
func (s *Store) Get(ctx context.Context, key string) (lacewingramp.KeyValue, error) {
	if err := s.lock(ctx); err != nil {
		return lacewingramp.KeyValue{}, err
	}
	defer s.mu.Unlock()
	s.calls.Reads++
	kv, ok := s.keyValues[key]
	if !ok {
		return lacewingramp.KeyValue{Key: key}, nil
	}
	return kv, nil
}

// Revision returns the revision of key, 0 if it does not exist.
func (s *Store) Revision(ctx context.Context, key string) (int64, error) {
	kv, err := s.Get(ctx, key)
	return kv.Revision, err
}

// Range returns the keys that begin with prefix, with their values.
func (s *Store) Range(ctx context.Context, prefix string) ([]lacewingramp.KeyValue, error) {
	if err := s.lock(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.calls.Reads++
	return s.sortedKeyValues(prefix), nil
}

// CompareAndSwap sets the value of key if its current revision is base, and returns the
// new revision. A base of 0 requires that the key does not exist. The key is deleted
// when the lease id ends, unless id is 0.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, base int64, id lacewingramp.LeaseID) (int64, error) {
	if err := s.lock(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.calls.Writes++
	if s.keyValues[key].Revision != base {
		return 0, lacewingramp.ErrConflict
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return 0, lacewingramp.ErrLeaseExpired
	}
	revision := s.putKeyValue(lacewingramp.KeyValue{Key: key, Value: value, Lease: id})
	return revision, s.simulateLostResponse()
}

// Delete deletes a key. It is no error if the key does not exist.
func (s *Store) Delete(ctx context.Context, key string) error {
	if err := s.lock(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.calls.Writes++
	s.deleteKey(key)
	return s.simulateLostResponse()
}

// GrantLease creates a lease with a time to live of ttl seconds.
func (s *Store) GrantLease(ctx context.Context, ttl int64) (lacewingramp.LeaseID, error) {
	if err := s.lock(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.calls.Writes++
	if s.leases == nil {
		s.leases = make(map[lacewingramp.LeaseID]lease)
	}
	s.lastLease++
	duration := time.Duration(ttl) * time.Second
	s.leases[s.lastLease] = lease{ttl: duration, expiresAt: time.Now().Add(duration)}
	return s.lastLease, s.simulateLostResponse()
}

// RenewLease resets the remaining time of a lease to its time to live. It returns
// lacewingramp.ErrLeaseExpired if the lease does not exist.
func (s *Store) RenewLease(ctx context.Context, id lacewingramp.LeaseID) error {
	if err := s.lock(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.calls.Writes++
	l, ok := s.leases[id]
	if !ok {
		return lacewingramp.ErrLeaseExpired
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

// Watch calls notify for each change of a key that begins with prefix, starting with
// the first revision after the given one. It returns nil when ctx is done, and an
// error if the store becomes unavailable.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, notify func(lacewingramp.Change)) error {
	if err := s.lock(ctx); err != nil {
		return err
	}
	s.calls.Watches++
	s.mu.Unlock()
	for {
		found, changed, err := s.changesAfter(prefix, after)
		if err != nil {
			return err
		}
		for _, c := range found {
			after = c.Revision
			notify(c)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (s *Store) changesAfter(prefix string, after int64) ([]lacewingramp.Change, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Unavailable {
		return nil, nil, lacewingramp.ErrUnreachable
	}
	// Create the channel for the first watch.
	if s.historyChanged == nil {
		s.notifyWatches()
	}
	if s.faults.SilentWatches {
		return nil, s.historyChanged, nil
	}
	var found []lacewingramp.Change
	for _, c := range s.history {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			found = append(found, c)
		}
	}
	return found, s.historyChanged, nil
}
