package poison

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var now = time.Unix(1_800_000_000, 0)

var _ = ginkgo.Describe("a guard", func() {
	ginkgo.It("refuses a request after two crashes, at every instance that got the crash counts", func() {
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

	ginkgo.It("drops crash counts after the retention period", func() {
		g := Guard{Instance: "a"}
		for range MaxCrashes {
			g.Admit(now, 1)
			g.Finish(now, 1, true)
		}
		gomega.Expect(g.Admit(now, 1)).To(gomega.BeFalse())
		gomega.Expect(g.Admit(now.Add(Retention+time.Second), 1)).To(gomega.BeTrue())
	})

	ginkgo.It("keeps a limited number of fingerprints", func() {
		g := Guard{Instance: "a"}
		for fingerprint := range uint64(10 * maxFingerprints) {
			g.Admit(now, fingerprint)
			g.Finish(now, fingerprint, true)
		}
		gomega.Expect(len(g.CrashCounts(now))).To(gomega.Equal(maxFingerprints))
	})

	ginkgo.It("sends a few crash counts at a time after many targets have crashed at once, and all of them in rotation", func() {
		g, receiver := Guard{Instance: "a"}, Guard{Instance: "b"}
		for fingerprint := range uint64(maxFingerprints) {
			g.Admit(now, fingerprint)
			g.Finish(now.Add(time.Duration(fingerprint)), fingerprint, true)
		}
		for range maxFingerprints / rotatedCounts {
			counts := g.HeartbeatCounts(now)
			gomega.Expect(len(counts)).To(gomega.BeNumerically("<=", topCounts+rotatedCounts))
			receiver.Merge(now, counts)
		}
		gomega.Expect(receiver.CrashCounts(now)).To(gomega.Equal(g.CrashCounts(now)))
	})

	ginkgo.It("sends the crash count with the most recent crash in the next heartbeat", func() {
		g := Guard{Instance: "a"}
		for fingerprint := range uint64(maxFingerprints) {
			g.Admit(now, fingerprint)
			g.Finish(now, fingerprint, true)
		}
		g.Admit(now, 1000)
		g.Finish(now.Add(time.Second), 1000, true)
		gomega.Expect(g.HeartbeatCounts(now)).To(gomega.ContainElement(gomega.HaveField("Fingerprint", uint64(1000))))
	})
})
