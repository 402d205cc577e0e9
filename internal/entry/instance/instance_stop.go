package instance

import (
	"context"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/assignment"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
	"lacewingramp.example/lacewingramp/internal/steer/resolver"
)

// Periods and timeouts of a stop.
const (
	// handoverRetryPeriod is the delay after which a leaving instance tries again to
	// hand over the shards that were still in use.
	handoverRetryPeriod = 50 * time.Millisecond
	// handoverTimeout is how long a leaving instance tries to hand its shards over.
	handoverTimeout = quota.Term + quota.ReclaimMargin + 3*time.Second
	// lookupMargin is the time that a leaving instance keeps serving in addition to the
	// lifetime of lookup responses.
	lookupMargin = time.Second
)

// Leave removes the instance from lookups, marks its registration as leaving, hands its
// shards over, and returns when callers with old lookup responses have had time to
// switch to other instances. Until then the instance serves requests. The caller must
// shut the listeners down afterwards.
func (i *Instance) Leave(ctx context.Context) {
	if !i.transition("stop") {
		return
	}
	startedAt := i.Timer.Now()
	i.Front.Draining.Store(true)
	i.State.Lock()
	i.State.Self.Leaving = true
	i.State.Quota.Leave()
	i.State.Unlock()
	i.exchangeDigests(startedAt)
	i.writeRegistration(i.lease)
	i.handOverShards(ctx)
	remaining := resolver.Lifetime + lookupMargin - i.Timer.Now().Sub(startedAt)
	select {
	case <-ctx.Done():
	case <-time.After(max(0, remaining)):
	}
	i.transition("quiet")
}

// Close ends the instance's background work and removes its registration. It must be
// called after the listeners have been shut down.
func (i *Instance) Close() {
	i.freeShards()
	ctx, cancel := i.callContext(callTimeout)
	_ = i.Store.Delete(ctx, i.registrationKey())
	cancel()
	i.mu.Lock()
	for _, stop := range i.stopTimers {
		stop()
	}
	i.mu.Unlock()
	i.cancel()
	i.targetClient.Close()
}

// handOverShards hands each shard over to a sibling as soon as the shard is no longer in
// use.
func (i *Instance) handOverShards(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		remaining := 0
		i.recallLoans()
		for shard := range quota.Shards {
			if i.holdsShard(shard) && !i.offerShard(shard) {
				remaining++
			}
		}
		if remaining == 0 || i.hasNoSuccessor() {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(handoverRetryPeriod):
		}
	}
}

func (i *Instance) holdsShard(shard int) bool {
	i.State.Lock()
	defer i.State.Unlock()
	return i.State.Holds(shard)
}

func (i *Instance) hasNoSuccessor() bool {
	i.State.Lock()
	defer i.State.Unlock()
	return assignment.Successor(i.assignmentView(i.State.Assignment), 0) == ""
}

// offerShard hands one shard over to the sibling that assignment.Successor selects. A
// shard that has been sent counts as handed over, whether or not the response arrives.
func (i *Instance) offerShard(shard int) bool {
	i.State.Lock()
	successor := assignment.Successor(i.assignmentView(i.State.Assignment), shard)
	i.State.Unlock()
	peerAddress := i.peerAddress(successor)
	if successor == "" || peerAddress == "" {
		return false
	}
	transfer := i.releaseShard(shard)
	if !transfer.Granted {
		return false
	}
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	_, err := i.Peer.Handover(ctx, peerAddress, &lacewingramp.Handover{From: i.State.Self.Name, Shard: shard, Offer: transfer})
	if err != nil {
		i.Log.Warn().Int("shard", shard).Str("heir", successor).Msg("no response to the handover of a shard")
	}
	return true
}

// freeShards marks the shards that could not be handed over as free in the domain's
// key, so that the next holder does not have to wait for quota.TakeoverDelay.
func (i *Instance) freeShards() {
	i.State.Lock()
	now := i.Timer.Now()
	claims := make(map[int]int64)
	for n, e := range i.State.Claims {
		claims[n] = e
		i.State.Quota.Forfeit(now, n)
		i.State.Forfeit(n)
	}
	i.State.Unlock()
	if len(claims) == 0 {
		return
	}
	i.updateAssignment(func(a *assignment.Assignment) bool {
		for n, e := range claims {
			if a.Shards[n].Holder == i.State.Self.Name {
				a.Shards[n] = assignment.Shard{Epoch: e + 1}
			}
		}
		return true
	})
}
