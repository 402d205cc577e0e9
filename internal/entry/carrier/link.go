package carrier

import (
	"math"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/index"
)

const (
	kilobyte = 1000
	// messageBytes is what a hop takes besides the bodies.
	messageBytes = 1000
	// answerWeight is the weight of the newest answer in a route's usual size.
	answerWeight = 0.1
)

// crossing is a hop between two regions whose link has a bounded bandwidth.
type crossing struct {
	there lacewingramp.Subject
	back  lacewingramp.Subject
	route string
	spent float64
}

// cross spends what a hop will take of the link to another region, the answer
// by the usual size of its route's answers. It returns nil where nothing is to
// be spent.
func (c *Carrier) cross(j *job, to lacewingramp.Endpoint) (*crossing, error) {
	target, ok := j.index.Domain(to.Domain)
	if !ok {
		return nil, nil
	}
	c.State.Lock()
	defer c.State.Unlock()
	from := c.State.Region
	if target.Region == from || !j.index.BandwidthLimited(from, target.Region) {
		return nil, nil
	}
	x := &crossing{
		there: index.LinkSubject(from, target.Region), back: index.LinkSubject(target.Region, from), route: j.route.Name,
	}
	x.spent = (messageBytes + c.answers[x.route]) / kilobyte
	now := c.Timer.Now()
	if err := c.State.Quota.TakeMany(now, x.there, float64(messageBytes+len(j.Body))/kilobyte); err != nil {
		return nil, errLink(x.there)
	}
	if err := c.State.Quota.TakeMany(now, x.back, x.spent); err != nil {
		return nil, errLink(x.back)
	}
	return x, nil
}

func errLink(s lacewingramp.Subject) error {
	return lacewingramp.NewRefusal(lacewingramp.CauseLink, s.Name)
}

// crossed notes the answer's true size. What it took beyond the usual is spent
// too, as far as there is any left.
func (c *Carrier) crossed(x *crossing, a *lacewingramp.Answer) {
	if x == nil || a == nil {
		return
	}
	size := float64(len(a.Body))
	c.State.Lock()
	defer c.State.Unlock()
	if c.answers == nil {
		c.answers = make(map[string]float64)
	}
	c.answers[x.route] += answerWeight * (size - c.answers[x.route])
	if more := (size+messageBytes)/kilobyte - x.spent; more > 0 {
		now := c.Timer.Now()
		_ = c.State.Quota.TakeMany(now, x.back, math.Min(more, c.State.Quota.Stock(x.back).Level))
	}
}
