package usage

import (
	"bytes"
	"time"
)

const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = time.Second
)

// report is the state of the report of one window.
type report struct {
	// known is the body that was stored in the epoch of its token, as far as this instance has
	// seen it.
	known []byte
	// body is what this instance tries to store, or has found stored.
	body []byte
	// stored says that the store has body, and storedIn in which epoch.
	stored   bool
	storedIn int64
	done     bool
	// failed says that this instance could not store or send it before.
	failed  bool
	backoff time.Duration
	retryAt time.Time
}

// Reports keeps track of the reports of the last windows. The body of a report never changes once
// it may have been stored.
type Reports struct {
	Window time.Duration
	// Late is how long after the end of a window its report may be sent.
	Late time.Duration

	all map[int64]*report
}

func (r *Reports) get(id int64) *report {
	if r.all == nil {
		r.all = make(map[int64]*report)
	}
	if r.all[id] == nil {
		r.all[id] = &report{backoff: minBackoff}
	}
	return r.all[id]
}

// Learn records a body that the store was seen to hold in the epoch of its token.
func (r *Reports) Learn(id int64, body []byte) {
	if p := r.get(id); p.known == nil {
		p.known = bytes.Clone(body)
	}
}

// Known returns what Learn has recorded, nil if nothing.
func (r *Reports) Known(id int64) []byte {
	if p := r.all[id]; p != nil {
		return p.known
	}
	return nil
}

// Next returns the oldest window that ended after a time, can still be reported, and is due
// now.
func (r *Reports) Next(now, since time.Time) (id int64, ok bool) {
	last := WindowOf(now, r.Window) - 1
	for id := WindowOf(now.Add(-r.Late), r.Window) - 1; id <= last; id++ {
		end := EndOf(id, r.Window)
		if !end.After(since) || !now.Before(end.Add(r.Late)) {
			continue
		}
		if p := r.all[id]; p != nil && (p.done || now.Before(p.retryAt)) {
			continue
		}
		return id, true
	}
	return 0, false
}

// Body returns the body of a report, and whether the store is known to have it in an epoch. The
// body is nil if neither this instance nor, as far as it knows, another one has decided on it.
func (r *Reports) Body(id, epoch int64) (body []byte, stored bool) {
	p := r.get(id)
	if p.stored && p.storedIn == epoch {
		return p.body, true
	}
	if p.known != nil {
		return p.known, false
	}
	return p.body, false
}

// Plan says what to do about a window. epoch is that of the holder's token, and clearFrom the
// time from which on nobody but this instance can have reported a window in an earlier epoch. If
// the body is nil and the window is suspect, only what the store has can be sent, if it is
// Usable. If it is nil and the window is not suspect, this instance decides on the body with Fix.
func (r *Reports) Plan(id, epoch int64, clearFrom time.Time) (body []byte, stored, suspect bool) {
	body, stored = r.Body(id, epoch)
	suspect = r.suspect(id, clearFrom)
	if suspect && !stored {
		body = r.Known(id)
	}
	return body, stored, suspect
}

// suspect reports whether a window may have been reported in an earlier epoch.
func (r *Reports) suspect(id int64, clearFrom time.Time) bool {
	return EndOf(id, r.Window).Before(clearFrom)
}

// Usable reports whether a body that the store was found to have may be sent. tokenEpoch is the
// epoch of the token of its writer. One from an earlier epoch may have been written after the
// store was restored, in place of another one that was sent.
func (r *Reports) Usable(id, epoch int64, clearFrom time.Time, tokenEpoch int64, body []byte) bool {
	if tokenEpoch == epoch || !r.suspect(id, clearFrom) {
		return true
	}
	known := r.Known(id)
	return known != nil && bytes.Equal(known, body)
}

// Fix decides on the body that is to be stored. An earlier decision stands.
func (r *Reports) Fix(id int64, body []byte) {
	if p := r.get(id); p.body == nil {
		p.body = bytes.Clone(body)
	}
}

// Stored records the body that the store has in an epoch, which is the only one that may be sent.
func (r *Reports) Stored(id int64, body []byte, epoch int64) {
	p := r.get(id)
	p.body, p.stored, p.storedIn = bytes.Clone(body), true, epoch
}

// Failed records that a report could not be stored or sent, and delays the next attempt.
func (r *Reports) Failed(now time.Time, id int64) {
	p := r.get(id)
	p.failed, p.retryAt = true, now.Add(p.backoff)
	p.backoff = min(maxBackoff, 2*p.backoff)
}

// Wait delays the next attempt for a window whose counts are incomplete.
func (r *Reports) Wait(until time.Time, id int64) {
	r.get(id).retryAt = until
}

// Done records that a window was reported, or is given up.
func (r *Reports) Done(id int64) {
	r.get(id).done = true
}

// Overdue returns the windows that ended after a time, were not reported, and no longer can be. It
// returns each once. Those that the store has and that this instance never tried to send were
// reported by an earlier holder, as far as is known.
func (r *Reports) Overdue(now, since time.Time) (ids []int64) {
	for id := WindowOf(now.Add(-r.Late), r.Window) - 2; id < WindowOf(now, r.Window); id++ {
		end := EndOf(id, r.Window)
		if !end.After(since) || now.Before(end.Add(r.Late)) {
			continue
		}
		p := r.get(id)
		if !p.done && (p.failed || p.known == nil) {
			ids = append(ids, id)
		}
		p.done = true
	}
	return ids
}

// Sweep forgets the windows that ended long ago.
func (r *Reports) Sweep(now time.Time) {
	for id := range r.all {
		if now.Sub(EndOf(id, r.Window)) > r.Late+4*r.Window {
			delete(r.all, id)
		}
	}
}
