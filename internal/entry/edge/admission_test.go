package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a load-aware service whose targets are full", func() {
	const work = 150 * time.Millisecond
	var d *deployment
	ginkgo.BeforeEach(func() {
		d = newDeployment(1)
		d.targets[0].delay.Store(int64(work))
		table := loadAwareTable()
		// The targets of these tests would take as long for a health check as for a request.
		table.Services[0].HealthCheckPath = ""
		d.store.put("table/now", table)
		gomega.Eventually(d.start(d.store).Ready, 5*time.Second).Should(gomega.BeTrue())
	})
	// send sends concurrent requests and returns how many had each status.
	send := func(n int) map[int]int {
		var mu sync.Mutex
		var callers sync.WaitGroup
		statuses := make(map[int]int)
		for i := range n {
			callers.Go(func() {
				r := d.request(0, "/order/1", "andes-key", fmt.Sprint(i))
				mu.Lock()
				defer mu.Unlock()
				statuses[r.status]++
			})
		}
		callers.Wait()
		return statuses
	}

	// Guards against requests that are refused although a slot is free a little later, in time.
	ginkgo.It("lets requests wait for room", func() {
		gomega.Expect(send(1)).To(gomega.Equal(map[int]int{http.StatusOK: 1}))
		gomega.Expect(send(16)).To(gomega.Equal(map[int]int{http.StatusOK: 16}))
	})

	// Guards against callers that wait for their deadline, and against 504 for requests that were
	// never sent.
	ginkgo.It("refuses those for which there will be no room in time", func() {
		d.targets[0].delay.Store(int64(2 * time.Second))
		statuses := send(60)
		gomega.Expect(statuses[http.StatusServiceUnavailable]).To(gomega.BeNumerically(">", 30))
		gomega.Expect(statuses[http.StatusOK]).To(gomega.BeNumerically(">", 3))
		gomega.Expect(statuses).To(gomega.HaveLen(2))
	})

	// Guards against room that is given to callers that have left.
	ginkgo.It("forgets a caller that leaves", func() {
		d.targets[0].delay.Store(int64(time.Second))
		ctx, leave := context.WithCancel(context.Background())
		var callers sync.WaitGroup
		for i := range 24 {
			callers.Go(func() {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.callerAddresses[0]+"/order/1", nil)
				if err != nil {
					return
				}
				req.Host = "h"
				req.Header.Set("Id", fmt.Sprint("left-", i))
				req.Header.Set("Key", "andes-key")
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			})
		}
		gomega.Eventually(d.targets[0].runs.Load).Should(gomega.BeNumerically(">=", 4))
		time.Sleep(50 * time.Millisecond)
		running := d.targets[0].runs.Load()
		leave()
		callers.Wait()
		time.Sleep(100 * time.Millisecond)
		gomega.Expect(d.targets[0].runs.Load()).To(gomega.Equal(running))
		d.targets[0].delay.Store(0)
		gomega.Eventually(func() int { return send(1)[http.StatusOK] }, 3*time.Second).Should(gomega.Equal(1))
	})
})
