package edge

import "lacewingramp.example/lacewingramp"

// split deals a route's requests out to services by weight. Each request adds
// every service's part to its credit, and the largest credit pays for it, so
// that the parts are exact at any time.
type split struct {
	credit map[string]float64
}

// service returns the service that a route's next request goes to.
func (e *Edge) service(r *lacewingramp.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	s, ok := e.splits[r.Name]
	if !ok {
		s = &split{credit: make(map[string]float64)}
		e.splits[r.Name] = s
	}
	return s.next(r.Split)
}

func (s *split) next(all lacewingramp.Split) string {
	sum := 0.0
	for _, p := range all {
		sum += p.Weight
	}
	best := ""
	for _, p := range all {
		if p.Weight <= 0 {
			continue
		}
		s.credit[p.Service] += p.Weight / sum
		if best == "" || s.credit[p.Service] > s.credit[best] {
			best = p.Service
		}
	}
	s.credit[best]--
	return best
}
