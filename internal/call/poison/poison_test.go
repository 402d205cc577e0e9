package poison

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var now = time.Unix(1_800_000_000, 0)

var _ = ginkgo.Describe("a crash tracker", func() {
	ginkgo.It("refuses a request after two crashes, at every instance that got the counters", func() {
		a, b := Ward{Instance: "a"}, Ward{Instance: "b"}
		gomega.Expect(a.Enter(now, 1)).To(gomega.BeTrue())
		a.Leave(now, 1, true)
		b.Merge(now, a.Marks(now))
		gomega.Expect(b.Enter(now, 1)).To(gomega.BeTrue())
		gomega.Expect(b.Enter(now, 1)).To(gomega.BeFalse(), "requests that have caused a crash run one at a time")
		b.Leave(now, 1, true)
		gomega.Expect(b.Enter(now, 1)).To(gomega.BeFalse())
		for range 3 {
			a.Merge(now, b.Marks(now))
		}
		gomega.Expect(a.Enter(now, 1)).To(gomega.BeFalse())
		gomega.Expect(a.Enter(now, 2)).To(gomega.BeTrue())
	})

	ginkgo.It("drops counters after the retention period", func() {
		w := Ward{Instance: "a"}
		for range MaxCrashes {
			w.Enter(now, 1)
			w.Leave(now, 1, true)
		}
		gomega.Expect(w.Enter(now, 1)).To(gomega.BeFalse())
		gomega.Expect(w.Enter(now.Add(Retention+time.Second), 1)).To(gomega.BeTrue())
	})

	ginkgo.It("keeps a limited number of fingerprints", func() {
		w := Ward{Instance: "a"}
		for p := range uint64(10 * maxFingerprints) {
			w.Enter(now, p)
			w.Leave(now, p, true)
		}
		gomega.Expect(len(w.Marks(now))).To(gomega.Equal(maxFingerprints))
	})

	ginkgo.It("sends a few counters at a time after many targets have crashed at once, and all of them in rotation", func() {
		w, receiver := Ward{Instance: "a"}, Ward{Instance: "b"}
		for p := range uint64(maxFingerprints) {
			w.Enter(now, p)
			w.Leave(now.Add(time.Duration(p)), p, true)
		}
		for range maxFingerprints / rotatedCounters {
			counters := w.Told(now)
			gomega.Expect(len(counters)).To(gomega.BeNumerically("<=", topCounters+rotatedCounters))
			receiver.Merge(now, counters)
		}
		gomega.Expect(receiver.Marks(now)).To(gomega.Equal(w.Marks(now)))
	})

	ginkgo.It("sends the counter with the most recent crash in the next heartbeat", func() {
		w := Ward{Instance: "a"}
		for p := range uint64(maxFingerprints) {
			w.Enter(now, p)
			w.Leave(now, p, true)
		}
		w.Enter(now, 1000)
		w.Leave(now.Add(time.Second), 1000, true)
		gomega.Expect(w.Told(now)).To(gomega.ContainElement(gomega.HaveField("Print", uint64(1000))))
	})
})
