// Package usage counts, per window of time and customer, the requests that targets began, merges
// the counts of all instances, and keeps track of which windows have been reported.
//
// A Counter estimates when each attempt of an instance was begun by its target. A Ledger merges
// the latest cumulative counts of all instances. Reports decides which window is to be reported
// next, and with which bytes.
//
// # Usage
//
//	c := usage.Counter{Window: 5 * time.Second, Retention: 15 * time.Second}
//	id := c.Start(usage.Attempt{Customer: "andes", Route: "read", SentAt: now, OneWay: way})
//	c.End(now, id, usage.Result{Outcome: lacewingramp.Ran})
//	w := usage.Encode(names, c.Window(now, k))
//
//	l := usage.Ledger{}
//	l.Record(now, usage.Source{Name: "edge-1", StartMillis: start}, counts)
//	total, missing := l.Total(k, live)
//
// The time passed in must be close to true time, as it numbers the windows. Nothing in this
// package is safe for concurrent use.
package usage

import "time"

// WindowOf returns the number of the window that a time is in.
func WindowOf(t time.Time, window time.Duration) int64 {
	return t.UnixNano() / int64(window)
}

// EndOf returns the end of a window.
func EndOf(id int64, window time.Duration) time.Time {
	return time.Unix(0, (id+1)*int64(window))
}
