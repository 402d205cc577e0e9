package heartbeat

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/rendezvous"
)

const (
	// Period is the time between two rounds of heartbeats.
	Period = 250 * time.Millisecond
	// maxSameRegionPeers and maxOtherRegionPeers are the maximum numbers of
	// instances in this instance's region, and in all other regions together,
	// that are sent a heartbeat in one round. The others follow in later rounds,
	// so that the message rate of an instance does not grow with the fleet.
	maxSameRegionPeers  = 8
	maxOtherRegionPeers = 4
	// An instance no longer counts as alive after minAliveTimeout without a
	// heartbeat, or after aliveCycles cycles if that is longer. A cycle is the
	// time that it takes to send to every instance of a group once.
	minAliveTimeout = 1500 * time.Millisecond
	aliveCycles     = 4
	// silentRetention is how long heartbeats are still sent to an instance that
	// has stopped sending its own and that the store no longer lists: it may be
	// cut off by the network, or restart at the same address.
	silentRetention = 2 * time.Minute
	// maxInstances is the number of known instances beyond which no heartbeat makes another
	// one known: only the store does.
	maxInstances = 4096
)

// Peers tracks the other instances of the fleet by their heartbeats and by the
// store's list of instances. The zero value is empty. A Peers is not safe for
// concurrent use.
type Peers struct {
	// Self is the name of this instance, and Region its region.
	Self   string
	Region string
	// Regions maps failure domains to regions.
	Regions map[string]string

	all map[string]*member
	// groups is indexed by sameRegion and otherRegions.
	groups [2]group
	// catchUps is the number of addresses that AheadOf has returned.
	catchUps int
}

// group is a set of instances that heartbeats are sent to in rotation. last is the
// index of the address that was sent to last. It starts at a place that is different for
// each instance, as otherwise all instances send to the same few at a time.
type group struct {
	addresses []string
	last      int
	started   bool
	// aliveTimeout is the time without a heartbeat after which an instance of the
	// group no longer counts as alive.
	aliveTimeout time.Duration
}

// The groups of a Peers, by region.
const (
	sameRegion = iota
	otherRegions
)

// nextRound returns the addresses for the next round of heartbeats, at most limit,
// and advances the rotation.
func (g *group) nextRound(limit int) []string {
	if len(g.addresses) <= limit {
		return g.addresses
	}
	var all []string
	for range limit {
		g.last = (g.last + 1) % len(g.addresses)
		all = append(all, g.addresses[g.last])
	}
	return all
}

// setAddresses replaces the group's addresses and derives aliveTimeout from the
// number of rounds that it takes to send to all of them, perRound at a time.
func (g *group) setAddresses(self string, addresses []string, perRound int) {
	sort.Strings(addresses)
	g.addresses = addresses
	if !g.started && len(addresses) > perRound {
		g.started = true
		g.last = int(xxhash.Sum64String(self) % uint64(len(addresses)))
	}
	rounds := (len(addresses) + perRound - 1) / perRound
	g.aliveTimeout = max(minAliveTimeout, time.Duration(aliveCycles*rounds)*Period)
}

// groupOf returns the index of the group that an instance belongs to.
func (p *Peers) groupOf(m *member) int {
	if p.Regions[m.Domain] == p.Region {
		return sameRegion
	}
	return otherRegions
}

// alive reports whether a heartbeat of an instance has been received within its
// group's timeout.
func (p *Peers) alive(now time.Time, m *member) bool {
	return now.Sub(m.lastHeard) <= max(minAliveTimeout, p.groups[p.groupOf(m)].aliveTimeout)
}

// member is what is known of one peer.
//
// lastHeard is when its last heartbeat was received. lastKnown is that time or
// when the store last reported it as listed, whichever is later. reachesStore is
// set if the instance can reach the store, and listed while the store lists it.
// position is the latest store position that the instance has reported.
// aheadSince is when AheadOf first found position to be later than the one that it
// compares with, or zero. requestRate is in requests a second.
type member struct {
	lacewingramp.Endpoint
	lastHeard    time.Time
	lastKnown    time.Time
	ready        bool
	reachesStore bool
	watchesStore bool
	listed       bool
	position     lacewingramp.Position
	aheadSince   time.Time
	requestRate  float64
	// cutOff is set if the instance reaches no target.
	cutOff bool
}

func (p *Peers) member(name string) *member {
	if p.all == nil {
		p.all = make(map[string]*member)
	}
	m, ok := p.all[name]
	if !ok {
		m = &member{}
		p.all[name] = m
	}
	return m
}

// MarkRegistered records that the store lists an instance. A registration from an
// earlier start of the instance does not replace what is known of a later one.
func (p *Peers) MarkRegistered(now time.Time, e lacewingramp.Endpoint) {
	if e.Name == p.Self {
		return
	}
	m := p.member(e.Name)
	m.listed = true
	m.lastKnown = now
	if e.StartMillis >= m.StartMillis {
		m.Endpoint = e
	}
}

// MarkUnregistered records that the store no longer lists an instance.
func (p *Peers) MarkUnregistered(name string) {
	if m, ok := p.all[name]; ok {
		m.listed = false
	}
}

// Record records a heartbeat and reports whether the instance did not count as
// alive before it. It ignores this instance's own heartbeats, those from before an
// instance's latest known start, and those of unknown instances beyond maxInstances.
func (p *Peers) Record(now time.Time, h *lacewingramp.Heartbeat) (regained bool) {
	if h.Endpoint.Name == p.Self {
		return false
	}
	if _, known := p.all[h.Endpoint.Name]; !known && len(p.all) >= maxInstances {
		return false
	}
	m := p.member(h.Endpoint.Name)
	if h.Endpoint.StartMillis < m.StartMillis {
		return false
	}
	m.Endpoint = h.Endpoint
	regained = !p.alive(now, m)
	m.lastHeard, m.lastKnown = now, now
	m.ready, m.reachesStore, m.watchesStore = h.Ready, h.ReachesStore, h.WatchesStore
	if m.position.Before(h.Position()) {
		m.position = h.Position()
	}
	m.requestRate, m.cutOff = float64(h.RequestRate), h.CutOff
	return regained
}

// Sweep returns the names of the instances that are neither alive nor listed by
// the store. It forgets those that have neither sent a heartbeat nor been reported
// by the store for silentRetention.
func (p *Peers) Sweep(now time.Time) (gone []string) {
	for name, m := range p.all {
		if p.alive(now, m) || m.listed {
			continue
		}
		if now.Sub(m.lastKnown) > silentRetention {
			delete(p.all, name)
		}
		gone = append(gone, name)
	}
	sort.Strings(gone)
	return gone
}

// Addresses returns the addresses of all known instances.
func (p *Peers) Addresses() []string {
	p.updateGroups()
	return append(append([]string(nil), p.groups[sameRegion].addresses...), p.groups[otherRegions].addresses...)
}

// NextRound returns the addresses for the next round of heartbeats, in this
// instance's region and in others.
func (p *Peers) NextRound() (own, others []string) {
	p.updateGroups()
	return p.groups[sameRegion].nextRound(maxSameRegionPeers), p.groups[otherRegions].nextRound(maxOtherRegionPeers)
}

func (p *Peers) updateGroups() {
	var all [len(p.groups)][]string
	for _, m := range p.all {
		if m.Peer != "" {
			g := p.groupOf(m)
			all[g] = append(all[g], m.Peer)
		}
	}
	p.groups[sameRegion].setAddresses(p.Self, all[sameRegion], maxSameRegionPeers)
	p.groups[otherRegions].setAddresses(p.Self, all[otherRegions], maxOtherRegionPeers)
}

// Registered returns the names of the other instances that the store lists.
func (p *Peers) Registered() (names []string) {
	for name, m := range p.all {
		if m.listed {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Address returns the address to which an instance's datagrams are sent, or ""
// if it is not known.
func (p *Peers) Address(name string) string {
	m, ok := p.all[name]
	if !ok {
		return ""
	}
	return m.Peer
}

// Alive returns the other instances that are alive, ordered by name.
func (p *Peers) Alive(now time.Time) []lacewingramp.Endpoint {
	return p.filter(func(m *member) bool { return p.alive(now, m) })
}

// Serving returns the other live instances that accept requests from callers: either those
// that reach targets, or those that are cut off from all targets.
func (p *Peers) Serving(now time.Time, cutOff bool) []lacewingramp.Endpoint {
	return p.filter(func(m *member) bool { return p.alive(now, m) && m.ready && !m.Leaving && m.cutOff == cutOff })
}

// RequestRates returns the request rates that the other live instances report, by
// instance name and in requests a second.
func (p *Peers) RequestRates(now time.Time) map[string]float64 {
	all := make(map[string]float64, len(p.all))
	for name, m := range p.all {
		if p.alive(now, m) {
			all[name] = m.requestRate
		}
	}
	return all
}

// ReachingStore returns the other live instances that can reach the store, without
// those that are leaving.
func (p *Peers) ReachingStore(now time.Time) []lacewingramp.Endpoint {
	return p.filter(func(m *member) bool { return p.alive(now, m) && m.reachesStore && !m.Leaving })
}

// StoreWatched reports whether another live instance watches the store.
func (p *Peers) StoreWatched(now time.Time) bool {
	return p.count(func(m *member) bool { return p.alive(now, m) && m.watchesStore }) > 0
}

// ActiveInRegion reports whether another instance in a region is alive or listed.
func (p *Peers) ActiveInRegion(now time.Time, region string) bool {
	return p.count(func(m *member) bool { return p.Regions[m.Domain] == region && (m.listed || p.alive(now, m)) }) > 0
}

// SameRegion reports whether an instance is in the same region as this one.
func (p *Peers) SameRegion(e lacewingramp.Endpoint) bool {
	return p.groupOf(&member{Endpoint: e}) == sameRegion
}

// count returns the number of instances that match.
func (p *Peers) count(match func(*member) bool) (n int) {
	for _, m := range p.all {
		if match(m) {
			n++
		}
	}
	return n
}

// filter returns the instances that match, ordered by name.
func (p *Peers) filter(match func(*member) bool) []lacewingramp.Endpoint {
	var all []lacewingramp.Endpoint
	for _, m := range p.all {
		if match(m) {
			all = append(all, m.Endpoint)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// FleetSize returns how many instances may be running: those that are alive or
// listed, and this one.
func (p *Peers) FleetSize(now time.Time) int {
	return 1 + p.count(func(m *member) bool { return m.listed || p.alive(now, m) })
}

// AheadOf returns the address of a live instance whose store position has been later
// than the given one for at least minDuration, or "" if there is none. Different
// instances get different ones of them, and so does the same instance at its next
// attempt, so that no single one has to serve all that are behind.
func (p *Peers) AheadOf(now time.Time, position lacewingramp.Position, minDuration time.Duration) (address string) {
	var ahead []string
	for name, m := range p.all {
		if !position.Before(m.position) {
			m.aheadSince = time.Time{}
			continue
		}
		if m.aheadSince.IsZero() {
			m.aheadSince = now
		}
		if p.alive(now, m) && now.Sub(m.aheadSince) >= minDuration {
			ahead = append(ahead, name)
		}
	}
	if len(ahead) == 0 {
		return ""
	}
	p.catchUps++
	return p.all[rendezvous.Owner(p.Self+" "+strconv.Itoa(p.catchUps), ahead)].Peer
}
