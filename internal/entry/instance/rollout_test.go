package instance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
	"lacewingramp.example/lacewingramp/internal/platform/memory"
	"lacewingramp.example/lacewingramp/internal/timer/manual"
)

var _ = ginkgo.Describe("an outcome of a rollout in the store", func() {
	start := time.Unix(1_800_000_000, 0)
	// newInstance returns an instance with a rollout under way.
	newInstance := func(store lacewingramp.Store) *Instance {
		i := New(Settings{Name: "uy1", Domain: "uy1"}, Dependencies{Store: store, Timer: manual.New(start), Log: zerolog.Nop()})
		i.State.Rollouts.Configure(&lacewingramp.Table{
			Versions: []lacewingramp.Version{{Name: "v1", Service: "s"}, {Name: "v2", Service: "s"}},
			Rollouts: []lacewingramp.Rollout{{Name: "move", Service: "s", Version: "v2", CanaryFraction: 0.1, Start: start, Deadline: start.Add(time.Minute)}},
		})
		return i
	}

	// Guards against an instance that replaces what another one has recorded, as it was away.
	ginkgo.It("is kept and taken over by an instance that has decided otherwise", func(ctx context.Context) {
		store := &memory.Store{}
		i := newInstance(store)
		done := lacewingramp.RolloutOutcome{Rollout: "move", Start: start, State: lacewingramp.StatusDone}
		recorded, err := json.Marshal(done)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = store.CompareAndSwap(ctx, outcomeKey(done), recorded, 0, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		rolledBack := done
		rolledBack.State = lacewingramp.StatusRolledBack
		i.State.Rollouts.Record(nil, []lacewingramp.RolloutOutcome{rolledBack})
		i.handleOutcomes([]lacewingramp.RolloutOutcome{rolledBack})
		i.saveOutcomes()
		item, err := store.Get(ctx, outcomeKey(done))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(item.Value).To(gomega.Equal(recorded))
		i.State.Lock()
		defer i.State.Unlock()
		gomega.Expect(i.State.Rollouts.Statuses(start)[0].State).To(gomega.Equal(rollout.StateDone))
	})

	// Guards against a rollback that is in force and never recorded, as the instance that
	// decided on it has ended before it could write it.
	ginkgo.It("is written by an instance that has taken it over from a peer", func(ctx context.Context) {
		store := &memory.Store{}
		i := newInstance(store)
		rolledBack := lacewingramp.RolloutOutcome{Rollout: "move", Start: start, State: lacewingramp.StatusRolledBack}
		i.State.Rollouts.Record(nil, []lacewingramp.RolloutOutcome{rolledBack})
		i.saveOutcomes()
		item, err := store.Get(ctx, outcomeKey(rolledBack))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(item.Value)).To(gomega.ContainSubstring(lacewingramp.StatusRolledBack))
		i.State.Lock()
		defer i.State.Unlock()
		gomega.Expect(i.State.Rollouts.Unrecorded()).To(gomega.BeEmpty())
	})
})
