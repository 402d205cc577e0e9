package rollout

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

// Guards against a good version that is rolled back as its targets, like any that have just
// started, are slow for some seconds. The users' bench, kavach-harness-grown, seeds 1 and 2.
var _ = ginkgo.DescribeTable("a response that takes twice the usual time", func(age time.Duration, want speed) {
	const usualTime = 100 * time.Millisecond
	var l latencies
	now := start
	for range minSamples + 1 {
		l.compare(&lacewingramp.AttemptResult{Target: "old", Object: "o", EndedAt: now, Took: usualTime}, true)
	}
	a := lacewingramp.AttemptResult{Target: "new", Object: "o", StartMillis: now.Add(-2*usualTime - age).UnixMilli(), EndedAt: now, Took: usualTime}
	l.compare(&a, false)
	a.Took = 2 * usualTime
	gomega.Expect(l.compare(&a, false)).To(gomega.Equal(want))
},
	ginkgo.Entry("is slow", startupTime, slow),
	ginkgo.Entry("tells nothing if its target has just started", startupTime-time.Millisecond, unknownSpeed),
)
