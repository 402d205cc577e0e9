package heartbeat

import (
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
)

const (
	// Period is the time between two rounds of heartbeats.
	Period = 250 * time.Millisecond
	// nearMost and farMost are how many instances of the own region, and of
	// others, a heartbeat goes to in a round. The rest have their turn in the
	// next, so that the messages of an instance do not grow with the fleet.
	nearMost = 8
	farMost  = 4
	// livelyLeast is how long after its last heartbeat an instance counts as
	// alive at least, livelyRounds how many of its turns may be missed.
	livelyLeast  = 1500 * time.Millisecond
	livelyRounds = 4
	// remembered is how long an instance that is silent is still sent to: it
	// may be cut off, or start again at the same address.
	remembered = 2 * time.Minute
)

// Roll is the list of the other instances. Its zero value is empty. It is not
// safe for use by more than one goroutine.
type Roll struct {
	// Self is the name of this instance, Region its region.
	Self   string
	Region string
	// Regions maps failure domains to regions.
	Regions map[string]string

	all map[string]*member
	// lists are the other instances of the own region and of others.
	lists [2]list
}

// list is a group of instances that heartbeats go to by turns.
type list struct {
	addresses []string
	next      int
	// lively is how long after its last heartbeat one of them counts as alive.
	lively time.Duration
}

// The lists of a Roll.
const (
	near = iota
	far
)

// turn returns those whose turn it is.
func (l *list) turn(most int) []string {
	if len(l.addresses) <= most {
		return l.addresses
	}
	var all []string
	for range most {
		l.next = (l.next + 1) % len(l.addresses)
		all = append(all, l.addresses[l.next])
	}
	return all
}

// set takes in the members of a list, most of which have their turn at a time.
func (l *list) set(addresses []string, most int) {
	sort.Strings(addresses)
	l.addresses = addresses
	rounds := (len(addresses) + most - 1) / most
	l.lively = max(livelyLeast, time.Duration(livelyRounds*rounds)*Period)
}

// where returns which list an instance belongs to.
func (r *Roll) where(m *member) int {
	if r.Regions[m.Domain] == r.Region {
		return near
	}
	return far
}

// alive reports whether an instance has been heard lately.
func (r *Roll) alive(now time.Time, m *member) bool {
	return now.Sub(m.heard) <= max(livelyLeast, r.lists[r.where(m)].lively)
}

// member is another instance. listed says that the store has it.
type member struct {
	lacewingramp.Endpoint
	heard    time.Time
	known    time.Time
	ready    bool
	direct   bool
	watches  bool
	listed   bool
	revision int64
	ahead    time.Time
	rate     float64
}

func (r *Roll) member(name string) *member {
	if r.all == nil {
		r.all = make(map[string]*member)
	}
	m, ok := r.all[name]
	if !ok {
		m = &member{}
		r.all[name] = m
	}
	return m
}

// List takes in that the store lists an instance.
func (r *Roll) List(now time.Time, e lacewingramp.Endpoint) {
	if e.Name == r.Self {
		return
	}
	m := r.member(e.Name)
	m.listed = true
	m.known = now
	if e.Born >= m.Born {
		m.Endpoint = e
	}
}

// Unlist takes in that the store does not list an instance any more.
func (r *Roll) Unlist(name string) {
	if m, ok := r.all[name]; ok {
		m.listed = false
	}
}

// Hear takes in a heartbeat and reports whether the instance was not alive
// before. One of an earlier life is passed over.
func (r *Roll) Hear(now time.Time, h *lacewingramp.Heartbeat) (regained bool) {
	if h.Endpoint.Name == r.Self {
		return false
	}
	m := r.member(h.Endpoint.Name)
	if h.Endpoint.Born < m.Born {
		return false
	}
	m.Endpoint = h.Endpoint
	regained = !r.alive(now, m)
	m.heard, m.known = now, now
	m.ready, m.direct, m.watches = h.Ready, h.Direct, h.Watches
	m.revision = max(m.revision, h.Revision)
	m.rate = float64(h.Rate)
	return regained
}

// Sweep forgets instances that have been silent for long, and returns the
// names of those that are known to be gone.
func (r *Roll) Sweep(now time.Time) (gone []string) {
	for name, m := range r.all {
		if r.alive(now, m) || m.listed {
			continue
		}
		if now.Sub(m.known) > remembered {
			delete(r.all, name)
		}
		gone = append(gone, name)
	}
	sort.Strings(gone)
	return gone
}

// Addresses lists all instances that heartbeats go to.
func (r *Roll) Addresses() []string {
	r.setLists()
	return append(append([]string(nil), r.lists[near].addresses...), r.lists[far].addresses...)
}

// Turn lists where the heartbeats of the next round go, in the own region and
// in others.
func (r *Roll) Turn() (own, others []string) {
	r.setLists()
	return r.lists[near].turn(nearMost), r.lists[far].turn(farMost)
}

func (r *Roll) setLists() {
	var all [len(r.lists)][]string
	for _, m := range r.all {
		if m.Peer != "" {
			w := r.where(m)
			all[w] = append(all[w], m.Peer)
		}
	}
	r.lists[near].set(all[near], nearMost)
	r.lists[far].set(all[far], farMost)
}

// Listed names the other instances that the store lists.
func (r *Roll) Listed() (names []string) {
	for name, m := range r.all {
		if m.listed {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Address returns where an instance gets its datagrams, or nothing if that is
// not known.
func (r *Roll) Address(name string) string {
	m, ok := r.all[name]
	if !ok {
		return ""
	}
	return m.Peer
}

// Alive lists the instances that have been heard lately, this one not among
// them.
func (r *Roll) Alive(now time.Time) []lacewingramp.Endpoint {
	return r.pick(func(m *member) bool { return r.alive(now, m) })
}

// Serving lists the instances that take requests of callers.
func (r *Roll) Serving(now time.Time) []lacewingramp.Endpoint {
	return r.pick(func(m *member) bool { return r.alive(now, m) && m.ready && !m.Leaving })
}

// Rates tells what the live instances are asked, in requests a second.
func (r *Roll) Rates(now time.Time) map[string]float64 {
	all := make(map[string]float64, len(r.all))
	for name, m := range r.all {
		if r.alive(now, m) {
			all[name] = m.rate
		}
	}
	return all
}

// Direct lists the instances that the store answers.
func (r *Roll) Direct(now time.Time) []lacewingramp.Endpoint {
	return r.pick(func(m *member) bool { return r.alive(now, m) && m.direct && !m.Leaving })
}

// Watched reports whether there is an instance that watches the store.
func (r *Roll) Watched(now time.Time) bool {
	return r.count(func(m *member) bool { return r.alive(now, m) && m.watches }) > 0
}

// Inhabited reports whether there may be an instance at work in a region.
func (r *Roll) Inhabited(now time.Time, region string) bool {
	return r.count(func(m *member) bool { return r.Regions[m.Domain] == region && (m.listed || r.alive(now, m)) }) > 0
}

// Near reports whether an instance is of the own region.
func (r *Roll) Near(e lacewingramp.Endpoint) bool {
	return r.where(&member{Endpoint: e}) == near
}

// count counts the instances that fit, without a list of them.
func (r *Roll) count(fits func(*member) bool) (n int) {
	for _, m := range r.all {
		if fits(m) {
			n++
		}
	}
	return n
}

// pick lists the instances that fit, in order of name.
func (r *Roll) pick(fits func(*member) bool) []lacewingramp.Endpoint {
	var all []lacewingramp.Endpoint
	for _, m := range r.all {
		if fits(m) {
			all = append(all, m.Endpoint)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Count returns how many instances may be at work: those that have been heard
// lately or are listed, and this one.
func (r *Roll) Count(now time.Time) int {
	return 1 + r.count(func(m *member) bool { return m.listed || r.alive(now, m) })
}

// Ahead returns the address of an instance that knows the store further than
// a revision and has done so for a while.
func (r *Roll) Ahead(now time.Time, revision int64, patience time.Duration) (address string) {
	best := revision
	for _, m := range r.all {
		if m.revision <= revision {
			m.ahead = time.Time{}
			continue
		}
		if m.ahead.IsZero() {
			m.ahead = now
		}
		if r.alive(now, m) && m.revision > best && now.Sub(m.ahead) >= patience {
			best, address = m.revision, m.Peer
		}
	}
	return address
}
