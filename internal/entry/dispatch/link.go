package dispatch

import (
	"math"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/index"
)

// Sizes of forwarded messages. The tokens of a link's limit are kilobytes.
const (
	kilobyte = 1000
	// overheadBytes is the estimated size of a forwarded request or response
	// without its body.
	overheadBytes = 1000
	// averageSmoothing is the weight of the newest response in averageBytes.
	averageSmoothing = 0.1
)

// linkCharge is the bandwidth taken for a request that is forwarded to another
// region over a link with limited bandwidth. responseKB is the amount taken for the
// response, in kilobytes.
type linkCharge struct {
	outbound   lacewingramp.Subject
	inbound    lacewingramp.Subject
	route      string
	responseKB float64
}

// chargeLink takes the bandwidth for a request to another instance, and for its
// response. The size of the response is estimated by the average of its route. It
// returns nil if the bandwidth to the instance is not limited.
func (d *Dispatcher) chargeLink(req *request, to lacewingramp.Endpoint) (*linkCharge, error) {
	domain, ok := req.index.Domain(to.Domain)
	if !ok {
		return nil, nil
	}
	d.State.Lock()
	defer d.State.Unlock()
	from := d.State.Region
	if domain.Region == from || !req.index.BandwidthLimited(from, domain.Region) {
		return nil, nil
	}
	charge := &linkCharge{
		outbound: index.LinkSubject(from, domain.Region), inbound: index.LinkSubject(domain.Region, from), route: req.route.Name,
	}
	charge.responseKB = (overheadBytes + d.averageBytes[charge.route]) / kilobyte
	now := d.Timer.Now()
	if err := d.State.Quota.TakeMany(now, charge.outbound, float64(overheadBytes+len(req.Body))/kilobyte); err != nil {
		return nil, linkRefusal(charge.outbound)
	}
	if err := d.State.Quota.TakeMany(now, charge.inbound, charge.responseKB); err != nil {
		return nil, linkRefusal(charge.inbound)
	}
	return charge, nil
}

func linkRefusal(s lacewingramp.Subject) error {
	return lacewingramp.NewRefusal(lacewingramp.CauseLink, s.Name)
}

// settleCharge updates the average of the route with the size of a response. If the
// response is larger than estimated, it takes the bandwidth for the difference, or
// as much of it as is left.
func (d *Dispatcher) settleCharge(charge *linkCharge, resp *lacewingramp.Response) {
	if charge == nil || resp == nil {
		return
	}
	size := float64(len(resp.Body))
	d.State.Lock()
	defer d.State.Unlock()
	if d.averageBytes == nil {
		d.averageBytes = make(map[string]float64)
	}
	d.averageBytes[charge.route] += averageSmoothing * (size - d.averageBytes[charge.route])
	if excess := (size+overheadBytes)/kilobyte - charge.responseKB; excess > 0 {
		now := d.Timer.Now()
		_ = d.State.Quota.TakeMany(now, charge.inbound, math.Min(excess, d.State.Quota.SubjectState(charge.inbound).Balance))
	}
}
