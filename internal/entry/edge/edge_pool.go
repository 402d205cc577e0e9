package edge

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/pool"
)

const (
	// maxTokenRequests is the maximum number of callers' requests that wait for a token.
	maxTokenRequests = 512
	// minPoolBackoff and maxPoolBackoff limit how long no token is requested from a pool
	// after it had none or its keeper did not reply.
	minPoolBackoff = 50 * time.Millisecond
	maxPoolBackoff = 500 * time.Millisecond
)

// Reasons why a request got no token from its customer's pool.
var (
	errPoolEmpty         = errors.New("the pool has no token")
	errPoolTimeout       = errors.New("the pool's keeper did not answer")
	errPoolBackoff       = errors.New("the pool had no token or did not answer shortly before")
	errPoolKeeperUnknown = errors.New("nobody is known to keep the pool")
)

// takeQuota takes quota for one request of a customer, from this instance's share of
// the limit or else from the customer's pool. If there is none it returns the reason
// and the delay after which the caller should retry.
func (e *Edge) takeQuota(ctx context.Context, j *job) (wait time.Duration, err error) {
	customer := j.customerName()
	e.mu.Lock()
	now := e.Timer.Now()
	e.recognizeReturn(now, j)
	ok := e.quota.Take(now, customer)
	wait = max(minRateRetryAfter, e.quota.Wait(customer))
	e.mu.Unlock()
	if ok {
		return 0, nil
	}
	return wait, e.requestToken(ctx, customer)
}

// requestToken takes one token from a customer's pool, which a peer may keep.
func (e *Edge) requestToken(ctx context.Context, customer string) error {
	e.mu.Lock()
	now := e.Timer.Now()
	keeper := e.pool.KeeperOf(customer)
	if keeper == e.Name {
		_, ok := e.pool.TakeToken(now, customer)
		e.mu.Unlock()
		if !ok {
			return errPoolEmpty
		}
		return nil
	}
	address := e.peers.Address(keeper)
	if address == "" {
		e.mu.Unlock()
		return errPoolKeeperUnknown
	}
	if now.Before(e.poolBackoff[customer]) || len(e.tokenReplies) >= maxTokenRequests {
		e.mu.Unlock()
		return errPoolBackoff
	}
	e.mu.Unlock()
	requestID := uint64(0)
	r, replied := e.exchangeToken(ctx, address, func(id uint64) *lacewingramp.Datagram {
		requestID = id
		return &lacewingramp.Datagram{TokenRequest: &lacewingramp.TokenRequest{ID: id, Customer: customer}}
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Meter.TokenReply(replied && r.Granted)
	if !replied {
		e.expectLateToken(requestID, customer)
	}
	switch {
	case !replied && ctx.Err() != nil:
		return errPoolTimeout
	case !replied:
		e.poolBackoff[customer] = e.Timer.Now().Add(maxPoolBackoff)
		return errPoolTimeout
	case !r.Granted:
		e.poolBackoff[customer] = e.Timer.Now().Add(min(max(r.RetryAfter, minPoolBackoff), maxPoolBackoff))
		return errPoolEmpty
	}
	return nil
}

// exchangeToken sends a request for a token to another instance and waits for the reply.
func (e *Edge) exchangeToken(ctx context.Context, address string, request func(id uint64) *lacewingramp.Datagram) (r *lacewingramp.TokenReply, replied bool) {
	reply := make(chan *lacewingramp.TokenReply, 1)
	e.mu.Lock()
	e.lastTokenRequestID++
	id := e.lastTokenRequestID
	e.tokenReplies[id] = reply
	e.mu.Unlock()
	e.sendDatagram(request(id), address)
	r, replied = await(ctx, reply, lacewingramp.TokenTimeout)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.tokenReplies, id)
	return r, replied
}

// handleTokenRequest replies to a token request from a peer.
func (e *Edge) handleTokenRequest(request *lacewingramp.TokenRequest, from string) {
	e.mu.Lock()
	wait, ok := e.pool.TakeToken(e.Timer.Now(), request.Customer)
	e.mu.Unlock()
	e.sendDatagram(&lacewingramp.Datagram{TokenReply: &lacewingramp.TokenReply{ID: request.ID, Granted: ok, RetryAfter: wait}}, from)
}

// handleTokenReply passes a reply to the caller's request that waits for it.
func (e *Edge) handleTokenReply(r *lacewingramp.TokenReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reply, ok := e.tokenReplies[r.ID]; ok {
		select {
		case reply <- r:
		default:
		}
		return
	}
	e.takeLateToken(r)
}

// updatePoolKeepers sets the instances that may keep pools: those that are registered
// in the store.
func (e *Edge) updatePoolKeepers(now time.Time) {
	names := e.peers.Registered()
	if e.registered {
		names = append(names, e.Name)
	}
	e.pool.SetInstances(now, names)
	e.quota.SetPooledFraction(now, pool.Fraction(len(names)))
}

// sendDatagram sends a datagram to one instance.
func (e *Edge) sendDatagram(d *lacewingramp.Datagram, address string) {
	if err := e.socket.Send(d, []string{address}); err != nil {
		e.Log.Error().Err(err).Str("to", address).Msg("could not send a datagram")
	}
}
