package instance

import (
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// confirm finds out, after the process stood still, which shards are still
// this instance's: from the domain's key, or with the store down from all of
// the domain's instances.
func (i *Instance) confirm() {
	i.faults.Pauses.Add(1)
	checked := i.Timer.Now()
	if h, revision, ok := i.readHolding(); ok && revision > 0 {
		i.learn(h)
		i.resume(checked)
		return
	}
	if i.askSiblings() {
		i.resume(checked)
	}
}

// askSiblings asks every live instance of the domain what it claims, and
// drops what another claims under a newer epoch. It returns false where one
// did not answer.
func (i *Instance) askSiblings() bool {
	i.State.Lock()
	siblings := i.State.Roster.Domain(i.State.Self.Domain)
	endpoints := make([]lacewingramp.Endpoint, 0, len(siblings))
	for _, m := range siblings {
		if !m.Gone {
			endpoints = append(endpoints, m.Digest.Endpoint)
		}
	}
	i.State.Unlock()
	for _, e := range endpoints {
		if !i.askSibling(e) {
			return false
		}
	}
	return true
}

func (i *Instance) askSibling(e lacewingramp.Endpoint) bool {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	now := i.Timer.Now()
	d, err := i.Peer.ExchangeDigests(ctx, e.Peer, i.digest(now, e.Domain))
	if err != nil {
		return false
	}
	i.hear(now, d)
	i.State.Lock()
	defer i.State.Unlock()
	var lost []int
	for _, c := range d.Claims {
		if mine, ok := i.State.Claims[c.Shard]; ok && c.Epoch >= mine {
			lost = append(lost, c.Shard)
		}
	}
	i.forfeit(now, lost)
	return true
}

// resume lets the quota be used again with the shards that are left.
func (i *Instance) resume(checked time.Time) {
	i.State.Lock()
	defer i.State.Unlock()
	var held [quota.Shards]bool
	for n := range i.State.Claims {
		held[n] = true
	}
	i.State.Quota.Confirm(i.Timer.Now(), checked, held)
}
