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
	return lacewingramp.Endpoint{Name: name, Domain: "d", Peer: "127.0.0.1:1", Caller: "127.0.0.1:2", Born: born}
}

func beat(name string, born, revision int64) *lacewingramp.Heartbeat {
	return &lacewingramp.Heartbeat{Endpoint: endpoint(name, born), Ready: true, Direct: true, Revision: revision}
}

func names(all []lacewingramp.Endpoint) []string {
	var n []string
	for _, e := range all {
		n = append(n, e.Name)
	}
	return n
}

var _ = ginkgo.Describe("the roll of instances", func() {
	ginkgo.It("counts an instance as alive by its heartbeats alone", func() {
		r := heartbeat.Roll{Self: "one"}
		r.List(start, endpoint("two", 1))
		gomega.Expect(r.Alive(start)).To(gomega.BeEmpty())
		gomega.Expect(r.Count(start)).To(gomega.Equal(2))
		gomega.Expect(r.Hear(start, beat("two", 1, 5))).To(gomega.BeTrue())
		gomega.Expect(r.Hear(start, beat("two", 1, 5))).To(gomega.BeFalse())
		gomega.Expect(names(r.Serving(start))).To(gomega.Equal([]string{"two"}))
		r.Unlist("two")
		gomega.Expect(r.Sweep(start)).To(gomega.BeEmpty())
		later := start.Add(2 * time.Second)
		gomega.Expect(r.Alive(later)).To(gomega.BeEmpty())
		gomega.Expect(r.Sweep(later)).To(gomega.Equal([]string{"two"}))
		// It may be cut off, or start again at its address.
		gomega.Expect(r.Addresses()).To(gomega.HaveLen(1))
		r.Sweep(start.Add(time.Hour))
		gomega.Expect(r.Addresses()).To(gomega.BeEmpty())
	})

	ginkgo.It("passes over an earlier life of an instance and its own heartbeat", func() {
		r := heartbeat.Roll{Self: "one"}
		r.Hear(start, beat("two", 7, 5))
		late := beat("two", 3, 5)
		late.Ready = false
		r.Hear(start, late)
		r.Hear(start, beat("one", 1, 5))
		gomega.Expect(names(r.Serving(start))).To(gomega.Equal([]string{"two"}))
	})

	ginkgo.It("names no instance that is leaving for callers", func() {
		r := heartbeat.Roll{Self: "one"}
		h := beat("two", 1, 5)
		h.Endpoint.Leaving = true
		r.Hear(start, h)
		gomega.Expect(r.Serving(start)).To(gomega.BeEmpty())
	})

	ginkgo.It("sends to few at a time in a large fleet, to each by turns, and takes none for dead meanwhile", func() {
		const size = 60
		regions := map[string]string{"a": "north", "b": "south"}
		rolls := make([]*heartbeat.Roll, size)
		byAddress := make(map[string]int)
		ends := make([]lacewingramp.Endpoint, size)
		for i := range rolls {
			e := endpoint(fmt.Sprint("edge-", i), 1)
			e.Domain = []string{"a", "b"}[i%2]
			e.Peer = fmt.Sprintf("10.0.0.%d:1", i)
			ends[i] = e
			byAddress[e.Peer] = i
			rolls[i] = &heartbeat.Roll{Self: e.Name, Region: regions[e.Domain], Regions: regions}
		}
		for _, r := range rolls {
			for _, e := range ends {
				r.List(start, e)
			}
		}
		now := start
		for round := range 200 {
			now = now.Add(heartbeat.Period)
			for i, r := range rolls {
				own, others := r.Turn()
				to := append(append([]string(nil), own...), others...)
				gomega.Expect(len(to)).To(gomega.BeNumerically("<=", 12))
				for _, a := range to {
					rolls[byAddress[a]].Hear(now, &lacewingramp.Heartbeat{Endpoint: ends[i], Ready: true, Revision: 1})
				}
			}
			if round > 40 {
				gomega.Expect(rolls[7].Alive(now)).To(gomega.HaveLen(size - 1))
			}
		}
	})

	ginkgo.It("finds one that has known more of the store for a while", func() {
		r := heartbeat.Roll{Self: "one"}
		r.Hear(start, beat("two", 1, 9))
		gomega.Expect(r.Ahead(start, 8, 100*time.Millisecond)).To(gomega.BeEmpty())
		gomega.Expect(r.Ahead(start.Add(200*time.Millisecond), 8, 100*time.Millisecond)).NotTo(gomega.BeEmpty())
		gomega.Expect(r.Ahead(start.Add(200*time.Millisecond), 9, 100*time.Millisecond)).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("a heartbeat", func() {
	ginkgo.It("reaches another instance, and bytes that are none are passed over", func() {
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
		h := beat("one", 1, 5)
		h.Demand = lacewingramp.Demand{Names: 7, Rows: []byte{1, 0x40, 0x20}}
		to := []string{two.Address(), "no address"}
		for _, d := range []*lacewingramp.Datagram{
			{Heartbeat: h}, {Draw: &lacewingramp.Draw{ID: 7, Customer: "andes"}}, {Drawn: &lacewingramp.Drawn{ID: 7, OK: true}},
		} {
			gomega.Expect(one.Send(d, to)).To(gomega.Succeed())
			gomega.Eventually(got).Should(gomega.Receive(gomega.Equal(d)))
		}
		for _, d := range []*lacewingramp.Datagram{{}, {Heartbeat: &lacewingramp.Heartbeat{}}, {Draw: &lacewingramp.Draw{}}} {
			gomega.Expect(one.Send(d, to)).To(gomega.Succeed())
			gomega.Eventually(bad).Should(gomega.Receive())
		}
		_ = one.Close()
		_ = two.Close()
	})
})
