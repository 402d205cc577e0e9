package edge_test

import (
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Guards against requests to a target that has refused one and said for how long it wants
// none (the users' rule BUDGET).
var _ = ginkgo.Describe("a target that refuses requests and asks for a pause", func() {
	const longPause, shortPause = "60", "0.2"
	var d *deployment
	ginkgo.BeforeEach(func() {
		d = newDeployment(4)
		d.store.put("table/now", testTable(1))
		gomega.Eventually(d.start(d.store).Ready, 5*time.Second).Should(gomega.BeTrue())
	})
	serveAll := func() {
		for i := range 40 {
			gomega.Expect(d.request(0, "/read/1", "andes-key", fmt.Sprint(i)).status).To(gomega.Equal(http.StatusOK))
			gomega.Expect(d.request(0, "/order/1", "andes-key", fmt.Sprint(i)).status).To(gomega.Equal(http.StatusOK))
		}
	}

	ginkgo.It("gets one of all requests, and the others serve them", func() {
		d.targets[0].pause.Store(longPause)
		d.targets[0].mode.Store(modeShed)
		serveAll()
		serveAll()
		gomega.Expect(d.targets[0].refusals.Load()).To(gomega.Equal(int32(1)))
	})

	ginkgo.It("gets requests again when the pause is over", func() {
		d.targets[0].pause.Store(shortPause)
		d.targets[0].mode.Store(modeShed)
		serveAll()
		d.targets[0].mode.Store(modeWell)
		gomega.Eventually(func() int32 {
			serveAll()
			return d.targets[0].runs.Load()
		}, 10*time.Second).Should(gomega.BeNumerically(">", 1))
	})

	ginkgo.It("makes requests be refused at once if all do, with a time to come back", func() {
		for _, t := range d.targets {
			t.pause.Store(longPause)
			t.mode.Store(modeShed)
		}
		refusals := func() (n int32) {
			for _, t := range d.targets {
				n += t.refusals.Load()
			}
			return n
		}
		gomega.Eventually(func() int32 {
			gomega.Expect(d.request(0, "/order/1", "andes-key", fmt.Sprint(refusals())).status).To(gomega.Equal(http.StatusServiceUnavailable))
			return refusals()
		}, 5*time.Second).Should(gomega.Equal(int32(len(d.targets))))
		r := d.request(0, "/order/1", "andes-key", "1")
		gomega.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		after, err := time.ParseDuration(r.retryAfter)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(after).To(gomega.BeNumerically(">", 30*time.Second))
		gomega.Expect(refusals()).To(gomega.Equal(int32(len(d.targets))))
	})
})
