package placement

import "time"

// CountSent counts a request as in flight at a target, without a choice.
func (p *Placer) CountSent(now time.Time, name string) {
	p.targets[name].begin(now)
}
