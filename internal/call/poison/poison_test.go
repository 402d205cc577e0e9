package poison

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var now = time.Unix(1_800_000_000, 0)

var _ = ginkgo.Describe("a crash tracker", func() {
	ginkgo.It("refuses a request after two crashes, at every instance that got the counters", func() {
		a, b := Guard{Instance: "a"}, Guard{Instance: "b"}
		gomega.Expect(a.Admit(now, 1)).To(gomega.BeTrue())
		a.Finish(now, 1, true)
		b.Merge(now, a.CrashCounts(now))
		gomega.Expect(b.Admit(now, 1)).To(gomega.BeTrue())
		gomega.Expect(b.Admit(now, 1)).To(gomega.BeFalse(), "requests that have caused a crash run one at a time")
		b.Finish(now, 1, true)
		gomega.Expect(b.Admit(now, 1)).To(gomega.BeFalse())
		for range 3 {
			a.Merge(now, b.CrashCounts(now))
		}
		gomega.Expect(a.Admit(now, 1)).To(gomega.BeFalse())
		gomega.Expect(a.Admit(now, 2)).To(gomega.BeTrue())
	})

	ginkgo.It("drops counters after the retention period", func() {
		w := Guard{Instance: "a"}
		for range MaxCrashes {
			w.Admit(now, 1)
			w.Finish(now, 1, true)
		}
		gomega.Expect(w.Admit(now, 1)).To(gomega.BeFalse())
		gomega.Expect(w.Admit(now.Add(Retention+time.Second), 1)).To(gomega.BeTrue())
	})

	ginkgo.It("keeps a limited number of fingerprints", func() {
		w := Guard{Instance: "a"}
		for p := range uint64(10 * maxFingerprints) {
			w.Admit(now, p)
			w.Finish(now, p, true)
		}
		gomega.Expect(len(w.CrashCounts(now))).To(gomega.Equal(maxFingerprints))
	})

	ginkgo.It("sends a few counters at a time after many targets have crashed at once, and all of them in rotation", func() {
		w, receiver := Guard{Instance: "a"}, Guard{Instance: "b"}
		for p := range uint64(maxFingerprints) {
			w.Admit(now, p)
			w.Finish(now.Add(time.Duration(p)), p, true)
		}
		for range maxFingerprints / rotatedCounters {
			counters := w.HeartbeatCounts(now)
			gomega.Expect(len(counters)).To(gomega.BeNumerically("<=", topCounters+rotatedCounters))
			receiver.Merge(now, counters)
		}
		gomega.Expect(receiver.CrashCounts(now)).To(gomega.Equal(w.CrashCounts(now)))
	})

	ginkgo.It("sends the counter with the most recent crash in the next heartbeat", func() {
		w := Guard{Instance: "a"}
		for p := range uint64(maxFingerprints) {
			w.Admit(now, p)
			w.Finish(now, p, true)
		}
		w.Admit(now, 1000)
		w.Finish(now.Add(time.Second), 1000, true)
		gomega.Expect(w.HeartbeatCounts(now)).To(gomega.ContainElement(gomega.HaveField("Fingerprint", uint64(1000))))
	})
})
