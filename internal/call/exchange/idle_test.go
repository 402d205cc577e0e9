package exchange

import (
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// The load of a large fleet: one instance meets a target every few seconds.
var _ = ginkgo.DescribeTable("a connection is kept for the next request",
	func(told string, want time.Duration) {
		h := http.Header{}
		if told != "" {
			h.Set("Keep-Alive", told)
		}
		gomega.Expect(idleTime(h)).To(gomega.Equal(want))
	},
	ginkgo.Entry("nearly as long as its target says", "timeout=10", 9*time.Second),
	ginkgo.Entry("not for minutes", "max=5, timeout=300", 9*time.Second),
	ginkgo.Entry("not at all where the target soon closes it", "timeout=1", time.Duration(0)),
	ginkgo.Entry("for a short while where the target says nothing", "", 4*time.Second),
)
