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
//	r.SetInstances(endpoints)
//	r.Observe(now, loads)
//	answer := r.Answer(resolver.Query{Service: "recipes", Address: address})
package resolver

import (
	"net/netip"
	"sort"
	"time"

	"github.com/gaissmai/bart"

	"lacewingramp.example/lacewingramp"
)

const (
	// Lifetime is how long a caller may cache an answer.
	Lifetime = 5 * time.Second
	// maxInstances is the maximum number of instances in an answer.
	maxInstances = 4
)

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

// NewResolver returns the Resolver of an instance in the domain called ownDomain.
func NewResolver(ownDomain string) *Resolver {
	return &Resolver{ownDomain: ownDomain, blocks: &bart.Table[int32]{}, localFractions: make(map[string][]fractionState), preferredByCustomer: make(map[string][]int32)}
}

// Configure applies a Table. The instances are unknown until the next call of
// SetInstances.
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

// SetInstances replaces the instances that lookups can return. Leaving instances and
// those of unknown domains are left out.
func (r *Resolver) SetInstances(all []lacewingramp.Endpoint) {
	lists := make([][]lacewingramp.Endpoint, len(r.domains))
	for _, e := range all {
		if i, ok := r.domainIndex[e.Domain]; ok && !e.Leaving {
			lists[i] = append(lists[i], e)
		}
	}
	r.instances = lists
	clear(r.preferredByCustomer)
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
