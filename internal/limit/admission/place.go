package admission

// makePlace makes place for a request. If it has to, it displaces the last ones of less urgent
// classes, or of a customer that has more waiting requests of the same class.
func (q *Queue) makePlace(r *Request) bool {
	if r.Bytes > maxBytes {
		return false
	}
	for q.count >= maxWaiting || q.bytes+r.Bytes > maxBytes {
		w := q.last(r)
		if w == nil {
			return false
		}
		q.remove(w)
		q.outcomes.displaced(w.Customer)
		w.signal()
	}
	return true
}

// last returns the waiting request that a new one may displace, nil if there is none.
func (q *Queue) last(r *Request) *Waiter {
	for c := Classes - 1; c > r.Class; c-- {
		for s := 1; s >= 0; s-- {
			if w := q.levels[c][s].last(0); w != nil {
				return w
			}
		}
	}
	l := &q.levels[r.Class][1]
	if r.Returned && l.count > 0 {
		return l.last(0)
	}
	if r.Returned {
		l = &q.levels[r.Class][0]
	}
	return l.last(l.waitingOf(r.Customer) + 1)
}
