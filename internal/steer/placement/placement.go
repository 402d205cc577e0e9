// Package placement chooses the target that a request runs on.
//
// Every instance orders the targets of a service alike for an object, by
// weighted rendezvous hashing, without a message. So an object meets the
// target that has handled it lately, and a target that joins or leaves moves
// few objects. A request goes to the first target in that order that has room,
// by what this instance has in flight there and what the target last said of
// its load.
//
// A target that has just started takes few requests a second. It belongs to
// one instance, which keeps its rate, until it is warm. A target that could not
// be reached is left alone for a while and counts as just started after that.
//
// # Usage
//
//	var p placement.Placer
//	p.Configure(self, services)
//	p.Update(now, listing)
//	choice := p.Choose(now, placement.Query{Service: "recipes", Object: "17"})
//	if choice.Target == nil {
//		// Refuse: choice.Full tells whether there are targets at all.
//	}
//	...
//	p.Done(now, placement.Report{Target: choice.Target.Name, Took: took})
//
// A Placer is not safe for use by more than one goroutine.
package placement

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
)

const (
	// loadFresh is how long a target's word on its load counts.
	loadFresh = 1500 * time.Millisecond
	// loadFade is how fast the load of other instances is taken to pass.
	loadFade = 400 * time.Millisecond
	// spread is how many targets an object is kept at.
	spread = 2
	// fillLast is how full a target may be, in requests for each slot, when all
	// that an object may go to are full.
	fillLast = 1.7
	// pressureTime is over how long a target's fill is averaged, and
	// pressureKept what one answer leaves of the average at least, as answers
	// come seldom from some targets.
	pressureTime = time.Second
	pressureKept = 0.8
	// pressureFresh is how long a target's pressure counts.
	pressureFresh = 3 * time.Second
	// pressureHigh is the fill above which a target gives objects away, to one
	// with at most pressurePart of its own.
	pressureHigh = 0.8
	pressurePart = 0.5
	// relieveTime is the time between two objects that a target gives away.
	relieveTime = 200 * time.Millisecond
	// movesMost bounds how many moved objects are remembered.
	movesMost = 8192
	// failureFade is how fast failures of a target are forgotten.
	failureFade = 2 * time.Second
	// failureMost is the part of failures above which a target is avoided.
	failureMost = 0.25
	// failureWeight is the part of the last outcome in a target's failures.
	failureWeight = 0.2
	// suspendFirst and suspendMost bound how long a target that could not be
	// reached is left alone.
	suspendFirst = 500 * time.Millisecond
	suspendMost  = 4 * time.Second
	// coldMargin covers the time that a listing takes to get here.
	coldMargin = 300 * time.Millisecond
	// coldBurst is how many requests a cold target may get at once.
	coldBurst = 2.0
	// uncertain is how long after its start an instance does not know which
	// targets are cold: a listing may be that old.
	uncertain = 2 * time.Second
	// homeWeight is how much a target of the instance's own region counts in
	// an object's order, against one elsewhere: its answers are sooner here and
	// cost nothing on the links between regions.
	homeWeight = 4.0
	// ownLeast is how many requests an instance may have at any target.
	ownLeast = 2
)

// fillMost is how full the first targets of an object's order may be, in
// requests for each slot.
var fillMost = [...]float64{2.0, 1.5}

// Query asks for a target. Version is empty for any. Object is empty where no
// target is better than another. Tried are targets that were asked before.
type Query struct {
	Service string
	Version string
	Object  string
	Routes  lacewingramp.Names
	Homes   lacewingramp.Names
	Tried   []string
}

// Choice is a target, or the reason why there is none: all are Full, or there
// are none at all. Rank is its place in the object's order of targets.
type Choice struct {
	Target *lacewingramp.Target
	Full   bool
	Rank   int
	Cold   bool
}

// Report tells what became of a request on a target.
type Report struct {
	Target string
	// Unreachable says that there was no connection, Failed that the target
	// did not answer well.
	Unreachable bool
	Failed      bool
	// Shed says that the target refused the request for want of room.
	Shed bool
	// Gone says that another target has the address.
	Gone bool
	Load *lacewingramp.Load
	Cold time.Duration
}

// target is what this instance knows of one target.
type target struct {
	lacewingramp.Listing
	region   string
	hash     uint64
	inflight int

	load    lacewingramp.Load
	loadAt  time.Time
	loadOwn int

	// pressure is how full the target has been lately.
	pressure   float64
	pressureAt time.Time
	// relieved is when an object was last moved away.
	relieved time.Time

	failures  float64
	failureAt time.Time
	suspended time.Time
	suspend   time.Duration
	coldUntil time.Time
	// known says that the listing was written after this instance's start.
	known    bool
	tokens   float64
	tokensAt time.Time
	gone     bool
}

// Placer knows the targets of all services. Its zero value knows none.
type Placer struct {
	// Self is the name of this instance.
	Self string
	// Regions maps failure domains to regions.
	Regions map[string]string
	// Home is the region of this instance.
	Home string
	// Begun is when the instance started.
	Begun time.Time

	targets   map[string]*target
	services  map[string][]*target
	settings  map[string]lacewingramp.Service
	evacuated map[string]bool
	// moves are the objects that were moved to their second target.
	moves   map[moveKey]string
	members []string
	most    int
}

// Configure takes in the services' settings.
func (p *Placer) Configure(services []lacewingramp.Service) {
	p.settings = make(map[string]lacewingramp.Service, len(services))
	for _, s := range services {
		p.settings[s.Name] = s
	}
}

// Members takes in the names of all live instances, in any order, and how many
// there may be, as not all have been heard of at the start.
func (p *Placer) Members(names []string, most int) {
	p.members, p.most = names, most
}

// Update takes in what a target says of itself. It returns the address that
// the target had before, where that has changed.
func (p *Placer) Update(now time.Time, l lacewingramp.Listing) (left string) {
	if p.targets == nil {
		p.targets = make(map[string]*target)
	}
	t, ok := p.targets[l.Name]
	if ok && (t.Born != l.Born || t.Address != l.Address || t.Service != l.Service) {
		left = t.Address
		p.drop(t)
		ok = false
	}
	if !ok {
		t = &target{hash: xxhash.Sum64String(l.Name)}
		p.targets[l.Name] = t
		t.Listing = l
		p.add(t)
	}
	t.known = t.known || (ok && t.Listing != l)
	t.Listing = l
	t.region = p.Regions[l.Domain]
	t.gone = false
	if l.Cold > 0 {
		t.coldUntil = now.Add(l.Cold + coldMargin)
	}
	return left
}

func (p *Placer) add(t *target) {
	if p.services == nil {
		p.services = make(map[string][]*target)
	}
	p.services[t.Service] = append(p.services[t.Service], t)
}

func (p *Placer) drop(t *target) {
	delete(p.targets, t.Name)
	list := p.services[t.Service]
	kept := make([]*target, 0, len(list))
	for _, o := range list {
		if o != t {
			kept = append(kept, o)
		}
	}
	p.services[t.Service] = kept
}

// Remove forgets a target and returns its address.
func (p *Placer) Remove(name string) (address string) {
	t, ok := p.targets[name]
	if !ok {
		return ""
	}
	p.drop(t)
	return t.Address
}

// Evacuate starts or ends the evacuation of a failure domain. Its targets
// count as just started when they are taken back.
func (p *Placer) Evacuate(now time.Time, domain string, on bool) {
	if p.evacuated == nil {
		p.evacuated = make(map[string]bool)
	}
	if p.evacuated[domain] && !on {
		for _, t := range p.targets {
			if t.Domain == domain {
				p.chill(now, t)
			}
		}
	}
	p.evacuated[domain] = on
}

// chill takes a target as just started.
func (p *Placer) chill(now time.Time, t *target) {
	warmup := time.Duration(p.settings[t.Service].Warmup)
	if until := now.Add(warmup + coldMargin); warmup > 0 && until.After(t.coldUntil) {
		t.coldUntil = until
	}
}

// Target returns what is known of a target.
func (p *Placer) Target(name string) (lacewingramp.Listing, bool) {
	t, ok := p.targets[name]
	if !ok {
		return lacewingramp.Listing{}, false
	}
	return t.Listing, true
}

// Names lists the targets' names.
func (p *Placer) Names() []string {
	all := make([]string, 0, len(p.targets))
	for n := range p.targets {
		all = append(all, n)
	}
	sort.Strings(all)
	return all
}

// usable reports whether a target may get a request of the query at all.
func (p *Placer) usable(now time.Time, t *target, q *Query) bool {
	if t.Leaving || t.gone || p.evacuated[t.Domain] || now.Before(t.suspended) {
		return false
	}
	if q.Version != "" && t.Version != q.Version {
		return false
	}
	if !q.Routes.Allow(t.region) || !q.Homes.Allow(t.region) {
		return false
	}
	for _, n := range q.Tried {
		if n == t.Name {
			return false
		}
	}
	return true
}

// moveKey is an object of a service.
type moveKey struct {
	service string
	object  string
}

// ranked is a target with its place in an object's order.
type ranked struct {
	*target
	score float64
}

// order sorts the usable targets by rendezvous hashing, weighted by slots.
func (p *Placer) order(now time.Time, q *Query) []ranked {
	key := xxhash.Sum64String(q.Object)
	var all []ranked
	for _, t := range p.services[q.Service] {
		if p.usable(now, t, q) {
			w := score(key, t)
			if t.region == p.Home {
				w *= homeWeight
			}
			all = append(all, ranked{target: t, score: w})
		}
	}
	if q.Object == "" {
		sort.SliceStable(all, func(i, j int) bool { return all[i].fill(now) < all[j].fill(now) })
		return all
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score == all[j].score {
			return all[i].Name < all[j].Name
		}
		return all[i].score > all[j].score
	})
	return all
}

func score(key uint64, t *target) float64 {
	const unit = 1 << 53
	h := mix(key ^ t.hash)
	u := (float64(h>>11) + 0.5) / unit
	return -float64(max(1, t.Slots)) / math.Log(u)
}

// mix spreads the bits of a hash, as in the finalizer of SplitMix64.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// ownMost is how many requests this instance has at a target at a time, as it
// does not know all that the others send there.
func (t *target) ownMost() int {
	return max(ownLeast, t.Slots)
}

// busy estimates how many requests a target has from all instances.
func (t *target) busy(now time.Time) float64 {
	own := float64(t.inflight)
	age := now.Sub(t.loadAt)
	if t.loadAt.IsZero() || age > loadFresh {
		return own
	}
	others := float64(max(0, t.load.Running+t.load.Waiting-t.loadOwn))
	return own + others*math.Exp(-age.Seconds()/loadFade.Seconds())
}

func (t *target) fill(now time.Time) float64 {
	return t.busy(now) / float64(max(1, t.Slots))
}

func (t *target) failing(now time.Time) bool {
	return t.failures*math.Exp(-now.Sub(t.failureAt).Seconds()/failureFade.Seconds()) > failureMost
}

// Choose finds a target with room and counts the request there until Done.
func (p *Placer) Choose(now time.Time, q Query) Choice {
	all := p.order(now, &q)
	if len(all) == 0 {
		return Choice{}
	}
	all = near(now, all)
	p.swap(now, &q, all)
	if c, ok := p.first(now, all, func(i int, t *target) bool {
		return t.inflight < t.ownMost() && t.fill(now) < fillMost[min(i, len(fillMost)-1)] && !t.failing(now)
	}); ok {
		return c
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].fill(now) < all[j].fill(now) })
	if c, ok := p.first(now, all, func(_ int, t *target) bool {
		return t.inflight < t.ownMost() && t.fill(now) < fillLast
	}); ok {
		return c
	}
	return Choice{Full: true}
}

// swap puts an object's second target first, if the object has been moved there
// or is moved now: from a target that has been full for a while to one that has
// not. It stays there, so that both keep what they know.
func (p *Placer) swap(now time.Time, q *Query, all []ranked) {
	if q.Object == "" || len(all) < spread {
		return
	}
	first, second := all[0], all[1]
	key := moveKey{service: q.Service, object: q.Object}
	if m, ok := p.moves[key]; ok && m == second.Name {
		all[0], all[1] = second, first
		return
	}
	if !first.mayRelieve(now, second.target) {
		return
	}
	if p.moves == nil || len(p.moves) >= movesMost {
		p.moves = make(map[moveKey]string)
	}
	p.moves[key] = second.Name
	first.relieved = now
	all[0], all[1] = second, first
}

// mayRelieve reports whether an object of a target should move to another.
func (t *target) mayRelieve(now time.Time, other *target) bool {
	return t.pressed(now) > pressureHigh && other.pressed(now) < pressurePart*t.pressed(now) &&
		now.Sub(t.relieved) >= relieveTime
}

// pressed returns how full a target has been lately.
func (t *target) pressed(now time.Time) float64 {
	if now.Sub(t.pressureAt) > pressureFresh {
		return 0
	}
	return t.pressure
}

// press takes in how full a target said it was.
func (t *target) press(now time.Time, fill float64) {
	kept := math.Exp(-now.Sub(t.pressureAt).Seconds() / pressureTime.Seconds())
	kept = min(max(kept, pressureKept), 1)
	t.pressure = kept*t.pressure + (1-kept)*fill
	t.pressureAt = now
}

// near returns the targets that an object may go to: the first few that are
// warm, and the cold ones before them. Further ones do not know the object, and
// would forget another for it.
func near(now time.Time, all []ranked) []ranked {
	warm := 0
	for i, t := range all {
		if now.Before(t.coldUntil) {
			continue
		}
		if warm++; warm == spread {
			return all[:i+1]
		}
	}
	return all
}

// first takes the first target that fits and has a token, where it is cold.
func (p *Placer) first(now time.Time, all []ranked, fits func(int, *target) bool) (Choice, bool) {
	for i, t := range all {
		if !fits(i, t.target) {
			continue
		}
		cold := now.Before(t.coldUntil)
		if !p.mayStart(now, t.target, cold) {
			continue
		}
		t.inflight++
		chosen := t.Target
		return Choice{Target: &chosen, Rank: i, Cold: cold}, true
	}
	return Choice{}, false
}

// takeCold asks for one start at a cold target, which one instance keeps the
// rate of.
func (p *Placer) takeCold(now time.Time, t *target) bool {
	rate := p.settings[t.Service].Coldrate
	if rate <= 0 {
		return true
	}
	if p.owner(t) != p.Self {
		return false
	}
	if t.tokensAt.IsZero() {
		t.tokens = 1
	} else {
		t.tokens = math.Min(coldBurst, t.tokens+rate*now.Sub(t.tokensAt).Seconds())
	}
	t.tokensAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// mayStart asks for one start at a target that is or may be cold. In the time
// after its start an instance knows neither which targets are cold nor which
// instance keeps their rate.
func (p *Placer) mayStart(now time.Time, t *target, cold bool) bool {
	switch {
	case now.Sub(p.Begun) < uncertain && (cold || !t.known):
		return p.takeUncertain(now, t)
	case cold:
		return p.takeCold(now, t)
	default:
		return true
	}
}

// Uncertain lists the targets of which this instance does not know whether
// they are cold.
func (p *Placer) Uncertain(now time.Time) []lacewingramp.Target {
	var all []lacewingramp.Target
	if now.Sub(p.Begun) >= uncertain {
		return nil
	}
	for _, name := range p.Names() {
		if t := p.targets[name]; !t.known && !t.Leaving {
			all = append(all, t.Target)
		}
	}
	return all
}

// Probed takes in what a target said of itself when it was asked.
func (p *Placer) Probed(now time.Time, r Report) {
	t, ok := p.targets[r.Target]
	if !ok {
		return
	}
	t.known = true
	t.coldUntil = time.Time{}
	if r.Cold > 0 {
		t.coldUntil = now.Add(r.Cold + coldMargin)
	}
	if r.Load != nil {
		t.load, t.loadAt, t.loadOwn = *r.Load, now, t.inflight
	}
}

// takeUncertain asks for one start at a target that may be cold, while any
// instance may send there: each uses its part of the cold rate. The first
// tokens differ from instance to instance, so that they do not all start at
// the same moment.
func (p *Placer) takeUncertain(now time.Time, t *target) bool {
	rate := p.settings[t.Service].Coldrate
	if rate <= 0 {
		return true
	}
	part := rate / float64(max(1, p.most))
	if t.tokensAt.IsZero() {
		const unit = 1 << 53
		t.tokens = math.Min(1, part) * float64(mix(xxhash.Sum64String(p.Self)^t.hash)>>11) / unit
		t.tokensAt = p.Begun
	}
	t.tokens = math.Min(1, t.tokens+part*now.Sub(t.tokensAt).Seconds())
	t.tokensAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// owner is the instance that a cold target belongs to, by rendezvous hashing.
func (p *Placer) owner(t *target) string {
	best, most := p.Self, uint64(0)
	for _, n := range p.members {
		h := mix(xxhash.Sum64String(n) ^ t.hash)
		if h >= most {
			best, most = n, h
		}
	}
	return best
}

// Cancel takes back a Choice that was not used.
func (p *Placer) Cancel(name string) {
	if t, ok := p.targets[name]; ok {
		t.inflight = max(0, t.inflight-1)
	}
}

// Done ends a request on a target and takes in what was learned.
func (p *Placer) Done(now time.Time, r Report) {
	t, ok := p.targets[r.Target]
	if !ok {
		return
	}
	t.inflight = max(0, t.inflight-1)
	t.gone = t.gone || r.Gone
	if r.Load != nil {
		t.load, t.loadAt, t.loadOwn = *r.Load, now, t.inflight
		t.press(now, float64(r.Load.Running+r.Load.Waiting)/float64(max(1, t.Slots)))
	}
	if r.Cold > 0 {
		t.coldUntil = now.Add(r.Cold + coldMargin)
	}
	if r.Shed {
		t.load.Running, t.load.Waiting = t.Slots, t.Slots
		t.loadAt, t.loadOwn = now, t.inflight
	}
	if r.Unreachable {
		t.suspend = min(suspendMost, max(suspendFirst, 2*t.suspend))
		t.suspended = now.Add(t.suspend)
		p.chill(t.suspended, t)
		return
	}
	t.suspend = 0
	failed := 0.0
	if r.Failed {
		failed = 1
	}
	faded := t.failures * math.Exp(-now.Sub(t.failureAt).Seconds()/failureFade.Seconds())
	t.failures = faded + failureWeight*(failed-faded)
	t.failureAt = now
}
