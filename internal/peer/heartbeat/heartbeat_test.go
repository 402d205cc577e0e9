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

func endpoint(name string, startMillis int64) lacewingramp.Endpoint {
	return lacewingramp.Endpoint{Name: name, Domain: "d", Peer: "127.0.0.1:1", Caller: "127.0.0.1:2", StartMillis: startMillis}
}

func newHeartbeat(name string, startMillis, revision int64) *lacewingramp.Heartbeat {
	return &lacewingramp.Heartbeat{Endpoint: endpoint(name, startMillis), Ready: true, ReachesStore: true, Revision: revision}
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
		p := heartbeat.Peers{Self: "one"}
		p.MarkRegistered(start, endpoint("two", 1))
		gomega.Expect(p.Alive(start)).To(gomega.BeEmpty())
		gomega.Expect(p.FleetSize(start)).To(gomega.Equal(2))
		gomega.Expect(p.Record(start, newHeartbeat("two", 1, 5))).To(gomega.BeTrue())
		gomega.Expect(p.Record(start, newHeartbeat("two", 1, 5))).To(gomega.BeFalse())
		gomega.Expect(names(p.Serving(start, false))).To(gomega.Equal([]string{"two"}))
		p.MarkUnregistered("two")
		gomega.Expect(p.Sweep(start)).To(gomega.BeEmpty())
		later := start.Add(2 * time.Second)
		gomega.Expect(p.Alive(later)).To(gomega.BeEmpty())
		gomega.Expect(p.Sweep(later)).To(gomega.Equal([]string{"two"}))
		// It may be cut off by the network, or restart at its address.
		gomega.Expect(p.Addresses()).To(gomega.HaveLen(1))
		p.Sweep(start.Add(time.Hour))
		gomega.Expect(p.Addresses()).To(gomega.BeEmpty())
	})

	ginkgo.It("ignores heartbeats from before an instance's restart and its own heartbeats", func() {
		p := heartbeat.Peers{Self: "one"}
		p.Record(start, newHeartbeat("two", 7, 5))
		earlier := newHeartbeat("two", 3, 5)
		earlier.Ready = false
		p.Record(start, earlier)
		p.Record(start, newHeartbeat("one", 1, 5))
		gomega.Expect(names(p.Serving(start, false))).To(gomega.Equal([]string{"two"}))
	})

	ginkgo.It("does not count a leaving instance as serving", func() {
		p := heartbeat.Peers{Self: "one"}
		h := newHeartbeat("two", 1, 5)
		h.Endpoint.Leaving = true
		p.Record(start, h)
		gomega.Expect(p.Serving(start, false)).To(gomega.BeEmpty())
	})

	ginkgo.It("limits the heartbeats of a round in a large fleet, rotates through it, and keeps all alive", func() {
		const size = 60
		regions := map[string]string{"a": "north", "b": "south"}
		fleet := make([]*heartbeat.Peers, size)
		byAddress := make(map[string]int)
		endpoints := make([]lacewingramp.Endpoint, size)
		for i := range fleet {
			e := endpoint(fmt.Sprint("edge-", i), 1)
			e.Domain = []string{"a", "b"}[i%2]
			e.Peer = fmt.Sprintf("10.0.0.%d:1", i)
			endpoints[i] = e
			byAddress[e.Peer] = i
			fleet[i] = &heartbeat.Peers{Self: e.Name, Region: regions[e.Domain], Regions: regions}
		}
		for _, p := range fleet {
			for _, e := range endpoints {
				p.MarkRegistered(start, e)
			}
		}
		now := start
		for round := range 200 {
			now = now.Add(heartbeat.Period)
			for i, p := range fleet {
				own, others := p.NextRound()
				to := append(append([]string(nil), own...), others...)
				gomega.Expect(len(to)).To(gomega.BeNumerically("<=", 12))
				for _, a := range to {
					fleet[byAddress[a]].Record(now, &lacewingramp.Heartbeat{Endpoint: endpoints[i], Ready: true, Revision: 1})
				}
			}
			if round > 40 {
				gomega.Expect(fleet[7].Alive(now)).To(gomega.HaveLen(size - 1))
			}
		}
	})

	// Guards against news that reach most instances a second late: after a start of the whole
	// fleet, all instances sent to the same few peers at a time.
	ginkgo.It("is sent heartbeats evenly by instances that have started together", func() {
		const size, maxShare = 60, 3
		received := make(map[string]int)
		sent := 0
		for i := range size {
			p := heartbeat.Peers{Self: fmt.Sprint("edge-", i)}
			for j := range size {
				e := endpoint(fmt.Sprint("edge-", j), 1)
				e.Peer = fmt.Sprintf("10.0.0.%d:1", j)
				p.MarkRegistered(start, e)
			}
			own, others := p.NextRound()
			for _, address := range append(append([]string(nil), own...), others...) {
				received[address]++
				sent++
			}
		}
		for address, count := range received {
			gomega.Expect(count).To(gomega.BeNumerically("<=", maxShare*sent/size), address)
		}
	})

	// Guards against instances that all catch up from the same peer, which can then serve
	// none of them in time.
	ginkgo.It("spreads the instances that are behind over those that are ahead", func() {
		chosen := make(map[string]int)
		for i := range 60 {
			p := heartbeat.Peers{Self: fmt.Sprint("behind-", i)}
			for j := range 10 {
				h := newHeartbeat(fmt.Sprint("ahead-", j), 1, int64(9+j))
				h.Endpoint.Peer = fmt.Sprint("127.0.0.1:", 2+j)
				p.Record(start, h)
			}
			choose := func() string { return p.AheadOf(start, lacewingramp.Position{Revision: 8}, 0) }
			first := choose()
			chosen[first]++
			gomega.Expect([]string{choose(), choose(), choose()}).NotTo(gomega.HaveEach(first))
		}
		for address, count := range chosen {
			gomega.Expect(count).To(gomega.BeNumerically("<", 20), address)
		}
	})

	// Guards against instances that return to the state of before a restoration.
	ginkgo.It("takes an instance that has read the restored store to be ahead, whatever its revision", func() {
		var p heartbeat.Peers
		h := newHeartbeat("a", 1, 3)
		h.Epoch = 2
		p.Record(start, h)
		before, after := lacewingramp.Position{Epoch: 1, Revision: 9}, lacewingramp.Position{Epoch: 2, Revision: 3}
		gomega.Expect(p.AheadOf(start, before, 0)).NotTo(gomega.BeEmpty())
		gomega.Expect(p.AheadOf(start, after, 0)).To(gomega.BeEmpty())
		p.Record(start, newHeartbeat("a", 1, 20))
		gomega.Expect(p.AheadOf(start, after, 0)).To(gomega.BeEmpty())
	})

	ginkgo.It("finds an instance with a higher store revision, after the given time", func() {
		p := heartbeat.Peers{Self: "one"}
		p.Record(start, newHeartbeat("two", 1, 9))
		gomega.Expect(p.AheadOf(start, lacewingramp.Position{Revision: 8}, 100*time.Millisecond)).To(gomega.BeEmpty())
		gomega.Expect(p.AheadOf(start.Add(200*time.Millisecond), lacewingramp.Position{Revision: 8}, 100*time.Millisecond)).NotTo(gomega.BeEmpty())
		gomega.Expect(p.AheadOf(start.Add(200*time.Millisecond), lacewingramp.Position{Revision: 9}, 100*time.Millisecond)).To(gomega.BeEmpty())
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
