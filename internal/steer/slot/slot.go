// Package slot admits requests to the targets of a failure domain.
//
// Every target runs a known number of requests at a time, its slots. Each
// slot belongs to one shard of the domain, so that exactly one instance may
// use it (internal/limit/holding): the domain is never loaded beyond its
// slots and no message is needed to admit a request.
//
// A request that finds no free slot waits in a queue that is fair between
// customers by their weights, drops what can not finish in time before it
// costs a slot, and lets patient routes wait behind the others, though not
// forever.
//
// # Usage
//
//	pool := slot.NewPool(seed)
//	pool.Configure(now, targets, held)
//	grant, ok := pool.Acquire(now, request)
//	...
//	for _, next := range pool.Release(now, grant, outcome) {
//		// The waiting request next.Ticket runs on next.Target.
//	}
//
// A Pool is not safe for use by more than one goroutine.
package slot

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// dropMost is how long the slots of a shard that is to be dropped stay unused.
const dropMost = 3 * time.Second

// Ticket names a waiting request.
type Ticket uint64

// Request is what the pool needs to know of a request. It runs on Version, or
// on Fallback where that has no free slot. Empty names stand for any.
type Request struct {
	Ticket   Ticket
	Service  string
	Version  string
	Fallback string
	Customer string
	Weight   float64
	Patient  bool
	Deadline time.Time
	// Avoid names a target that is not to be picked while there is another.
	Avoid string
}

// Grant is a slot of a target that a request may use.
type Grant struct {
	Ticket  Ticket
	Target  lacewingramp.Target
	Started time.Time
}

// Held tells which shards the instance may use.
type Held [quota.Shards]bool

// Pool holds the slots of one failure domain that this instance may use.
type Pool struct {
	random   *rand.Rand
	services map[string]*service
	targets  map[string]*target
	held     Held
	dropping [quota.Shards]time.Time
}

type service struct {
	name    string
	targets []*target
	queue   queue
	offered float64
}

// NewPool returns an empty Pool whose choices follow seed.
func NewPool(seed uint64) *Pool {
	return &Pool{
		random:   rand.New(rand.NewPCG(seed, seed)),
		services: make(map[string]*service),
		targets:  make(map[string]*target),
	}
}

// Configure takes the domain's targets into force. A target that has gone
// keeps its running requests and gets no new one. One that is new starts
// slowly.
func (p *Pool) Configure(now time.Time, targets []lacewingramp.Target) {
	named := make(map[string]bool, len(targets))
	for _, t := range targets {
		named[t.Name] = true
		k, ok := p.targets[t.Name]
		if !ok || k.Address != t.Address {
			k = &target{born: now}
			p.targets[t.Name] = k
		}
		k.Target = t
		k.gone = false
	}
	for n, k := range p.targets {
		if named[n] {
			continue
		}
		k.gone = true
		if k.inflight == 0 {
			delete(p.targets, n)
		}
	}
	p.reown()
	p.index()
}

func (p *Pool) index() {
	for _, s := range p.services {
		s.targets = s.targets[:0]
	}
	for _, k := range p.targets {
		s := p.service(k.Service)
		s.targets = append(s.targets, k)
	}
	for _, s := range p.services {
		sort.Slice(s.targets, func(i, j int) bool { return s.targets[i].Name < s.targets[j].Name })
	}
}

func (p *Pool) service(name string) *service {
	s, ok := p.services[name]
	if !ok {
		s = &service{name: name}
		p.services[name] = s
	}
	return s
}

// Hold lets the instance use the slots of a shard, and returns the waiting
// requests that can now run.
func (p *Pool) Hold(now time.Time, shard int) []Grant {
	p.held[shard] = true
	p.dropping[shard] = time.Time{}
	p.reown()
	return p.wake(now)
}

// Drop gives up the slots of a shard. While one of them is in use it returns
// false, admits nothing more to them, and is to be called again.
func (p *Pool) Drop(now time.Time, shard int) bool {
	if !p.held[shard] {
		return true
	}
	p.dropping[shard] = now
	p.reown()
	for _, k := range p.targets {
		if k.inflight > k.owned {
			return false
		}
	}
	p.held[shard] = false
	p.dropping[shard] = time.Time{}
	return true
}

// Forfeit gives up the slots of a shard that another instance has taken.
func (p *Pool) Forfeit(shard int) {
	p.held[shard] = false
	p.dropping[shard] = time.Time{}
	p.reown()
}

func (p *Pool) reown() {
	usable := p.held
	for i, d := range p.dropping {
		usable[i] = usable[i] && d.IsZero()
	}
	for _, k := range p.targets {
		k.own(usable)
	}
}

// Acquire gives a request a free slot, or returns false.
func (p *Pool) Acquire(now time.Time, r Request) (Grant, bool) {
	s := p.service(r.Service)
	s.offered++
	return p.acquire(now, s, r)
}

func (p *Pool) acquire(now time.Time, s *service, r Request) (Grant, bool) {
	k := p.pick(now, s, r)
	if k == nil && r.Fallback != "" && r.Fallback != r.Version {
		r.Version = r.Fallback
		k = p.pick(now, s, r)
	}
	if k == nil {
		return Grant{}, false
	}
	k.inflight++
	return Grant{Ticket: r.Ticket, Target: k.Target, Started: now}, true
}

// Release ends a grant with its outcome and returns the waiting requests that
// can now run.
func (p *Pool) Release(now time.Time, g Grant, o Outcome) []Grant {
	k, ok := p.targets[g.Target.Name]
	if !ok || k.Address != g.Target.Address {
		return nil
	}
	k.inflight = max(0, k.inflight-1)
	k.record(now, g, o, p.ejectable(k))
	if k.gone && k.inflight == 0 {
		delete(p.targets, k.Name)
		p.index()
	}
	return p.wakeService(now, p.service(k.Service))
}

// wake runs what can run in every service.
func (p *Pool) wake(now time.Time) []Grant {
	var all []Grant
	for _, n := range p.names() {
		all = append(all, p.wakeService(now, p.services[n])...)
	}
	return all
}

func (p *Pool) names() []string {
	names := make([]string, 0, len(p.services))
	for n := range p.services {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func (p *Pool) wakeService(now time.Time, s *service) []Grant {
	var all []Grant
	for {
		r, ok := s.queue.peek(now)
		if !ok {
			return all
		}
		g, ok := p.acquire(now, s, r)
		if !ok {
			return all
		}
		s.queue.pop(now)
		all = append(all, g)
	}
}

// Tick returns the waiting requests that can run because time has passed: a
// target has warmed up or its ejection has ended.
//
// A shard that was to be dropped, and that nobody came back for, is used
// again.
func (p *Pool) Tick(now time.Time) []Grant {
	for i, at := range p.dropping {
		if !at.IsZero() && now.Sub(at) > dropMost {
			p.dropping[i] = time.Time{}
			p.reown()
		}
	}
	return p.wake(now)
}

// Leave marks a target as leaving on a sign other than the Table's, such as a
// header of its answers. It gets nothing new for a while, and is then tried
// again, as it may have come back.
func (p *Pool) Leave(now time.Time, name string) {
	if k, ok := p.targets[name]; ok {
		k.ejected = later(k.ejected, now.Add(leaveTime))
	}
}

// Rooms lists what the pool can take on.
func (p *Pool) Rooms(now time.Time) []lacewingramp.ServiceCapacity {
	var all []lacewingramp.ServiceCapacity
	for _, n := range p.names() {
		all = append(all, p.RoomOf(now, n))
	}
	return all
}

// RoomOf returns what the pool can take on for one service.
func (p *Pool) RoomOf(now time.Time, name string) lacewingramp.ServiceCapacity {
	s := p.service(name)
	r := lacewingramp.ServiceCapacity{Service: name, Waiting: s.queue.length()}
	for _, k := range s.targets {
		if !k.usable(now) {
			continue
		}
		r.Slots += k.owned
		r.Free += max(0, k.room(now)-k.inflight)
	}
	return r
}

// shardOf returns the shard that one slot of a target belongs to.
func shardOf(target string, index int) int {
	return int((xxhash.Sum64String(target) + uint64(index)) % quota.Shards)
}
