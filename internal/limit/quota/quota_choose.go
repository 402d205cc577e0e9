package quota

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
)

// Policy of choosing lenders.
const (
	// lendersMost is how many instances are asked at a time.
	lendersMost = 8
	// askMore is how much more than its share each lender is asked for.
	askMore = 1.2
)

// Peers tells the Book the other live instances of its domain, and those of
// other domains.
func (b *Book) Peers(siblings, others []string) {
	if b.tracer != nil {
		b.trace(time.Time{}, CallPeers, Args{Names: slices.Clone(siblings), Others: slices.Clone(others)}, Want{})
	}
	b.siblings = append(b.siblings[:0], siblings...)
	b.others = append(b.others[:0], others...)
}

// Leave tells the Book that its instance is about to end: no limit is
// gathered here any more.
func (b *Book) Leave() {
	b.trace(time.Time{}, CallLeave, Args{}, Want{})
	b.leaves = true
}

// Record takes in what another instance has said that it could lend, and where
// the demand for small limits is.
func (b *Book) Record(name string, spares []lacewingramp.Spare) {
	b.trace(time.Time{}, CallHear, Args{Name: name, Spares: spares}, Want{})
	for _, k := range b.buckets {
		delete(k.rivals, name)
	}
	for _, p := range spares {
		k, ok := b.buckets[p.Subject]
		if !ok || (p.Demand == 0 && p.Rate == 0 && !p.Collecting) {
			continue
		}
		if k.rivals == nil {
			k.rivals = make(map[string]lacewingramp.Spare)
		}
		k.rivals[name] = p
	}
}

// Policy of moving a small limit's home to where the demand is.
const (
	// surely is by how many standard deviations the demand elsewhere must be
	// larger, so that chance does not move a limit to and fro.
	surely = 2.5
	// clearly is how many times larger it must be.
	clearly = 1.5
)

// contender is an instance at which a small limit may be gathered.
type contender struct {
	name    string
	rank    uint64
	demand  float64
	gathers bool
}

// before orders contenders by demand and then by rank.
func (c contender) before(o contender) bool {
	if c.demand != o.demand {
		return c.demand > o.demand
	}
	return c.above(o)
}

// above orders contenders by rank, which does not change.
func (c contender) above(o contender) bool {
	return c.rank > o.rank || (c.rank == o.rank && c.name < o.name)
}

// home is the instance at which a small limit is gathered. Over the fleet it
// stays where it is until the demand elsewhere is surely larger; within a
// domain, and without any demand, it is the one with the highest rank, which
// look-ups name first to callers.
func (b *Book) home(s lacewingramp.Subject, k *bucket) string {
	fleet := b.gathering(s, k) == gatherFleet
	var first, holder contender
	see := func(c contender) {
		if !fleet {
			c.demand, c.gathers = 0, false
		}
		if first.name == "" || c.before(first) {
			first = c
		}
		if c.gathers && (holder.name == "" || c.above(holder)) {
			holder = c
		}
	}
	if !b.leaves {
		see(contender{name: b.name, rank: Rank(b.name, s), demand: k.demand, gathers: k.hasGathered()})
	}
	for _, n := range b.siblings {
		see(k.contender(n, s))
	}
	if fleet {
		for _, n := range b.others {
			see(k.contender(n, s))
		}
	}
	if holder.name != "" && !first.outdoes(holder) {
		return holder.name
	}
	if first.name == "" {
		return b.name
	}
	return first.name
}

func (k *bucket) contender(name string, s lacewingramp.Subject) contender {
	p := k.rivals[name]
	return contender{name: name, rank: Rank(name, s), demand: p.Demand, gathers: p.Collecting}
}

// outdoes reports whether the demand at c is surely larger than at o, as far
// as averages over that time can tell.
func (c contender) outdoes(o contender) bool {
	over := math.Max(1, averageTime(c.demand))
	return c.demand > clearly*o.demand && c.demand-o.demand > surely*math.Sqrt((c.demand+o.demand)/over)
}

func (k *bucket) hasGathered() bool {
	for _, l := range k.borrowed {
		if l.all {
			return true
		}
	}
	return false
}

// Rank orders the instances of a domain for a subject. The highest comes
// first in look-ups, and gathers the subject's limit if it is small.
func Rank(name string, s lacewingramp.Subject) uint64 {
	var d xxhash.Digest
	_, _ = d.WriteString(name)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(s.Name)
	return d.Sum64()
}

// Offer is what an instance says it could lend of one subject. Sibling is set
// for an instance of the own domain.
type Offer struct {
	Lender  string
	Sibling bool
	Spare   lacewingramp.Spare
}

// Portion is what one lender is asked for.
type Portion struct {
	Lender string
	Need   Need
}

// Choose divides a need among the instances with most to spare, as many as
// it takes to meet it. The home of a small limit asks all others for all that
// they have; the others ask it first. Where what is offered does not suffice,
// some that offer nothing are asked all the same, as reports lag.
func (b *Book) Choose(n Need, offers []Offer) []Portion {
	k, ok := b.buckets[n.Subject]
	if !ok {
		return nil
	}
	if n.All {
		return b.gather(n, k, offers)
	}
	home := b.home(n.Subject, k)
	if b.gathering(n.Subject, k) != gatherNot && home != b.name {
		n.Rate = 0
		for i := range offers {
			if offers[i].Lender == home {
				return []Portion{{Lender: home, Need: n}}
			}
		}
	}
	sort.SliceStable(offers, func(i, j int) bool { return offers[i].worth(n) > offers[j].worth(n) })
	var tokens, rate float64
	most := 0
	for _, o := range offers {
		if most == lendersMost || (most > 0 && tokens >= n.Tokens*askMore && rate >= n.Rate*askMore) {
			break
		}
		tokens += o.Spare.Tokens
		rate += o.Spare.Rate
		most++
	}
	return share(n, offers[:most], tokens, rate)
}

// worth is how much of a need an offer meets, a sibling's a little more.
func (o Offer) worth(n Need) float64 {
	w := math.Min(o.Spare.Tokens, n.Tokens) + math.Min(o.Spare.Rate, n.Rate)
	if o.Sibling {
		w = w*askMore + 1
	}
	return w
}

func (b *Book) gather(n Need, k *bucket, offers []Offer) []Portion {
	fleet := b.gathering(n.Subject, k) == gatherFleet
	var all []Portion
	for _, o := range offers {
		if (o.Sibling || fleet) && (!k.holdsAllOf(o.Lender) || o.Spare.Rate > 0) {
			all = append(all, Portion{Lender: o.Lender, Need: n})
		}
	}
	return all
}

func (k *bucket) holdsAllOf(lender string) bool {
	for _, l := range k.borrowed {
		if l.all && l.lender == lender {
			return true
		}
	}
	return false
}

// share divides a need among lenders by what they offer. Each is asked for an
// equal part at least, as its report may be old.
func share(n Need, from []Offer, tokens, rate float64) []Portion {
	all := make([]Portion, 0, len(from))
	equal := 1 / float64(max(1, len(from)))
	for _, o := range from {
		p := Portion{Lender: o.Lender, Need: n}
		p.Need.Tokens = math.Ceil(n.Tokens * askMore * math.Max(equal, part(o.Spare.Tokens, tokens)))
		p.Need.Rate = n.Rate * askMore * math.Max(equal, part(o.Spare.Rate, rate))
		all = append(all, p)
	}
	return all
}

func part(one, all float64) float64 {
	if all <= 0 {
		return 0
	}
	return one / all
}
