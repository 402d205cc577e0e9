// Package schedule computes when a region's cap is in force, from times of day in the
// region's time zone. It handles times across midnight and daylight saving changes.
//
// # Usage
//
//	s := schedule.New(cap, "America/Montevideo")
//	if window, ok := s.FirstOverlap(now, deadline); ok {
//		// A request that may run until deadline counts against the cap.
//	}
package schedule

import (
	"time"
	_ "time/tzdata" // instances may have no time zone files

	"lacewingramp.example/lacewingramp"
)

// Schedule is the time of each day during which a cap is in force. The zero value means
// at all times.
type Schedule struct {
	from     lacewingramp.TimeOfDay
	until    lacewingramp.TimeOfDay
	location *time.Location
}

// New returns the schedule of a cap in a time zone. An unknown zone is treated as UTC,
// but does not occur, as Table.Check rejects it.
func New(c lacewingramp.Cap, zone string) Schedule {
	loc, err := time.LoadLocation(zone)
	if err != nil {
		loc = time.UTC
	}
	return Schedule{from: c.From, until: c.Until, location: loc}
}

// Window is the time from Start (inclusive) to End (exclusive).
type Window struct {
	Start time.Time
	End   time.Time
}

// Always reports whether the cap has no times of day and is in force at all times.
func (s Schedule) Always() bool {
	return s.from == 0
}

// InForce reports whether the cap is in force at a point in time.
func (s Schedule) InForce(at time.Time) bool {
	_, ok := s.FirstOverlap(at, at)
	return ok
}

// FirstOverlap returns the first window of the cap that overlaps the time from first to
// last (both inclusive), and whether there is one. For a cap without times of day it
// returns the zero Window and true.
func (s Schedule) FirstOverlap(first, last time.Time) (Window, bool) {
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

// window returns the window that begins on the date of local plus a number of days. At
// the end of daylight saving time, some times of day occur twice. The window begins at
// the first occurrence of its start and ends at the second occurrence of its end.
func (s Schedule) window(local time.Time, day int) Window {
	y, m, d := local.Date()
	hour, minute := s.from.Clock()
	start := time.Date(y, m, d+day, hour, minute, 0, 0, s.location)
	hour, minute = s.until.Clock()
	if s.until <= s.from {
		day++
	}
	end := time.Date(y, m, d+day, hour, minute, 0, 0, s.location)
	return Window{Start: sameClockTime(start, -time.Hour), End: sameClockTime(end, time.Hour)}
}

// sameClockTime returns t+d if a clock shows the same time of day then as at t, which
// is the case if that time of day occurs twice. Otherwise it returns t.
func sameClockTime(t time.Time, d time.Duration) time.Time {
	shifted := t.Add(d)
	if shifted.Hour() == t.Hour() && shifted.Minute() == t.Minute() {
		return shifted
	}
	return t
}
