package instance

import (
	"context"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/holding"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
	"lacewingramp.example/lacewingramp/internal/steer/region"
)

// Periods of a stop.
const (
	// handPeriod is how often a leaving instance tries to hand over what is
	// still in use.
	handPeriod = 50 * time.Millisecond
	// handMost is how long it tries.
	handMost = quota.Term + quota.Margin + 3*time.Second
	// lingerMore is added to the lifetime of look-up answers.
	lingerMore = time.Second
)

// Leave takes the instance out of look-ups and the list, hands its shards
// over, and returns when callers with old answers have had time to go
// elsewhere. Until then it serves. The listeners are to be shut down after it.
func (i *Instance) Leave(ctx context.Context) {
	if !i.event("stop") {
		return
	}
	begun := i.Timer.Now()
	i.Front.Closed.Store(true)
	i.State.Lock()
	i.State.Self.Leaving = true
	i.State.Quota.Leave()
	i.State.Unlock()
	i.beat(begun)
	i.publish(i.lease)
	i.handOver(ctx)
	left := region.Lifetime + lingerMore - i.Timer.Now().Sub(begun)
	select {
	case <-ctx.Done():
	case <-time.After(max(0, left)):
	}
	i.event("quiet")
}

// Close ends the instance's work. It is called when the listeners have been
// shut down.
func (i *Instance) Close() {
	i.abandon()
	ctx, cancel := i.callContext(callTimeout)
	_ = i.Store.Delete(ctx, i.listKey())
	cancel()
	i.mu.Lock()
	for _, stop := range i.stops {
		stop()
	}
	i.mu.Unlock()
	i.cancel()
	i.calls.Close()
}

// handOver gives every shard to a sibling, as it gets free.
func (i *Instance) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handMost)
	defer cancel()
	for ctx.Err() == nil {
		left := 0
		i.recall()
		for shard := range quota.Shards {
			if i.claims(shard) && !i.offer(shard) {
				left++
			}
		}
		if left == 0 || i.alone() {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(handPeriod):
		}
	}
}

func (i *Instance) claims(shard int) bool {
	i.State.Lock()
	defer i.State.Unlock()
	return i.State.Holds(shard)
}

func (i *Instance) alone() bool {
	i.State.Lock()
	defer i.State.Unlock()
	return holding.Heir(i.view(i.State.Holding), 0) == ""
}

// offer hands one shard to its heir. A shard that has been sent counts as
// given, whether or not the answer arrives.
func (i *Instance) offer(shard int) bool {
	i.State.Lock()
	heir := holding.Heir(i.view(i.State.Holding), shard)
	i.State.Unlock()
	address := i.address(heir)
	if heir == "" || address == "" {
		return false
	}
	h := i.give(shard)
	if !h.Granted {
		return false
	}
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	_, err := i.Peer.Give(ctx, address, &lacewingramp.Give{From: i.State.Self.Name, Shard: shard, Offer: h})
	if err != nil {
		i.Log.Warn().Int("shard", shard).Str("heir", heir).Msg("no answer to a hand-over")
	}
	return true
}

// abandon frees in the domain's key what could not be handed over, so that
// the next instance need not wait for the fence.
func (i *Instance) abandon() {
	i.State.Lock()
	now := i.Timer.Now()
	mine := make(map[int]int64)
	for n, e := range i.State.Claims {
		mine[n] = e
		i.State.Quota.Forfeit(now, n)
		i.State.Forfeit(n)
	}
	i.State.Unlock()
	if len(mine) == 0 {
		return
	}
	i.writeHolding(func(h *holding.Holding) bool {
		for n, e := range mine {
			if h.Shards[n].Holder == i.State.Self.Name {
				h.Shards[n] = holding.Shard{Epoch: e + 1}
			}
		}
		return true
	})
}
