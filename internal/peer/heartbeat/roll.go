package heartbeat

import (
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
)

const (
	// Lively is how long after its last heartbeat an instance counts as alive.
	Lively = 1500 * time.Millisecond
	// remembered is how long an instance that is silent is still sent to: it
	// may be cut off, or start again at the same address.
	remembered = 2 * time.Minute
)

// Roll is the list of the other instances. Its zero value is empty. It is not
// safe for use by more than one goroutine.
type Roll struct {
	// Self is the name of this instance.
	Self string

	all map[string]*member
}

// member is another instance. listed says that the store has it.
type member struct {
	lacewingramp.Endpoint
	heard    time.Time
	known    time.Time
	ready    bool
	direct   bool
	listed   bool
	revision int64
	ahead    time.Time
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
	regained = now.Sub(m.heard) > Lively
	m.Endpoint = h.Endpoint
	m.heard, m.known = now, now
	m.ready, m.direct = h.Ready, h.Direct
	m.revision = max(m.revision, h.Revision)
	return regained
}

// Alive reports whether an instance has been heard lately.
func (m *member) alive(now time.Time) bool {
	return now.Sub(m.heard) <= Lively
}

// Sweep forgets instances that have been silent for long, and returns the
// names of those that are known to be gone.
func (r *Roll) Sweep(now time.Time) (gone []string) {
	for name, m := range r.all {
		if m.alive(now) || m.listed {
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

// Addresses lists where heartbeats go.
func (r *Roll) Addresses() []string {
	all := make([]string, 0, len(r.all))
	for _, m := range r.all {
		if m.Peer != "" {
			all = append(all, m.Peer)
		}
	}
	sort.Strings(all)
	return all
}

// Alive lists the instances that have been heard lately, this one not among
// them.
func (r *Roll) Alive(now time.Time) []lacewingramp.Endpoint {
	return r.pick(func(m *member) bool { return m.alive(now) })
}

// Serving lists the instances that take requests of callers.
func (r *Roll) Serving(now time.Time) []lacewingramp.Endpoint {
	return r.pick(func(m *member) bool { return m.alive(now) && m.ready && !m.Leaving })
}

// Direct lists the instances that the store answers.
func (r *Roll) Direct(now time.Time) []lacewingramp.Endpoint {
	return r.pick(func(m *member) bool { return m.alive(now) && m.direct && !m.Leaving })
}

// Cut reports whether there is an instance that the store does not answer.
func (r *Roll) Cut(now time.Time) bool {
	return len(r.pick(func(m *member) bool { return m.alive(now) && !m.direct })) > 0
}

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
	return 1 + len(r.pick(func(m *member) bool { return m.listed || m.alive(now) }))
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
		if m.alive(now) && m.revision > best && now.Sub(m.ahead) >= patience {
			best, address = m.revision, m.Peer
		}
	}
	return address
}
