package exchange

import (
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// In a large fleet one instance sends to a given target only every few seconds.
// Connections that are closed sooner are never reused.
var _ = ginkgo.DescribeTable("an idle connection is kept",
	func(keepAlive string, want time.Duration) {
		h := http.Header{}
		if keepAlive != "" {
			h.Set("Keep-Alive", keepAlive)
		}
		gomega.Expect(maxIdleTime(h)).To(gomega.Equal(want))
	},
	ginkgo.Entry("for slightly less than the advertised timeout", "timeout=10", 9*time.Second),
	ginkgo.Entry("for a limited time if the advertised timeout is long", "max=5, timeout=300", 9*time.Second),
	ginkgo.Entry("for no time if the advertised timeout is short", "timeout=1", time.Duration(0)),
	ginkgo.Entry("for a default time if no timeout is advertised", "", 4*time.Second),
)
