package mirror_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/mirror"
)

// history makes random changes of a few keys, and the items after each.
func history(n int) ([]lacewingramp.Change, [][]lacewingramp.Item) {
	r := rand.New(rand.NewPCG(5, 6))
	present := make(map[string]lacewingramp.Item)
	var changes []lacewingramp.Change
	states := [][]lacewingramp.Item{nil}
	for rev := int64(1); rev <= int64(n); rev++ {
		key := fmt.Sprint("k", r.IntN(5))
		c := lacewingramp.Change{Item: lacewingramp.Item{Key: key, Revision: rev, Value: []byte{byte(rev)}}}
		if _, ok := present[key]; ok && r.IntN(3) == 0 {
			c = lacewingramp.Change{Item: lacewingramp.Item{Key: key, Revision: rev}, Deleted: true}
			delete(present, key)
		} else {
			present[key] = c.Item
		}
		changes = append(changes, c)
		var state []lacewingramp.Item
		for _, i := range present {
			state = append(state, i)
		}
		states = append(states, state)
	}
	return changes, states
}

var _ = ginkgo.Describe("a mirror", func() {
	ginkgo.It("ends as the store from any mix of late changes, repeats and old snapshots", func() {
		const n = 60
		changes, states := history(n)
		for seed := range uint64(200) {
			r := rand.New(rand.NewPCG(seed, 7))
			var m, follower mirror.Mirror
			m.Reset(states[3], 3)
			follower.Reset(states[3], 3)
			last := int64(0)
			for m.Revision() < n {
				switch r.IntN(3) {
				case 0:
					at := r.IntN(n + 1)
					m.Reset(states[at], int64(at))
				default:
					from := r.IntN(int(m.Revision()) + 1)
					to := min(n, int(m.Revision())+r.IntN(4))
					m.Apply(changes[from:to], int64(to))
				}
				gomega.Expect(m.Revision()).To(gomega.BeNumerically(">=", last))
				last = m.Revision()
				items, _ := m.Snapshot()
				gomega.Expect(items).To(gomega.ConsistOf(states[last]), "seed %d revision %d", seed, last)
				changes, revision, ok := m.Since(follower.Revision())
				gomega.Expect(ok).To(gomega.BeTrue())
				follower.Apply(changes, revision)
				items, _ = follower.Snapshot()
				gomega.Expect(items).To(gomega.ConsistOf(states[last]), "follower, seed %d revision %d", seed, last)
			}
		}
	})

	ginkgo.It("tells followers what a snapshot has changed, so that not all read everything", func() {
		_, states := history(60)
		var m, follower mirror.Mirror
		m.Reset(states[10], 10)
		follower.Reset(states[10], 10)
		m.Reset(states[50], 50)
		all, revision, ok := m.Since(10)
		gomega.Expect(ok).To(gomega.BeTrue())
		follower.Apply(all, revision)
		items, _ := follower.Snapshot()
		gomega.Expect(items).To(gomega.ConsistOf(states[50]))
	})

	ginkgo.It("tells followers all changes, or that it does not have them", func() {
		changes, states := history(60)
		var m, follower mirror.Mirror
		m.Reset(states[10], 10)
		_, _, ok := m.Since(9)
		gomega.Expect(ok).To(gomega.BeFalse())
		follower.Reset(states[10], 10)
		m.Apply(changes[10:], 60)
		all, revision, ok := m.Since(10)
		gomega.Expect(ok).To(gomega.BeTrue())
		follower.Apply(all, revision)
		items, _ := follower.Snapshot()
		gomega.Expect(items).To(gomega.ConsistOf(states[60]))
	})

	ginkgo.It("reports a key that went while the store was away", func() {
		var m mirror.Mirror
		m.Reset([]lacewingramp.Item{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, 2)
		fresh := m.Reset([]lacewingramp.Item{{Key: "b", Revision: 2}}, 5)
		gomega.Expect(fresh).To(gomega.HaveLen(1))
		gomega.Expect(fresh[0].Key).To(gomega.Equal("a"))
		gomega.Expect(fresh[0].Deleted).To(gomega.BeTrue())
	})
})
