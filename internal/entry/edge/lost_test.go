package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Guards against requests that all instances refuse, as one that was cut off from some targets
// took these for crashed by the requests.
var _ = ginkgo.It("an instance that has lost a target does not blame the requests that it had sent there", func() {
	const objects, repeats = 8, 4
	d := newDeployment(2)
	d.store.put("table/now", testTable(1))
	for range 2 {
		gomega.Eventually(d.start(d.store).Ready, 5*time.Second).Should(gomega.BeTrue())
	}
	status := func(instance, object int) int {
		return d.request(instance, fmt.Sprint("/read/", object), "andes-key", fmt.Sprint(object)).status
	}
	for object := range objects {
		gomega.Expect(status(0, object)).To(gomega.Equal(http.StatusOK))
	}
	d.targets[0].delay.Store(int64(300 * time.Millisecond))
	var callers sync.WaitGroup
	for object := range objects {
		for range repeats {
			callers.Go(func() { status(0, object) })
		}
	}
	gomega.Eventually(d.targets[0].runs.Load).Should(gomega.BeNumerically(">=", objects))
	d.dialers[0].lost.Store(&d.addresses[0])
	callers.Wait()
	d.dialers[0].lost.Store(nil)
	for instance := range 2 {
		gomega.Consistently(func() (refused []int) {
			for object := range objects {
				if s := status(instance, object); s != http.StatusOK {
					refused = append(refused, object)
				}
			}
			return refused
		}, time.Second).Should(gomega.BeEmpty())
	}
})
