package resolver

import (
	"math"
	"time"
)

const (
	// highUtilization is the utilization of a domain above which callers are
	// directed to other domains.
	highUtilization = 0.85
	// lowUtilization is the utilization below which callers are directed back. In
	// between, the fraction of callers that are directed elsewhere stays as it is.
	lowUtilization = 0.6
	// maxDecrease and maxIncrease bound the change of a domain's local fraction
	// per Lifetime. It increases more slowly, because the caches of a domain are
	// cold for the callers that return.
	maxDecrease = 0.25
	maxIncrease = 0.1
	// minLocalFraction keeps a few callers at an overloaded domain, so that its
	// recovery is noticed.
	minLocalFraction = 0.05
)

// Load is the reported load of a service in one domain. If a cap applies, or will
// apply before an answer given now expires, Limit is its rate in requests per
// second and Rate the rate at which requests arrive. Limit is 0 otherwise.
type Load struct {
	Domain  string
	Service string
	Slots   int
	Used    int
	Waiting int
	Limit   float64
	Rate    float64
}

func (l Load) utilization() float64 {
	utilization := 0.0
	if l.Slots > 0 {
		utilization = float64(l.Used+l.Waiting) / float64(l.Slots)
	} else if l.Used+l.Waiting > 0 {
		utilization = 1
	}
	if l.Limit > 0 {
		utilization = math.Max(utilization, l.Rate/l.Limit)
	}
	return utilization
}

// fractionState is the local fraction of a domain for one service. updatedAt is zero
// if no load has been observed yet.
type fractionState struct {
	fraction  float64
	updatedAt time.Time
}

// Observe updates the local fractions from the loads. A domain without a load
// keeps its fraction.
func (r *Resolver) Observe(now time.Time, loads []Load) {
	for _, l := range loads {
		i, ok := r.domainIndex[l.Domain]
		if !ok {
			continue
		}
		list := r.localFractions[l.Service]
		if list == nil {
			list = make([]fractionState, len(r.domains))
			r.localFractions[l.Service] = list
		}
		if list[i].updatedAt.IsZero() {
			list[i] = fractionState{fraction: 1, updatedAt: now}
		}
		list[i].update(now, l.utilization())
	}
}

func (s *fractionState) update(now time.Time, utilization float64) {
	// The fraction of a lifetime that has passed since the last update.
	fraction := math.Min(1, now.Sub(s.updatedAt).Seconds()/Lifetime.Seconds())
	s.updatedAt = now
	switch {
	case utilization > highUtilization:
		goal := math.Max(minLocalFraction, s.fraction*highUtilization/utilization)
		s.fraction = math.Max(goal, s.fraction-maxDecrease*fraction)
	case utilization < lowUtilization:
		s.fraction = math.Min(1, s.fraction+maxIncrease*fraction)
	}
}

// LocalFraction returns the fraction of a domain's callers that are directed to
// their own domain, 1 if no load has been observed.
func (r *Resolver) LocalFraction(domain, service string) float64 {
	i, ok := r.domainIndex[domain]
	if !ok {
		return 1
	}
	return localFraction(r.localFractions[service], i)
}

func localFraction(list []fractionState, domain int32) float64 {
	if list == nil || list[domain].updatedAt.IsZero() {
		return 1
	}
	return list[domain].fraction
}
