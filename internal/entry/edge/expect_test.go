package edge

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

var _ = ginkgo.Describe("what the choice of a target is told of a request", func() {
	now := time.Unix(1_800_000_000, 0)

	// Failure guarded against: a second attempt that is chosen as if the caller had not
	// waited for the first.
	ginkgo.It("counts the time since the request was received towards its objective", func() {
		j := &job{
			route:      &lacewingramp.Route{Name: "query", LatencyObjective: lacewingramp.Duration(400 * time.Millisecond)},
			receivedAt: now.Add(-100 * time.Millisecond), deadline: now.Add(time.Second), request: &message.Request{Body: []byte("abc")},
		}
		var q placement.Query
		j.setExpectations(now, &q)
		gomega.Expect(q).To(gomega.Equal(placement.Query{Route: "query", Objective: 300 * time.Millisecond, Remaining: time.Second, Body: 3}))
		j.receivedAt = now.Add(-time.Second)
		j.setExpectations(now, &q)
		gomega.Expect(q.Objective).To(gomega.BeNumerically(">", 0))
		j.route = &lacewingramp.Route{Name: "free"}
		q = placement.Query{}
		j.setExpectations(now, &q)
		gomega.Expect(q.Objective).To(gomega.BeZero())
	})
})
