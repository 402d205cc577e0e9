// Package roster keeps what an instance knows of the others: the platform's
// lagging list, heartbeats heard directly, and second-hand digests of other
// failure domains.
//
// Within a failure domain every instance exchanges digests with every other.
// Between two domains only two representatives of each do, chosen by
// rendezvous hash over the live instances; they pass on what they hear.
//
// # Usage
//
//	r := roster.New(self)
//	r.List(now, endpoints)
//	for _, e := range r.Contacts(now) {
//		// Exchange digests with e, then r.Hear or r.Missed.
//	}
//
// A Roster is not safe for use by more than one goroutine.
package roster

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
)

// Policy of membership.
const (
	// Fresh is how long an instance counts as live after it was heard of.
	Fresh = 3 * time.Second
	// Forget is how long a silent instance is remembered.
	Forget = time.Minute
	// representatives is how many instances of a domain speak for it.
	representatives = 2
	// relayMost is how many digests of one domain are passed on.
	relayMost = 3
)

// Member is what is known of an instance. Heard is when it was last heard of,
// by whatever way; Direct when it answered this instance itself. Failed is set
// once a fresh connection to it has failed since, Gone once its address has
// been seen to belong to another.
type Member struct {
	Digest lacewingramp.Digest
	Heard  time.Time
	Direct time.Time
	Listed time.Time
	Failed bool
	Gone   bool
}

// Live reports whether the member has been heard of lately.
func (m *Member) Live(now time.Time) bool {
	return !m.Gone && now.Sub(m.Heard) <= Fresh
}

// Roster is what an instance knows of the others.
type Roster struct {
	self    lacewingramp.Endpoint
	members map[string]*Member
	seeds   []string
}

// New returns the Roster of an instance that knows no other. seeds are peer
// addresses to ask where the platform's list can not be had.
func New(self lacewingramp.Endpoint, seeds []string) *Roster {
	return &Roster{self: self, members: make(map[string]*Member), seeds: seeds}
}

func (r *Roster) member(e lacewingramp.Endpoint) *Member {
	m, ok := r.members[e.Name]
	if !ok {
		m = &Member{Digest: lacewingramp.Digest{Endpoint: e}}
		r.members[e.Name] = m
	}
	return m
}

// List takes in the platform's list. It lags: an instance on it may be dead,
// and one that is not on it may be alive.
func (r *Roster) List(now time.Time, all []lacewingramp.Endpoint) {
	for _, e := range all {
		if e.Name == r.self.Name {
			continue
		}
		m := r.member(e)
		m.Listed = now
		m.Digest.Leaving = m.Digest.Leaving || e.Leaving
	}
}

// Record takes in a digest that an instance has sent itself, and what it passes
// on of others.
func (r *Roster) Record(now time.Time, d *lacewingramp.Digest) {
	if d.Name == r.self.Name {
		return
	}
	others := d.Relayed
	m := r.member(d.Endpoint)
	m.Digest = *d
	m.Digest.Relayed = nil
	m.Heard, m.Direct = now, now
	m.Failed = false
	r.replaced(d.Endpoint)
	for i := range others {
		r.hearOf(now.Add(-others[i].Age), &others[i].Digest)
	}
}

// replaced marks earlier lives at the same address as gone.
func (r *Roster) replaced(e lacewingramp.Endpoint) {
	for n, m := range r.members {
		if n != e.Name && m.Digest.Peer == e.Peer {
			m.Gone = true
		}
	}
}

func (r *Roster) hearOf(at time.Time, d *lacewingramp.Digest) {
	if d.Name == r.self.Name {
		return
	}
	m := r.member(d.Endpoint)
	if !at.After(m.Heard) {
		return
	}
	m.Digest = *d
	m.Digest.Relayed = nil
	m.Heard = at
}

// Missed notes that a fresh connection to an instance has failed, or that
// another answers at its address.
func (r *Roster) Missed(name string, gone bool) {
	if m, ok := r.members[name]; ok {
		m.Failed = true
		m.Gone = m.Gone || gone
	}
}

// Tick forgets instances that have been silent for long.
func (r *Roster) Tick(now time.Time) {
	for n, m := range r.members {
		last := m.Heard
		if m.Listed.After(last) {
			last = m.Listed
		}
		if now.Sub(last) > Forget {
			delete(r.members, n)
		}
	}
}

// Members lists what is known, in order of name.
func (r *Roster) Members() []*Member {
	all := make([]*Member, 0, len(r.members))
	for _, m := range r.members {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Digest.Name < all[j].Digest.Name })
	return all
}

// Domain lists the members of one failure domain, in order of name.
func (r *Roster) Domain(name string) []*Member {
	var all []*Member
	for _, m := range r.Members() {
		if m.Digest.Domain == name {
			all = append(all, m)
		}
	}
	return all
}

// Find returns the member called name.
func (r *Roster) Find(name string) (*Member, bool) {
	m, ok := r.members[name]
	return m, ok
}

// Contacts lists the instances to exchange digests with now.
func (r *Roster) Contacts(now time.Time) []lacewingramp.Endpoint {
	var all []lacewingramp.Endpoint
	known := make(map[string]bool)
	for _, m := range r.Members() {
		known[m.Digest.Peer] = true
		if m.Gone || !r.contact(now, m) {
			continue
		}
		all = append(all, m.Digest.Endpoint)
	}
	for _, s := range r.seeds {
		if !known[s] && s != r.self.Peer {
			all = append(all, lacewingramp.Endpoint{Peer: s})
		}
	}
	return all
}

func (r *Roster) contact(now time.Time, m *Member) bool {
	if m.Digest.Domain == r.self.Domain {
		return true
	}
	mine := append(r.live(now, r.self.Domain), r.self.Name)
	if !chosen(r.self.Name, mine, m.Digest.Domain) {
		return false
	}
	theirs := r.live(now, m.Digest.Domain)
	return len(theirs) == 0 || !m.Live(now) || chosen(m.Digest.Name, theirs, r.self.Domain)
}

func (r *Roster) live(now time.Time, domain string) []string {
	var names []string
	for _, m := range r.Domain(domain) {
		if m.Live(now) {
			names = append(names, m.Digest.Name)
		}
	}
	return names
}

// chosen reports whether name is one of the representatives among names
// towards another domain.
func chosen(name string, names []string, domain string) bool {
	mine := xxhash.Sum64String(name + "\x00" + domain)
	above := 0
	for _, n := range names {
		h := xxhash.Sum64String(n + "\x00" + domain)
		if h > mine || (h == mine && n < name) {
			above++
		}
	}
	return above < representatives
}

// Represents reports whether this instance is one of the two of its domain
// that speak with another domain, or with the platform's store.
func (r *Roster) Represents(now time.Time, towards string) bool {
	return chosen(r.self.Name, append(r.live(now, r.self.Domain), r.self.Name), towards)
}

// Relay lists what to pass on to an instance of the own domain: digests of
// other domains that this instance has heard itself and lately.
func (r *Roster) Relay(now time.Time, to string) []lacewingramp.RelayedDigest {
	if to != r.self.Domain {
		return nil
	}
	count := make(map[string]int)
	var all []lacewingramp.RelayedDigest
	for _, m := range r.Members() {
		d := m.Digest.Domain
		if d == r.self.Domain || m.Gone || now.Sub(m.Direct) > Fresh || count[d] >= relayMost {
			continue
		}
		count[d]++
		all = append(all, lacewingramp.RelayedDigest{Age: now.Sub(m.Direct), Digest: m.Digest})
	}
	return all
}
