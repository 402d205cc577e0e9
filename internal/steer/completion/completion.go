// Package completion estimates when a target would end a request, and picks the target of a
// request by that: the first one of the object's ranking that is expected to end it in time,
// otherwise the one that ends it first within the deadline.
//
// A target that handled an object recently is warm for it and needs less time. Work learns the
// time of warm and of cold runs of a route from responses, Warmth how often targets are warm by
// their rank, Delays the network delay to each region. Regions bounds how fast requests move
// between regions.
//
// # Usage
//
//	request := completion.Request{Work: work, Mean: mean, Objective: objective, Remaining: left}
//	var s completion.Search
//	for rank, t := range ranking {
//		s.Add(&request, request.Estimate(completion.Candidate{Index: rank, Warmth: warmth.At(rank), ...}))
//	}
//	i, ok := s.Best(completion.AnyRegion)
package completion

import (
	"math"
	"time"
)

const (
	// A target is taken without regard to later ones of the ranking if it is warm with the
	// probability promptWarmth, ends the request in time with the probability
	// promptProbability and the expected wait is at most maxPromptWait.
	promptWarmth      = 0.85
	promptProbability = 0.85
	maxPromptWait     = 200 * time.Millisecond
	// punctualProbability is the probability from which a request is taken to end in time.
	punctualProbability = 0.5
	// lateSurcharge is the part of the objective that is added to the cost of an end that
	// is certainly late.
	lateSurcharge = 1.0
	// minGain is by how much more probable an end in time has to be at a later target of
	// the ranking, which may have to become warm for the object first.
	minGain = 0.3
	// inTimeFraction is the fraction of the objective within which a request is expected to end
	// in time, as the time of work varies.
	inTimeFraction = 0.88
	// coldSurcharge is the part of the additional work of a cold run that is added to its cost,
	// because the target is occupied for longer.
	coldSurcharge = 1.0
	// minVariance is the variance of the number of requests ahead that remains if the
	// requests at a target are known, as the time of work varies.
	minVariance = 0.3
	// deviationScale is the scale of the distribution of the requests ahead, in standard
	// deviations of the estimate.
	deviationScale = 0.77
	// MaxCandidates is how many targets of a ranking are considered.
	MaxCandidates = 12
	// minRoom is the minimum expected time until a target at its limit has room.
	minRoom = time.Millisecond
	// AnyRegion allows the targets of all regions.
	AnyRegion = -1
)

// Request is what the estimates need to know of a request. Mean is the mean work of the requests
// of the service.
type Request struct {
	Work      Estimate
	Mean      time.Duration
	Objective time.Duration
	Remaining time.Duration
	// Named says that the request concerns an object, for which targets become warm.
	Named bool
}

// Candidate is a target for a request. Warmth is the probability that it is warm for the object,
// Requests the number of requests of all instances there, and Factor the time of work relative to
// the usual. Delay is the network delay both ways. Region is an index of its region.
type Candidate struct {
	Index    int
	Region   int
	Slots    int
	Requests float64
	// Variance is the variance of the estimate of Requests.
	Variance float64
	Factor   float64
	Warmth   float64
	Delay    time.Duration
	// Doubtful is set for a target that is used only if there is no other.
	Doubtful bool
	// Over is by how many requests the target would be above its limit with this one. It gets none
	// then.
	Over float64
}

// Estimated is a candidate with its expected completion.
type Estimated struct {
	Index    int
	Region   int
	Expected time.Duration
	cost     time.Duration
	// punctual is the probability that the request ends within its objective.
	punctual float64
	warmth   float64
	class    class
	removed  bool
	// keepsOrder says that the order of the ranking is kept unless a later target is
	// clearly better.
	keepsOrder bool
	// room is the expected time until a target at its limit could take the request.
	room time.Duration
}

// class is the preference for a candidate, the best one first.
type class int

const (
	// prompt candidates are expected to be warm and to end the request in time after a short wait.
	prompt class = iota
	usual
	doubtful
	tooLate
	full
)

// Estimate returns the expected completion of the request at a candidate.
func (r *Request) Estimate(c Candidate) Estimated {
	slots := float64(max(1, c.Slots))
	perRequest := float64(r.Mean) * c.Factor / slots
	over := c.Requests - slots + 1
	if c.Over > 0 {
		return r.atLimit(&c, over*perRequest, perRequest)
	}
	scale := deviationScale * math.Sqrt(c.Variance+minVariance)
	wait := ahead(over, scale) * perRequest
	work := float64(r.Work.at(c.Warmth)) * c.Factor
	expected := c.Delay + time.Duration(wait+work)
	e := Estimated{Index: c.Index, Region: c.Region, Expected: expected, punctual: 1, warmth: c.Warmth}
	if r.Objective > 0 {
		left := inTimeFraction*float64(r.Objective) - float64(c.Delay)
		warm := within(left-float64(r.Work.Warm)*c.Factor, over, perRequest, scale)
		cold := within(left-float64(r.Work.Cold)*c.Factor, over, perRequest, scale)
		e.punctual = c.Warmth*warm + (1-c.Warmth)*cold
	}
	surcharge := coldSurcharge * (work - float64(r.Work.Warm)*c.Factor)
	e.cost = expected + time.Duration(surcharge+lateSurcharge*(1-e.punctual)*float64(r.Objective))
	e.keepsOrder = r.Objective > 0 && r.Named
	e.class = r.classOf(&c, &e, time.Duration(wait))
	return e
}

// atLimit returns the expected completion at a target that is at its limit.
func (r *Request) atLimit(c *Candidate, wait, perRequest float64) Estimated {
	work := float64(r.Work.at(c.Warmth)) * c.Factor
	return Estimated{
		Index: c.Index, Region: c.Region, Expected: c.Delay + time.Duration(max(0, wait)+work), class: full,
		room: max(minRoom, time.Duration(c.Over*perRequest)),
	}
}

// The number of requests ahead has Student's t-distribution with two degrees of freedom
// around the estimate, as its functions cost little.

// ahead returns the expected number of requests that have to end before one can run, if the
// estimate of that number is over with a scale, and it is at least 0.
func ahead(over, scale float64) float64 {
	x := over / scale
	return scale * (x + math.Sqrt(1+x*x)) / 2
}

// within returns the probability that the requests ahead end within a time.
func within(left, over, perRequest, scale float64) float64 {
	if left <= 0 || perRequest <= 0 {
		return 0
	}
	x := (left/perRequest - over) / scale
	return (1 + x/math.Sqrt(1+x*x)) / 2
}

func (r *Request) classOf(c *Candidate, e *Estimated, wait time.Duration) class {
	switch {
	case r.Remaining > 0 && e.Expected > r.Remaining:
		return tooLate
	case c.Doubtful:
		return doubtful
	case e.punctual >= promptProbability && c.Warmth >= promptWarmth && wait <= maxPromptWait:
		return prompt
	}
	return usual
}

// Search holds the candidates of one request, in the order of the ranking. The zero value is empty.
type Search struct {
	list [MaxCandidates]Estimated
	n    int
	room time.Duration
}

// Add adds a candidate, unless it is at its limit. It reports whether there is room for more.
func (s *Search) Add(r *Request, e Estimated) bool {
	if e.class == full {
		s.addRoom(r, &e)
		return true
	}
	if s.n < MaxCandidates {
		s.list[s.n] = e
		s.n++
	}
	return s.n < MaxCandidates
}

// addRoom notes when a target at its limit has room, if it could end the request then.
func (s *Search) addRoom(r *Request, e *Estimated) {
	if r.Remaining > 0 && e.room+e.Expected > r.Remaining {
		return
	}
	if s.room == 0 || e.room < s.room {
		s.room = e.room
	}
}

// HasPrompt reports whether there is a candidate in a region that is taken without regard
// to later ones.
func (s *Search) HasPrompt(region int) bool {
	for i := range s.n {
		e := &s.list[i]
		if e.class == prompt && !e.removed && (region == AnyRegion || e.Region == region) {
			return true
		}
	}
	return false
}

// RoomIn returns the expected time until a target that is at its limit could take the request and
// end it within its deadline, 0 if there is none.
func (s *Search) RoomIn() time.Duration { return s.room }

// Remove removes a candidate that cannot be used after all.
func (s *Search) Remove(index int) {
	for i := range s.n {
		if s.list[i].Index == index {
			s.list[i].removed = true
		}
	}
}

// Best returns the best candidate of a region: the first one that ends the request in time
// after a short wait, otherwise the one of the best class with the lowest cost, or for an
// object the first one unless a later one is clearly better.
func (s *Search) Best(region int) (best Estimated, ok bool) {
	for i := range s.n {
		e := &s.list[i]
		if e.removed || e.class == tooLate || (region != AnyRegion && e.Region != region) {
			continue
		}
		if e.class == prompt {
			return *e, true
		}
		if !ok || e.class < best.class || (e.class == best.class && e.betterThan(&best)) {
			best, ok = *e, true
		}
	}
	return best, ok
}

// betterThan reports whether a candidate of the same class is preferred to an earlier one.
func (e *Estimated) betterThan(earlier *Estimated) bool {
	if e.keepsOrder {
		return e.punctual > earlier.punctual+minGain
	}
	return e.cost < earlier.cost
}

// Suitable reports whether the candidate is probably warm and probably ends the request in time.
func (e *Estimated) Suitable() bool {
	return e.punctual >= punctualProbability && e.warmth >= promptWarmth
}
