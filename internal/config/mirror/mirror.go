// Package mirror keeps a copy of the store's keys, from which other instances can
// read changes as from the store itself.
//
// A mirror never returns to an older state: it ignores a change that is older than
// its own revision of the same key, whatever the source of the change, and a snapshot
// that is older than the mirror's revision.
//
// # Usage
//
//	var m mirror.Mirror
//	applied := m.ApplySnapshot(keyValues, revision)
//	applied = m.Apply(changes, revision)
//	changes, revision, ok := m.Since(after)
package mirror

import (
	"sort"

	"lacewingramp.example/lacewingramp"
)

// maxLog is the maximum number of changes that are kept for followers.
const maxLog = 4096

// Mirror is a copy of the store's keys, with a log of the latest changes. The zero
// value is empty. A Mirror is not safe for concurrent use.
type Mirror struct {
	keyValues map[string]lacewingramp.KeyValue
	log       []lacewingramp.Change
	revision  int64
	// logStart is the oldest revision from which a follower can catch up by the
	// log alone.
	logStart int64
	// changed is closed at the next change or snapshot.
	changed chan struct{}
}

// Revision returns the store revision up to which the mirror is complete.
func (m *Mirror) Revision() int64 {
	return m.revision
}

// KeyValue returns a key with its value, or false if the mirror does not have the key.
func (m *Mirror) KeyValue(key string) (lacewingramp.KeyValue, bool) {
	i, ok := m.keyValues[key]
	return i, ok
}

// Snapshot returns all keys with their values, ordered by key, and the mirror's revision.
func (m *Mirror) Snapshot() ([]lacewingramp.KeyValue, int64) {
	all := make([]lacewingramp.KeyValue, 0, len(m.keyValues))
	for _, i := range m.keyValues {
		all = append(all, i)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all, m.revision
}

// ApplySnapshot updates the mirror to a snapshot of all keys and returns the changes
// that this makes. Keys of the mirror that are newer than the snapshot stay.
func (m *Mirror) ApplySnapshot(keyValues []lacewingramp.KeyValue, revision int64) []lacewingramp.Change {
	if revision < m.revision {
		return nil
	}
	present := make(map[string]bool, len(keyValues))
	var changes []lacewingramp.Change
	for _, i := range keyValues {
		present[i.Key] = true
		changes = append(changes, lacewingramp.Change{KeyValue: i})
	}
	for key, i := range m.keyValues {
		if !present[key] && i.Revision <= revision {
			gone := lacewingramp.KeyValue{Key: key, Revision: revision}
			changes = append(changes, lacewingramp.Change{KeyValue: gone, Deleted: true})
		}
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].Revision < changes[j].Revision })
	previous := m.revision
	applied := m.apply(changes)
	m.revision = max(m.revision, revision)
	m.logSnapshot(applied, previous)
	m.notify()
	return applied
}

// Apply applies the changes up to a revision and returns those that were new.
func (m *Mirror) Apply(changes []lacewingramp.Change, revision int64) []lacewingramp.Change {
	applied := m.apply(changes)
	m.log = append(m.log, applied...)
	m.revision = max(m.revision, revision)
	if len(applied) > 0 {
		m.notify()
	}
	m.trimLog()
	return applied
}

// logSnapshot adds the changes made by a snapshot to the log, so that followers
// need not read all keys. They reach the snapshot's state, but do not see keys
// that were both written and deleted since the mirror's previous revision. The
// first snapshot starts a new log. So does a snapshot with a change that is not
// newer than the previous revision: Since would not return that change to a follower
// that has reached the previous revision.
func (m *Mirror) logSnapshot(applied []lacewingramp.Change, previous int64) {
	for _, c := range applied {
		if previous == 0 || c.Revision <= previous {
			m.log, m.logStart = nil, m.revision
			return
		}
	}
	if previous == 0 {
		m.logStart = m.revision
	}
	m.log = append(m.log, applied...)
	m.trimLog()
}

// trimLog drops the oldest changes beyond maxLog.
func (m *Mirror) trimLog() {
	if excess := len(m.log) - maxLog; excess > 0 {
		m.logStart = m.log[excess-1].Revision
		m.log = append([]lacewingramp.Change(nil), m.log[excess:]...)
	}
}

func (m *Mirror) apply(changes []lacewingramp.Change) []lacewingramp.Change {
	if m.keyValues == nil {
		m.keyValues = make(map[string]lacewingramp.KeyValue)
	}
	var applied []lacewingramp.Change
	for _, c := range changes {
		if !m.isNew(c) {
			continue
		}
		if c.Deleted {
			delete(m.keyValues, c.Key)
		} else {
			m.keyValues[c.Key] = c.KeyValue
		}
		applied = append(applied, c)
	}
	return applied
}

// isNew reports whether a change is newer than the mirror's revision of its key, or,
// for a key that the mirror does not have, newer than the mirror. That holds also for a
// deletion, as a follower may have the key. A deletion may
// have the same revision as the key: if a key is missing from a snapshot,
// ApplySnapshot sets the revision of its deletion to the snapshot's, which can also be
// that of the key's last write.
func (m *Mirror) isNew(c lacewingramp.Change) bool {
	known, ok := m.keyValues[c.Key]
	switch {
	case !ok:
		return c.Revision > m.revision
	case c.Deleted:
		return c.Revision >= known.Revision
	default:
		return c.Revision > known.Revision
	}
}

// Changed returns a channel that is closed at the mirror's next change or snapshot.
func (m *Mirror) Changed() <-chan struct{} {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// notify closes the channel that Changed has returned, if any.
func (m *Mirror) notify() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Since returns the latest change of each key after a revision, and the mirror's
// revision. It returns false if the log does not reach back to that revision.
func (m *Mirror) Since(after int64) ([]lacewingramp.Change, int64, bool) {
	if after < m.logStart || m.keyValues == nil {
		return nil, m.revision, false
	}
	first := sort.Search(len(m.log), func(i int) bool { return m.log[i].Revision > after })
	return latest(m.log[first:]), m.revision, true
}

// latest returns the changes that no later one of the same key supersedes, in order.
func latest(changes []lacewingramp.Change) []lacewingramp.Change {
	last := make(map[string]int, len(changes))
	for i, c := range changes {
		last[c.Key] = i
	}
	list := make([]lacewingramp.Change, 0, len(last))
	for i, c := range changes {
		if last[c.Key] == i {
			list = append(list, c)
		}
	}
	return list
}
