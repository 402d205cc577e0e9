// Package region answers look-ups: which entry instances a caller should use,
// in order, and for how long the answer holds.
//
// A caller belongs to a failure domain by its block of addresses. The share
// of a domain's callers that are sent elsewhere follows the domain's load,
// damped so that it moves by a bounded step per answer lifetime: clients
// cache answers and reports lag, so a larger step would overshoot. Missing
// reports hold the last share. Which callers move is a function of a hash of
// the caller, so that a small change moves few of them.
//
// # Usage
//
//	guide := region.NewGuide("uy1")
//	guide.Configure(table)
//	guide.Observe(now, loads)
//	answer := guide.Answer(now, region.Query{Service: "recipes", Address: addr})
package region

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

// Policy of look-ups.
const (
	// Lifetime is how long a caller may keep an answer.
	Lifetime = 5 * time.Second
	// answerMost is how many instances an answer names.
	answerMost = 4
	// busy is the use of a domain's slots above which callers are moved away.
	busy = 0.85
	// calm is the use under which they come back.
	calm = 0.6
	// stepDown and stepUp bound how far a share moves per lifetime. Coming
	// back is slower, for the sake of cold caches.
	stepDown = 0.25
	stepUp   = 0.1
	// shareLeast keeps a few callers at a busy domain, to see it recover.
	shareLeast = 0.05
)

// Query is a look-up. Domain wins over Address where the caller states it.
// Caller tells the callers of a customer apart.
type Query struct {
	Service  string
	Customer string
	Caller   string
	Domain   string
	Address  netip.Addr
}

// Answer lists instances in the order in which a caller should try them.
type Answer struct {
	Home     string
	Lifetime time.Duration

	list  [answerMost]*lacewingramp.Endpoint
	count int
}

// Instances returns the instances. They are shared and not to be changed.
func (a *Answer) Instances() []*lacewingramp.Endpoint {
	return a.list[:a.count]
}

func (a *Answer) add(e *lacewingramp.Endpoint) {
	if a.count < answerMost {
		a.list[a.count] = e
		a.count++
	}
}

// Load is what is known of one domain and service. A cap that is in force, or
// will be before an answer given now has run out, shows as Limit requests a
// second of which Rate are offered.
type Load struct {
	Domain  string
	Service string
	Slots   int
	Used    int
	Waiting int
	Limit   float64
	Rate    float64
}

func (l Load) use() float64 {
	use := 0.0
	if l.Slots > 0 {
		use = float64(l.Used+l.Waiting) / float64(l.Slots)
	} else if l.Used+l.Waiting > 0 {
		use = 1
	}
	if l.Limit > 0 {
		use = math.Max(use, l.Rate/l.Limit)
	}
	return use
}

// Guide answers look-ups. It is not safe for use by more than one goroutine.
type Guide struct {
	home      string
	blocks    *bart.Table[int32]
	domains   []lacewingramp.Domain
	index     map[string]int32
	order     [][]int32
	shares    map[string][]share
	instances [][]lacewingramp.Endpoint
	firsts    map[string][]int32
}

// share is the part of a domain's callers that stay there, for one service. A
// zero moment stands for one that nothing has been observed of.
type share struct {
	part float64
	at   time.Time
}

// NewGuide returns the Guide of an instance in the domain called home.
func NewGuide(home string) *Guide {
	return &Guide{home: home, blocks: &bart.Table[int32]{}, shares: make(map[string][]share), firsts: make(map[string][]int32)}
}

// Configure takes a Table into force.
func (g *Guide) Configure(t *lacewingramp.Table) {
	old := g.index
	g.domains = append([]lacewingramp.Domain(nil), t.Domains...)
	sort.Slice(g.domains, func(i, j int) bool { return g.domains[i].Name < g.domains[j].Name })
	g.index = make(map[string]int32, len(g.domains))
	for i, d := range g.domains {
		g.index[d.Name] = int32(i)
	}
	g.instances = make([][]lacewingramp.Endpoint, len(g.domains))
	g.keepShares(old)
	clear(g.firsts)
	g.order = orders(g.domains, t.Links)
	g.blocks = blocks(t.Blocks, g.index)
}

// keepShares carries the shares over to new places of the domains.
func (g *Guide) keepShares(old map[string]int32) {
	for service, list := range g.shares {
		next := make([]share, len(g.domains))
		for name, i := range old {
			if j, ok := g.index[name]; ok {
				next[j] = list[i]
			}
		}
		g.shares[service] = next
	}
}

func blocks(all []lacewingramp.CallerBlock, index map[string]int32) *bart.Table[int32] {
	table := &bart.Table[int32]{}
	for _, b := range all {
		if p, err := netip.ParsePrefix(b.Name); err == nil {
			table.Insert(p, index[b.Domain])
		}
	}
	return table
}

// orders lists, for each domain, all domains from the nearest to the farthest:
// itself, its region, then the others by latency.
func orders(domains []lacewingramp.Domain, links []lacewingramp.Link) [][]int32 {
	latency := make(map[[2]string]time.Duration)
	for _, l := range links {
		latency[[2]string{l.Region, l.OtherRegion}] = time.Duration(l.Latency)
		latency[[2]string{l.OtherRegion, l.Region}] = time.Duration(l.Latency)
	}
	all := make([][]int32, len(domains))
	for i, from := range domains {
		list := make([]int32, len(domains))
		for j := range domains {
			list[j] = int32(j)
		}
		sort.SliceStable(list, func(a, b int) bool {
			return distance(latency, from, domains[list[a]]) < distance(latency, from, domains[list[b]])
		})
		all[i] = list
	}
	return all
}

// unknownLatency is that of two regions without a link row.
const unknownLatency = time.Hour

func distance(latency map[[2]string]time.Duration, from, to lacewingramp.Domain) time.Duration {
	switch {
	case from.Name == to.Name:
		return 0
	case from.Region == to.Region:
		return 1
	}
	if l, ok := latency[[2]string{from.Region, to.Region}]; ok {
		return l + 2
	}
	return unknownLatency
}

// Instances takes in which instances of which domains answer callers.
func (g *Guide) Instances(all []lacewingramp.Endpoint) {
	lists := make([][]lacewingramp.Endpoint, len(g.domains))
	for _, e := range all {
		if i, ok := g.index[e.Domain]; ok && !e.Leaving {
			lists[i] = append(lists[i], e)
		}
	}
	g.instances = lists
	clear(g.firsts)
}

// Observe moves the shares of callers that stay at their domain. A domain
// that loads says nothing about keeps its share.
func (g *Guide) Observe(now time.Time, loads []Load) {
	for _, l := range loads {
		i, ok := g.index[l.Domain]
		if !ok {
			continue
		}
		list := g.shares[l.Service]
		if list == nil {
			list = make([]share, len(g.domains))
			g.shares[l.Service] = list
		}
		if list[i].at.IsZero() {
			list[i] = share{part: 1, at: now}
		}
		list[i].move(now, l.use())
	}
}

func (s *share) move(now time.Time, use float64) {
	part := math.Min(1, now.Sub(s.at).Seconds()/Lifetime.Seconds())
	s.at = now
	switch {
	case use > busy:
		goal := math.Max(shareLeast, s.part*busy/use)
		s.part = math.Max(goal, s.part-stepDown*part)
	case use < calm:
		s.part = math.Min(1, s.part+stepUp*part)
	}
}

// Share returns the part of a domain's callers that stay there.
func (g *Guide) Share(domain, service string) float64 {
	i, ok := g.index[domain]
	if !ok {
		return 1
	}
	return stays(g.shares[service], i)
}

func stays(list []share, domain int32) float64 {
	if list == nil || list[domain].at.IsZero() {
		return 1
	}
	return list[domain].part
}

// Near lists all domains from the nearest to a domain to the farthest.
func (g *Guide) Near(domain string) []string {
	i, ok := g.index[domain]
	if !ok {
		return nil
	}
	names := make([]string, 0, len(g.domains))
	for _, j := range g.order[i] {
		names = append(names, g.domains[j].Name)
	}
	return names
}

// Locate returns the domain that a look-up's caller belongs to.
func (g *Guide) Locate(q Query) (int32, bool) {
	if i, ok := g.index[q.Domain]; ok {
		return i, true
	}
	if q.Address.IsValid() {
		if i, ok := g.blocks.Lookup(q.Address); ok {
			return i, true
		}
	}
	i, ok := g.index[g.home]
	return i, ok
}

// Answer lists the instances that a caller should try, in order.
func (g *Guide) Answer(q Query) Answer {
	home, ok := g.Locate(q)
	if !ok {
		return Answer{Lifetime: Lifetime}
	}
	a := Answer{Home: g.domains[home].Name, Lifetime: Lifetime}
	p := pass{
		home: home, shares: g.shares[q.Service],
		subject: lacewingramp.Subject{Kind: lacewingramp.SubjectCustomer, Name: q.Customer},
		place:   float64(xxhash.Sum64String(q.Caller)>>11) / (1 << 53),
	}
	g.fill(&a, p, true)
	g.fill(&a, p, false)
	return a
}

// pass is what one look-up carries through the list of domains.
type pass struct {
	home    int32
	shares  []share
	subject lacewingramp.Subject
	place   float64
}

// fill adds the instances of the domains in which the caller's place lies
// within the share, or with inside false those in which it does not.
func (g *Guide) fill(a *Answer, p pass, inside bool) {
	for _, d := range g.order[p.home] {
		if a.count == answerMost {
			return
		}
		if len(g.instances[d]) > 0 && (p.place < stays(p.shares, d)) == inside {
			g.add(a, d, p.subject)
		}
	}
}

// add appends up to two of a domain's instances. All callers of a customer
// get the same one first: the one that gathers its quota if that is small.
func (g *Guide) add(a *Answer, d int32, subject lacewingramp.Subject) {
	all := g.instances[d]
	first := g.first(d, subject)
	a.add(&all[first])
	if len(all) > 1 {
		a.add(&all[(first+1)%len(all)])
	}
}

// firstsMost is how many customers' first instances are remembered.
const firstsMost = 4096

// first finds the instance of a domain with the highest rank for a customer.
// It is worked out once for each list of instances.
func (g *Guide) first(d int32, subject lacewingramp.Subject) int {
	known := g.firsts[subject.Name]
	if known == nil {
		if len(g.firsts) >= firstsMost {
			clear(g.firsts)
		}
		known = make([]int32, len(g.domains))
		g.firsts[subject.Name] = known
	}
	if known[d] == 0 {
		known[d] = 1 + highest(g.instances[d], subject)
	}
	return int(known[d] - 1)
}

func highest(all []lacewingramp.Endpoint, subject lacewingramp.Subject) int32 {
	first, best := 0, uint64(0)
	for i := range all {
		if r := quota.Rank(all[i].Name, subject); i == 0 || r > best {
			first, best = i, r
		}
	}
	return int32(first)
}
