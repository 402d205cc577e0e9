package placement

import (
	"time"

	"lacewingramp.example/lacewingramp/internal/steer/completion"
)

// CountSent counts a request as in flight at a target, without a choice.
func (p *Placer) CountSent(now time.Time, name string) {
	p.targets[name].begin(now)
}

// UsualWork returns the usual work of a route at a target that is warm for the object and
// at one that is not, 0 if not known.
func (p *Placer) UsualWork(service, route string) completion.Estimate {
	s, ok := p.completions.services[service]
	if !ok || s.routes[route] == nil {
		return completion.Estimate{}
	}
	return s.routes[route].work.Estimate()
}
