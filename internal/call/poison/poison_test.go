package poison

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var now = time.Unix(1_800_000_000, 0)

var _ = ginkgo.Describe("a ward", func() {
	ginkgo.It("refuses a request after two deaths, at every instance that has heard", func() {
		a, b := Ward{Instance: "a"}, Ward{Instance: "b"}
		gomega.Expect(a.Enter(now, 1)).To(gomega.BeTrue())
		a.Leave(now, 1, true)
		b.Merge(now, a.Marks(now))
		gomega.Expect(b.Enter(now, 1)).To(gomega.BeTrue())
		gomega.Expect(b.Enter(now, 1)).To(gomega.BeFalse(), "a suspect runs alone")
		b.Leave(now, 1, true)
		gomega.Expect(b.Enter(now, 1)).To(gomega.BeFalse())
		for range 3 {
			a.Merge(now, b.Marks(now))
		}
		gomega.Expect(a.Enter(now, 1)).To(gomega.BeFalse())
		gomega.Expect(a.Enter(now, 2)).To(gomega.BeTrue())
	})

	ginkgo.It("forgets after a time", func() {
		w := Ward{Instance: "a"}
		for range Most {
			w.Enter(now, 1)
			w.Leave(now, 1, true)
		}
		gomega.Expect(w.Enter(now, 1)).To(gomega.BeFalse())
		gomega.Expect(w.Enter(now.Add(Time+time.Second), 1)).To(gomega.BeTrue())
	})

	ginkgo.It("remembers a bounded number of requests", func() {
		w := Ward{Instance: "a"}
		for p := range uint64(10 * marksMost) {
			w.Enter(now, p)
			w.Leave(now, p, true)
		}
		gomega.Expect(len(w.Marks(now))).To(gomega.Equal(marksMost))
	})

	ginkgo.It("tells a few marks at a time after many targets have died at once, and all of them by turns", func() {
		w, fresh := Ward{Instance: "a"}, Ward{Instance: "b"}
		for p := range uint64(marksMost) {
			w.Enter(now, p)
			w.Leave(now.Add(time.Duration(p)), p, true)
		}
		for range marksMost / turnMost {
			told := w.Told(now)
			gomega.Expect(len(told)).To(gomega.BeNumerically("<=", newsMost+turnMost))
			fresh.Merge(now, told)
		}
		gomega.Expect(fresh.Marks(now)).To(gomega.Equal(w.Marks(now)))
	})

	ginkgo.It("tells the mark of a request that crashes one target after another in the next round", func() {
		w := Ward{Instance: "a"}
		for p := range uint64(marksMost) {
			w.Enter(now, p)
			w.Leave(now, p, true)
		}
		w.Enter(now, 1000)
		w.Leave(now.Add(time.Second), 1000, true)
		gomega.Expect(w.Told(now)).To(gomega.ContainElement(gomega.HaveField("Print", uint64(1000))))
	})
})
