// Package carrier takes a request from its customer's limit to a target's
// answer: quota, idempotency record, failure domain, slot, attempt.
//
// Every step ends in an answer or in a Refusal whose verdict says whether the
// request may have run. A request is tried again only after the verdict that
// it did not run; an idempotent one also once after it may have run, within a
// budget, and never after a target died under it.
//
// # Usage
//
//	answer := carrier.Serve(ctx, carry)
//	if answer.Refusal != nil {
//		// Tell the caller the verdict.
//	}
package carrier

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/attempt"
	"lacewingramp.example/lacewingramp/internal/config/index"
	"lacewingramp.example/lacewingramp/internal/entry/state"
	"lacewingramp.example/lacewingramp/internal/steer/slot"
)

// Carrier carries requests. All exported fields are set before the first use.
type Carrier struct {
	State    *state.State
	Timer    lacewingramp.Timer
	Peer     lacewingramp.Peer
	Calls    *attempt.Caller
	Borrower lacewingramp.Borrower
	Chooser  lacewingramp.Chooser
	Deaths   lacewingramp.Deaths

	tickets atomic.Uint64
	budgets sync.Map
	waiting map[slot.Ticket]chan slot.Grant
	lines   map[lacewingramp.Subject]*line
	running map[slot.Ticket]running
	repeats map[string]chan struct{}
	worst   map[string]int
	answers map[string]float64
	stats   Stats
}

// job is a request with what the Table says about it.
type job struct {
	*lacewingramp.Carry

	route    *lacewingramp.Route
	customer *lacewingramp.Customer
	index    *index.Index
	end      time.Time
	print    uint64
}

func refused(id string, err error) *lacewingramp.Answer {
	return &lacewingramp.Answer{ID: id, Refusal: lacewingramp.RefusalOf(err)}
}

// job reads a request against the Table in force.
func (c *Carrier) job(r *lacewingramp.Carry) (*job, error) {
	x := c.State.Index()
	if x == nil {
		return nil, lacewingramp.NewRefusal(lacewingramp.CauseTable, "no table in force yet")
	}
	route, ok := x.Route(r.Route)
	if !ok {
		return nil, lacewingramp.NewRefusal(lacewingramp.CauseRoute, "unknown route "+r.Route)
	}
	j := &job{Carry: r, route: route, index: x, end: c.Timer.Now().Add(r.Remaining)}
	if u, ok := x.CustomerByName(r.Customer); ok {
		j.customer = u
	} else if !route.AllowAnonymous {
		return nil, lacewingramp.NewRefusal(lacewingramp.CauseKey, "unknown customer")
	}
	return j, nil
}

// Serve carries the request of a caller whose key has been checked.
func (c *Carrier) Serve(ctx context.Context, r *lacewingramp.Carry) *lacewingramp.Answer {
	j, err := c.job(r)
	if err != nil {
		return refused(r.ID, err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	defer cancel()
	if j.customer != nil {
		if err := c.spend(ctx, j); err != nil {
			return refused(r.ID, err)
		}
	}
	if r.IdempotencyKey != "" && !j.route.Idempotent {
		return c.once(ctx, j)
	}
	return c.place(ctx, j)
}

// ServePeer carries a request for another instance, whose customer's limit
// has been held there.
func (c *Carrier) ServePeer(ctx context.Context, r *lacewingramp.Carry) *lacewingramp.Answer {
	j, err := c.job(r)
	if err != nil {
		return refused(r.ID, err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	defer cancel()
	if r.KeepRecord {
		return c.keep(ctx, j)
	}
	return c.place(ctx, j)
}

// forward sends a request to another instance with the time that is left.
func (c *Carrier) forward(ctx context.Context, j *job, to lacewingramp.Endpoint, change func(*lacewingramp.Carry)) (*lacewingramp.Answer, error) {
	r := *j.Carry
	r.Hops++
	r.KeepRecord = false
	r.Remaining = j.end.Sub(c.Timer.Now())
	if r.Remaining <= 0 {
		return nil, lacewingramp.NewRefusal(lacewingramp.CauseDeadline, "no time left")
	}
	change(&r)
	x, err := c.cross(j, to)
	if err != nil {
		return nil, err
	}
	c.stats.Hops.Add(1)
	a, err := c.Peer.Carry(ctx, to.Peer, &r)
	if err != nil {
		return nil, err
	}
	c.crossed(x, a)
	if a.ID != j.ID {
		return nil, &lacewingramp.Refusal{
			Verdict: lacewingramp.MayHaveRun, Cause: lacewingramp.CausePeer, Detail: "the answer belongs to another request",
		}
	}
	if a.Refusal != nil {
		return nil, a.Refusal
	}
	return a, nil
}
