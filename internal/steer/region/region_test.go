package region

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

var begun = time.Unix(1_800_000_000, 0)

func table() *lacewingramp.Table {
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

func guide() *Guide {
	g := NewGuide("uy1")
	g.Configure(table())
	var all []lacewingramp.Endpoint
	for _, d := range g.domains {
		for i := range 2 {
			all = append(all, lacewingramp.Endpoint{Name: fmt.Sprintf("%s-%d", d.Name, i), Domain: d.Name})
		}
	}
	g.Instances(all)
	return g
}

func homes(g *Guide, service string) map[string]int {
	count := make(map[string]int)
	for i := range 1000 {
		a := g.Answer(Query{Service: service, Domain: "uy1", Customer: "andes", Caller: fmt.Sprint(i)})
		count[a.Instances()[0].Domain]++
	}
	return count
}

func first(g *Guide, caller int) string {
	a := g.Answer(Query{Service: "s", Domain: "uy1", Caller: fmt.Sprint(caller)})
	return a.Instances()[0].Name
}

func load(used int) []Load {
	return []Load{{Domain: "uy1", Service: "s", Slots: 10, Used: used}}
}

var _ = ginkgo.Describe("a look-up", func() {
	ginkgo.It("finds a caller's domain by its block, its word, or the instance's own", func() {
		g := guide()
		for address, want := range map[string]string{"10.1.2.3": "cu1", "10.2.0.1": "cl1", "192.0.2.1": "uy1"} {
			gomega.Expect(g.Answer(Query{Service: "s", Address: netip.MustParseAddr(address)}).Home).To(gomega.Equal(want))
		}
		gomega.Expect(g.Answer(Query{Domain: "cl1", Address: netip.MustParseAddr("10.1.2.3")}).Home).To(gomega.Equal("cl1"))
	})

	ginkgo.It("names near instances, and none that leave", func() {
		g := guide()
		a := g.Answer(Query{Service: "s", Domain: "uy1"})
		gomega.Expect(a.Instances()).To(gomega.HaveLen(answerMost))
		gomega.Expect(a.Instances()[0].Domain).To(gomega.Equal("uy1"))
		gomega.Expect(a.Instances()[2].Domain).To(gomega.Equal("uy2"))
		gomega.Expect(g.Near("uy1")).To(gomega.Equal([]string{"uy1", "uy2", "cu1", "cl1"}))
		g.Instances([]lacewingramp.Endpoint{{Name: "a", Domain: "uy1", Leaving: true}, {Name: "b", Domain: "cu1"}})
		a = g.Answer(Query{Service: "s", Domain: "uy1"})
		gomega.Expect(a.Instances()).To(gomega.HaveLen(1))
		gomega.Expect(a.Instances()[0].Name).To(gomega.Equal("b"))
	})

	ginkgo.It("moves callers off a busy domain by bounded steps and back more slowly", func() {
		g := guide()
		g.Observe(begun, load(10))
		g.Observe(begun.Add(Lifetime), load(100))
		down := g.Share("uy1", "s")
		gomega.Expect(down).To(gomega.BeNumerically("~", 1-stepDown, 1e-9))
		gomega.Expect(homes(g, "s")["uy1"]).To(gomega.BeNumerically("~", 750, 50))
		gomega.Expect(homes(g, "other")["uy1"]).To(gomega.Equal(1000))
		g.Observe(begun.Add(2*Lifetime), load(1))
		gomega.Expect(g.Share("uy1", "s")).To(gomega.BeNumerically("~", down+stepUp, 1e-9))
	})

	ginkgo.It("holds its shares while reports are missing", func() {
		g := guide()
		g.Observe(begun, load(10))
		g.Observe(begun.Add(Lifetime), load(100))
		down := g.Share("uy1", "s")
		g.Observe(begun.Add(10*Lifetime), nil)
		gomega.Expect(g.Share("uy1", "s")).To(gomega.Equal(down))
	})

	ginkgo.It("moves few callers when a share changes a little", func() {
		g := guide()
		before := make([]string, 1000)
		for i := range before {
			before[i] = first(g, i)
		}
		g.Observe(begun, load(10))
		g.Observe(begun.Add(Lifetime/5), load(100))
		moved := 0
		for i := range before {
			if first(g, i) != before[i] {
				moved++
			}
		}
		gomega.Expect(moved).To(gomega.BeNumerically("<=", 80))
	})

	ginkgo.It("does not swing when reports lag by an answer's lifetime", func() {
		g := guide()
		used := 14.0
		var shares []float64
		for i := range 60 {
			now := begun.Add(time.Duration(i) * Lifetime)
			g.Observe(now, load(int(used)))
			used = 14 * g.Share("uy1", "s")
			shares = append(shares, g.Share("uy1", "s"))
		}
		for _, s := range shares[40:] {
			gomega.Expect(s).To(gomega.BeNumerically("~", shares[59], 0.11))
		}
	})
})

// BenchmarkLookup bounds the memory of the look-up table at the size to design
// for, and prints the time of a look-up. The bounds are 128 MB and 1 µs.
func BenchmarkLookup(b *testing.B) {
	const blocks = 3_200_000
	before := heap()
	t := table()
	t.Blocks = nil
	g := NewGuide("uy1")
	g.Configure(t)
	for i := range blocks {
		a := [4]byte{byte(1 + i>>16), byte(i >> 8), byte(i), 0}
		g.blocks.Insert(netip.PrefixFrom(netip.AddrFrom4(a), 24), int32(i%4))
	}
	used := heap() - before
	if used > 128<<20 {
		b.Errorf("%d blocks take %d MB", blocks, used>>20)
	}
	g.Instances([]lacewingramp.Endpoint{{Name: "a", Domain: "uy1"}, {Name: "b", Domain: "uy2"}, {Name: "c", Domain: "cu1"}, {Name: "d", Domain: "cl1"}})
	b.ReportAllocs()
	b.ResetTimer()
	i := 0
	for b.Loop() {
		i += 7919
		a := netip.AddrFrom4([4]byte{byte(1 + (i>>16)%48), byte(i >> 8), byte(i), 9})
		g.Answer(Query{Service: "s", Customer: "andes", Caller: "andes", Address: a})
	}
	b.ReportMetric(float64(used)/blocks, "bytes/block")
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
