package resolver

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
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
