package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// Place is a target and its region.
type Place struct {
	Name   string
	Region int
}

// Fleet is what a policy is told of the deployment. Instances is how many each
// region has.
type Fleet struct {
	Regions   int
	Instances int
	Slots     int
	Far       time.Duration
	Targets   []Place
}

// Answer is what an instance learns from a target.
type Answer struct {
	Target string
	// Ran is not set where the target refused the request.
	Ran     bool
	Gone    bool
	Running int
	Waiting int
}

// Policy chooses targets for all instances, each by what that one knows.
type Policy interface {
	Name() string
	Begin(f Fleet, r *rand.Rand)
	// Choose returns a target, or nothing to refuse the request.
	Choose(now time.Time, instance int, object string, tried []string) string
	Done(now time.Time, instance int, a Answer)
	Lose(target string)
}

// Policies lists the product's choice, and simpler ones to hold it against.
func Policies() []Policy {
	return []Policy{
		&Placed{},
		&simple{name: "random", order: byRandom},
		&simple{name: "least in flight", order: byLoad},
		&simple{name: "nearest, least in flight", order: byRegion},
		&simple{name: "hash, unbounded", order: byHash},
		&simple{name: "hash, at most 2 in flight", order: byHash, most: 2},
	}
}

// Placed is the product's own choice.
type Placed struct {
	placers []*placement.Placer
}

const service = "s"

// Name returns the policy's name.
func (p *Placed) Name() string { return "lacewingramp" }

// Begin makes a Placer for each instance.
func (p *Placed) Begin(f Fleet, _ *rand.Rand) {
	p.placers = nil
	regions := make(map[string]string)
	for i := range f.Regions {
		regions[domainOf(i)] = regionOf(i)
	}
	for i := range f.Regions * f.Instances {
		l := &placement.Placer{Self: fmt.Sprint(i), Regions: regions, HomeRegion: regionOf(i / f.Instances)}
		l.Configure([]lacewingramp.Service{{Name: service}})
		for _, t := range f.Targets {
			l.Update(start, lacewingramp.TargetRegistration{Target: lacewingramp.Target{
				Name: t.Name, Service: service, Domain: domainOf(t.Region), Slots: f.Slots,
			}})
		}
		p.placers = append(p.placers, l)
	}
}

func domainOf(region int) string { return fmt.Sprint("d", region) }
func regionOf(region int) string { return fmt.Sprint("r", region) }

// Choose asks the instance's Placer.
func (p *Placed) Choose(now time.Time, instance int, object string, tried []string) string {
	c := p.placers[instance].Choose(now, placement.Query{Service: service, Object: object, Tried: tried})
	if c.Target == nil {
		return ""
	}
	return c.Target.Name
}

// Done reports to the instance's Placer.
func (p *Placed) Done(now time.Time, instance int, a Answer) {
	p.placers[instance].Done(now, placement.Report{
		Target: a.Target, Shed: !a.Ran, Unreachable: a.Gone && !a.Ran,
		Load: &lacewingramp.Load{Running: a.Running, Waiting: a.Waiting},
	})
}

// Lose removes a target.
func (p *Placed) Lose(target string) {
	for _, l := range p.placers {
		l.Remove(target)
	}
}

// simple takes the first target of an order.
type simple struct {
	name  string
	order func(s *simple, instance int, object string) []Place
	// most is how many requests an instance has at a target, 0 for any.
	most int

	fleet    Fleet
	random   *rand.Rand
	inflight []map[string]int
}

func (s *simple) Name() string { return s.name }

func (s *simple) Begin(f Fleet, r *rand.Rand) {
	s.fleet, s.random = f, r
	s.inflight = make([]map[string]int, f.Regions*f.Instances)
	for i := range s.inflight {
		s.inflight[i] = make(map[string]int)
	}
}

func (s *simple) Choose(_ time.Time, instance int, object string, tried []string) string {
	for _, t := range s.order(s, instance, object) {
		if slices.Contains(tried, t.Name) || (s.most > 0 && s.inflight[instance][t.Name] >= s.most) {
			continue
		}
		s.inflight[instance][t.Name]++
		return t.Name
	}
	return ""
}

func (s *simple) Done(_ time.Time, instance int, a Answer) {
	s.inflight[instance][a.Target]--
}

func (s *simple) Lose(target string) {
	s.fleet.Targets = slices.DeleteFunc(slices.Clone(s.fleet.Targets), func(p Place) bool { return p.Name == target })
}

func byRandom(s *simple, _ int, _ string) []Place {
	all := slices.Clone(s.fleet.Targets)
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func byLoad(s *simple, instance int, object string) []Place {
	all := byRandom(s, instance, object)
	slices.SortStableFunc(all, func(a, b Place) int { return s.inflight[instance][a.Name] - s.inflight[instance][b.Name] })
	return all
}

func byRegion(s *simple, instance int, object string) []Place {
	all := byLoad(s, instance, object)
	home := instance / s.fleet.Instances
	slices.SortStableFunc(all, func(a, b Place) int { return distance(a, home) - distance(b, home) })
	return all
}

func distance(p Place, home int) int {
	if p.Region == home {
		return 0
	}
	return 1
}

func byHash(s *simple, _ int, object string) []Place {
	all := slices.Clone(s.fleet.Targets)
	slices.SortFunc(all, func(a, b Place) int {
		if xxhash.Sum64String(object+a.Name) > xxhash.Sum64String(object+b.Name) {
			return -1
		}
		return 1
	})
	return all
}
