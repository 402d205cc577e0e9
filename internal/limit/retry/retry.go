// Package retry keeps repeats of requests within a part of the requests
// themselves, per service and over all instances together.
//
// Each instance may repeat a fixed part of its own requests of the last
// window, and its part of a small amount besides. No message is needed, and
// the sum over all instances holds whatever they know of each other.
//
// # Usage
//
//	b := &retry.Budget{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
//	b.Count(now, service)
//	if b.Take(now, service, instances) {
//		// Send the request to another target.
//	}
//
// A Budget is not safe for use by more than one goroutine.
package retry

import "time"

const (
	// cells is how many parts a window is counted in.
	cells = 10
	// reserve is the part of the budget that is left unused, as windows are
	// counted in cells and instances come and go.
	reserve = 0.25
)

// Budget bounds repeats. The zero value of its counters is ready.
type Budget struct {
	// Ratio is how many repeats a request allows.
	Ratio float64
	// Extra is how many repeats a window allows besides, over all instances.
	Extra float64
	// Window is the time over which both are counted.
	Window time.Duration

	services map[string]*counter
}

// counter counts requests and repeats of one service in cells of the window.
type counter struct {
	requests [cells]float64
	repeats  [cells]float64
	cell     int64
}

func (b *Budget) counter(now time.Time, service string) *counter {
	if b.services == nil {
		b.services = make(map[string]*counter)
	}
	c, ok := b.services[service]
	if !ok {
		c = &counter{}
		b.services[service] = c
	}
	c.turn(now.UnixNano() / max(1, int64(b.Window)/cells))
	return c
}

// turn empties the cells that have left the window.
func (c *counter) turn(cell int64) {
	if cell-c.cell >= cells {
		c.requests, c.repeats = [cells]float64{}, [cells]float64{}
		c.cell = cell
	}
	for c.cell < cell {
		c.cell++
		c.requests[c.cell%cells] = 0
		c.repeats[c.cell%cells] = 0
	}
}

// Count counts a request of a caller.
func (b *Budget) Count(now time.Time, service string) {
	c := b.counter(now, service)
	c.requests[c.cell%cells]++
}

// Take asks for one repeat, with so many instances at work.
func (b *Budget) Take(now time.Time, service string, instances int) bool {
	c := b.counter(now, service)
	var requests, repeats float64
	for i := range cells {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	most := (b.Ratio*requests + b.Extra/float64(max(1, instances))) * (1 - reserve)
	if repeats+1 > most {
		return false
	}
	c.repeats[c.cell%cells]++
	return true
}
