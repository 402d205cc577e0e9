// Package poison keeps a request that crashes its target from taking one
// target after another.
//
// The print of a request is a hash of its customer, route and body. When a
// target dies, every request that ran on it is marked. Marks are counted per
// instance and merged by their maximum, so that they can be exchanged in any
// order. A request whose print has seen two deaths is refused for a time.
//
// # Usage
//
//	print := poison.Print(carry)
//	if !ward.Enter(now, print) {
//		// Refuse as not run.
//	}
//	died := ...
//	ward.Leave(now, print, died)
package poison

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
)

// Policy.
const (
	// Most is how many deaths a print may see before it is refused.
	Most = 2
	// Time is how long a print is remembered after its last death.
	Time = 10 * time.Minute
	// marksMost is how many prints are remembered.
	marksMost = 64
	// newsMost is how many of the marks that matter most are told in a round, and
	// turnMost how many of all marks by turns.
	newsMost = 4
	turnMost = 4
)

// Print returns the print of a request.
func Print(c *lacewingramp.Carry) uint64 {
	var d xxhash.Digest
	_, _ = d.WriteString(c.Customer)
	_, _ = d.WriteString("\x00" + c.Route + "\x00" + c.Method + "\x00" + c.URI + "\x00")
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// Ward remembers marks. Its zero value is ready, for an instance without a
// name. It is not safe for use by more than one goroutine.
type Ward struct {
	// Instance is the name under which this instance counts deaths.
	Instance string

	marks   map[uint64]*mark
	running map[uint64]int
	// turn counts the marks that have been told by turns.
	turn int
}

// mark is what is known of a print: its deaths by instance, and when the last
// was seen or heard of.
type mark struct {
	deaths map[string]int
	last   time.Time
}

func (m *mark) total() int {
	n := 0
	for _, d := range m.deaths {
		n += d
	}
	return n
}

// Enter asks whether a request may run. A request whose print has seen a
// death runs alone, so that one death is seen before the next one can happen.
func (w *Ward) Enter(now time.Time, print uint64) bool {
	if n := w.deaths(now, print); n > 0 {
		if n >= Most || w.running[print] > 0 {
			return false
		}
	}
	if w.running == nil {
		w.running = make(map[uint64]int)
	}
	w.running[print]++
	return true
}

func (w *Ward) deaths(now time.Time, print uint64) int {
	m, ok := w.marks[print]
	if !ok {
		return 0
	}
	if now.Sub(m.last) > Time {
		delete(w.marks, print)
		return 0
	}
	return m.total()
}

// Leave tells that a request that entered has ended, and whether its target
// died under it.
func (w *Ward) Leave(now time.Time, print uint64, died bool) {
	w.running[print]--
	if w.running[print] <= 0 {
		delete(w.running, print)
	}
	if died {
		m := w.mark(now, print)
		m.deaths[w.Instance]++
		m.last = now
	}
}

func (w *Ward) mark(now time.Time, print uint64) *mark {
	if w.marks == nil {
		w.marks = make(map[uint64]*mark)
	}
	m, ok := w.marks[print]
	if !ok {
		w.trim()
		m = &mark{deaths: make(map[string]int), last: now}
		w.marks[print] = m
	}
	return m
}

// trim forgets the least mark when there are too many.
func (w *Ward) trim() {
	if len(w.marks) < marksMost {
		return
	}
	var least uint64
	found := false
	for p, m := range w.marks {
		if !found || w.marks[least].before(m) {
			least, found = p, true
		}
	}
	delete(w.marks, least)
}

// before reports whether a mark matters more than another: it has seen more
// deaths, or as many and one of them later. After a failure that has taken many
// targets most marks are of requests that had no part in it.
func (m *mark) before(other *mark) bool {
	if a, b := m.total(), other.total(); a != b {
		return a > b
	}
	return m.last.After(other.last)
}

// Marks lists what is remembered, for the next heartbeat.
func (w *Ward) Marks(now time.Time) []lacewingramp.Mark {
	var all []lacewingramp.Mark
	for p, m := range w.marks {
		if now.Sub(m.last) > Time {
			continue
		}
		for n, d := range m.deaths {
			all = append(all, lacewingramp.Mark{Print: p, Instance: n, Deaths: d})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Print != all[j].Print {
			return all[i].Print < all[j].Print
		}
		return all[i].Instance < all[j].Instance
	})
	return all
}

// Told lists the marks for the next heartbeat: those that matter most, and some
// of the others by turns. So a heartbeat stays small after a failure that has
// taken many targets, with all that ran on them.
func (w *Ward) Told(now time.Time) []lacewingramp.Mark {
	all := w.Marks(now)
	if len(all) <= newsMost+turnMost {
		return all
	}
	sort.SliceStable(all, func(i, j int) bool { return w.marks[all[i].Print].before(w.marks[all[j].Print]) })
	told := all[:newsMost:newsMost]
	others := all[newsMost:]
	for range turnMost {
		w.turn = (w.turn + 1) % len(others)
		told = append(told, others[w.turn])
	}
	return told
}

// Merge takes in the marks of another instance.
func (w *Ward) Merge(now time.Time, marks []lacewingramp.Mark) {
	for _, k := range marks {
		if m, ok := w.marks[k.Print]; ok && m.deaths[k.Instance] >= k.Deaths {
			continue
		}
		m := w.mark(now, k.Print)
		m.deaths[k.Instance] = k.Deaths
		m.last = now
	}
}
