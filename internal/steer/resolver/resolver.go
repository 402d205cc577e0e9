// Package resolver answers lookups: it selects the entry instances that a caller
// should use, in order of preference, and for how long the answer is valid.
//
// A caller belongs to the failure domain that its block of addresses is assigned
// to. The fraction of a domain's callers that are directed to their own domain, its
// local fraction, follows the domain's utilization. It changes by a bounded step per
// answer lifetime: clients cache answers and load reports are delayed, so that a larger
// step would overshoot. While reports are missing, the fraction stays as it is. A
// hash of the caller determines which callers are directed elsewhere, so that a
// small change of the fraction affects few of them.
//
// # Usage
//
//	r := resolver.NewResolver("uy1")
//	r.Configure(table)
//	r.Instances(endpoints)
//	r.Observe(now, loads)
//	answer := r.Answer(resolver.Query{Service: "recipes", Address: address})
package resolver

import (
	"math"
	"net/netip"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

const (
	// Lifetime is how long a caller may cache an answer.
	Lifetime = 5 * time.Second
	// maxInstances is the maximum number of instances in an answer.
	maxInstances = 4
	// highUtilization is the utilization of a domain above which callers are
	// directed to other domains.
	highUtilization = 0.85
	// lowUtilization is the utilization below which callers are directed back. In
	// between, the fraction of callers that are directed elsewhere stays as it is.
	lowUtilization = 0.6
	// maxDecrease and maxIncrease bound the change of a domain's local fraction
	// per Lifetime. It increases more slowly, because the caches of a domain are
	// cold for the callers that return.
	maxDecrease = 0.25
	maxIncrease = 0.1
	// minLocalFraction keeps a few callers at an overloaded domain, so that its
	// recovery is noticed.
	minLocalFraction = 0.05
)

// Query is a lookup. If Domain names a known domain, it takes precedence over
// Address. Caller distinguishes the callers of a customer.
type Query struct {
	Service  string
	Customer string
	Caller   string
	Domain   string
	Address  netip.Addr
}

// Answer is the result of a lookup. CallerDomain is the failure domain that the
// caller belongs to.
type Answer struct {
	CallerDomain string
	Lifetime     time.Duration

	instances [maxInstances]*lacewingramp.Endpoint
	count     int
}

// Instances returns the instances in the order in which the caller should try
// them. They are shared with the Resolver and must not be modified.
func (a *Answer) Instances() []*lacewingramp.Endpoint {
	return a.instances[:a.count]
}

func (a *Answer) add(e *lacewingramp.Endpoint) {
	if a.count < maxInstances {
		a.instances[a.count] = e
		a.count++
	}
}

// Load is the reported load of a service in one domain. If a cap applies, or will
// apply before an answer given now expires, Limit is its rate in requests per
// second and Rate the rate at which requests arrive. Limit is 0 otherwise.
type Load struct {
	Domain  string
	Service string
	Slots   int
	Used    int
	Waiting int
	Limit   float64
	Rate    float64
}

func (l Load) utilization() float64 {
	utilization := 0.0
	if l.Slots > 0 {
		utilization = float64(l.Used+l.Waiting) / float64(l.Slots)
	} else if l.Used+l.Waiting > 0 {
		utilization = 1
	}
	if l.Limit > 0 {
		utilization = math.Max(utilization, l.Rate/l.Limit)
	}
	return utilization
}

// Resolver answers lookups. It is not safe for use by more than one goroutine.
//
// Domains are identified by their index in domains, which is sorted by name.
// domainOrders holds the domains by distance from each domain, localFractions
// the local fraction per service and domain, and preferredByCustomer the result of
// preferred per customer and domain, plus one, or 0 if it is not cached.
type Resolver struct {
	ownDomain           string
	blocks              *bart.Table[int32]
	domains             []lacewingramp.Domain
	domainIndex         map[string]int32
	domainOrders        [][]int32
	localFractions      map[string][]fractionState
	instances           [][]lacewingramp.Endpoint
	preferredByCustomer map[string][]int32
}

// fractionState is the local fraction of a domain for one service. updatedAt is zero
// if no load has been observed yet.
type fractionState struct {
	fraction  float64
	updatedAt time.Time
}

// NewResolver returns the Resolver of an instance in the domain called ownDomain.
func NewResolver(ownDomain string) *Resolver {
	return &Resolver{ownDomain: ownDomain, blocks: &bart.Table[int32]{}, localFractions: make(map[string][]fractionState), preferredByCustomer: make(map[string][]int32)}
}

// Configure applies a Table. The instances are unknown until the next call of
// Instances.
func (r *Resolver) Configure(t *lacewingramp.Table) {
	old := r.domainIndex
	r.domains = append([]lacewingramp.Domain(nil), t.Domains...)
	sort.Slice(r.domains, func(i, j int) bool { return r.domains[i].Name < r.domains[j].Name })
	r.domainIndex = make(map[string]int32, len(r.domains))
	for i, d := range r.domains {
		r.domainIndex[d.Name] = int32(i)
	}
	r.instances = make([][]lacewingramp.Endpoint, len(r.domains))
	r.remapLocalFractions(old)
	clear(r.preferredByCustomer)
	r.domainOrders = orderDomains(r.domains, t.Links)
	r.blocks = blocks(t.Blocks, r.domainIndex)
}

// remapLocalFractions moves the local fractions to the new indexes of their domains.
func (r *Resolver) remapLocalFractions(old map[string]int32) {
	for service, list := range r.localFractions {
		next := make([]fractionState, len(r.domains))
		for name, i := range old {
			if j, ok := r.domainIndex[name]; ok {
				next[j] = list[i]
			}
		}
		r.localFractions[service] = next
	}
}

func blocks(all []lacewingramp.CallerBlock, domainIndex map[string]int32) *bart.Table[int32] {
	table := &bart.Table[int32]{}
	for _, b := range all {
		if p, err := netip.ParsePrefix(b.Name); err == nil {
			table.Insert(p, domainIndex[b.Domain])
		}
	}
	return table
}

// orderDomains returns, for each domain, all domains from the nearest to the
// farthest: itself, then its region, then the others by latency.
func orderDomains(domains []lacewingramp.Domain, links []lacewingramp.Link) [][]int32 {
	latencies := make(map[[2]string]time.Duration)
	for _, l := range links {
		latencies[[2]string{l.Region, l.OtherRegion}] = time.Duration(l.Latency)
		latencies[[2]string{l.OtherRegion, l.Region}] = time.Duration(l.Latency)
	}
	orders := make([][]int32, len(domains))
	for i, from := range domains {
		list := make([]int32, len(domains))
		for j := range domains {
			list[j] = int32(j)
		}
		sort.SliceStable(list, func(a, b int) bool {
			return distance(latencies, from, domains[list[a]]) < distance(latencies, from, domains[list[b]])
		})
		orders[i] = list
	}
	return orders
}

// unknownLatency is the assumed latency of two regions without a link in the
// Table.
const unknownLatency = time.Hour

func distance(latencies map[[2]string]time.Duration, from, to lacewingramp.Domain) time.Duration {
	// The constants rank the domain itself before its region, and its region
	// before regions with a latency of zero.
	switch {
	case from.Name == to.Name:
		return 0
	case from.Region == to.Region:
		return 1
	}
	if l, ok := latencies[[2]string{from.Region, to.Region}]; ok {
		return l + 2
	}
	return unknownLatency
}

// Instances replaces the instances that lookups can return. Leaving instances and
// those of unknown domains are left out.
func (r *Resolver) Instances(all []lacewingramp.Endpoint) {
	lists := make([][]lacewingramp.Endpoint, len(r.domains))
	for _, e := range all {
		if i, ok := r.domainIndex[e.Domain]; ok && !e.Leaving {
			lists[i] = append(lists[i], e)
		}
	}
	r.instances = lists
	clear(r.preferredByCustomer)
}

// Observe updates the local fractions from the loads. A domain without a load
// keeps its fraction.
func (r *Resolver) Observe(now time.Time, loads []Load) {
	for _, l := range loads {
		i, ok := r.domainIndex[l.Domain]
		if !ok {
			continue
		}
		list := r.localFractions[l.Service]
		if list == nil {
			list = make([]fractionState, len(r.domains))
			r.localFractions[l.Service] = list
		}
		if list[i].updatedAt.IsZero() {
			list[i] = fractionState{fraction: 1, updatedAt: now}
		}
		list[i].update(now, l.utilization())
	}
}

func (s *fractionState) update(now time.Time, utilization float64) {
	// The fraction of a lifetime that has passed since the last update.
	fraction := math.Min(1, now.Sub(s.updatedAt).Seconds()/Lifetime.Seconds())
	s.updatedAt = now
	switch {
	case utilization > highUtilization:
		goal := math.Max(minLocalFraction, s.fraction*highUtilization/utilization)
		s.fraction = math.Max(goal, s.fraction-maxDecrease*fraction)
	case utilization < lowUtilization:
		s.fraction = math.Min(1, s.fraction+maxIncrease*fraction)
	}
}

// LocalFraction returns the fraction of a domain's callers that are directed to
// their own domain, 1 if no load has been observed.
func (r *Resolver) LocalFraction(domain, service string) float64 {
	i, ok := r.domainIndex[domain]
	if !ok {
		return 1
	}
	return localFraction(r.localFractions[service], i)
}

func localFraction(list []fractionState, domain int32) float64 {
	if list == nil || list[domain].updatedAt.IsZero() {
		return 1
	}
	return list[domain].fraction
}

// DomainsByDistance returns the names of all domains by distance from a domain, the
// nearest first. It returns nil if the domain is unknown.
func (r *Resolver) DomainsByDistance(domain string) []string {
	i, ok := r.domainIndex[domain]
	if !ok {
		return nil
	}
	names := make([]string, 0, len(r.domains))
	for _, j := range r.domainOrders[i] {
		names = append(names, r.domains[j].Name)
	}
	return names
}

// callerDomain returns the index of the domain that the caller belongs to: the one
// that it states, the one that its address is assigned to, or else the domain of
// this instance.
func (r *Resolver) callerDomain(q Query) (int32, bool) {
	if i, ok := r.domainIndex[q.Domain]; ok {
		return i, true
	}
	if q.Address.IsValid() {
		if i, ok := r.blocks.Lookup(q.Address); ok {
			return i, true
		}
	}
	i, ok := r.domainIndex[r.ownDomain]
	return i, ok
}

// Answer returns the instances that the caller should try, in order. Domains that
// the caller is directed away from come last, so that they are used only if the
// others have too few instances.
func (r *Resolver) Answer(q Query) Answer {
	domain, ok := r.callerDomain(q)
	if !ok {
		return Answer{Lifetime: Lifetime}
	}
	a := Answer{CallerDomain: r.domains[domain].Name, Lifetime: Lifetime}
	l := lookup{
		domain: domain, localFractions: r.localFractions[q.Service],
		subject:  lacewingramp.Subject{Kind: lacewingramp.SubjectCustomer, Name: q.Customer},
		position: float64(xxhash.Sum64String(q.Caller)>>11) / (1 << 53),
	}
	r.addDomains(&a, l, true)
	r.addDomains(&a, l, false)
	return a
}

// lookup is the state of one lookup. position is a hash of the caller, scaled to
// [0, 1). The caller is directed to a domain if position is less than the domain's
// local fraction.
type lookup struct {
	domain         int32
	localFractions []fractionState
	subject        lacewingramp.Subject
	position       float64
}

// addDomains adds instances of the domains that the caller is directed to, the
// nearest first, or of the other domains if withinFraction is false.
func (r *Resolver) addDomains(a *Answer, l lookup, withinFraction bool) {
	for _, d := range r.domainOrders[l.domain] {
		if a.count == maxInstances {
			return
		}
		if len(r.instances[d]) > 0 && (l.position < localFraction(l.localFractions, d)) == withinFraction {
			r.add(a, d, l.subject)
		}
	}
}

// add appends up to two instances of a domain. All callers of a customer get the
// same one first: the one that collects the customer's quota if it is too small to
// be divided.
func (r *Resolver) add(a *Answer, d int32, subject lacewingramp.Subject) {
	all := r.instances[d]
	preferred := r.preferred(d, subject)
	a.add(&all[preferred])
	if len(all) > 1 {
		a.add(&all[(preferred+1)%len(all)])
	}
}

// maxCachedCustomers is the maximum number of customers in preferredByCustomer.
// If it is reached, all of them are forgotten.
const maxCachedCustomers = 4096

// preferred returns the index of the instance of a domain that ranks highest for
// a customer. The result is cached until the instances change.
func (r *Resolver) preferred(d int32, subject lacewingramp.Subject) int {
	cached := r.preferredByCustomer[subject.Name]
	if cached == nil {
		if len(r.preferredByCustomer) >= maxCachedCustomers {
			clear(r.preferredByCustomer)
		}
		cached = make([]int32, len(r.domains))
		r.preferredByCustomer[subject.Name] = cached
	}
	if cached[d] == 0 {
		cached[d] = 1 + highestRanked(r.instances[d], subject)
	}
	return int(cached[d] - 1)
}

func highestRanked(all []lacewingramp.Endpoint, subject lacewingramp.Subject) int32 {
	maxIndex, maxRank := 0, uint64(0)
	for i := range all {
		if r := quota.Rank(all[i].Name, subject); i == 0 || r > maxRank {
			maxIndex, maxRank = i, r
		}
	}
	return int32(maxIndex)
}
