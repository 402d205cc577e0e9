// Package poison prevents a request that crashes its target from crashing one
// target after another.
//
// Requests are identified by a fingerprint, a hash of customer, route, method,
// URI and body. When a target crashes, the crash is counted for every request
// that ran on it. A crash count is the number of crashes that one instance has
// counted for one fingerprint. Instances exchange their crash counts, and keep the
// highest that they have received of each, so that crash counts can arrive
// repeatedly and in any order. A request whose fingerprint has MaxCrashes crashes
// or more over all instances is refused for Retention after the last known crash.
//
// # Usage
//
//	fingerprint := poison.Fingerprint(request)
//	if !guard.Admit(now, fingerprint) {
//		// Refuse the request, which has not run.
//	}
//	crashed := ...
//	guard.Finish(now, fingerprint, crashed)
package poison

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/rotation"
)

// Limits of the crash counts.
const (
	// MaxCrashes is the number of crashes, over all instances, from which on a
	// request is refused.
	MaxCrashes = 2
	// Retention is how long a fingerprint is kept after its last known crash.
	Retention = 10 * time.Minute
	// maxFingerprints is the maximum number of fingerprints that are kept.
	maxFingerprints = 64
	// topCounts is how many of the highest-ranked crash counts a heartbeat carries,
	// and rotatedCounts how many of the others, which are sent in rotation.
	topCounts     = 4
	rotatedCounts = 4
)

// Fingerprint returns the fingerprint of a request.
func Fingerprint(req *lacewingramp.ForwardRequest) uint64 {
	var digest xxhash.Digest
	_, _ = digest.WriteString(req.Customer)
	_, _ = digest.WriteString("\x00" + req.Route + "\x00" + req.Method + "\x00" + req.URI + "\x00")
	_, _ = digest.Write(req.Body)
	return digest.Sum64()
}

// Guard counts crashes by fingerprint and decides which requests may run. Its zero
// value is ready for use by an instance without a name. It is not safe for
// concurrent use.
type Guard struct {
	// Instance is the name under which this instance counts crashes.
	Instance string

	counters map[uint64]*counter
	running  map[uint64]int
	// rotation selects the crash counts of the next heartbeat.
	rotation rotation.Rotation
}

// counter holds the crash counts of one fingerprint by instance. lastChange is when
// this instance last raised one of them, because it saw a crash or because a peer sent
// a higher count.
type counter struct {
	byInstance map[string]int
	lastChange time.Time
}

func (c *counter) total() int {
	n := 0
	for _, crashes := range c.byInstance {
		n += crashes
	}
	return n
}

// Admit reports whether a request may run, and if so, counts it as running.
// Requests with a fingerprint that has caused a crash run one at a time, so that
// a further crash is counted before the next of them starts.
func (g *Guard) Admit(now time.Time, fingerprint uint64) bool {
	if n := g.crashes(now, fingerprint); n > 0 {
		if n >= MaxCrashes || g.running[fingerprint] > 0 {
			return false
		}
	}
	if g.running == nil {
		g.running = make(map[uint64]int)
	}
	g.running[fingerprint]++
	return true
}

func (g *Guard) crashes(now time.Time, fingerprint uint64) int {
	c, ok := g.counters[fingerprint]
	if !ok {
		return 0
	}
	if now.Sub(c.lastChange) > Retention {
		delete(g.counters, fingerprint)
		return 0
	}
	return c.total()
}

// Finish records that a request that Admit admitted has ended, and whether its
// target crashed.
func (g *Guard) Finish(now time.Time, fingerprint uint64, crashed bool) {
	g.running[fingerprint]--
	if g.running[fingerprint] <= 0 {
		delete(g.running, fingerprint)
	}
	if crashed {
		g.RecordCrash(now, fingerprint)
	}
}

// RecordCrash records that a request has crashed its target.
func (g *Guard) RecordCrash(now time.Time, fingerprint uint64) {
	c := g.counter(now, fingerprint)
	c.byInstance[g.Instance]++
	c.lastChange = now
}

func (g *Guard) counter(now time.Time, fingerprint uint64) *counter {
	if g.counters == nil {
		g.counters = make(map[uint64]*counter)
	}
	c, ok := g.counters[fingerprint]
	if !ok {
		g.evict()
		c = &counter{byInstance: make(map[string]int), lastChange: now}
		g.counters[fingerprint] = c
	}
	return c
}

// evict removes the lowest-ranked counter if there are maxFingerprints of them.
func (g *Guard) evict() {
	if len(g.counters) < maxFingerprints {
		return
	}
	var lowest uint64
	found := false
	for fingerprint, c := range g.counters {
		if !found || g.counters[lowest].outranks(c) {
			lowest, found = fingerprint, true
		}
	}
	delete(g.counters, lowest)
}

// outranks reports whether a counter has more crashes than another, or as many and
// the more recent last crash. The ranking matters after a failure that has crashed many
// targets: most counters then belong to requests that did not cause it.
func (c *counter) outranks(other *counter) bool {
	if a, b := c.total(), other.total(); a != b {
		return a > b
	}
	return c.lastChange.After(other.lastChange)
}

// CrashCounts returns all crash counts, sorted by fingerprint and instance.
func (g *Guard) CrashCounts(now time.Time) []lacewingramp.CrashCount {
	var all []lacewingramp.CrashCount
	for fingerprint, c := range g.counters {
		if now.Sub(c.lastChange) > Retention {
			continue
		}
		for instance, crashes := range c.byInstance {
			all = append(all, lacewingramp.CrashCount{Fingerprint: fingerprint, Instance: instance, Crashes: crashes})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Fingerprint != all[j].Fingerprint {
			return all[i].Fingerprint < all[j].Fingerprint
		}
		return all[i].Instance < all[j].Instance
	})
	return all
}

// HeartbeatCounts returns the crash counts for the next heartbeat: the
// highest-ranked ones and, in rotation, some of the others. This keeps heartbeats
// small after a failure that has crashed many targets, when every request on them
// has been counted.
func (g *Guard) HeartbeatCounts(now time.Time) []lacewingramp.CrashCount {
	all := g.CrashCounts(now)
	if len(all) <= topCounts+rotatedCounts {
		return all
	}
	sort.SliceStable(all, func(i, j int) bool { return g.counters[all[i].Fingerprint].outranks(g.counters[all[j].Fingerprint]) })
	return rotation.Select(&g.rotation, all, topCounts, rotatedCounts)
}

// Merge adopts the crash counts in a peer's heartbeat or digest where they are higher
// than the known ones.
func (g *Guard) Merge(now time.Time, counters []lacewingramp.CrashCount) {
	for _, count := range counters {
		if c, ok := g.counters[count.Fingerprint]; ok && c.byInstance[count.Instance] >= count.Crashes {
			continue
		}
		c := g.counter(now, count.Fingerprint)
		c.byInstance[count.Instance] = count.Crashes
		c.lastChange = now
	}
}
