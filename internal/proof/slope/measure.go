package slope

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/gaissmai/bart"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/record"
	"lacewingramp.example/lacewingramp/internal/config/index"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
	"lacewingramp.example/lacewingramp/internal/peer/link"
	"lacewingramp.example/lacewingramp/internal/peer/roster"
	"lacewingramp.example/lacewingramp/internal/report/tally"
	"lacewingramp.example/lacewingramp/internal/steer/region"
)

var epoch = time.Unix(1_800_000_000, 0)

// Measure runs every measurement, for about half a minute.
func Measure() File {
	return File{Slopes: []Slope{
		along("digest bytes", "customers", "bytes", []float64{4, 8, 16, 32}, func(n int) float64 {
			return float64(link.Size(digest("uy1", 0, n)))
		}),
		along("relay bytes", "domains", "bytes", []float64{2, 6, 12, 24, 42}, func(n int) float64 {
			d := digest("uy1", 0, 0)
			return float64(link.Size(withRelay(n)) - link.Size(d))
		}),
		along("beat time", "members", "ns", []float64{5, 10, 20, 40, 80}, beatTime),
		along("roster memory", "members", "bytes", []float64{20, 40, 80, 160}, rosterMemory),
		along("quota memory", "customers", "bytes", []float64{100, 200, 400, 800}, quotaMemory),
		along("quota tick", "customers", "ns", []float64{100, 200, 400, 800}, quotaTick),
		along("table bytes", "targets", "bytes", []float64{50, 100, 200, 400}, tableBytes),
		along("table apply", "targets", "ns", []float64{50, 100, 200, 400}, tableApply),
		along("block memory", "blocks", "bytes", []float64{200_000, 400_000, 800_000, 1_600_000}, blockMemory),
		along("look-up time", "domains", "ns", []float64{3, 6, 12, 24, 42}, lookupTime),
		along("evidence bytes", "routes", "bytes", []float64{1, 2, 4, 8}, evidenceBytes),
		along("tally memory", "rows", "bytes", []float64{20, 40, 80, 160}, tallyMemory),
		along("record memory", "records", "bytes", []float64{2000, 4000, 8000, 16000}, recordMemory),
	}}
}

// digest is what an instance of today says: three services, its shards, and
// spare quota of some customers.
func digest(domain string, n, customers int) *lacewingramp.Digest {
	d := &lacewingramp.Digest{
		Endpoint: lacewingramp.Endpoint{
			Name: fmt.Sprintf("%s-%02d.ABCDEFGH", domain, n), Domain: domain, Peer: fmt.Sprintf("10.0.%d.1:7002", n), Caller: fmt.Sprintf("10.0.%d.1:7001", n),
		},
		Revision: 123456, SinceConfirmed: time.Second,
	}
	for s := range 4 {
		d.Claims = append(d.Claims, lacewingramp.Claim{Shard: s, Epoch: 100})
	}
	for s := range 3 {
		d.Rooms = append(d.Rooms, lacewingramp.ServiceCapacity{Service: fmt.Sprintf("service-%d", s), Free: 10, Slots: 20})
	}
	for c := range customers {
		d.Spares = append(d.Spares, lacewingramp.Spare{Subject: customer(c), Rate: 12.5, Tokens: 3.25})
	}
	return d
}

func customer(n int) lacewingramp.Subject {
	return lacewingramp.Subject{Kind: lacewingramp.SubjectCustomer, Name: fmt.Sprintf("customer-%04d", n)}
}

// withRelay is the digest of an instance that passes on what it has heard of
// other domains.
func withRelay(domains int) *lacewingramp.Digest {
	r := roster.New(lacewingramp.Endpoint{Name: "a", Domain: "uy1", Peer: "x"}, nil)
	for n := range domains - 1 {
		for i := range 2 {
			d := digest(fmt.Sprintf("d%02d", n), n*4+i, 8)
			r.Record(epoch, d)
		}
	}
	d := digest("uy1", 0, 0)
	d.Relayed = r.Relay(epoch, "uy1")
	return d
}

// beatTime is what one heartbeat costs an instance that knows n others: to
// encode its digest, decode another and take it in.
func beatTime(n int) float64 {
	r := roster.New(lacewingramp.Endpoint{Name: "a", Domain: "uy1", Peer: "x"}, nil)
	for i := range n {
		r.Record(epoch, digest("uy1", i, 8))
	}
	mine, other := digest("uy1", 0, 8), digest("uy1", 1, 8)
	return nanoseconds(func() {
		link.Size(mine)
		_ = link.Decode(link.Encode(other), &lacewingramp.Digest{})
		r.Record(epoch, other)
		r.Contacts(epoch)
	})
}

func rosterMemory(n int) float64 {
	return heapOf(func() any {
		r := roster.New(lacewingramp.Endpoint{Name: "a", Domain: "uy1", Peer: "x"}, nil)
		for i := range n {
			r.Record(epoch, digest("uy1", i, 8))
		}
		return r
	})
}

func book(customers int) *quota.Book {
	b := quota.NewBook("a")
	c := quota.Config{Limits: make(map[lacewingramp.Subject]lacewingramp.Limit), Part: quota.Part{Customers: lacewingramp.WholeLimit}}
	for n := range customers {
		c.Limits[customer(n)] = lacewingramp.Limit{Rate: 100, Burst: 50}
	}
	b.Configure(epoch, c)
	for s := range 4 {
		b.Hold(epoch, s, quota.Load{})
	}
	return b
}

func quotaMemory(n int) float64 {
	return heapOf(func() any { return book(n) })
}

func quotaTick(n int) float64 {
	b := book(n)
	now := epoch
	return nanoseconds(func() {
		now = now.Add(100 * time.Millisecond)
		b.Tick(now)
		b.Needs(now)
		b.Returns(now)
		b.Renewals(now)
	})
}

// table has two customers and a key each for every three targets.
func table(targets int) *lacewingramp.Table {
	t := &lacewingramp.Table{
		Regions:  []lacewingramp.Region{{Name: "r", Timezone: "UTC"}},
		Domains:  []lacewingramp.Domain{{Name: "d", Region: "r", Weight: 1}},
		Services: []lacewingramp.Service{{Name: "s"}},
		Versions: []lacewingramp.Version{{Name: "v", Service: "s"}},
	}
	for n := range targets {
		t.Targets = append(t.Targets, lacewingramp.Target{
			Name: fmt.Sprintf("target-%06d", n), Service: "s", Domain: "d", Version: "v",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 8080).String(), Slots: 8,
		})
		if n%3 == 0 {
			name := fmt.Sprintf("customer-%06d", n)
			t.Customers = append(t.Customers, lacewingramp.Customer{Name: name, Rate: 100, Burst: 50, Weight: 1})
			t.Keys = append(t.Keys, lacewingramp.Key{Name: name, Customer: name, Hash: fmt.Sprintf("%064x", n)})
		}
	}
	return t
}

func tableBytes(n int) float64 {
	raw, err := json.Marshal(table(n))
	if err != nil {
		return 0
	}
	return float64(len(raw))
}

// tableApply is what a new revision costs an instance: to decode and check
// the Table and to prepare it for requests.
func tableApply(n int) float64 {
	raw, err := json.Marshal(table(n))
	if err != nil {
		return 0
	}
	return nanoseconds(func() {
		var t lacewingramp.Table
		if json.Unmarshal(raw, &t) == nil && t.Check() == nil {
			index.New(&t)
		}
	})
}

func blockMemory(n int) float64 {
	return heapOf(func() any {
		t := &bart.Table[int32]{}
		for i := range n {
			a := netip.AddrFrom4([4]byte{byte(1 + i>>16), byte(i >> 8), byte(i), 0})
			t.Insert(netip.PrefixFrom(a, 24), int32(i%42))
		}
		return t
	})
}

func lookupTime(domains int) float64 {
	t := &lacewingramp.Table{}
	var all []lacewingramp.Endpoint
	for d := range domains {
		name := fmt.Sprintf("d%02d", d)
		t.Domains = append(t.Domains, lacewingramp.Domain{Name: name, Region: "r"})
		for i := range 38 {
			all = append(all, lacewingramp.Endpoint{Name: fmt.Sprintf("%s-%02d", name, i), Domain: name})
		}
	}
	g := region.NewGuide("d00")
	g.Configure(t)
	g.Instances(all)
	q := region.Query{Service: "s", Customer: "customer", Caller: "customer/10.0.0.1", Domain: "d01"}
	return nanoseconds(func() { g.Answer(q) })
}

// evidenceBytes is what a digest carries of one rollout on n routes: what the
// instance has seen of the old and the new version.
func evidenceBytes(n int) float64 {
	d := digest("uy1", 0, 0)
	before := link.Size(d)
	for i := range n {
		for _, v := range []string{"recipes-1", "recipes-2"} {
			d.Evidence = append(d.Evidence, lacewingramp.Evidence{
				Instance: d.Name, Rollout: "recipes@2027-01-31T18:00:00Z", Service: "recipes", Route: fmt.Sprintf("route-%d", i),
				Version: v, RequestCount: 100000, Failures: 300, Slow: 2000,
			})
		}
	}
	return float64(link.Size(d) - before)
}

// tallyMemory is what the report keeps of n pairs of customer and route.
func tallyMemory(n int) float64 {
	return heapOf(func() any {
		t := &tally.Tally{}
		for i := range n {
			t.Count(customer(i).Name, "recipe", lacewingramp.Ran, lacewingramp.CauseNone, time.Millisecond)
		}
		return t
	})
}

func recordMemory(n int) float64 {
	domains := []lacewingramp.Domain{{Name: "uy1"}}
	return heapOf(func() any {
		b := &record.Book{}
		for s := range quota.Shards {
			b.Hold(s, time.Time{}, nil)
		}
		for i := range n {
			k := record.Parse("customer", fmt.Sprintf("%s.%d", record.Stamp("uy1", epoch), i), domains)
			b.Begin(epoch, k, uint64(i))
			b.Finish(k, &lacewingramp.Answer{ID: "id", Status: 201, Body: make([]byte, 256)})
		}
		return b
	})
}
