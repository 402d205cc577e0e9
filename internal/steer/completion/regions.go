package completion

import "time"

const (
	// MaxRegions is the number of regions whose shares are limited.
	MaxRegions = 8
	// maxShareSpeed is how much the share of a region may change per second. Together with
	// maxCredit, that is less than 15% in 2 s.
	maxShareSpeed = 0.03
	// maxCredit is by how many requests a region may be ahead of or behind its share. A
	// bound of 0.5 distorts the shares.
	maxCredit = 0.75
	// wantedTimeConstant is the time constant in which the shares that the choice asks for are
	// averaged, and minWantedWeight the minimum weight of the latest request.
	wantedTimeConstant = 1.0
	minWantedWeight    = 0.02
	maxWantedWeight    = 0.3
)

// Regions bounds how fast the requests of a service move between regions: the share of
// requests that a region gets follows the share that the unbounded choice gives it at a
// bounded speed. An object that was sent to another region under load so returns gradually
// when the load falls. The zero value is ready to use; it starts with what the first
// requests ask for.
type Regions struct {
	wanted  [MaxRegions]float64
	shares  [MaxRegions]float64
	credits [MaxRegions]float64
	count   int
	at      time.Time
}

// learnedRequests is how many requests are sent without a bound at first.
const learnedRequests = 24

// Want records the region that the unbounded choice gives a request, and returns the region
// that the request should run in if it can end in time there.
func (r *Regions) Want(now time.Time, region int) int {
	if region < 0 || region >= MaxRegions {
		return region
	}
	elapsed := min(max(now.Sub(r.at).Seconds(), 0), 2)
	r.at = now
	r.count++
	weight := min(max(elapsed/wantedTimeConstant, minWantedWeight), maxWantedWeight)
	if r.count <= learnedRequests {
		weight = 1 / float64(r.count)
	}
	for i := range r.wanted {
		sample := 0.0
		if i == region {
			sample = 1
		}
		r.wanted[i] += weight * (sample - r.wanted[i])
	}
	if r.count <= learnedRequests {
		r.shares = r.wanted
		return region
	}
	r.follow(elapsed * maxShareSpeed)
	for i := range r.credits {
		r.credits[i] = min(r.credits[i]+r.shares[i], maxCredit)
	}
	if r.credits[region] > 0 {
		return region
	}
	best := region
	for i, c := range r.credits {
		if c > r.credits[best] {
			best = i
		}
	}
	return best
}

// follow moves the shares towards the wanted ones, by a total of at most a limit.
func (r *Regions) follow(limit float64) {
	distance := 0.0
	for i := range r.shares {
		distance += max(0, r.wanted[i]-r.shares[i])
	}
	if distance == 0 {
		return
	}
	fraction := min(1, limit/distance)
	for i := range r.shares {
		r.shares[i] += fraction * (r.wanted[i] - r.shares[i])
	}
}

// Sent records the region that a request is sent to.
func (r *Regions) Sent(region int) {
	if region < 0 || region >= MaxRegions {
		return
	}
	r.credits[region] = max(r.credits[region]-1, -maxCredit)
}
