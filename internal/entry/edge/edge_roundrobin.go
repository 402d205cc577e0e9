package edge

import "lacewingramp.example/lacewingramp"

// weightedRoundRobin distributes a route's requests over services by smooth weighted
// round-robin. Each request adds to every service's credit its fraction of the total
// weight, goes to the service with the most credit, and reduces that credit by one. The
// shares are therefore exact at any time, not just on average.
type weightedRoundRobin struct {
	credit map[string]float64
}

// service returns the service for a route's next request.
func (e *Edge) service(r *lacewingramp.Route) string {
	if len(r.ServiceWeights) == 0 {
		return r.Service
	}
	s, ok := e.roundRobins[r.Name]
	if !ok {
		s = &weightedRoundRobin{credit: make(map[string]float64)}
		e.roundRobins[r.Name] = s
	}
	return s.next(r.ServiceWeights)
}

func (s *weightedRoundRobin) next(all lacewingramp.ServiceWeights) string {
	sum := 0.0
	for _, w := range all {
		sum += w.Weight
	}
	best := ""
	for _, w := range all {
		if w.Weight <= 0 {
			continue
		}
		s.credit[w.Service] += w.Weight / sum
		if best == "" || s.credit[w.Service] > s.credit[best] {
			best = w.Service
		}
	}
	s.credit[best]--
	return best
}
