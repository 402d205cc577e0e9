package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

var _ = ginkgo.Describe("a rollout of a version whose callers give up half of their requests", func() {
	// Guards against attempts that end without a response and are no evidence on the version.
	ginkgo.It("is rolled back", func(ctx context.Context) {
		d := newDeployment(4)
		d.store.put("table/now", testTable(1))
		e := d.start(d.store)
		gomega.Eventually(e.Ready, 5*time.Second).Should(gomega.BeTrue())
		for i, t := range d.targets {
			t.delay.Store(int64(25 * time.Millisecond))
			if i >= 2 {
				t.mode.Store(modeHalfSilence)
				event, err := codec{}.Decode(lacewingramp.Change{KeyValue: d.store.keyValue("target/" + t.name)})
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				event.TargetRegistration.Version = "v2"
				d.store.put("target/"+t.name, *event.TargetRegistration)
			}
		}
		d.store.put("order/s", lacewingramp.RolloutOrder{Service: "s", Version: "v2", MaxDuration: 20 * time.Second})
		state := func() string { return string(d.store.keyValue("result/s").Value) }
		gomega.Eventually(state, 5*time.Second).Should(gomega.ContainSubstring(lacewingramp.StatusRunning))
		gomega.Eventually(func() string {
			var callers sync.WaitGroup
			for i := range concurrentCallers {
				callers.Go(func() { d.impatientRequest(ctx, fmt.Sprint(i%3)) })
			}
			callers.Wait()
			return state()
		}, 25*time.Second, time.Millisecond).Should(gomega.ContainSubstring(lacewingramp.StatusRolledBack))
	})
})

// concurrentCallers is the number of requests at one time.
const concurrentCallers = 12

// patience is how long impatientRequest waits for a response.
const patience = 200 * time.Millisecond

// impatientRequest sends a request for an object and gives up after patience.
func (d *deployment) impatientRequest(ctx context.Context, object string) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.callerAddresses[0]+"/read/"+object, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	req.Host = "h"
	req.Header.Set("Id", fmt.Sprint("impatient", requestCount.Add(1)))
	req.Header.Set("Key", "andes-key")
	req.Header.Set("Object", object)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
