package freshness

// Origins returns the number of instances whose latest confirmation is remembered.
func (t *Tracker) Origins() int { return len(t.byOrigin) }
