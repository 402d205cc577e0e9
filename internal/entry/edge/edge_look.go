package edge

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

const (
	// lookupMost is how many addresses an answer has at most.
	lookupMost = 16
	// lookupPart is the part of the longest life that a look-up is given, so
	// that callers soon leave an instance that stops.
	lookupPart = 0.4
)

// Lookup says which instances a caller should connect to: those of its own
// region, or where there are none, those of the regions in which all routes of
// the host may run, or any.
func (e *Edge) Lookup(host, region string) (addresses []string, life time.Duration) {
	e.mu.Lock()
	now := e.Timer.Now()
	serving := e.roll.Serving(now)
	e.mu.Unlock()
	if e.Ready() {
		serving = append(serving, e.self)
	}
	life = time.Duration(float64(e.LookupLife) * lookupPart)
	for _, regions := range []lacewingramp.Names{{region}, e.homes(host), nil} {
		if found := e.inRegions(serving, regions); len(found) > 0 {
			return found, life
		}
	}
	return nil, 0
}

func (e *Edge) homes(host string) lacewingramp.Names {
	if m := e.routes.Load(); m != nil {
		return m.Homes(host)
	}
	return nil
}

func (e *Edge) inRegions(all []lacewingramp.Endpoint, regions lacewingramp.Names) []string {
	var found []string
	for _, m := range all {
		if regions.Allow(e.Regions[m.Domain]) && len(found) < lookupMost {
			found = append(found, m.Caller)
		}
	}
	return found
}
