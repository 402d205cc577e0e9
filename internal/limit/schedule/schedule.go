// Package schedule works out when a region's cap holds, in the region's time
// zone, across midnight and changes of daylight saving time.
//
// # Usage
//
//	s := schedule.New(cap, "America/Montevideo")
//	if start, ok := s.Touches(now, deadline); ok {
//		// A request that may run until deadline counts against the cap.
//	}
package schedule

import (
	"time"
	_ "time/tzdata" // instances may have no time zone files

	"lacewingramp.example/lacewingramp"
)

// Schedule is the times of day at which a cap holds. The zero value always
// holds.
type Schedule struct {
	from     lacewingramp.TimeOfDay
	until    lacewingramp.TimeOfDay
	location *time.Location
}

// New returns the schedule of a cap in a time zone. A zone that is not known
// is taken as UTC; the Table's check refuses it before.
func New(c lacewingramp.Cap, zone string) Schedule {
	l, err := time.LoadLocation(zone)
	if err != nil {
		l = time.UTC
	}
	return Schedule{from: c.From, until: c.Until, location: l}
}

// Window is a stretch of time from Start up to, but without, End.
type Window struct {
	Start time.Time
	End   time.Time
}

// Always reports whether the cap has no times.
func (s Schedule) Always() bool {
	return s.from == 0
}

// Holds reports whether the cap holds at a moment.
func (s Schedule) Holds(at time.Time) bool {
	_, ok := s.Touches(at, at)
	return ok
}

// Touches finds the first window of the cap that has a moment in common with
// the time from first to last, both included.
func (s Schedule) Touches(first, last time.Time) (Window, bool) {
	if s.Always() {
		return Window{}, true
	}
	local := first.In(s.location)
	for day := -1; day <= 1+int(last.Sub(first)/(24*time.Hour)); day++ {
		w := s.window(local, day)
		if !w.Start.After(last) && w.End.After(first) {
			return w, true
		}
	}
	return Window{}, false
}

// window returns the window that begins on a day counted from that of local.
// Of a time of day that comes twice when daylight saving ends, the window
// begins at the first and ends at the second.
func (s Schedule) window(local time.Time, day int) Window {
	y, m, d := local.Date()
	h, n := s.from.Clock()
	start := time.Date(y, m, d+day, h, n, 0, 0, s.location)
	h, n = s.until.Clock()
	if s.until <= s.from {
		day++
	}
	end := time.Date(y, m, d+day, h, n, 0, 0, s.location)
	return Window{Start: twin(start, -time.Hour), End: twin(end, time.Hour)}
}

// twin returns the moment d away from t if it shows the same time of day.
func twin(t time.Time, d time.Duration) time.Time {
	o := t.Add(d)
	if o.Hour() == t.Hour() && o.Minute() == t.Minute() {
		return o
	}
	return t
}
