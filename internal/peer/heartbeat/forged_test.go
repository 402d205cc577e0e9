package heartbeat_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/heartbeat"
)

// Guards against a process that keeps what anybody says in heartbeats.
var _ = ginkgo.Describe("heartbeats of instances that don't exist", func() {
	endpoint := func(name string) lacewingramp.Endpoint {
		return lacewingramp.Endpoint{Name: name, Domain: "a", Peer: "127.0.0.1:9"}
	}

	ginkgo.It("make no more instances known than a deployment has, and keep out none that the store lists", func() {
		const forged, most = 20_000, 4096
		now := time.Unix(1_800_000_000, 0)
		p := heartbeat.Peers{Self: "self", Regions: map[string]string{"a": "north"}}
		for n := range forged {
			p.Record(now, &lacewingramp.Heartbeat{Ready: true, Endpoint: endpoint(fmt.Sprint("forged-", n))})
		}
		p.MarkRegistered(now, endpoint("real"))
		p.Record(now, &lacewingramp.Heartbeat{Ready: true, Endpoint: endpoint("real")})
		gomega.Expect(len(p.Serving(now, false))).To(gomega.BeNumerically("<=", most+1))
		gomega.Expect(lacewingramp.EndpointNames(p.Serving(now, false))).To(gomega.ContainElement("real"))
	})

	ginkgo.It("are ignored if their texts are longer than any of ours", func() {
		h := &lacewingramp.Heartbeat{Endpoint: endpoint(strings.Repeat("x", 40_000))}
		err := h.Check()
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(len(err.Error())).To(gomega.BeNumerically("<", 500))
	})
})
