package edge

import (
	"context"

	"lacewingramp.example/lacewingramp"
)

// maxTargetTokenRequests is how many tokens of targets a request may wait for. Each takes
// a round trip to another instance, possibly in another region.
const maxTargetTokenRequests = 2

// awaitTargetToken requests the token that a request to a target with a limited rate
// needs, from the instance that owns the rate, and waits for the reply.
func (e *Edge) awaitTargetToken(ctx context.Context, j *job, t *lacewingramp.Target) {
	j.tokenRequests++
	e.mu.Lock()
	sentAt := e.Timer.Now()
	owner, request := e.placer.TokenRequest(sentAt, t.Name)
	address := e.peers.Address(owner)
	e.mu.Unlock()
	var reply *lacewingramp.TokenReply
	if address != "" {
		reply, _ = e.exchangeToken(ctx, address, func(id uint64) *lacewingramp.Datagram {
			request.ID = id
			return &lacewingramp.Datagram{TargetTokenRequest: &request}
		})
	}
	e.Meter.TargetToken(tokenOutcome(reply))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placer.RecordToken(e.Timer.Now(), sentAt, request, reply)
}

// tokenOutcome returns the outcome of a request for a token.
func tokenOutcome(reply *lacewingramp.TokenReply) lacewingramp.TokenOutcome {
	switch {
	case reply == nil:
		return lacewingramp.TokenLost
	case reply.Granted:
		return lacewingramp.TokenGranted
	default:
		return lacewingramp.TokenRefused
	}
}

// handleTargetTokenRequest replies to a request for a token of a target's rate.
func (e *Edge) handleTargetTokenRequest(request *lacewingramp.TargetTokenRequest, from string) {
	e.mu.Lock()
	reply := e.placer.GrantToken(e.Timer.Now(), *request)
	e.mu.Unlock()
	reply.ID = request.ID
	e.sendDatagram(&lacewingramp.Datagram{TokenReply: &reply}, from)
}

// logLimit logs a change of the limit that a target names, which was before until now.
// The caller must hold e.mu.
func (e *Edge) logLimit(id, target string, before float64) {
	limit := e.placer.Limit(target)
	if limit == before || !e.loglimit.Allow(e.Timer.Now(), "limit") {
		return
	}
	e.Log.Info().Str("id", id).Str("target", target).Float64("before", before).Float64("limit", limit).
		Msg("a target changed its limit")
}
