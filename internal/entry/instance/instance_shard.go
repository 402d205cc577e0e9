package instance

import (
	"context"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/holding"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// startRebalance looks after the domain's shards.
func (i *Instance) startRebalance(now time.Time) {
	if i.Life() != "serving" || i.State.Index() == nil {
		return
	}
	if !i.needsRebalance(now) {
		return
	}
	i.startTask("plan", i.rebalance)
}

// needsRebalance reports whether the domain's key is worth a read: a shard that
// nobody claims, an uneven division, claims that the key does not show, or
// weights that are not in use yet.
func (i *Instance) needsRebalance(now time.Time) bool {
	i.State.Lock()
	defer i.State.Unlock()
	if !i.State.Known || i.State.Holding.Split < i.State.Index().Table.Split {
		return true
	}
	if i.State.HasUnrecordedClaims() || (i.State.DiffersFromSplit() && i.State.Roster.Represents(now, "split")) {
		return true
	}
	claimed := len(i.State.Claims)
	maxClaims := 0
	for _, m := range i.State.Roster.Domain(i.State.Self.Domain) {
		if m.Live(now) {
			claimed += len(m.Digest.Claims)
			maxClaims = max(maxClaims, len(m.Digest.Claims))
		}
	}
	return claimed < quota.Shards || maxClaims >= len(i.State.Claims)+2
}

// rebalance reads the domain's key and does what is to be done.
func (i *Instance) rebalance() {
	h, revision, ok := i.readHolding()
	if !ok {
		i.rebalanceWithoutStore()
		return
	}
	if revision == 0 {
		i.createHolding()
		return
	}
	i.applyHolding(h)
	i.applySplit(h)
	i.startTask("record", i.recordClaims)
	for range quota.Shards {
		i.State.Lock()
		v := i.holdingView(i.State.Holding)
		i.State.Unlock()
		if !i.runSteps(holding.Plan(v)) {
			return
		}
	}
}

// runSteps does what the plan says and reports whether it is worth a new plan.
func (i *Instance) runSteps(steps []holding.Step) bool {
	replan := false
	for _, s := range steps {
		switch s.Kind {
		case holding.StepAsk:
			replan = i.requestShard(s)
		case holding.StepTake:
			i.takeOverShard(s)
		}
	}
	return replan
}

// rebalanceWithoutStore asks for shards while the store is down, by what the domain's
// instances claim. Nothing is taken from a dead holder.
func (i *Instance) rebalanceWithoutStore() {
	i.State.Lock()
	now := i.Timer.Now()
	if !i.State.Known {
		for _, m := range i.State.Roster.Domain(i.State.Self.Domain) {
			if m.Live(now) && m.Digest.Part != nil {
				i.State.Holding = holding.Holding{
					Domain: i.State.Self.Domain, Split: m.Digest.Part.Split,
					Part: quota.Part{Customers: m.Digest.Part.Customers, Caps: m.Digest.Part.Caps, Region: m.Digest.Part.Region},
				}
				i.State.Known = true
				i.State.Reconfigure(now)
				break
			}
		}
	}
	known := i.State.Known
	v := i.holdingView(i.State.Holding)
	i.State.Unlock()
	if !known {
		return
	}
	for _, s := range holding.Plan(v) {
		if s.Kind == holding.StepAsk {
			_ = i.requestShard(s)
		}
	}
}

// holdingView is what the plan is made from. Claims of live instances under a newer
// epoch go before the key, which lags behind direct hand-overs. It needs the
// lock.
func (i *Instance) holdingView(h holding.Holding) holding.View {
	now := i.Timer.Now()
	self := i.State.Self
	v := holding.View{Self: self.Name, Now: now, Known: true, Holding: h}
	v.Members = append(v.Members, holding.Member{Name: self.Name, Heard: now, Leaving: self.Leaving, Claims: sortedClaims(i.State.Claims)})
	for _, m := range i.State.Roster.Domain(self.Domain) {
		v.Members = append(v.Members, holding.Member{
			Name: m.Digest.Name, Heard: m.Heard, Failed: m.Failed, Leaving: m.Digest.Leaving,
			Gone: m.Gone, Claims: m.Digest.Claims,
		})
	}
	for _, m := range v.Members {
		for _, c := range m.Claims {
			if s := &v.Holding.Shards[c.Shard%quota.Shards]; c.Epoch > s.Epoch && !m.Gone {
				*s = holding.Shard{Holder: m.Name, Epoch: c.Epoch}
			}
		}
	}
	v.Orphans = i.State.Orphans(now, v.Holding)
	return v
}

// requestShard asks a holder for a shard and takes it into use at once. The key
// follows.
func (i *Instance) requestShard(s holding.Step) bool {
	address := i.peerAddress(s.From)
	if address == "" {
		return false
	}
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	got, err := i.Peer.Give(ctx, address, &lacewingramp.Give{From: i.State.Self.Name, Shard: s.Shard})
	if err != nil || !got.Granted {
		return false
	}
	i.acceptShard(got)
	return true
}

func (i *Instance) peerAddress(name string) string {
	i.State.Lock()
	defer i.State.Unlock()
	if m, ok := i.State.Roster.Find(name); ok {
		return m.Digest.Peer
	}
	return ""
}

// acceptShard takes a handed shard into use and records it in the domain's key.
func (i *Instance) acceptShard(g *lacewingramp.ShardTransfer) {
	i.State.Lock()
	if e, ok := i.State.Claims[g.Shard]; ok && e >= g.Epoch {
		i.State.Unlock()
		return
	}
	i.Carrier.Wake(i.State.Hold(i.Timer.Now(), g.Shard, g.Epoch, *g))
	i.State.Unlock()
	i.Log.Info().Int("shard", g.Shard).Int64("epoch", g.Epoch).Msg("shard handed over")
	i.startTask("spread", func() { i.exchangeDigests(i.Timer.Now()) })
	i.startTask("record", i.recordClaims)
}

// takeOverShard takes a dead holder's shard by compare-and-swap. It comes without
// tokens, and with no record of what ran before.
func (i *Instance) takeOverShard(s holding.Step) {
	self := i.State.Self
	epoch := s.Epoch + 1
	taken := i.updateHolding(func(h *holding.Holding) bool {
		current := h.Shards[s.Shard]
		if current.Epoch > s.Epoch || (current.Epoch == s.Epoch && current.Holder != s.From) {
			return false
		}
		h.Shards[s.Shard] = holding.Shard{Holder: self.Name, Epoch: epoch}
		h.Endpoints = holderEndpoints(h, self)
		return true
	})
	if !taken {
		return
	}
	i.State.Lock()
	defer i.State.Unlock()
	now := i.Timer.Now()
	i.Carrier.Wake(i.State.Hold(now, s.Shard, epoch, lacewingramp.ShardTransfer{RecordsSince: now}))
	i.Log.Warn().Int("shard", s.Shard).Int64("epoch", epoch).Str("from", s.From).Msg("shard taken")
}

// ServeTransferShard answers a sibling that asks for a shard, or takes the one that a
// leaving sibling offers.
func (i *Instance) ServeTransferShard(_ context.Context, g *lacewingramp.Give) (*lacewingramp.ShardTransfer, error) {
	if g.Offer != nil {
		if i.Life() != "serving" {
			return &lacewingramp.ShardTransfer{}, nil
		}
		i.acceptShard(g.Offer)
		return &lacewingramp.ShardTransfer{Granted: true, Shard: g.Offer.Shard}, nil
	}
	i.recallLoans()
	return i.releaseShard(g.Shard), nil
}

// releaseShard stops using a shard and returns what goes with it. What is in use
// stays until it is free.
func (i *Instance) releaseShard(shard int) *lacewingramp.ShardTransfer {
	i.State.Lock()
	defer i.State.Unlock()
	now := i.Timer.Now()
	epoch, ok := i.State.Claims[shard]
	if !ok || i.State.Quota.Suspended(now) || i.State.Records.Busy(shard) {
		return &lacewingramp.ShardTransfer{}
	}
	if !i.State.Pool.Drop(now, shard) {
		return &lacewingramp.ShardTransfer{}
	}
	load, _ := i.State.Quota.Drop(now, shard)
	delete(i.State.Claims, shard)
	recordsSince, records := i.State.Records.Drop(shard)
	return &lacewingramp.ShardTransfer{
		Granted: true, Shard: shard, Epoch: epoch + 1, RecordsSince: recordsSince, IdempotencyRecords: records,
		Levels: load.Levels, Owed: load.Owed,
	}
}
