package memory

import (
	"context"
	"strings"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Get returns the item of key.
func (s *Store) Get(ctx context.Context, key string) (lacewingramp.Item, error) {
	if err := s.enter(ctx); err != nil {
		return lacewingramp.Item{}, err
	}
	defer s.mu.Unlock()
	s.calls.Reads++
	i, ok := s.items[key]
	if !ok {
		return lacewingramp.Item{Key: key}, nil
	}
	return i, nil
}

// Revision returns the revision of key, 0 where it is absent.
func (s *Store) Revision(ctx context.Context, key string) (int64, error) {
	i, err := s.Get(ctx, key)
	return i.Revision, err
}

// Range returns the items whose keys begin with prefix.
func (s *Store) Range(ctx context.Context, prefix string) ([]lacewingramp.Item, error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.calls.Reads++
	return s.sorted(prefix), nil
}

// CompareAndSwap writes value if the key's revision is base.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, base int64, id lacewingramp.LeaseID) (int64, error) {
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.calls.Writes++
	if s.items[key].Revision != base {
		return 0, lacewingramp.ErrConflict
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return 0, lacewingramp.ErrLeaseExpired
	}
	revision := s.write(lacewingramp.Item{Key: key, Value: value, Lease: id})
	return revision, s.lost()
}

// Delete removes a key.
func (s *Store) Delete(ctx context.Context, key string) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.calls.Writes++
	s.remove(key)
	return s.lost()
}

// GrantLease opens a lease of ttl seconds.
func (s *Store) GrantLease(ctx context.Context, ttl int64) (lacewingramp.LeaseID, error) {
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.calls.Writes++
	if s.leases == nil {
		s.leases = make(map[lacewingramp.LeaseID]lease)
	}
	s.serial++
	d := time.Duration(ttl) * time.Second
	s.leases[s.serial] = lease{ttl: d, end: time.Now().Add(d)}
	return s.serial, s.lost()
}

// RenewLease extends a lease by its ttl.
func (s *Store) RenewLease(ctx context.Context, id lacewingramp.LeaseID) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.calls.Writes++
	l, ok := s.leases[id]
	if !ok {
		return lacewingramp.ErrLeaseExpired
	}
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

// Watch calls f for each change below prefix after revision from.
func (s *Store) Watch(ctx context.Context, prefix string, from int64, f func(lacewingramp.Change)) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	s.calls.Watches++
	s.mu.Unlock()
	for {
		found, changed, err := s.since(prefix, from)
		if err != nil {
			return err
		}
		for _, c := range found {
			from = c.Revision
			f(c)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (s *Store) since(prefix string, from int64) ([]lacewingramp.Change, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return nil, nil, lacewingramp.ErrUnreachable
	}
	if s.changed == nil {
		s.signal()
	}
	if s.faults.Silent {
		return nil, s.changed, nil
	}
	var found []lacewingramp.Change
	for _, c := range s.history {
		if c.Revision > from && strings.HasPrefix(c.Key, prefix) {
			found = append(found, c)
		}
	}
	return found, s.changed, nil
}
