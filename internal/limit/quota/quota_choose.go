package quota

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
)

// Constants of the choice of lenders.
const (
	// maxLenders is the maximum number of instances that are asked at a time.
	maxLenders = 8
	// overaskFactor is the amount requested from each lender, as a multiple of the
	// lender's part of the need.
	overaskFactor = 1.2
)

// SetPeers sets the other live instances: those of the own domain and those of other domains.
func (b *Ledger) SetPeers(siblings, remotes []string) {
	if b.tracer != nil {
		b.trace(time.Time{}, CallSetPeers, Args{Siblings: slices.Clone(siblings), Remotes: slices.Clone(remotes)}, Want{})
	}
	b.siblings = append(b.siblings[:0], siblings...)
	b.remotes = append(b.remotes[:0], remotes...)
}

// Leave marks the instance as about to stop. It is no longer the collector of any limit.
func (b *Ledger) Leave() {
	b.trace(time.Time{}, CallLeave, Args{}, Want{})
	b.leaving = true
}

// Record replaces the report of another instance: the quota that it can lend, and its demand
// for small limits.
func (b *Ledger) Record(name string, spares []lacewingramp.SpareQuota) {
	b.trace(time.Time{}, CallRecord, Args{Name: name, Spares: spares}, Want{})
	for _, k := range b.buckets {
		delete(k.peerSpares, name)
	}
	for _, p := range spares {
		k, ok := b.buckets[p.Subject]
		if !ok || (p.Demand == 0 && p.Rate == 0 && !p.Collecting) {
			continue
		}
		if k.peerSpares == nil {
			k.peerSpares = make(map[string]lacewingramp.SpareQuota)
		}
		k.peerSpares[name] = p
	}
}

// Thresholds for moving the collector of a small limit to the instance with the most demand.
const (
	// minDemandDeviations is the number of standard deviations by which the demand at the
	// other instance must be larger. It prevents random fluctuations from moving the
	// collector repeatedly.
	minDemandDeviations = 2.5
	// minDemandRatio is how many times larger the demand at the other instance must be.
	minDemandRatio = 1.5
)

// candidate is an instance that may become the collector of a small limit. collecting is
// set if it is one already.
type candidate struct {
	name       string
	rank       uint64
	demand     float64
	collecting bool
}

// precedes reports whether c comes before o in the order by demand and then by rank.
func (c candidate) precedes(o candidate) bool {
	if c.demand != o.demand {
		return c.demand > o.demand
	}
	return c.outranks(o)
}

// outranks reports whether c comes before o in the order by rank and then by name. Unlike
// the demand, the rank does not change.
func (c candidate) outranks(o candidate) bool {
	return c.rank > o.rank || (c.rank == o.rank && c.name < o.name)
}

// collector returns the name of the instance that collects a small limit. Across the fleet,
// the current collector remains until the demand at another instance is significantly
// larger. Within a domain, or if there is no demand, the collector is the instance with the
// highest rank, because lookups return it first to callers.
func (b *Ledger) collector(s lacewingramp.Subject, k *bucket) string {
	fleet := b.collectScope(s, k) == collectFleet
	var best, current candidate
	consider := func(c candidate) {
		if !fleet {
			c.demand, c.collecting = 0, false
		}
		if best.name == "" || c.precedes(best) {
			best = c
		}
		if c.collecting && (current.name == "" || c.outranks(current)) {
			current = c
		}
	}
	if !b.leaving {
		consider(candidate{name: b.name, rank: Rank(b.name, s), demand: k.demand, collecting: k.hasCollected()})
	}
	for _, n := range b.siblings {
		consider(k.candidate(n, s))
	}
	if fleet {
		for _, n := range b.remotes {
			consider(k.candidate(n, s))
		}
	}
	if current.name != "" && !best.exceedsDemandOf(current) {
		return current.name
	}
	if best.name == "" {
		return b.name
	}
	return best.name
}

func (k *bucket) candidate(name string, s lacewingramp.Subject) candidate {
	p := k.peerSpares[name]
	return candidate{name: name, rank: Rank(name, s), demand: p.Demand, collecting: p.Collecting}
}

// exceedsDemandOf reports whether the demand at c is significantly larger than at o, given
// the time over which demands are averaged.
func (c candidate) exceedsDemandOf(o candidate) bool {
	window := math.Max(1, demandWindow(c.demand))
	return c.demand > minDemandRatio*o.demand && c.demand-o.demand > minDemandDeviations*math.Sqrt((c.demand+o.demand)/window)
}

func (k *bucket) hasCollected() bool {
	for _, l := range k.borrowed {
		if l.all {
			return true
		}
	}
	return false
}

// Rank returns the rank of an instance for a subject. Within a domain, the instance with the
// highest rank is returned first by lookups and collects the subject's limit if it is
// small.
func Rank(name string, s lacewingramp.Subject) uint64 {
	var d xxhash.Digest
	_, _ = d.WriteString(name)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(s.Name)
	return d.Sum64()
}

// LenderReport is the last report of an instance about the quota of one subject that it can
// lend. Sibling is set for an instance of the own domain.
type LenderReport struct {
	Lender     string
	Sibling    bool
	SpareQuota lacewingramp.SpareQuota
}

// LenderNeed is the quota to request from one lender.
type LenderNeed struct {
	Lender string
	Need   Need
}

// ChooseLenders divides a need among the instances that report the most quota, as few as are
// necessary. If the reported quota does not suffice, instances that report none are asked too,
// because their reports may be out of date. ChooseLenders sorts reports in place.
//
// The collector of a small limit instead asks every instance that it collects from, and that
// may still have quota, for everything that the instance has. The other instances ask only
// the collector if it is in reports.
func (b *Ledger) ChooseLenders(n Need, reports []LenderReport) []LenderNeed {
	k, ok := b.buckets[n.Subject]
	if !ok {
		return nil
	}
	if n.All {
		return b.collectorNeeds(n, k, reports)
	}
	collector := b.collector(n.Subject, k)
	if b.collectScope(n.Subject, k) != collectNone && collector != b.name {
		n.Rate = 0
		for i := range reports {
			if reports[i].Lender == collector {
				return []LenderNeed{{Lender: collector, Need: n}}
			}
		}
	}
	sort.SliceStable(reports, func(i, j int) bool { return reports[i].score(n) > reports[j].score(n) })
	var tokens, rate float64
	count := 0
	for _, o := range reports {
		if count == maxLenders || (count > 0 && tokens >= n.Tokens*overaskFactor && rate >= n.Rate*overaskFactor) {
			break
		}
		tokens += o.SpareQuota.Tokens
		rate += o.SpareQuota.Rate
		count++
	}
	return divideNeed(n, reports[:count], tokens, rate)
}

// score returns how much of a need the reported quota covers. Siblings are preferred.
func (o LenderReport) score(n Need) float64 {
	w := math.Min(o.SpareQuota.Tokens, n.Tokens) + math.Min(o.SpareQuota.Rate, n.Rate)
	if o.Sibling {
		w = w*overaskFactor + 1
	}
	return w
}

func (b *Ledger) collectorNeeds(n Need, k *bucket, reports []LenderReport) []LenderNeed {
	fleet := b.collectScope(n.Subject, k) == collectFleet
	var all []LenderNeed
	for _, o := range reports {
		if (o.Sibling || fleet) && (!k.hasCollectedFrom(o.Lender) || o.SpareQuota.Rate > 0) {
			all = append(all, LenderNeed{Lender: o.Lender, Need: n})
		}
	}
	return all
}

func (k *bucket) hasCollectedFrom(lender string) bool {
	for _, l := range k.borrowed {
		if l.all && l.lender == lender {
			return true
		}
	}
	return false
}

// divideNeed divides a need among lenders in proportion to the quota that they report. Each
// is asked for at least an equal part, because its report may be out of date.
func divideNeed(n Need, lenders []LenderReport, tokens, rate float64) []LenderNeed {
	all := make([]LenderNeed, 0, len(lenders))
	equal := 1 / float64(max(1, len(lenders)))
	for _, o := range lenders {
		p := LenderNeed{Lender: o.Lender, Need: n}
		p.Need.Tokens = math.Ceil(n.Tokens * overaskFactor * math.Max(equal, fraction(o.SpareQuota.Tokens, tokens)))
		p.Need.Rate = n.Rate * overaskFactor * math.Max(equal, fraction(o.SpareQuota.Rate, rate))
		all = append(all, p)
	}
	return all
}

func fraction(amount, total float64) float64 {
	if total <= 0 {
		return 0
	}
	return amount / total
}
