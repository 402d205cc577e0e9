// Package poison prevents a request that crashes its target from crashing one
// target after another.
//
// Requests are identified by a fingerprint, a hash of customer, route, method,
// URI and body. When a target crashes, the crash is counted for every request
// that ran on it. The counter of a fingerprint holds the number of crashes that each
// instance has counted. Instances exchange their counters and merge them by the
// maximum for each instance, so that these can arrive repeatedly and in any order.
// A request whose fingerprint has two crashes over all instances is refused for a
// time.
//
// # Usage
//
//	fingerprint := poison.Fingerprint(carry)
//	if !ward.Enter(now, fingerprint) {
//		// Refuse the request, which has not run.
//	}
//	crashed := ...
//	ward.Leave(now, fingerprint, crashed)
package poison

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
)

// Limits of the counters.
const (
	// MaxCrashes is the number of crashes over all instances from which on a
	// request is refused.
	MaxCrashes = 2
	// Retention is how long a fingerprint is kept after its last known crash.
	Retention = 10 * time.Minute
	// maxFingerprints is the maximum number of fingerprints that are kept.
	maxFingerprints = 64
	// topCounters is the number of highest-ranked counters in a heartbeat, and
	// rotatedCounters the number of others, which are sent in rotation.
	topCounters     = 4
	rotatedCounters = 4
)

// Fingerprint returns the fingerprint of a request.
func Fingerprint(req *lacewingramp.Carry) uint64 {
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
	// rotation is the position of the counter that was last sent in rotation.
	rotation int
}

// counter holds the crashes of one fingerprint as counted by each instance, and
// when the last of them became known to this instance.
type counter struct {
	byInstance map[string]int
	lastChange time.Time
}

func (c *counter) total() int {
	n := 0
	for _, d := range c.byInstance {
		n += d
	}
	return n
}

// Admit reports whether a request may run, and if so, counts it as running.
// Requests with a fingerprint that has caused a crash run one at a time, so that
// a further crash is counted before the next of them starts.
func (w *Guard) Admit(now time.Time, fingerprint uint64) bool {
	if n := w.crashes(now, fingerprint); n > 0 {
		if n >= MaxCrashes || w.running[fingerprint] > 0 {
			return false
		}
	}
	if w.running == nil {
		w.running = make(map[uint64]int)
	}
	w.running[fingerprint]++
	return true
}

func (w *Guard) crashes(now time.Time, fingerprint uint64) int {
	c, ok := w.counters[fingerprint]
	if !ok {
		return 0
	}
	if now.Sub(c.lastChange) > Retention {
		delete(w.counters, fingerprint)
		return 0
	}
	return c.total()
}

// Finish records that a request that Enter admitted has ended, and whether its
// target crashed.
func (w *Guard) Finish(now time.Time, fingerprint uint64, crashed bool) {
	w.running[fingerprint]--
	if w.running[fingerprint] <= 0 {
		delete(w.running, fingerprint)
	}
	if crashed {
		c := w.counter(now, fingerprint)
		c.byInstance[w.Instance]++
		c.lastChange = now
	}
}

func (w *Guard) counter(now time.Time, fingerprint uint64) *counter {
	if w.counters == nil {
		w.counters = make(map[uint64]*counter)
	}
	c, ok := w.counters[fingerprint]
	if !ok {
		w.evict()
		c = &counter{byInstance: make(map[string]int), lastChange: now}
		w.counters[fingerprint] = c
	}
	return c
}

// evict removes the lowest-ranked counter if the maximum number is reached.
func (w *Guard) evict() {
	if len(w.counters) < maxFingerprints {
		return
	}
	var least uint64
	found := false
	for fingerprint, c := range w.counters {
		if !found || w.counters[least].outranks(c) {
			least, found = fingerprint, true
		}
	}
	delete(w.counters, least)
}

// outranks reports whether a counter has more crashes than another, or as many and
// a more recent one. The ranking matters after a failure that has crashed many
// targets: most counters then belong to requests that did not cause it.
func (c *counter) outranks(other *counter) bool {
	if a, b := c.total(), other.total(); a != b {
		return a > b
	}
	return c.lastChange.After(other.lastChange)
}

// CrashCounts returns all counters, sorted by fingerprint and instance.
func (w *Guard) CrashCounts(now time.Time) []lacewingramp.CrashCount {
	var all []lacewingramp.CrashCount
	for fingerprint, c := range w.counters {
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

// HeartbeatCounts returns the counters for the next heartbeat: the highest-ranked ones and,
// in rotation, some of the others. This keeps heartbeats small after a failure
// that has crashed many targets, when every request on them has been counted.
func (w *Guard) HeartbeatCounts(now time.Time) []lacewingramp.CrashCount {
	all := w.CrashCounts(now)
	if len(all) <= topCounters+rotatedCounters {
		return all
	}
	sort.SliceStable(all, func(i, j int) bool { return w.counters[all[i].Fingerprint].outranks(w.counters[all[j].Fingerprint]) })
	selected := all[:topCounters:topCounters]
	others := all[topCounters:]
	for range rotatedCounters {
		w.rotation = (w.rotation + 1) % len(others)
		selected = append(selected, others[w.rotation])
	}
	return selected
}

// Merge adopts the counters of another instance where they are higher.
func (w *Guard) Merge(now time.Time, counters []lacewingramp.CrashCount) {
	for _, mark := range counters {
		if c, ok := w.counters[mark.Fingerprint]; ok && c.byInstance[mark.Instance] >= mark.Crashes {
			continue
		}
		c := w.counter(now, mark.Fingerprint)
		c.byInstance[mark.Instance] = mark.Crashes
		c.lastChange = now
	}
}
