package freshness_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/freshness"
)

var _ = ginkgo.Describe("the freshness of a copy", func() {
	start := time.Unix(1_800_000_000, 0)
	at := func(revision int64) lacewingramp.Position { return lacewingramp.Position{Epoch: 1, Revision: revision} }
	started := func(name string, startMillis int64) uint32 {
		return lacewingramp.ConfirmationOrigin(&lacewingramp.Endpoint{Name: name, StartMillis: startMillis})
	}
	confirmation := func(origin string, count, revision int64) lacewingramp.Confirmation {
		return lacewingramp.Confirmation{Origin: started(origin, 1), Count: count, Revision: revision, Epoch: 1}
	}
	seconds := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var t freshness.Tracker
	ginkgo.BeforeEach(func() { t = freshness.Tracker{} })

	ginkgo.It("is that of the latest confirmation, in whatever order they arrive", func() {
		gomega.Expect(t.Complete().At.IsZero()).To(gomega.BeTrue())
		t.Record(confirmation("one", 1, 5), seconds(2), at(5))
		t.Record(confirmation("two", 1, 5), seconds(1), at(5))
		gomega.Expect(t.Complete().At).To(gomega.Equal(seconds(2)))
		gomega.Expect(t.Latest().Origin).To(gomega.Equal(started("one", 1)))
	})

	// Guards against confirmations that never grow old: each instance that passes one on
	// leaves out the time that the message takes.
	ginkgo.It("does not rise with further reports of the same responses", func() {
		t.Record(confirmation("one", 1, 5), seconds(0), at(5))
		t.Record(confirmation("two", 7, 5), seconds(0), at(5))
		for i := range 100 {
			t.Record(confirmation("one", 1, 5), seconds(0.03*float64(i)), at(5))
			t.Record(confirmation("two", 6, 5), seconds(0.04*float64(i)), at(5))
		}
		gomega.Expect(t.Complete().At).To(gomega.Equal(seconds(0)))
		t.Record(confirmation("one", 2, 5), seconds(1), at(5))
		gomega.Expect(t.Complete().At).To(gomega.Equal(seconds(1)))
	})

	ginkgo.It("rises with the first response to an instance that has started again", func() {
		t.Record(confirmation("one", 9, 5), seconds(0), at(5))
		restarted := confirmation("one", 1, 5)
		restarted.Origin = started("one", 2)
		t.Record(restarted, seconds(1), at(5))
		gomega.Expect(t.Complete().At).To(gomega.Equal(seconds(1)))
	})

	// Guards against an instance that takes its table for current because peers are in
	// touch with the store, while their changes do not reach it.
	ginkgo.It("does not rise with confirmations of changes that the copy lacks", func() {
		t.Record(confirmation("one", 1, 5), seconds(0), at(5))
		t.Record(confirmation("one", 2, 6), seconds(1), at(5))
		t.Record(confirmation("one", 3, 6), seconds(2), at(5))
		gomega.Expect(t.Complete().At).To(gomega.Equal(seconds(0)))
		gomega.Expect(t.Latest().At).To(gomega.Equal(seconds(2)))
		t.Advance(at(6))
		gomega.Expect(t.Complete().At).To(gomega.Equal(seconds(1)))
	})

	// Guards against calls to the store by all instances while changes never cease: each
	// confirmation arrives a little before the changes that it speaks of.
	ginkgo.It("rises while each confirmation arrives before its changes", func() {
		for i := range int64(50) {
			now := seconds(0.1 * float64(i))
			t.Record(confirmation("one", i, 10+i), now, at(9+i))
			t.Advance(at(10 + i))
			gomega.Expect(now.Sub(t.Complete().At)).To(gomega.BeNumerically("<=", 100*time.Millisecond))
		}
	})

	ginkgo.It("counts a copy of a restored store as complete from its epoch on only", func() {
		restored := confirmation("one", 1, 3)
		restored.Epoch = 2
		t.Record(restored, seconds(0), at(9))
		gomega.Expect(t.Complete().At.IsZero()).To(gomega.BeTrue())
		t.Advance(restored.Position())
		gomega.Expect(t.Complete().At).To(gomega.Equal(seconds(0)))
	})

	ginkgo.It("remembers the instances of the last minute only", func() {
		for i := range 1000 {
			t.Record(confirmation(fmt.Sprint(i), 1, 5), seconds(float64(i)), at(5))
		}
		gomega.Expect(t.Origins()).To(gomega.BeNumerically("<=", 61))
	})
})
