package mirror_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/mirror"
)

// at returns a position without an epoch.
func at(revision int64) lacewingramp.Position {
	return lacewingramp.Position{Revision: revision}
}

// history returns n random changes of a few keys, and for each revision from 0 on
// the keys that exist at it, with their values.
func history(n int) ([]lacewingramp.Change, [][]lacewingramp.KeyValue) {
	r := rand.New(rand.NewPCG(5, 6))
	present := make(map[string]lacewingramp.KeyValue)
	var changes []lacewingramp.Change
	states := [][]lacewingramp.KeyValue{nil}
	for rev := int64(1); rev <= int64(n); rev++ {
		key := fmt.Sprint("k", r.IntN(5))
		c := lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: key, Revision: rev, Value: []byte{byte(rev)}}}
		if _, ok := present[key]; ok && r.IntN(3) == 0 {
			c = lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: key, Revision: rev}, Deleted: true}
			delete(present, key)
		} else {
			present[key] = c.KeyValue
		}
		changes = append(changes, c)
		var state []lacewingramp.KeyValue
		for _, i := range present {
			state = append(state, i)
		}
		states = append(states, state)
	}
	return changes, states
}

var _ = ginkgo.Describe("a mirror", func() {
	ginkgo.It("equals the store after any mix of late and repeated changes and old snapshots", func() {
		const n = 60
		changes, states := history(n)
		for seed := range uint64(200) {
			r := rand.New(rand.NewPCG(seed, 7))
			var m, follower mirror.Mirror
			m.ApplySnapshot(states[3], at(3))
			follower.ApplySnapshot(states[3], at(3))
			last := int64(3)
			for last < n {
				switch r.IntN(3) {
				case 0:
					snapshot := r.IntN(n + 1)
					m.ApplySnapshot(states[snapshot], at(int64(snapshot)))
				default:
					from := r.IntN(int(last) + 1)
					to := min(n, int(last)+r.IntN(4))
					m.Apply(changes[from:to], at(int64(to)))
				}
				gomega.Expect(m.Position().Revision).To(gomega.BeNumerically(">=", last))
				last = m.Position().Revision
				keyValues, _ := m.Snapshot()
				gomega.Expect(keyValues).To(gomega.ConsistOf(states[last]), "seed %d revision %d", seed, last)
				changes, position, ok := m.Since(follower.Position())
				gomega.Expect(ok).To(gomega.BeTrue())
				follower.Apply(changes, position)
				keyValues, _ = follower.Snapshot()
				gomega.Expect(keyValues).To(gomega.ConsistOf(states[last]), "follower, seed %d revision %d", seed, last)
			}
		}
	})

	ginkgo.It("gives followers the changes of a snapshot, so that they need not read all keys", func() {
		_, states := history(60)
		var m, follower mirror.Mirror
		m.ApplySnapshot(states[10], at(10))
		follower.ApplySnapshot(states[10], at(10))
		m.ApplySnapshot(states[50], at(50))
		all, position, ok := m.Since(at(10))
		gomega.Expect(ok).To(gomega.BeTrue())
		follower.Apply(all, position)
		keyValues, _ := follower.Snapshot()
		gomega.Expect(keyValues).To(gomega.ConsistOf(states[50]))
	})

	ginkgo.It("gives followers all changes after a revision, or reports that it lacks some", func() {
		changes, states := history(60)
		var m, follower mirror.Mirror
		m.ApplySnapshot(states[10], at(10))
		_, _, ok := m.Since(at(9))
		gomega.Expect(ok).To(gomega.BeFalse())
		follower.ApplySnapshot(states[10], at(10))
		m.Apply(changes[10:], at(60))
		all, position, ok := m.Since(at(10))
		gomega.Expect(ok).To(gomega.BeTrue())
		follower.Apply(all, position)
		keyValues, _ := follower.Snapshot()
		gomega.Expect(keyValues).To(gomega.ConsistOf(states[60]))
	})

	// Guards against a follower that gets every superseded value of a large key and
	// never catches up.
	ginkgo.It("gives followers only the latest change of each key", func() {
		var m mirror.Mirror
		m.ApplySnapshot([]lacewingramp.KeyValue{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, at(2))
		change := func(key string, revision int64, deleted bool) lacewingramp.Change {
			return lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: key, Revision: revision}, Deleted: deleted}
		}
		m.Apply([]lacewingramp.Change{change("a", 3, false), change("b", 4, true), change("a", 5, false), change("c", 6, false), change("b", 7, false), change("c", 8, true)}, at(8))
		all, position, ok := m.Since(at(2))
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(position).To(gomega.Equal(at(8)))
		gomega.Expect(all).To(gomega.Equal([]lacewingramp.Change{change("a", 5, false), change("b", 7, false), change("c", 8, true)}))
	})

	// Guards against a follower that keeps a deleted key, because the mirror that it
	// follows was told of the deletion only, and not of the key.
	ginkgo.It("gives followers the deletion of a key that it never had", func() {
		key := lacewingramp.KeyValue{Key: "a", Revision: 3}
		deletion := lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: "a", Revision: 5}, Deleted: true}
		var watcher, between, follower mirror.Mirror
		for _, m := range []*mirror.Mirror{&watcher, &between, &follower} {
			m.ApplySnapshot(nil, at(2))
		}
		follower.Apply([]lacewingramp.Change{{KeyValue: key}}, at(4))
		watcher.Apply([]lacewingramp.Change{{KeyValue: key}, deletion}, at(5))
		for _, step := range []struct{ from, to *mirror.Mirror }{{&watcher, &between}, {&between, &follower}} {
			changes, position, ok := step.from.Since(step.to.Position())
			gomega.Expect(ok).To(gomega.BeTrue())
			step.to.Apply(changes, position)
		}
		keyValues, _ := follower.Snapshot()
		gomega.Expect(keyValues).To(gomega.BeEmpty())
	})

	ginkgo.It("reports the deletion of a key that is missing from a later snapshot", func() {
		var m mirror.Mirror
		m.ApplySnapshot([]lacewingramp.KeyValue{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, at(2))
		applied := m.ApplySnapshot([]lacewingramp.KeyValue{{Key: "b", Revision: 2}}, at(5))
		gomega.Expect(applied).To(gomega.HaveLen(1))
		gomega.Expect(applied[0].Key).To(gomega.Equal("a"))
		gomega.Expect(applied[0].Deleted).To(gomega.BeTrue())
	})
})
