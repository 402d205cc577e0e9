package edge_test

import (
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/routing"
	"lacewingramp.example/lacewingramp/internal/limit/pool"
)

// In a large fleet an instance's own share of a limit is close to zero, and a peer
// keeps the customer's pool. Without tokens from it the requests would be refused. The
// test registers 60 instances, runs two of them, edge-0 and edge-1, and sends edge-0
// requests of a customer whose pool edge-1 keeps.
var _ = ginkgo.Describe("a customer of a large fleet", func() {
	ginkgo.It("is served with tokens from a pool that a peer keeps", func() {
		d := newDeployment(3)
		var registered []string
		for i := range 60 {
			name := fmt.Sprint("edge-", i)
			registered = append(registered, name)
			d.store.put(lacewingramp.KeyInstances+name, lacewingramp.Endpoint{
				Name: name, Domain: "a", Peer: "127.0.0.1:1", Caller: "127.0.0.1:1", StartMillis: 1,
			})
		}
		t := testTable(1)
		k := pool.Keeper{}
		k.SetInstances(time.Time{}, registered)
		customer := ""
		for i := 0; k.KeeperOf(customer) != "edge-1"; i++ {
			customer = fmt.Sprint("customer-", i)
			k.Configure(time.Time{}, map[string]lacewingramp.Limit{customer: {Rate: 1}})
		}
		t.Customers = append(t.Customers, lacewingramp.Customer{Name: customer, Rate: 40, Burst: 40})
		t.Keys = append(t.Keys, lacewingramp.AccessKey{Name: "pooled", Customer: customer, Hash: routing.Hash("pooled-key")})
		d.store.put("table/now", t)
		for range 2 {
			gomega.Eventually(d.start(d.store).Ready, 5*time.Second).Should(gomega.BeTrue())
		}
		served := 0
		gomega.Eventually(func() int {
			if d.request(0, "/read/1", "pooled-key", "1").status == http.StatusOK {
				served++
			}
			return served
		}, 10*time.Second).Should(gomega.BeNumerically(">=", 10))
	})
})
