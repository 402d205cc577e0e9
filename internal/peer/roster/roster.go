// Package roster tracks the other instances, from three sources: the platform's list
// of registered instances, which may be out of date, digests received directly, and
// digests of instances in other failure domains that another instance relayed.
//
// Within a failure domain, every instance exchanges digests with every other one.
// Between two domains, only two representatives of each domain do, selected by
// rendezvous hashing over the live instances. They relay the digests that they
// receive to their own domain.
//
// # Usage
//
//	r := roster.New(self, seeds)
//	r.RecordListed(now, endpoints)
//	for _, e := range r.Contacts(now) {
//		// Exchange digests with e, then call r.Record or r.RecordFailure.
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

const (
	// LiveTimeout is how long an instance is considered live after its last digest.
	LiveTimeout = 3 * time.Second
	// ForgetTimeout is how long an instance is remembered after its last digest and
	// its last appearance in the platform's list.
	ForgetTimeout = time.Minute
	// representativesPerDomain is how many instances of a domain exchange digests
	// with another domain.
	representativesPerDomain = 2
	// maxRelayedPerDomain is the maximum number of digests of one domain that are
	// relayed.
	maxRelayedPerDomain = 3
)

// Member is the state of another instance. HeardAt is when its last digest was
// received, by this instance or by the one that relayed it. HeardDirectlyAt is when
// this instance last received one directly, and ListedAt when the platform's list last
// contained it. Unreachable is set if a new connection to it has failed since its last
// direct digest, and Replaced if another instance has responded at its address.
type Member struct {
	Digest          lacewingramp.Digest
	HeardAt         time.Time
	HeardDirectlyAt time.Time
	ListedAt        time.Time
	Unreachable     bool
	Replaced        bool
}

// Live reports whether the last digest of the member is recent and its address has
// not been taken over by another instance.
func (m *Member) Live(now time.Time) bool {
	return !m.Replaced && now.Sub(m.HeardAt) <= LiveTimeout
}

// Roster holds the other instances, by name.
type Roster struct {
	self    lacewingramp.Endpoint
	members map[string]*Member
	seeds   []string
}

// New returns an empty Roster for the instance self. seeds are the peer addresses of
// instances that are contacted even if they are not known from the platform's list,
// which may be unavailable.
func New(self lacewingramp.Endpoint, seeds []string) *Roster {
	return &Roster{self: self, members: make(map[string]*Member), seeds: seeds}
}

func (r *Roster) getOrAdd(e lacewingramp.Endpoint) *Member {
	m, ok := r.members[e.Name]
	if !ok {
		m = &Member{Digest: lacewingramp.Digest{Endpoint: e}}
		r.members[e.Name] = m
	}
	return m
}

// RecordListed records the instances in the platform's list, or the holders that
// the Assignment of the domain lists. Either list may be out of date: an instance in it
// may have stopped, and one that is missing may be running.
func (r *Roster) RecordListed(now time.Time, all []lacewingramp.Endpoint) {
	for _, e := range all {
		if e.Name == r.self.Name {
			continue
		}
		m := r.getOrAdd(e)
		m.ListedAt = now
		m.Digest.Leaving = m.Digest.Leaving || e.Leaving
	}
}

// Record records a digest received directly from an instance, and the digests that
// it relays.
func (r *Roster) Record(now time.Time, d *lacewingramp.Digest) {
	if d.Name == r.self.Name {
		return
	}
	relayed := d.Relayed
	m := r.getOrAdd(d.Endpoint)
	m.Digest = *d
	m.Digest.Relayed = nil
	m.HeardAt, m.HeardDirectlyAt = now, now
	m.Unreachable = false
	r.markReplaced(d.Endpoint)
	for i := range relayed {
		r.recordRelayed(now.Add(-relayed[i].Age), &relayed[i].Digest)
	}
}

// markReplaced marks other instances with the same address as replaced: they have
// stopped, and e has taken over the address.
func (r *Roster) markReplaced(e lacewingramp.Endpoint) {
	for name, m := range r.members {
		if name != e.Name && m.Digest.Peer == e.Peer {
			m.Replaced = true
		}
	}
}

func (r *Roster) recordRelayed(heardAt time.Time, d *lacewingramp.Digest) {
	if d.Name == r.self.Name {
		return
	}
	m := r.getOrAdd(d.Endpoint)
	if !heardAt.After(m.HeardAt) {
		return
	}
	m.Digest = *d
	m.Digest.Relayed = nil
	m.HeardAt = heardAt
}

// RecordFailure records that a new connection to an instance has failed or, if replaced
// is set, that another instance responds at its address.
func (r *Roster) RecordFailure(name string, replaced bool) {
	if m, ok := r.members[name]; ok {
		m.Unreachable = true
		m.Replaced = m.Replaced || replaced
	}
}

// Tick removes instances after ForgetTimeout.
func (r *Roster) Tick(now time.Time) {
	for name, m := range r.members {
		last := m.HeardAt
		if m.ListedAt.After(last) {
			last = m.ListedAt
		}
		if now.Sub(last) > ForgetTimeout {
			delete(r.members, name)
		}
	}
}

// Members returns all members, sorted by name.
func (r *Roster) Members() []*Member {
	all := make([]*Member, 0, len(r.members))
	for _, m := range r.members {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Digest.Name < all[j].Digest.Name })
	return all
}

// Domain returns the members in a failure domain, sorted by name.
func (r *Roster) Domain(name string) []*Member {
	var all []*Member
	for _, m := range r.Members() {
		if m.Digest.Domain == name {
			all = append(all, m)
		}
	}
	return all
}

// Find returns the member with a name.
func (r *Roster) Find(name string) (*Member, bool) {
	m, ok := r.members[name]
	return m, ok
}

// Contacts returns the instances that this instance should exchange digests with.
// Those that are known only as seeds have no name.
func (r *Roster) Contacts(now time.Time) []lacewingramp.Endpoint {
	var all []lacewingramp.Endpoint
	knownAddresses := make(map[string]bool)
	for _, m := range r.Members() {
		knownAddresses[m.Digest.Peer] = true
		if m.Replaced || !r.shouldContact(now, m) {
			continue
		}
		all = append(all, m.Digest.Endpoint)
	}
	for _, seed := range r.seeds {
		if !knownAddresses[seed] && seed != r.self.Peer {
			all = append(all, lacewingramp.Endpoint{Peer: seed})
		}
	}
	return all
}

func (r *Roster) shouldContact(now time.Time, m *Member) bool {
	if m.Digest.Domain == r.self.Domain {
		return true
	}
	// Only the representatives of this domain contact another domain. They contact its
	// representatives, and all of its instances that are not known to be live, so that
	// they notice one that runs again.
	own := append(r.liveNames(now, r.self.Domain), r.self.Name)
	if !isRepresentative(r.self.Name, own, m.Digest.Domain) {
		return false
	}
	remote := r.liveNames(now, m.Digest.Domain)
	return len(remote) == 0 || !m.Live(now) || isRepresentative(m.Digest.Name, remote, r.self.Domain)
}

func (r *Roster) liveNames(now time.Time, domain string) []string {
	var names []string
	for _, m := range r.Domain(domain) {
		if m.Live(now) {
			names = append(names, m.Digest.Name)
		}
	}
	return names
}

// isRepresentative reports whether name is a representative towards another domain:
// one of the names with the highest hashes for that domain. For a task of the instance's
// own domain, domain is the name of the task.
func isRepresentative(name string, names []string, domain string) bool {
	nameHash := xxhash.Sum64String(name + "\x00" + domain)
	higher := 0
	for _, n := range names {
		h := xxhash.Sum64String(n + "\x00" + domain)
		if h > nameHash || (h == nameHash && n < name) {
			higher++
		}
	}
	return higher < representativesPerDomain
}

// IsRepresentative reports whether this instance is one of the two representatives of
// its domain towards another domain, or for a task of the domain such as calls to the
// platform's store.
func (r *Roster) IsRepresentative(now time.Time, towards string) bool {
	return isRepresentative(r.self.Name, append(r.liveNames(now, r.self.Domain), r.self.Name), towards)
}

// DigestsToRelay returns the digests to relay to an instance of domain: those that
// this instance has received directly from other domains within LiveTimeout, at most
// maxRelayedPerDomain per domain. It returns none if domain is not this instance's own.
func (r *Roster) DigestsToRelay(now time.Time, domain string) []lacewingramp.RelayedDigest {
	if domain != r.self.Domain {
		return nil
	}
	count := make(map[string]int)
	var all []lacewingramp.RelayedDigest
	for _, m := range r.Members() {
		d := m.Digest.Domain
		if d == r.self.Domain || m.Replaced || now.Sub(m.HeardDirectlyAt) > LiveTimeout || count[d] >= maxRelayedPerDomain {
			continue
		}
		count[d]++
		all = append(all, lacewingramp.RelayedDigest{Age: now.Sub(m.HeardDirectlyAt), Digest: m.Digest})
	}
	return all
}
