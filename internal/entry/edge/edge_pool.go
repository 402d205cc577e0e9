package edge

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/pool"
)

const (
	// drawTimeout limits the wait for another instance's reply to a draw. It covers
	// the round trip to another region.
	drawTimeout = 150 * time.Millisecond
	// maxPendingDraws is the maximum number of requests that wait for a draw.
	maxPendingDraws = 512
	// minPoolBackoff and maxPoolBackoff limit how long a pool is not asked again after
	// it had no token or its owner did not reply.
	minPoolBackoff = 50 * time.Millisecond
	maxPoolBackoff = 500 * time.Millisecond
)

// Reasons why a request got no token from its customer's pool.
var (
	errPoolEmpty   = errors.New("the pool has no token")
	errPoolTimeout = errors.New("the pool's keeper did not answer")
	errPoolBackoff = errors.New("the pool had no token or did not answer shortly before")
	errPoolUnowned = errors.New("nobody is known to keep the pool")
)

// takeQuota takes quota for one request of a customer, from this instance's share of
// the limit or else from the customer's pool. If there is none it returns the reason
// and the delay after which the caller should retry.
func (e *Edge) takeQuota(ctx context.Context, customer string) (wait time.Duration, err error) {
	e.mu.Lock()
	ok := e.quota.Take(e.Timer.Now(), customer)
	wait = max(minRateRetryAfter, e.quota.Wait(customer))
	e.mu.Unlock()
	if ok {
		return 0, nil
	}
	return wait, e.draw(ctx, customer)
}

// draw takes one token from a customer's pool, which another instance may own.
func (e *Edge) draw(ctx context.Context, customer string) error {
	e.mu.Lock()
	now := e.Timer.Now()
	owner := e.pool.KeeperOf(customer)
	if owner == e.Name {
		_, ok := e.pool.TakeToken(now, customer)
		e.mu.Unlock()
		if !ok {
			return errPoolEmpty
		}
		return nil
	}
	address := e.peers.Address(owner)
	if address == "" {
		e.mu.Unlock()
		return errPoolUnowned
	}
	if now.Before(e.poolBackoff[customer]) || len(e.pendingDraws) >= maxPendingDraws {
		e.mu.Unlock()
		return errPoolBackoff
	}
	e.lastDrawID++
	d := &lacewingramp.TokenRequest{ID: e.lastDrawID, Customer: customer}
	reply := make(chan *lacewingramp.TokenReply, 1)
	e.pendingDraws[d.ID] = reply
	e.mu.Unlock()
	e.sendDatagram(&lacewingramp.Datagram{TokenRequest: d}, address)
	r, answered := await(ctx, reply, drawTimeout)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pendingDraws, d.ID)
	e.Meter.TokenReply(answered && r.Granted)
	switch {
	case !answered && ctx.Err() != nil:
		return errPoolTimeout
	case !answered:
		e.poolBackoff[customer] = e.Timer.Now().Add(maxPoolBackoff)
		return errPoolTimeout
	case !r.Granted:
		e.poolBackoff[customer] = e.Timer.Now().Add(min(max(r.RetryAfter, minPoolBackoff), maxPoolBackoff))
		return errPoolEmpty
	}
	return nil
}

// handleDraw replies to a draw from another instance.
func (e *Edge) handleDraw(d *lacewingramp.TokenRequest, from string) {
	e.mu.Lock()
	wait, ok := e.pool.TakeToken(e.Timer.Now(), d.Customer)
	e.mu.Unlock()
	e.sendDatagram(&lacewingramp.Datagram{TokenReply: &lacewingramp.TokenReply{ID: d.ID, Granted: ok, RetryAfter: wait}}, from)
}

// handleDrawReply passes a reply to the request that waits for it.
func (e *Edge) handleDrawReply(d *lacewingramp.TokenReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reply, ok := e.pendingDraws[d.ID]; ok {
		select {
		case reply <- d:
		default:
		}
	}
}

// updatePoolMembers sets the instances that own pools: those that the store lists.
func (e *Edge) updatePoolMembers(now time.Time) {
	names := e.peers.Listed()
	if e.listed {
		names = append(names, e.Name)
	}
	e.pool.SetInstances(now, names)
	e.quota.SetPooledShare(now, pool.Share(len(names)))
}

// sendDatagram sends a datagram to one instance.
func (e *Edge) sendDatagram(d *lacewingramp.Datagram, address string) {
	if err := e.socket.Send(d, []string{address}); err != nil {
		e.Log.Error().Err(err).Str("to", address).Msg("could not send a datagram")
	}
}
