package mirror_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/mirror"
)

// backedUpStore is a model of a store that can be restored from a backup. states holds
// the keys with their values at each revision, and changes the changes of this epoch and
// of those before it up to the backup.
type backedUpStore struct {
	random  *rand.Rand
	epoch   int64
	changes []lacewingramp.Change
	states  []map[string]lacewingramp.KeyValue
	writes  int
}

func newBackedUpStore(r *rand.Rand) *backedUpStore {
	return &backedUpStore{random: r, epoch: 1, states: []map[string]lacewingramp.KeyValue{{}}}
}

func (s *backedUpStore) position() lacewingramp.Position {
	return lacewingramp.Position{Epoch: s.epoch, Revision: int64(len(s.states) - 1)}
}

// write writes or deletes a random key.
func (s *backedUpStore) write() {
	s.writes++
	key := fmt.Sprint("k", s.random.IntN(6))
	state := make(map[string]lacewingramp.KeyValue)
	for k, v := range s.states[len(s.states)-1] {
		state[k] = v
	}
	c := lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: key, Revision: int64(len(s.states)), Epoch: s.epoch}}
	if _, ok := state[key]; ok && s.random.IntN(3) == 0 {
		c.Deleted = true
		delete(state, key)
	} else {
		c.Value = fmt.Append(nil, s.writes)
		state[key] = c.KeyValue
	}
	s.changes = append(s.changes, c)
	s.states = append(s.states, state)
}

// restore returns to the state of some revisions ago.
func (s *backedUpStore) restore() {
	lost := s.random.IntN(min(8, len(s.changes)) + 1)
	s.changes = s.changes[:len(s.changes)-lost]
	s.states = s.states[:len(s.states)-lost]
	s.epoch++
}

func (s *backedUpStore) snapshot() []lacewingramp.KeyValue {
	var all []lacewingramp.KeyValue
	for _, i := range s.states[len(s.states)-1] {
		i.Epoch = s.epoch
		all = append(all, i)
	}
	return all
}

// update brings a mirror up to date as an instance that watches the store does.
func (s *backedUpStore) update(m *mirror.Mirror) []lacewingramp.Change {
	position := m.Position()
	if position.Epoch != s.epoch {
		return m.ApplySnapshot(s.snapshot(), s.position())
	}
	var changes []lacewingramp.Change
	for _, c := range s.changes[position.Revision:] {
		c.Epoch = s.epoch
		changes = append(changes, c)
	}
	return m.Apply(changes, s.position())
}

// values returns the values of a mirror's keys.
func values(m *mirror.Mirror) map[string]string {
	all := make(map[string]string)
	keyValues, _ := m.Snapshot()
	for _, i := range keyValues {
		all[i.Key] = string(i.Value)
	}
	return all
}

func (s *backedUpStore) values() map[string]string {
	all := make(map[string]string)
	for key, i := range s.states[len(s.states)-1] {
		all[key] = string(i.Value)
	}
	return all
}

// follow brings a mirror up to date from that of a peer.
func follow(m, peer *mirror.Mirror) {
	if changes, position, ok := peer.Since(m.Position()); ok {
		m.Apply(changes, position)
		return
	}
	keyValues, position := peer.Snapshot()
	m.ApplySnapshot(keyValues, position)
}

var _ = ginkgo.Describe("a mirror of a store that was restored from a backup", func() {
	// Guards against instances that keep the state of before the restoration: they
	// ignored all keys of the restored store, as its revisions were lower.
	ginkgo.It("equals the restored store, and so do its followers, whichever of two mirrors they follow", func() {
		for seed := range uint64(500) {
			r := rand.New(rand.NewPCG(seed, 20))
			s := newBackedUpStore(r)
			for range 10 {
				s.write()
			}
			var watchers, followers [2]mirror.Mirror
			for range 120 {
				switch r.IntN(8) {
				case 0, 1, 2:
					s.write()
				case 3:
					if r.IntN(4) == 0 {
						s.restore()
					}
				case 4, 5:
					s.update(&watchers[r.IntN(2)])
				default:
					follow(&followers[r.IntN(2)], &watchers[r.IntN(2)])
				}
			}
			s.write()
			for i := range watchers {
				s.update(&watchers[i])
				gomega.Expect(values(&watchers[i])).To(gomega.Equal(s.values()), "watcher %d, seed %d", i, seed)
			}
			for i := range followers {
				follow(&followers[i], &watchers[r.IntN(2)])
				gomega.Expect(values(&followers[i])).To(gomega.Equal(s.values()), "follower %d, seed %d", i, seed)
				gomega.Expect(followers[i].Position()).To(gomega.Equal(s.position()), "follower %d, seed %d", i, seed)
			}
		}
	})

	item := func(key, value string, epoch, revision int64) lacewingramp.KeyValue {
		return lacewingramp.KeyValue{Key: key, Value: []byte(value), Revision: revision, Epoch: epoch}
	}
	position := func(epoch, revision int64) lacewingramp.Position {
		return lacewingramp.Position{Epoch: epoch, Revision: revision}
	}

	// Guards against taking what the backup lacks for what somebody has written.
	ginkgo.It("marks the keys that return to an earlier state as reverted, and no others", func() {
		var m, follower mirror.Mirror
		m.ApplySnapshot([]lacewingramp.KeyValue{item("edited", "1", 1, 4), item("kept", "1", 1, 5)}, position(1, 10))
		follow(&follower, &m)
		m.Apply([]lacewingramp.Change{
			{KeyValue: item("edited", "2", 1, 11)}, {KeyValue: item("added", "1", 1, 12)}, {KeyValue: item("twice", "1", 1, 13)},
			{KeyValue: item("twice", "2", 1, 14)}, {KeyValue: item("rewritten", "1", 1, 15)},
		}, position(1, 15))
		follow(&follower, &m)
		m.ApplySnapshot([]lacewingramp.KeyValue{
			item("edited", "1", 2, 4), item("kept", "1", 2, 5), item("twice", "1", 2, 13), item("rewritten", "2", 2, 14),
		}, position(2, 14))
		changes, reached, ok := m.Since(follower.Position())
		gomega.Expect(ok).To(gomega.BeTrue())
		reverted := make(map[string]bool)
		for _, c := range follower.Apply(changes, reached) {
			reverted[c.Key] = c.Reverted
		}
		gomega.Expect(reverted).To(gomega.Equal(map[string]bool{"edited": true, "added": true, "twice": true, "rewritten": false}))
	})

	// Guards against a follower that keeps what only another peer had before the
	// restoration.
	ginkgo.It("has a follower that was ahead of it read all keys", func() {
		var m, other mirror.Mirror
		m.ApplySnapshot(nil, position(1, 10))
		other.ApplySnapshot(nil, position(1, 10))
		other.Apply([]lacewingramp.Change{{KeyValue: item("lost", "1", 1, 11)}}, position(1, 11))
		m.ApplySnapshot(nil, position(2, 10))
		_, _, ok := m.Since(other.Position())
		gomega.Expect(ok).To(gomega.BeFalse())
		follow(&other, &m)
		gomega.Expect(values(&other)).To(gomega.BeEmpty())
	})

	ginkgo.It("ignores late responses from before the restoration", func() {
		var m mirror.Mirror
		m.ApplySnapshot([]lacewingramp.KeyValue{item("a", "1", 1, 4)}, position(1, 10))
		m.ApplySnapshot([]lacewingramp.KeyValue{item("a", "1", 2, 4)}, position(2, 8))
		gomega.Expect(m.Apply([]lacewingramp.Change{{KeyValue: item("a", "2", 1, 11)}}, position(1, 11))).To(gomega.BeEmpty())
		gomega.Expect(m.ApplySnapshot([]lacewingramp.KeyValue{item("a", "2", 1, 11)}, position(1, 11))).To(gomega.BeEmpty())
		gomega.Expect(values(&m)).To(gomega.Equal(map[string]string{"a": "1"}))
	})
})
