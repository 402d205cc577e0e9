// Package slot admits requests to the targets of a failure domain.
//
// Each target has a fixed number of slots, the number of requests that it can run
// concurrently. Each slot belongs to one shard of the domain, and each shard is held by
// at most one instance at a time (internal/limit/assignment). An instance can therefore
// admit a request to the slots of its shards without asking other instances, and all
// instances together never exceed the slots of a target.
//
// A request that finds no free slot can wait in a queue. The queue divides the slots
// among customers in proportion to their weights, and removes requests whose deadline
// has passed. Requests of deferrable routes are served after the others. Once they have
// waited for a certain time, they are served in turn with the others, so that they do
// not starve.
//
// # Usage
//
//	pool := slot.NewPool(seed)
//	pool.Configure(now, targets)
//	pool.Hold(now, shard)
//	grant, ok := pool.Acquire(now, request)
//	...
//	for _, next := range pool.Release(now, grant, outcome) {
//		// Run the queued request next.Ticket on next.Target.
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

// maxDropTime is the time after which the slots of a shard are used again if Drop
// returned false for it and was not called again.
const maxDropTime = 3 * time.Second

// Ticket identifies a request in a queue and in the grant that it receives.
type Ticket uint64

// Request describes a request that needs a slot. It runs on a target of Version, or on
// one of Fallback if Version has no free slot. An empty Version matches every target, and
// an empty Fallback means that there is none.
type Request struct {
	Ticket     Ticket
	Service    string
	Version    string
	Fallback   string
	Customer   string
	Weight     float64
	Deferrable bool
	Deadline   time.Time
	// Avoid is the name of a target that is used only if no other has a free slot.
	Avoid string
}

// Grant assigns a slot of a target to a request.
type Grant struct {
	Ticket  Ticket
	Target  lacewingramp.Target
	Started time.Time
}

// ShardSet is the set of shards that the instance holds.
type ShardSet [quota.Shards]bool

// Pool manages the slots of one failure domain that this instance may use, and the
// queues for them.
type Pool struct {
	random        *rand.Rand
	services      map[string]*service
	targets       map[string]*target
	held          ShardSet
	droppingSince [quota.Shards]time.Time
}

type service struct {
	name         string
	targets      []*target
	queue        queue
	acquireCalls float64
}

// NewPool returns an empty Pool. seed determines its random choices of targets.
func NewPool(seed uint64) *Pool {
	return &Pool{
		random:   rand.New(rand.NewPCG(seed, seed)),
		services: make(map[string]*service),
		targets:  make(map[string]*target),
	}
}

// Configure replaces the list of the domain's targets. A target that is no longer
// listed finishes its running requests and receives no new ones. A new target, or one
// with a new address, is warmed up: the usable fraction of its slots rises over
// warmUpTime.
func (p *Pool) Configure(now time.Time, targets []lacewingramp.Target) {
	named := make(map[string]bool, len(targets))
	for _, listed := range targets {
		named[listed.Name] = true
		t, ok := p.targets[listed.Name]
		if !ok || t.Address != listed.Address {
			t = &target{addedAt: now}
			p.targets[listed.Name] = t
		}
		t.Target = listed
		t.removed = false
	}
	for n, t := range p.targets {
		if named[n] {
			continue
		}
		t.removed = true
		if t.inflight == 0 {
			delete(p.targets, n)
		}
	}
	p.updateOwned()
	p.indexByService()
}

func (p *Pool) indexByService() {
	for _, s := range p.services {
		s.targets = s.targets[:0]
	}
	for _, t := range p.targets {
		s := p.service(t.Service)
		s.targets = append(s.targets, t)
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

// Hold lets the instance use the slots of a shard. It returns the grants of the queued
// requests that can now run.
func (p *Pool) Hold(now time.Time, shard int) []Grant {
	p.held[shard] = true
	p.droppingSince[shard] = time.Time{}
	p.updateOwned()
	return p.runQueued(now)
}

// Drop gives up the slots of a shard and returns true. It returns false while a target
// runs more requests of this instance than the instance would have slots of it without
// the shard. The caller must then call Drop again. Until then, no new requests are
// admitted to the slots of the shard.
func (p *Pool) Drop(now time.Time, shard int) bool {
	if !p.held[shard] {
		return true
	}
	p.droppingSince[shard] = now
	p.updateOwned()
	for _, t := range p.targets {
		if t.inflight > t.ownedSlots {
			return false
		}
	}
	p.held[shard] = false
	p.droppingSince[shard] = time.Time{}
	return true
}

// Forfeit gives up the slots of a shard at once, because another instance has taken it.
func (p *Pool) Forfeit(shard int) {
	p.held[shard] = false
	p.droppingSince[shard] = time.Time{}
	p.updateOwned()
}

func (p *Pool) updateOwned() {
	usable := p.held
	for i, d := range p.droppingSince {
		usable[i] = usable[i] && d.IsZero()
	}
	for _, t := range p.targets {
		t.countOwned(usable)
	}
}

// Acquire grants a free slot to a request, or returns false if there is none.
func (p *Pool) Acquire(now time.Time, r Request) (Grant, bool) {
	s := p.service(r.Service)
	s.acquireCalls++
	return p.acquire(now, s, r)
}

func (p *Pool) acquire(now time.Time, s *service, r Request) (Grant, bool) {
	t := p.pick(now, s, r)
	if t == nil && r.Fallback != "" && r.Fallback != r.Version {
		r.Version = r.Fallback
		t = p.pick(now, s, r)
	}
	if t == nil {
		return Grant{}, false
	}
	t.inflight++
	return Grant{Ticket: r.Ticket, Target: t.Target, Started: now}, true
}

// Release frees the slot of a grant and records the outcome of its request. It returns
// the grants of the queued requests that can now run.
func (p *Pool) Release(now time.Time, g Grant, o Outcome) []Grant {
	t, ok := p.targets[g.Target.Name]
	if !ok || t.Address != g.Target.Address {
		return nil
	}
	t.inflight = max(0, t.inflight-1)
	t.record(now, g, o, p.ejectable(t))
	if t.removed && t.inflight == 0 {
		delete(p.targets, t.Name)
		p.indexByService()
	}
	return p.runQueuedOf(now, p.service(t.Service))
}

// runQueued grants free slots to the queued requests of all services.
func (p *Pool) runQueued(now time.Time) []Grant {
	var all []Grant
	for _, n := range p.serviceNames() {
		all = append(all, p.runQueuedOf(now, p.services[n])...)
	}
	return all
}

func (p *Pool) serviceNames() []string {
	serviceNames := make([]string, 0, len(p.services))
	for n := range p.services {
		serviceNames = append(serviceNames, n)
	}
	sort.Strings(serviceNames)
	return serviceNames
}

func (p *Pool) runQueuedOf(now time.Time, s *service) []Grant {
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

// Tick returns the grants of the queued requests that can run because time has passed:
// a target has warmed up or its ejection has ended.
//
// It also makes the slots of a shard usable again if Drop returned false for it and was
// not called again within maxDropTime.
func (p *Pool) Tick(now time.Time) []Grant {
	for i, since := range p.droppingSince {
		if !since.IsZero() && now.Sub(since) > maxDropTime {
			p.droppingSince[i] = time.Time{}
			p.updateOwned()
		}
	}
	return p.runQueued(now)
}

// RecordLeaving records that a target is leaving although the Table does not say so, for
// example because a header of its responses does. The target receives no new requests
// for leavePause. After that it is tried again, as it may be back in service.
func (p *Pool) RecordLeaving(now time.Time, name string) {
	if t, ok := p.targets[name]; ok {
		t.ejectedUntil = later(t.ejectedUntil, now.Add(leavePause))
	}
}

// Capacities returns the capacity of the pool for each service.
func (p *Pool) Capacities(now time.Time) []lacewingramp.ServiceCapacity {
	var all []lacewingramp.ServiceCapacity
	for _, n := range p.serviceNames() {
		all = append(all, p.CapacityOf(now, n))
	}
	return all
}

// CapacityOf returns the capacity of the pool for one service.
func (p *Pool) CapacityOf(now time.Time, name string) lacewingramp.ServiceCapacity {
	s := p.service(name)
	r := lacewingramp.ServiceCapacity{Service: name, Waiting: s.queue.length()}
	for _, t := range s.targets {
		if !t.usable(now) {
			continue
		}
		r.Slots += t.ownedSlots
		r.Free += max(0, t.capacity(now)-t.inflight)
	}
	return r
}

// shardOf returns the shard that a slot of a target belongs to, given the slot's index.
func shardOf(target string, index int) int {
	return int((xxhash.Sum64String(target) + uint64(index)) % quota.Shards)
}
