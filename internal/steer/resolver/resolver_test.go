package resolver

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

var startTime = time.Unix(1_800_000_000, 0)

func newTable() *lacewingramp.Table {
	return &lacewingramp.Table{
		Domains: []lacewingramp.Domain{
			{Name: "uy1", Region: "uy"}, {Name: "uy2", Region: "uy"}, {Name: "cu1", Region: "cu"}, {Name: "cl1", Region: "cl"},
		},
		Links: []lacewingramp.Link{
			{Region: "uy", OtherRegion: "cu", Latency: lacewingramp.Duration(20 * time.Millisecond)},
			{Region: "uy", OtherRegion: "cl", Latency: lacewingramp.Duration(35 * time.Millisecond)},
		},
		Blocks: []lacewingramp.CallerBlock{{Name: "10.0.0.0/8", Domain: "cl1"}, {Name: "10.1.0.0/16", Domain: "cu1"}},
	}
}

func newResolver() *Resolver {
	r := NewResolver("uy1")
	r.Configure(newTable())
	var all []lacewingramp.Endpoint
	for _, d := range r.domains {
		for i := range 2 {
			all = append(all, lacewingramp.Endpoint{Name: fmt.Sprintf("%s-%d", d.Name, i), Domain: d.Name})
		}
	}
	r.SetInstances(all)
	return r
}

func countByFirstDomain(r *Resolver, service string) map[string]int {
	count := make(map[string]int)
	for i := range 1000 {
		a := r.Answer(Query{Service: service, Domain: "uy1", Customer: "andes", Caller: fmt.Sprint(i)})
		count[a.Instances()[0].Domain]++
	}
	return count
}

func firstInstance(r *Resolver, caller int) string {
	a := r.Answer(Query{Service: "s", Domain: "uy1", Caller: fmt.Sprint(caller)})
	return a.Instances()[0].Name
}

func newLoads(used int) []Load {
	return []Load{{Domain: "uy1", Service: "s", Slots: 10, Used: used}}
}

var _ = ginkgo.Describe("a lookup", func() {
	ginkgo.It("determines the caller's domain from its address block, its stated domain or the instance's domain", func() {
		r := newResolver()
		for address, want := range map[string]string{"10.1.2.3": "cu1", "10.2.0.1": "cl1", "192.0.2.1": "uy1"} {
			gomega.Expect(r.Answer(Query{Service: "s", Address: netip.MustParseAddr(address)}).CallerDomain).To(gomega.Equal(want))
		}
		gomega.Expect(r.Answer(Query{Domain: "cl1", Address: netip.MustParseAddr("10.1.2.3")}).CallerDomain).To(gomega.Equal("cl1"))
	})

	ginkgo.It("returns the nearest instances and no leaving ones", func() {
		r := newResolver()
		a := r.Answer(Query{Service: "s", Domain: "uy1"})
		gomega.Expect(a.Instances()).To(gomega.HaveLen(maxInstances))
		gomega.Expect(a.Instances()[0].Domain).To(gomega.Equal("uy1"))
		gomega.Expect(a.Instances()[2].Domain).To(gomega.Equal("uy2"))
		gomega.Expect(r.DomainsByDistance("uy1")).To(gomega.Equal([]string{"uy1", "uy2", "cu1", "cl1"}))
		r.SetInstances([]lacewingramp.Endpoint{{Name: "a", Domain: "uy1", Leaving: true}, {Name: "b", Domain: "cu1"}})
		a = r.Answer(Query{Service: "s", Domain: "uy1"})
		gomega.Expect(a.Instances()).To(gomega.HaveLen(1))
		gomega.Expect(a.Instances()[0].Name).To(gomega.Equal("b"))
	})

	ginkgo.It("directs callers away from an overloaded domain by bounded steps, and back more slowly", func() {
		r := newResolver()
		r.Observe(startTime, newLoads(10))
		r.Observe(startTime.Add(Lifetime), newLoads(100))
		reduced := r.LocalFraction("uy1", "s")
		gomega.Expect(reduced).To(gomega.BeNumerically("~", 1-maxDecrease, 1e-9))
		gomega.Expect(countByFirstDomain(r, "s")["uy1"]).To(gomega.BeNumerically("~", 750, 50))
		gomega.Expect(countByFirstDomain(r, "other")["uy1"]).To(gomega.Equal(1000))
		r.Observe(startTime.Add(2*Lifetime), newLoads(1))
		gomega.Expect(r.LocalFraction("uy1", "s")).To(gomega.BeNumerically("~", reduced+maxIncrease, 1e-9))
	})

	ginkgo.It("keeps the local fraction while load reports are missing", func() {
		r := newResolver()
		r.Observe(startTime, newLoads(10))
		r.Observe(startTime.Add(Lifetime), newLoads(100))
		reduced := r.LocalFraction("uy1", "s")
		r.Observe(startTime.Add(10*Lifetime), nil)
		gomega.Expect(r.LocalFraction("uy1", "s")).To(gomega.Equal(reduced))
	})

	ginkgo.It("redirects few callers after a small change of the local fraction", func() {
		r := newResolver()
		before := make([]string, 1000)
		for i := range before {
			before[i] = firstInstance(r, i)
		}
		r.Observe(startTime, newLoads(10))
		r.Observe(startTime.Add(Lifetime/5), newLoads(100))
		moved := 0
		for i := range before {
			if firstInstance(r, i) != before[i] {
				moved++
			}
		}
		gomega.Expect(moved).To(gomega.BeNumerically("<=", 80))
	})

	ginkgo.It("does not oscillate when load reports are delayed by an answer lifetime", func() {
		r := newResolver()
		used := 14.0
		var fractions []float64
		for i := range 60 {
			now := startTime.Add(time.Duration(i) * Lifetime)
			r.Observe(now, newLoads(int(used)))
			used = 14 * r.LocalFraction("uy1", "s")
			fractions = append(fractions, r.LocalFraction("uy1", "s"))
		}
		for _, f := range fractions[40:] {
			gomega.Expect(f).To(gomega.BeNumerically("~", fractions[59], 0.11))
		}
	})
})

// BenchmarkLookup checks the memory that the address blocks take at the design
// size, and measures the duration of a lookup. The bounds are 128 MB and 1 µs; only
// the first one is checked.
func BenchmarkLookup(b *testing.B) {
	const blocks = 3_200_000
	before := heapBytes()
	t := newTable()
	t.Blocks = nil
	r := NewResolver("uy1")
	r.Configure(t)
	for i := range blocks {
		a := [4]byte{byte(1 + i>>16), byte(i >> 8), byte(i), 0}
		r.blocks.Insert(netip.PrefixFrom(netip.AddrFrom4(a), 24), int32(i%4))
	}
	used := heapBytes() - before
	if used > 128<<20 {
		b.Errorf("%d blocks take %d MB", blocks, used>>20)
	}
	r.SetInstances([]lacewingramp.Endpoint{{Name: "a", Domain: "uy1"}, {Name: "b", Domain: "uy2"}, {Name: "c", Domain: "cu1"}, {Name: "d", Domain: "cl1"}})
	b.ReportAllocs()
	b.ResetTimer()
	i := 0
	for b.Loop() {
		i += 7919
		a := netip.AddrFrom4([4]byte{byte(1 + (i>>16)%48), byte(i >> 8), byte(i), 9})
		r.Answer(Query{Service: "s", Customer: "andes", Caller: "andes", Address: a})
	}
	b.ReportMetric(float64(used)/blocks, "bytes/block")
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
