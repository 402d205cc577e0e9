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
//	switch {
//	case choice.Target == nil:
//		// Refuse: choice.Full tells whether there are targets at all.
//	case choice.Ask:
//		// Ask the target whether it is cold, then choose again.
//	}
//	...
//	p.Done(now, placement.Report{Target: choice.Target.Name, Load: load})
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

// Query asks for a target. Version is empty for any. Object is empty where no
// target is better than another. Tried are targets that were asked before.
type Query struct {
	Service string
	Version string
	Object  string
	// RouteRegions and CustomerRegions are where the request may run, by its
	// route and its customer. Both bind.
	RouteRegions    lacewingramp.Names
	CustomerRegions lacewingramp.Names
	Tried           []string
}

// Choice is a target, or the reason why there is none: all are Full, or there
// are none at all. Rank is its place in the object's order of targets. Ask says
// that the target is to be asked first whether it is cold, and the choice made
// again when that is over: nothing has been counted yet.
type Choice struct {
	Target *lacewingramp.Target
	Full   bool
	Rank   int
	Cold   bool
	Ask    bool
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
	t.setCold(now, l.Cold)
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

// Target returns what is known of a target.
func (p *Placer) Target(name string) (lacewingramp.Listing, bool) {
	t, ok := p.targets[name]
	if !ok {
		return lacewingramp.Listing{}, false
	}
	return t.Listing, true
}

// MayServe reports whether a target that was chosen before may still get a
// request.
func (p *Placer) MayServe(chosen *lacewingramp.Target) bool {
	t, ok := p.targets[chosen.Name]
	return ok && t.Address == chosen.Address && !t.Leaving && !t.gone && !p.evacuated[t.Domain]
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

// Choose finds a target with room and counts the request there until Done.
func (p *Placer) Choose(now time.Time, q Query) Choice {
	all := p.order(now, &q)
	if len(all) == 0 {
		return Choice{}
	}
	all = p.near(now, all)
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

// first takes the first target that fits and has a token, where it is cold.
func (p *Placer) first(now time.Time, all []ranked, fits func(int, *target) bool) (Choice, bool) {
	for i, t := range all {
		if !fits(i, t.target) {
			continue
		}
		if p.doubtful(now, t.target) && !t.silent {
			chosen := t.Target
			return Choice{Target: &chosen, Rank: i, Ask: true}, true
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
	t.setCold(now, r.Cold)
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
