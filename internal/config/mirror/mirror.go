// Package mirror keeps a copy of the store's keys, which other instances can
// follow like the store itself.
//
// Revisions only rise: a change that is older than what is known of its key is
// left out, from wherever it comes. A snapshot that is older than the mirror
// changes nothing.
//
// # Usage
//
//	var m mirror.Mirror
//	fresh := m.Reset(items, revision)
//	fresh = m.Apply(changes, revision)
//	changes, revision, ok := m.Since(after)
package mirror

import (
	"sort"

	"lacewingramp.example/lacewingramp"
)

// logMost is how many changes are kept for followers.
const logMost = 4096

// Mirror is a copy of the store's keys. Its zero value is empty. It is not
// safe for use by more than one goroutine.
type Mirror struct {
	items    map[string]lacewingramp.Item
	log      []lacewingramp.Change
	revision int64
	// floor is the revision after which the log has every change.
	floor int64
	// changed is closed when the mirror moves on.
	changed chan struct{}
}

// Revision is up to where the store is known.
func (m *Mirror) Revision() int64 {
	return m.revision
}

// Item returns what is known of a key.
func (m *Mirror) Item(key string) (lacewingramp.Item, bool) {
	i, ok := m.items[key]
	return i, ok
}

// Snapshot returns all items in order of key.
func (m *Mirror) Snapshot() ([]lacewingramp.Item, int64) {
	all := make([]lacewingramp.Item, 0, len(m.items))
	for _, i := range m.items {
		all = append(all, i)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all, m.revision
}

// Reset takes in a snapshot of all keys and returns what it changes.
func (m *Mirror) Reset(items []lacewingramp.Item, revision int64) []lacewingramp.Change {
	if revision < m.revision {
		return nil
	}
	present := make(map[string]bool, len(items))
	var changes []lacewingramp.Change
	for _, i := range items {
		present[i.Key] = true
		changes = append(changes, lacewingramp.Change{Item: i})
	}
	for key, i := range m.items {
		if !present[key] && i.Revision <= revision {
			gone := lacewingramp.Item{Key: key, Revision: revision}
			changes = append(changes, lacewingramp.Change{Item: gone, Deleted: true})
		}
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].Revision < changes[j].Revision })
	before := m.revision
	fresh := m.apply(changes)
	m.revision = max(m.revision, revision)
	m.note(fresh, before)
	m.wake()
	return fresh
}

// Apply takes in changes up to a revision and returns those that are new.
func (m *Mirror) Apply(changes []lacewingramp.Change, revision int64) []lacewingramp.Change {
	fresh := m.apply(changes)
	m.log = append(m.log, fresh...)
	m.revision = max(m.revision, revision)
	if len(fresh) > 0 {
		m.wake()
	}
	m.trim()
	return fresh
}

// note keeps what a snapshot has changed for followers: it brings those that
// were as far as this mirror to where it is now, though not over what was
// written and deleted between. The first snapshot, and one that goes back
// behind the log, begin a new log.
func (m *Mirror) note(fresh []lacewingramp.Change, before int64) {
	for _, c := range fresh {
		if before == 0 || c.Revision <= before {
			m.log, m.floor = nil, m.revision
			return
		}
	}
	if before == 0 {
		m.floor = m.revision
	}
	m.log = append(m.log, fresh...)
	m.trim()
}

// trim keeps the log within its size.
func (m *Mirror) trim() {
	if over := len(m.log) - logMost; over > 0 {
		m.floor = m.log[over-1].Revision
		m.log = append([]lacewingramp.Change(nil), m.log[over:]...)
	}
}

func (m *Mirror) apply(changes []lacewingramp.Change) []lacewingramp.Change {
	if m.items == nil {
		m.items = make(map[string]lacewingramp.Item)
	}
	var fresh []lacewingramp.Change
	for _, c := range changes {
		if !m.isNew(c) {
			continue
		}
		if c.Deleted {
			delete(m.items, c.Key)
		} else {
			m.items[c.Key] = c.Item
		}
		fresh = append(fresh, c)
	}
	return fresh
}

// isNew reports whether a change says more than is known of its key. The end
// of a key in a snapshot has the snapshot's revision, which its last write may
// have too.
func (m *Mirror) isNew(c lacewingramp.Change) bool {
	known, ok := m.items[c.Key]
	switch {
	case !ok:
		return !c.Deleted && c.Revision > m.revision
	case c.Deleted:
		return c.Revision >= known.Revision
	default:
		return c.Revision > known.Revision
	}
}

// Changed returns a channel that is closed when the mirror next changes.
func (m *Mirror) Changed() <-chan struct{} {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// wake tells those who wait for a change.
func (m *Mirror) wake() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Since returns the changes after a revision. It reports false where the log
// does not reach back that far.
func (m *Mirror) Since(after int64) ([]lacewingramp.Change, int64, bool) {
	if after < m.floor || m.items == nil {
		return nil, m.revision, false
	}
	first := sort.Search(len(m.log), func(i int) bool { return m.log[i].Revision > after })
	return append([]lacewingramp.Change(nil), m.log[first:]...), m.revision, true
}
