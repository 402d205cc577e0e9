package edge

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/pool"
)

const (
	// drawPatience is how long another instance has to answer for a token: it
	// covers the way to another region and back.
	drawPatience = 150 * time.Millisecond
	// drawsMost is how many requests may wait for tokens at a time.
	drawsMost = 512
	// dryLeast and dryMost bound how long a pool is not asked that had no token
	// or whose keeper did not answer.
	dryLeast = 50 * time.Millisecond
	dryMost  = 500 * time.Millisecond
)

// Reasons why there was no token for a request in its customer's pool.
var (
	errPoolEmpty  = errors.New("the pool has no token")
	errPoolSilent = errors.New("the pool's keeper did not answer")
	errPoolLeft   = errors.New("the pool had no token or did not answer shortly before")
	errPoolNone   = errors.New("nobody is known to keep the pool")
)

// takeQuota takes a customer's quota for one request, from this instance's part
// of the limit or else from the pool. Where there is none it returns the reason,
// and when the caller should come back.
func (e *Edge) takeQuota(ctx context.Context, customer string) (wait time.Duration, err error) {
	e.mu.Lock()
	ok := e.quota.Take(e.Timer.Now(), customer)
	wait = max(quotaRetry, e.quota.Wait(customer))
	e.mu.Unlock()
	if ok {
		return 0, nil
	}
	return wait, e.draw(ctx, customer)
}

// draw asks the keeper of a customer's pool for a token.
func (e *Edge) draw(ctx context.Context, customer string) error {
	e.mu.Lock()
	now := e.Timer.Now()
	owner := e.pool.Owner(customer)
	if owner == e.Name {
		_, ok := e.pool.Deal(now, customer)
		e.mu.Unlock()
		if !ok {
			return errPoolEmpty
		}
		return nil
	}
	address := e.roll.Address(owner)
	if address == "" {
		e.mu.Unlock()
		return errPoolNone
	}
	if now.Before(e.dry[customer]) || len(e.draws) >= drawsMost {
		e.mu.Unlock()
		return errPoolLeft
	}
	e.drawn++
	d := &lacewingramp.Draw{ID: e.drawn, Customer: customer}
	answer := make(chan *lacewingramp.Drawn, 1)
	e.draws[d.ID] = answer
	e.mu.Unlock()
	e.tell(&lacewingramp.Datagram{Draw: d}, address)
	a, answered := await(ctx, answer, drawPatience)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.draws, d.ID)
	e.Meter.Drawn(answered && a.OK)
	switch {
	case !answered && ctx.Err() != nil:
		return errPoolSilent
	case !answered:
		e.dry[customer] = e.Timer.Now().Add(dryMost)
		return errPoolSilent
	case !a.OK:
		e.dry[customer] = e.Timer.Now().Add(min(max(a.Wait, dryLeast), dryMost))
		return errPoolEmpty
	}
	return nil
}

// deal answers another instance that asks for a token.
func (e *Edge) deal(d *lacewingramp.Draw, from string) {
	e.mu.Lock()
	wait, ok := e.pool.Deal(e.Timer.Now(), d.Customer)
	e.mu.Unlock()
	e.tell(&lacewingramp.Datagram{Drawn: &lacewingramp.Drawn{ID: d.ID, OK: ok, Wait: wait}}, from)
}

// takeDrawn hands an answer to the request that waits for it.
func (e *Edge) takeDrawn(d *lacewingramp.Drawn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if answer, ok := e.draws[d.ID]; ok {
		select {
		case answer <- d:
		default:
		}
	}
}

// setKeepers tells which instances keep pools: those that the store lists.
func (e *Edge) setKeepers(now time.Time) {
	names := e.roll.Listed()
	if e.listed {
		names = append(names, e.Name)
	}
	e.pool.Members(now, names)
	e.quota.Pool(now, pool.Part(len(names)))
}

// tell sends a datagram to one instance.
func (e *Edge) tell(d *lacewingramp.Datagram, address string) {
	if err := e.socket.Send(d, []string{address}); err != nil {
		e.Log.Error().Err(err).Str("to", address).Msg("could not send a datagram")
	}
}
