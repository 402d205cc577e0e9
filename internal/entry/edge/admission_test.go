package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
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
	ginkgo.It("forgets a caller that leaves while it waits", func() {
		const running, later = 4, 20
		d.targets[0].delay.Store(int64(time.Second))
		var stay, leaving sync.WaitGroup
		stay.Go(func() { send(running) })
		gomega.Eventually(d.targets[0].runs.Load).Should(gomega.Equal(int32(running)))
		ctx, leave := context.WithCancel(context.Background())
		var answered atomic.Int32
		for i := range later {
			leaving.Go(func() {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.callerAddresses[0]+"/order/1", nil)
				if err != nil {
					return
				}
				req.Host = "h"
				req.Header.Set("Id", fmt.Sprint("left-", i))
				req.Header.Set("Key", "andes-key")
				if resp, err := http.DefaultClient.Do(req); err == nil {
					answered.Add(1)
					_ = resp.Body.Close()
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		gomega.Expect(d.targets[0].runs.Load()).To(gomega.Equal(int32(running)))
		leave()
		leaving.Wait()
		gomega.Expect(answered.Load()).To(gomega.BeNumerically("<", later))
		stay.Wait()
		gomega.Consistently(d.targets[0].runs.Load, 300*time.Millisecond).Should(gomega.Equal(int32(running)))
	})
})
