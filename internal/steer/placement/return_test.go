package placement_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// Guards against callers of a full region that stay away for longer than it is full: they are what
// still arrives there when others have stopped.
var _ = ginkgo.Describe("a request that finds all targets full", func() {
	ginkgo.It("is told when one of them is expected to end a request", func() {
		const slots, waiting = 3, 3
		const took = 600 * time.Millisecond
		p := newPlacer("one", 2, slots)
		for i := range 2 {
			name := fmt.Sprintf("t%d", i)
			p.Done(start, placement.Report{Target: name, Ran: true, Took: took, TargetLoad: &lacewingramp.TargetLoad{Running: slots, Waiting: waiting, Slots: slots}})
		}
		c := p.Choose(start, query("17"))
		gomega.Expect(c.Target).To(gomega.BeNil())
		gomega.Expect(c.Full).To(gomega.BeTrue())
		gomega.Expect(c.RoomIn).To(gomega.BeNumerically("~", took/(2*(slots+waiting)), time.Millisecond))
	})

	ginkgo.It("returns earlier than that, spread and within bounds", func() {
		const roomIn = time.Second
		gomega.Expect(placement.ReturnAfter(roomIn, 0)).To(gomega.Equal(roomIn / 20))
		gomega.Expect(placement.ReturnAfter(roomIn, 1)).To(gomega.Equal(3 * roomIn / 20))
		gomega.Expect(placement.ReturnAfter(time.Microsecond, 0)).To(gomega.BeNumerically(">=", 20*time.Millisecond))
		gomega.Expect(placement.ReturnAfter(time.Minute, 0.5)).To(gomega.BeNumerically("<=", 500*time.Millisecond))
	})

	ginkgo.It("returns after some tenths of a second if that is not known", func() {
		gomega.Expect(placement.ReturnAfter(0, 0)).To(gomega.Equal(150 * time.Millisecond))
		gomega.Expect(placement.ReturnAfter(0, 1)).To(gomega.Equal(500 * time.Millisecond))
	})
})
