package heartbeat_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/heartbeat"
)

var start = time.Unix(1_800_000_000, 0)

func endpoint(name string, born int64) lacewingramp.Endpoint {
	return lacewingramp.Endpoint{Name: name, Domain: "d", Peer: "127.0.0.1:1", Caller: "127.0.0.1:2", StartMillis: born}
}

func newHeartbeat(name string, born, revision int64) *lacewingramp.Heartbeat {
	return &lacewingramp.Heartbeat{Endpoint: endpoint(name, born), Ready: true, ReachesStore: true, Revision: revision}
}

func names(all []lacewingramp.Endpoint) []string {
	var n []string
	for _, e := range all {
		n = append(n, e.Name)
	}
	return n
}

var _ = ginkgo.Describe("the list of other instances", func() {
	ginkgo.It("counts an instance as alive by its heartbeats alone, listed or not", func() {
		r := heartbeat.Peers{Self: "one"}
		r.MarkListed(start, endpoint("two", 1))
		gomega.Expect(r.Alive(start)).To(gomega.BeEmpty())
		gomega.Expect(r.FleetSize(start)).To(gomega.Equal(2))
		gomega.Expect(r.Record(start, newHeartbeat("two", 1, 5))).To(gomega.BeTrue())
		gomega.Expect(r.Record(start, newHeartbeat("two", 1, 5))).To(gomega.BeFalse())
		gomega.Expect(names(r.Serving(start))).To(gomega.Equal([]string{"two"}))
		r.MarkUnlisted("two")
		gomega.Expect(r.Sweep(start)).To(gomega.BeEmpty())
		later := start.Add(2 * time.Second)
		gomega.Expect(r.Alive(later)).To(gomega.BeEmpty())
		gomega.Expect(r.Sweep(later)).To(gomega.Equal([]string{"two"}))
		// It may be cut off by the network, or restart at its address.
		gomega.Expect(r.Addresses()).To(gomega.HaveLen(1))
		r.Sweep(start.Add(time.Hour))
		gomega.Expect(r.Addresses()).To(gomega.BeEmpty())
	})

	ginkgo.It("ignores heartbeats from before an instance's restart and its own heartbeats", func() {
		r := heartbeat.Peers{Self: "one"}
		r.Record(start, newHeartbeat("two", 7, 5))
		earlier := newHeartbeat("two", 3, 5)
		earlier.Ready = false
		r.Record(start, earlier)
		r.Record(start, newHeartbeat("one", 1, 5))
		gomega.Expect(names(r.Serving(start))).To(gomega.Equal([]string{"two"}))
	})

	ginkgo.It("does not count a leaving instance as serving", func() {
		r := heartbeat.Peers{Self: "one"}
		h := newHeartbeat("two", 1, 5)
		h.Endpoint.Leaving = true
		r.Record(start, h)
		gomega.Expect(r.Serving(start)).To(gomega.BeEmpty())
	})

	ginkgo.It("limits the heartbeats of a round in a large fleet, rotates through it, and keeps all alive", func() {
		const size = 60
		regions := map[string]string{"a": "north", "b": "south"}
		rolls := make([]*heartbeat.Peers, size)
		byAddress := make(map[string]int)
		endpoints := make([]lacewingramp.Endpoint, size)
		for i := range rolls {
			e := endpoint(fmt.Sprint("edge-", i), 1)
			e.Domain = []string{"a", "b"}[i%2]
			e.Peer = fmt.Sprintf("10.0.0.%d:1", i)
			endpoints[i] = e
			byAddress[e.Peer] = i
			rolls[i] = &heartbeat.Peers{Self: e.Name, Region: regions[e.Domain], Regions: regions}
		}
		for _, r := range rolls {
			for _, e := range endpoints {
				r.MarkListed(start, e)
			}
		}
		now := start
		for round := range 200 {
			now = now.Add(heartbeat.Period)
			for i, r := range rolls {
				own, others := r.NextRound()
				to := append(append([]string(nil), own...), others...)
				gomega.Expect(len(to)).To(gomega.BeNumerically("<=", 12))
				for _, a := range to {
					rolls[byAddress[a]].Record(now, &lacewingramp.Heartbeat{Endpoint: endpoints[i], Ready: true, Revision: 1})
				}
			}
			if round > 40 {
				gomega.Expect(rolls[7].Alive(now)).To(gomega.HaveLen(size - 1))
			}
		}
	})

	ginkgo.It("finds an instance with a higher store revision, after the given time", func() {
		r := heartbeat.Peers{Self: "one"}
		r.Record(start, newHeartbeat("two", 1, 9))
		gomega.Expect(r.AheadOf(start, 8, 100*time.Millisecond)).To(gomega.BeEmpty())
		gomega.Expect(r.AheadOf(start.Add(200*time.Millisecond), 8, 100*time.Millisecond)).NotTo(gomega.BeEmpty())
		gomega.Expect(r.AheadOf(start.Add(200*time.Millisecond), 9, 100*time.Millisecond)).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("a socket", func() {
	ginkgo.It("delivers datagrams to another instance and reports invalid ones", func() {
		one, err := heartbeat.Listen("127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		two, err := heartbeat.Listen("127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		got := make(chan *lacewingramp.Datagram, 4)
		bad := make(chan error, 4)
		go two.Receive(func(d *lacewingramp.Datagram, from string) {
			gomega.Expect(from).To(gomega.Equal(one.Address()))
			got <- d
		}, func(err error) { bad <- err })
		h := newHeartbeat("one", 1, 5)
		h.Demand = lacewingramp.Demand{NamesChecksum: 7, EncodedRates: []byte{1, 0x40, 0x20}}
		to := []string{two.Address(), "no address"}
		for _, d := range []*lacewingramp.Datagram{
			{Heartbeat: h}, {TokenRequest: &lacewingramp.TokenRequest{ID: 7, Customer: "andes"}}, {TokenReply: &lacewingramp.TokenReply{ID: 7, Granted: true}},
		} {
			gomega.Expect(one.Send(d, to)).To(gomega.Succeed())
			gomega.Eventually(got).Should(gomega.Receive(gomega.Equal(d)))
		}
		for _, d := range []*lacewingramp.Datagram{{}, {Heartbeat: &lacewingramp.Heartbeat{}}, {TokenRequest: &lacewingramp.TokenRequest{}}} {
			gomega.Expect(one.Send(d, to)).To(gomega.Succeed())
			gomega.Eventually(bad).Should(gomega.Receive())
		}
		_ = one.Close()
		_ = two.Close()
	})
})
