package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

// startResetting starts a target that is over its limit of connections: it accepts each and resets
// it without reading from it, a little later than a request arrives.
func startResetting() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			time.AfterFunc(10*time.Millisecond, func() {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			})
		}
	}()
	return l.Addr().String()
}

// loadAwareTable returns a testTable whose services are load-aware.
func loadAwareTable() *lacewingramp.Table {
	t := testTable(1)
	t.Services[0].HealthCheckPath = "/health"
	t.Routes = append(t.Routes, lacewingramp.Route{
		Name: "upload", Host: "h", Prefix: "/upload/", Service: "s", AttemptLimit: 2, Upload: true, Deadline: lacewingramp.Duration(5 * time.Second),
	})
	return t
}

// Guards against 502 for requests that no target has begun.
var _ = ginkgo.Describe("a request to a load-aware service that no target has begun", func() {
	start := func(d *deployment) {
		d.store.put("table/now", loadAwareTable())
		gomega.Eventually(d.start(d.store).Ready, 5*time.Second).Should(gomega.BeTrue())
	}

	ginkgo.It("is refused if the targets reset its connections", func() {
		d := newDeployment(0)
		for i := range 3 {
			d.store.put(fmt.Sprint("target/t", i), d.registration(i, startResetting()))
		}
		start(d)
		gomega.Expect(d.request(0, "/order/1", "andes-key", "1").status).To(gomega.Equal(http.StatusServiceUnavailable))
	})

	ginkgo.It("is refused if a target sheds it after another has reset its connections, also if it is idempotent", func() {
		d := newDeployment(1)
		d.targets[0].mode.Store(modeShed)
		d.store.put("target/t1", d.registration(1, startResetting()))
		start(d)
		statuses := make(map[int]int)
		for _, path := range []string{"/order/1", "/read/1"} {
			for i := range 12 {
				statuses[d.request(0, path, "andes-key", fmt.Sprint(i)).status]++
			}
		}
		gomega.Expect(d.targets[0].refusals.Load()).To(gomega.BeNumerically(">", 0))
		gomega.Expect(statuses).To(gomega.HaveLen(1))
		gomega.Expect(statuses).To(gomega.HaveKey(http.StatusServiceUnavailable))
	})
})
