package usage

import (
	"slices"
	"strings"
	"time"

	"lacewingramp.example/lacewingramp"
)

const (
	// maxNames is the number of lists of customers that are kept to decode counts. Instances
	// send counts by an earlier table for a short time.
	maxNames = 8
	// maxSources bounds the number of instances that are kept.
	maxSources = 8192
)

// Source identifies one run of an instance.
type Source struct {
	Name        string
	StartMillis int64
}

// sourceCounts are the latest counts of a source, by window.
type sourceCounts struct {
	sequence uint64
	heardAt  time.Time
	windows  map[int64]windowEntry
}

// windowEntry is a window as it was received. It is decoded once the names are known.
type windowEntry struct {
	fingerprint uint64
	window      lacewingramp.UsageWindow
}

// Ledger merges the counts of all instances. Window and Retention are those of a Counter.
type Ledger struct {
	Window    time.Duration
	Retention time.Duration

	sources map[Source]*sourceCounts
	names   []Names
}

// SetNames adds the customers of the table in force, by which counts are decoded.
func (l *Ledger) SetNames(n Names) {
	for _, known := range l.names {
		if known.Fingerprint == n.Fingerprint {
			return
		}
	}
	l.names = append(l.names, n)
	if len(l.names) > maxNames {
		l.names = l.names[1:]
	}
}

// Record records counts of a source. It ignores those that are older than what it has, and windows
// that are no longer, or not yet, reported.
func (l *Ledger) Record(now time.Time, s Source, u *lacewingramp.UsageCounts) {
	if l.sources == nil {
		l.sources = make(map[Source]*sourceCounts)
	}
	c := l.sources[s]
	if c == nil {
		if len(l.sources) >= maxSources {
			return
		}
		c = &sourceCounts{windows: make(map[int64]windowEntry)}
		l.sources[s] = c
	}
	if u.Sequence <= c.sequence {
		return
	}
	c.sequence, c.heardAt = u.Sequence, now
	for _, w := range u.Windows {
		if w.ID < WindowOf(now.Add(-l.Retention-l.Window), l.Window) || w.ID > WindowOf(now, l.Window)+1 {
			continue
		}
		c.windows[w.ID] = windowEntry{fingerprint: u.Fingerprint, window: w}
	}
}

// Sweep forgets the windows and sources that are no longer needed.
func (l *Ledger) Sweep(now time.Time) {
	oldest := WindowOf(now.Add(-l.Retention-l.Window), l.Window)
	for s, c := range l.sources {
		for id := range c.windows {
			if id < oldest {
				delete(c.windows, id)
			}
		}
		if len(c.windows) == 0 && now.Sub(c.heardAt) > l.Retention+l.Window {
			delete(l.sources, s)
		}
	}
}

// Total returns the sum of the counts of all sources in a window, and the names of those live
// instances whose settled counts are missing.
func (l *Ledger) Total(id int64, live []Source) (total map[string]uint64, missing []string) {
	total = make(map[string]uint64)
	settled := make(map[Source]bool)
	for s, c := range l.sources {
		e, ok := c.windows[id]
		if !ok {
			continue
		}
		w, ok := l.decode(e)
		if !ok {
			continue
		}
		for name, n := range w.Counts {
			if n > 0 {
				total[name] += n
			}
		}
		settled[s] = w.Settled
	}
	end := EndOf(id, l.Window).UnixMilli()
	for _, s := range live {
		if !settled[s] && s.StartMillis < end {
			missing = append(missing, s.Name)
		}
	}
	slices.SortFunc(missing, strings.Compare)
	return total, missing
}

// Awaited reports whether counts of a window may still arrive: one of the live instances has not
// sent its settled counts, and was heard within a time, or never.
func (l *Ledger) Awaited(now time.Time, id int64, live []Source, silence time.Duration) bool {
	end := EndOf(id, l.Window).UnixMilli()
	for _, s := range live {
		if s.StartMillis >= end {
			continue
		}
		c := l.sources[s]
		if c == nil {
			return true
		}
		e, ok := c.windows[id]
		if settled := ok && e.window.Settled; !settled && now.Sub(c.heardAt) <= silence {
			return true
		}
	}
	return false
}

func (l *Ledger) decode(e windowEntry) (WindowCounts, bool) {
	if len(e.window.Counts) == 0 {
		w, err := Names{}.Decode(e.window)
		return w, err == nil
	}
	for _, n := range l.names {
		if n.Fingerprint == e.fingerprint {
			w, err := n.Decode(e.window)
			return w, err == nil
		}
	}
	return WindowCounts{}, false
}

// Sources returns the sources that are known.
func (l *Ledger) Sources() []Source {
	all := make([]Source, 0, len(l.sources))
	for s := range l.sources {
		all = append(all, s)
	}
	return all
}
