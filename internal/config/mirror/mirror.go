// Package mirror keeps a copy of the store's keys, from which other instances can
// read changes as from the store itself.
//
// A mirror never returns to an earlier position: it ignores a change that is older
// than its own state of the same key, whatever the source of the change, and a
// snapshot that is older than the mirror's position.
//
// A store that was restored from a backup is at a later position, as its epoch is
// higher, but its keys have earlier values. The mirror takes them, and marks the changes
// that this makes as reverted.
//
// # Usage
//
//	var m mirror.Mirror
//	applied := m.ApplySnapshot(keyValues, position)
//	applied = m.Apply(changes, position)
//	changes, position, ok := m.Since(after)
package mirror

import (
	"bytes"
	"slices"
	"sort"

	"lacewingramp.example/lacewingramp"
)

const (
	// maxLog is the maximum number of changes that are kept for followers.
	maxLog = 4096
	// maxLogBytes is the maximum size of their keys and values together, in bytes. A value
	// may have 1 MB, and the smallest instances have 184 MB of memory.
	maxLogBytes = 8 << 20
)

// logEntry is a change and the position from which a follower no longer needs it.
// Positions do not decrease along the log.
type logEntry struct {
	change   lacewingramp.Change
	position lacewingramp.Position
}

// jump is a step of a mirror over changes that it has not seen one by one. The log leads
// from any position up to from to any position after to, but not from one in between.
type jump struct {
	from lacewingramp.Position
	to   lacewingramp.Position
}

// Mirror is a copy of the store's keys, with a log of the latest changes. The zero
// value is empty. A Mirror is not safe for concurrent use.
type Mirror struct {
	keyValues map[string]lacewingramp.KeyValue
	log       []logEntry
	// logBytes is the size of the keys and values in the log.
	logBytes int
	position lacewingramp.Position
	// logStart is the oldest position from which a follower can catch up by the
	// log alone.
	logStart lacewingramp.Position
	// jumps holds the jumps since logStart.
	jumps []jump
	// changed is closed at the next change or snapshot.
	changed chan struct{}
}

// Position returns the position up to which the mirror is complete.
func (m *Mirror) Position() lacewingramp.Position {
	return m.position
}

// KeyValue returns a key with its value, or false if the mirror does not have the key.
func (m *Mirror) KeyValue(key string) (lacewingramp.KeyValue, bool) {
	i, ok := m.keyValues[key]
	return i, ok
}

// Snapshot returns all keys with their values, ordered by key, and the mirror's position.
func (m *Mirror) Snapshot() ([]lacewingramp.KeyValue, lacewingramp.Position) {
	all := make([]lacewingramp.KeyValue, 0, len(m.keyValues))
	for _, i := range m.keyValues {
		all = append(all, i)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all, m.position
}

// ApplySnapshot updates the mirror to a snapshot of all keys and returns the changes
// that this makes. Keys of the mirror that are newer than the snapshot stay.
//
// The keys of a snapshot that was read in several steps may be newer than its position.
// They are left out, as the changes after that position include them.
func (m *Mirror) ApplySnapshot(keyValues []lacewingramp.KeyValue, position lacewingramp.Position) []lacewingramp.Change {
	if position.Before(m.position) {
		return nil
	}
	first := m.position == lacewingramp.Position{}
	restored := !first && position.Epoch > m.position.Epoch
	changes := m.differences(keyValues, position)
	if restored {
		m.markReverted(changes, position)
	}
	applied := m.apply(changes)
	if first {
		m.logStart = position
	} else {
		m.appendJump(position)
		m.appendLog(applied, position)
	}
	m.position = position
	m.notify()
	return applied
}

// differences returns the changes that turn the mirror into a snapshot.
func (m *Mirror) differences(keyValues []lacewingramp.KeyValue, position lacewingramp.Position) []lacewingramp.Change {
	present := make(map[string]bool, len(keyValues))
	var changes []lacewingramp.Change
	for _, i := range keyValues {
		present[i.Key] = true
		if i.Revision > position.Revision {
			continue
		}
		i.Epoch = position.Epoch
		changes = append(changes, lacewingramp.Change{KeyValue: i})
	}
	for key, known := range m.keyValues {
		if !present[key] && !position.Before(known.Position()) {
			gone := lacewingramp.KeyValue{Key: key, Revision: position.Revision, Epoch: position.Epoch}
			changes = append(changes, lacewingramp.Change{KeyValue: gone, Deleted: true})
		}
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].Revision < changes[j].Revision })
	return changes
}

// markReverted marks those changes of a restored store that return a key to an earlier
// state. That a key is missing counts as such.
func (m *Mirror) markReverted(changes []lacewingramp.Change, position lacewingramp.Position) {
	if position.Revision < m.logStart.Revision {
		// The backup is older than all that the mirror knows of the past.
		return
	}
	for i := range changes {
		c := &changes[i]
		c.Reverted = c.Deleted || c.Revision <= m.logStart.Revision || m.logged(c)
	}
}

// logged reports whether the log has a change with the same key, revision and value.
func (m *Mirror) logged(c *lacewingramp.Change) bool {
	for i := range m.log {
		l := &m.log[i].change
		if l.Key == c.Key && l.Revision == c.Revision && bytes.Equal(l.Value, c.Value) {
			return true
		}
	}
	return false
}

// Apply applies the changes up to a position and returns those that were new.
func (m *Mirror) Apply(changes []lacewingramp.Change, position lacewingramp.Position) []lacewingramp.Change {
	if position.Epoch < m.position.Epoch {
		return nil
	}
	if position.Epoch > m.position.Epoch {
		m.appendJump(position)
	}
	applied := m.apply(changes)
	for _, c := range applied {
		m.appendLog([]lacewingramp.Change{c}, c.Position())
	}
	if m.position.Before(position) {
		m.position = position
	}
	if len(applied) > 0 {
		m.notify()
	}
	return applied
}

// appendJump records that the mirror goes to a position without the changes in between.
func (m *Mirror) appendJump(to lacewingramp.Position) {
	if m.position.Before(to) {
		m.jumps = append(m.jumps, jump{from: m.position, to: to})
	}
}

// appendLog adds changes to the log, for followers that have not reached position. It
// drops the oldest changes beyond maxLog and maxLogBytes.
func (m *Mirror) appendLog(changes []lacewingramp.Change, position lacewingramp.Position) {
	if n := len(m.log); n > 0 && position.Before(m.log[n-1].position) {
		position = m.log[n-1].position
	}
	for _, c := range changes {
		m.log = append(m.log, logEntry{change: c, position: position})
		m.logBytes += size(&c)
	}
	excess := max(0, len(m.log)-maxLog)
	for i := range m.log {
		if i >= excess && m.logBytes <= maxLogBytes {
			break
		}
		m.logBytes -= size(&m.log[i].change)
		excess = max(excess, i+1)
	}
	if excess > 0 {
		m.logStart = m.log[excess-1].position
		m.log = append([]logEntry(nil), m.log[excess:]...)
		m.jumps = slices.DeleteFunc(m.jumps, func(j jump) bool { return !m.logStart.Before(j.to) })
	}
}

func size(c *lacewingramp.Change) int {
	return len(c.Key) + len(c.Value)
}

func (m *Mirror) apply(changes []lacewingramp.Change) []lacewingramp.Change {
	if m.keyValues == nil {
		m.keyValues = make(map[string]lacewingramp.KeyValue)
	}
	var applied []lacewingramp.Change
	for _, c := range changes {
		if !m.isNew(&c) {
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

// isNew reports whether a change is newer than the mirror's state of its key, or,
// for a key that the mirror does not have, newer than the mirror. That holds also for a
// deletion, as a follower may have the key. A deletion may have the same position as the
// key: if a key is missing from a snapshot, ApplySnapshot sets the position of its
// deletion to the snapshot's, which can also be that of the key's last write.
func (m *Mirror) isNew(c *lacewingramp.Change) bool {
	known, ok := m.keyValues[c.Key]
	switch {
	case c.Epoch < m.position.Epoch:
		return false
	case !ok:
		return m.position.Before(c.Position())
	case c.Deleted:
		return !c.Position().Before(known.Position())
	case c.Revision == known.Revision && bytes.Equal(c.Value, known.Value):
		// The store has kept the key through a restoration.
		return false
	default:
		return known.Position().Before(c.Position())
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

// Since returns the latest change of each key after a position, and the mirror's
// position. It returns false if the log does not lead on from that position. Without an
// epoch, the position is taken to be in the mirror's epoch.
func (m *Mirror) Since(after lacewingramp.Position) ([]lacewingramp.Change, lacewingramp.Position, bool) {
	if after.Epoch == 0 {
		after.Epoch = m.position.Epoch
	}
	if m.keyValues == nil || !m.canFollow(after) {
		return nil, m.position, false
	}
	first := sort.Search(len(m.log), func(i int) bool { return after.Before(m.log[i].position) })
	return latest(m.log[first:]), m.position, true
}

// latest returns the changes that no later one of the same key supersedes, in order.
func latest(log []logEntry) []lacewingramp.Change {
	last := make(map[string]int, len(log))
	for i := range log {
		last[log[i].change.Key] = i
	}
	list := make([]lacewingramp.Change, 0, len(last))
	for i := range log {
		if last[log[i].change.Key] == i {
			list = append(list, log[i].change)
		}
	}
	return list
}

// canFollow reports whether the log leads from a position to that of the mirror.
func (m *Mirror) canFollow(after lacewingramp.Position) bool {
	if after.Before(m.logStart) {
		return false
	}
	for _, j := range m.jumps {
		if j.from.Before(after) && after.Before(j.to) {
			return false
		}
	}
	return true
}
