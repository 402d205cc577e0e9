package instance

import (
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// confirmShards determines which shards this instance still holds after its process was
// paused. It uses the domain's key or, if the store is unavailable, the claims of all
// other instances of the domain.
func (i *Instance) confirmShards() {
	i.faults.Pauses.Add(1)
	checkedAt := i.Timer.Now()
	if a, revision, ok := i.readAssignment(); ok && revision > 0 {
		i.applyAssignment(a)
		i.resumeQuota(checkedAt)
		return
	}
	if i.confirmWithSiblings() {
		i.resumeQuota(checkedAt)
	}
}

// confirmWithSiblings requests the claims of every instance of the domain whose address
// no other instance has taken over, and forfeits the shards that one of them claims with
// the same or a newer epoch. It returns false if one does not answer.
func (i *Instance) confirmWithSiblings() bool {
	i.State.Lock()
	siblings := i.State.Roster.Domain(i.State.Self.Domain)
	endpoints := make([]lacewingramp.Endpoint, 0, len(siblings))
	for _, m := range siblings {
		if !m.Replaced {
			endpoints = append(endpoints, m.Digest.Endpoint)
		}
	}
	i.State.Unlock()
	for _, e := range endpoints {
		if !i.confirmWithSibling(e) {
			return false
		}
	}
	return true
}

func (i *Instance) confirmWithSibling(e lacewingramp.Endpoint) bool {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	now := i.Timer.Now()
	d, err := i.Peer.ExchangeDigests(ctx, e.Peer, i.buildDigest(now, e.Domain))
	if err != nil {
		return false
	}
	i.applyDigest(now, d)
	i.State.Lock()
	defer i.State.Unlock()
	var lost []int
	for _, c := range d.Claims {
		if epoch, ok := i.State.Claims[c.Shard]; ok && c.Epoch >= epoch {
			lost = append(lost, c.Shard)
		}
	}
	i.forfeitShards(now, lost)
	return true
}

// resumeQuota ends the suspension of the quota, with the shards that are still held.
// checkedAt is the time at which the check of the shards began.
func (i *Instance) resumeQuota(checkedAt time.Time) {
	i.State.Lock()
	defer i.State.Unlock()
	var held [quota.Shards]bool
	for n := range i.State.Claims {
		held[n] = true
	}
	i.State.Quota.Confirm(i.Timer.Now(), checkedAt, held)
}
