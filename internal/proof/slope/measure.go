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
	"lacewingramp.example/lacewingramp/internal/steer/resolver"
)

var startTime = time.Unix(1_800_000_000, 0)

// Measure runs all measurements and fits their slopes. It takes about half a minute.
func Measure() Results {
	return Results{Slopes: []Slope{
		measureSlope("digest bytes", "customers", "bytes", []float64{4, 8, 16, 32}, func(n int) float64 {
			return float64(link.Size(newDigest("uy1", 0, n)))
		}),
		measureSlope("relay bytes", "domains", "bytes", []float64{2, 6, 12, 24, 42}, func(n int) float64 {
			d := newDigest("uy1", 0, 0)
			return float64(link.Size(digestWithRelay(n)) - link.Size(d))
		}),
		measureSlope("beat time", "members", "ns", []float64{5, 10, 20, 40, 80}, heartbeatTime),
		measureSlope("roster memory", "members", "bytes", []float64{20, 40, 80, 160}, rosterMemory),
		measureSlope("quota memory", "customers", "bytes", []float64{100, 200, 400, 800}, quotaMemory),
		measureSlope("quota tick", "customers", "ns", []float64{100, 200, 400, 800}, quotaTickTime),
		measureSlope("table bytes", "targets", "bytes", []float64{50, 100, 200, 400}, tableBytes),
		measureSlope("table apply", "targets", "ns", []float64{50, 100, 200, 400}, tableApplyTime),
		measureSlope("block memory", "blocks", "bytes", []float64{200_000, 400_000, 800_000, 1_600_000}, blockMemory),
		measureSlope("look-up time", "domains", "ns", []float64{3, 6, 12, 24, 42}, lookupTime),
		measureSlope("evidence bytes", "routes", "bytes", []float64{1, 2, 4, 8}, rolloutStatsBytes),
		measureSlope("tally memory", "rows", "bytes", []float64{20, 40, 80, 160}, tallyMemory),
		measureSlope("record memory", "records", "bytes", []float64{2000, 4000, 8000, 16000}, recordMemory),
	}}
}

// newDigest returns a digest of the content that an instance sends in a real
// deployment: four shards, the free capacity for three services, and lendable quota
// of the given number of customers.
func newDigest(domain string, number, customers int) *lacewingramp.Digest {
	d := &lacewingramp.Digest{
		Endpoint: lacewingramp.Endpoint{
			Name: fmt.Sprintf("%s-%02d.ABCDEFGH", domain, number), Domain: domain, Peer: fmt.Sprintf("10.0.%d.1:7002", number), Caller: fmt.Sprintf("10.0.%d.1:7001", number),
		},
		Revision: 123456, SinceConfirmed: time.Second,
	}
	for s := range 4 {
		d.Claims = append(d.Claims, lacewingramp.ShardClaim{Shard: s, Epoch: 100})
	}
	for s := range 3 {
		d.Capacities = append(d.Capacities, lacewingramp.ServiceCapacity{Service: fmt.Sprintf("service-%d", s), Free: 10, Slots: 20})
	}
	for c := range customers {
		d.Spares = append(d.Spares, lacewingramp.SpareQuota{Subject: customer(c), Rate: 12.5, Tokens: 3.25})
	}
	return d
}

func customer(n int) lacewingramp.Subject {
	return lacewingramp.Subject{Kind: lacewingramp.SubjectCustomer, Name: fmt.Sprintf("customer-%04d", n)}
}

// digestWithRelay returns the digest of an instance in a deployment with the given
// number of failure domains. It relays two digests from each of the other domains.
func digestWithRelay(domains int) *lacewingramp.Digest {
	r := roster.New(lacewingramp.Endpoint{Name: "a", Domain: "uy1", Peer: "x"}, nil)
	for n := range domains - 1 {
		for i := range 2 {
			d := newDigest(fmt.Sprintf("d%02d", n), n*4+i, 8)
			r.Record(startTime, d)
		}
	}
	d := newDigest("uy1", 0, 0)
	d.Relayed = r.DigestsToRelay(startTime, "uy1")
	return d
}

// heartbeatTime returns the time that an instance which knows n others needs to process
// one heartbeat: to encode its own digest, to decode and store a received one, and to
// select the instances to contact.
func heartbeatTime(n int) float64 {
	r := roster.New(lacewingramp.Endpoint{Name: "a", Domain: "uy1", Peer: "x"}, nil)
	for i := range n {
		r.Record(startTime, newDigest("uy1", i, 8))
	}
	own, other := newDigest("uy1", 0, 8), newDigest("uy1", 1, 8)
	return nsPerCall(func() {
		link.Size(own)
		_ = link.Decode(link.Encode(other), &lacewingramp.Digest{})
		r.Record(startTime, other)
		r.Contacts(startTime)
	})
}

func rosterMemory(n int) float64 {
	return heapSize(func() any {
		r := roster.New(lacewingramp.Endpoint{Name: "a", Domain: "uy1", Peer: "x"}, nil)
		for i := range n {
			r.Record(startTime, newDigest("uy1", i, 8))
		}
		return r
	})
}

func newQuotaLedger(customers int) *quota.Ledger {
	ledger := quota.NewLedger("a")
	c := quota.Config{Limits: make(map[lacewingramp.Subject]lacewingramp.Limit), DomainShares: quota.DomainShares{Customers: lacewingramp.WholeLimit}}
	for n := range customers {
		c.Limits[customer(n)] = lacewingramp.Limit{Rate: 100, Burst: 50}
	}
	ledger.Configure(startTime, c)
	for s := range 4 {
		ledger.Hold(startTime, s, quota.ShardState{})
	}
	return ledger
}

func quotaMemory(n int) float64 {
	return heapSize(func() any { return newQuotaLedger(n) })
}

func quotaTickTime(n int) float64 {
	ledger := newQuotaLedger(n)
	now := startTime
	return nsPerCall(func() {
		now = now.Add(100 * time.Millisecond)
		ledger.Tick(now)
		ledger.Needs(now)
		ledger.ReturnRequests(now)
		ledger.ExtendRequests(now)
	})
}

// newTable returns a Table with the given number of targets, and with one customer and
// its key for every three targets.
func newTable(targets int) *lacewingramp.Table {
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
			t.Keys = append(t.Keys, lacewingramp.AccessKey{Name: name, Customer: name, Hash: fmt.Sprintf("%064x", n)})
		}
	}
	return t
}

func tableBytes(n int) float64 {
	raw, err := json.Marshal(newTable(n))
	if err != nil {
		return 0
	}
	return float64(len(raw))
}

// tableApplyTime returns the time that an instance needs to decode, check and index a
// new revision of a Table with n targets.
func tableApplyTime(n int) float64 {
	raw, err := json.Marshal(newTable(n))
	if err != nil {
		return 0
	}
	return nsPerCall(func() {
		var t lacewingramp.Table
		if json.Unmarshal(raw, &t) == nil && t.Check() == nil {
			index.New(&t)
		}
	})
}

func blockMemory(n int) float64 {
	return heapSize(func() any {
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
	var instances []lacewingramp.Endpoint
	for d := range domains {
		name := fmt.Sprintf("d%02d", d)
		t.Domains = append(t.Domains, lacewingramp.Domain{Name: name, Region: "r"})
		for i := range 38 {
			instances = append(instances, lacewingramp.Endpoint{Name: fmt.Sprintf("%s-%02d", name, i), Domain: name})
		}
	}
	r := resolver.NewResolver("d00")
	r.Configure(t)
	r.SetInstances(instances)
	q := resolver.Query{Service: "s", Customer: "customer", Caller: "customer/10.0.0.1", Domain: "d01"}
	return nsPerCall(func() { r.Answer(q) })
}

// rolloutStatsBytes returns the size that the statistics of one rollout add to a digest:
// the request counts of the old and of the new version on each of n routes.
func rolloutStatsBytes(n int) float64 {
	d := newDigest("uy1", 0, 0)
	groups := make([]lacewingramp.TargetGroup, lacewingramp.TargetGroups)
	for i := range groups {
		groups[i] = lacewingramp.TargetGroup{RequestCount: 12500, Failures: 40, Compared: 10000, Slow: 250, Loaded: 1500}
	}
	before := link.Size(d)
	for i := range n {
		for _, v := range []string{"recipes-1", "recipes-2"} {
			d.RolloutStats = append(d.RolloutStats, lacewingramp.RolloutStats{
				Instance: d.Name, Rollout: "recipes@2027-01-31T18:00:00Z", Service: "recipes", Route: fmt.Sprintf("route-%d", i),
				Version: v, RequestCount: 100000, Failures: 300, Slow: 2000, Groups: groups,
			})
		}
	}
	return float64(link.Size(d) - before)
}

// tallyMemory returns the memory of the counts in a report for n pairs of a customer
// and a route.
func tallyMemory(n int) float64 {
	return heapSize(func() any {
		t := &tally.Tally{}
		for i := range n {
			t.Count(customer(i).Name, "recipe", lacewingramp.Ran, lacewingramp.CauseNone, time.Millisecond)
		}
		return t
	})
}

func recordMemory(n int) float64 {
	domains := []lacewingramp.Domain{{Name: "uy1"}}
	return heapSize(func() any {
		ledger := &record.Ledger{}
		for s := range quota.Shards {
			ledger.Hold(s, time.Time{}, nil)
		}
		for i := range n {
			k := record.Parse("customer", fmt.Sprintf("%s.%d", record.Stamp("uy1", startTime), i), domains)
			ledger.Begin(startTime, k, uint64(i))
			ledger.Finish(k, &lacewingramp.Response{ID: "id", Status: 201, Body: make([]byte, 256)})
		}
		return ledger
	})
}
