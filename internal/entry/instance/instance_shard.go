package instance

import (
	"context"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/holding"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// plan looks after the domain's shards.
func (i *Instance) plan(now time.Time) {
	if i.Life() != "serving" || i.State.Index() == nil {
		return
	}
	if !i.unsettled(now) {
		return
	}
	i.once("plan", i.settle)
}

// unsettled reports whether the domain's key is worth a read: a shard that
// nobody claims, an uneven division, claims that the key does not show, or
// weights that are not in use yet.
func (i *Instance) unsettled(now time.Time) bool {
	i.State.Lock()
	defer i.State.Unlock()
	if !i.State.Known || i.State.Holding.Split < i.State.Index().Table.Split {
		return true
	}
	if i.State.HasUnrecordedClaims() || (i.State.DiffersFromSplit() && i.State.Roster.Represents(now, "split")) {
		return true
	}
	covered := len(i.State.Claims)
	most := 0
	for _, m := range i.State.Roster.Domain(i.State.Self.Domain) {
		if m.Live(now) {
			covered += len(m.Digest.Claims)
			most = max(most, len(m.Digest.Claims))
		}
	}
	return covered < quota.Shards || most >= len(i.State.Claims)+2
}

// settle reads the domain's key and does what is to be done.
func (i *Instance) settle() {
	h, revision, ok := i.readHolding()
	if !ok {
		i.settleBlind()
		return
	}
	if revision == 0 {
		i.create()
		return
	}
	i.learn(h)
	i.split(h)
	i.once("record", i.recordClaims)
	for range quota.Shards {
		i.State.Lock()
		v := i.view(i.State.Holding)
		i.State.Unlock()
		if !i.follow(holding.Plan(v)) {
			return
		}
	}
}

// follow does what the plan says and reports whether it is worth a new plan.
func (i *Instance) follow(steps []holding.Step) bool {
	again := false
	for _, s := range steps {
		switch s.Kind {
		case holding.StepAsk:
			again = i.askShard(s)
		case holding.StepTake:
			i.takeShard(s)
		}
	}
	return again
}

// settleBlind asks for shards while the store is down, by what the domain's
// instances claim. Nothing is taken from a dead holder.
func (i *Instance) settleBlind() {
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
	v := i.view(i.State.Holding)
	i.State.Unlock()
	if !known {
		return
	}
	for _, s := range holding.Plan(v) {
		if s.Kind == holding.StepAsk {
			_ = i.askShard(s)
		}
	}
}

// view is what the plan is made from. Claims of live instances under a newer
// epoch go before the key, which lags behind direct hand-overs. It needs the
// lock.
func (i *Instance) view(h holding.Holding) holding.View {
	now := i.Timer.Now()
	self := i.State.Self
	v := holding.View{Self: self.Name, Now: now, Known: true, Holding: h}
	v.Members = append(v.Members, holding.Member{Name: self.Name, Heard: now, Leaving: self.Leaving, Claims: claims(i.State.Claims)})
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

// askShard asks a holder for a shard and takes it into use at once. The key
// follows.
func (i *Instance) askShard(s holding.Step) bool {
	address := i.address(s.From)
	if address == "" {
		return false
	}
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	got, err := i.Peer.Give(ctx, address, &lacewingramp.Give{From: i.State.Self.Name, Shard: s.Shard})
	if err != nil || !got.Granted {
		return false
	}
	i.accept(got)
	return true
}

func (i *Instance) address(name string) string {
	i.State.Lock()
	defer i.State.Unlock()
	if m, ok := i.State.Roster.Find(name); ok {
		return m.Digest.Peer
	}
	return ""
}

// accept takes a handed shard into use and records it in the domain's key.
func (i *Instance) accept(g *lacewingramp.ShardTransfer) {
	i.State.Lock()
	if e, ok := i.State.Claims[g.Shard]; ok && e >= g.Epoch {
		i.State.Unlock()
		return
	}
	i.Carrier.Wake(i.State.Hold(i.Timer.Now(), g.Shard, g.Epoch, *g))
	i.State.Unlock()
	i.Log.Info().Int("shard", g.Shard).Int64("epoch", g.Epoch).Msg("shard handed over")
	i.once("spread", func() { i.beat(i.Timer.Now()) })
	i.once("record", i.recordClaims)
}

// takeShard takes a dead holder's shard by compare-and-swap. It comes without
// tokens, and with no record of what ran before.
func (i *Instance) takeShard(s holding.Step) {
	self := i.State.Self
	epoch := s.Epoch + 1
	won := i.writeHolding(func(h *holding.Holding) bool {
		k := h.Shards[s.Shard]
		if k.Epoch > s.Epoch || (k.Epoch == s.Epoch && k.Holder != s.From) {
			return false
		}
		h.Shards[s.Shard] = holding.Shard{Holder: self.Name, Epoch: epoch}
		h.Endpoints = endpoints(h, self)
		return true
	})
	if !won {
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
		i.accept(g.Offer)
		return &lacewingramp.ShardTransfer{Granted: true, Shard: g.Offer.Shard}, nil
	}
	i.recall()
	return i.give(g.Shard), nil
}

// give stops using a shard and returns what goes with it. What is in use
// stays until it is free.
func (i *Instance) give(shard int) *lacewingramp.ShardTransfer {
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
	since, notes := i.State.Records.Drop(shard)
	return &lacewingramp.ShardTransfer{
		Granted: true, Shard: shard, Epoch: epoch + 1, RecordsSince: since, IdempotencyRecords: notes,
		Levels: load.Levels, Owed: load.Owed,
	}
}
