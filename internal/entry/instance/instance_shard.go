package instance

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/holding"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// change alters a Holding before it is written back. It returns false where
// there is nothing to write.
type change func(h *holding.Holding) bool

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
// nobody claims, an uneven division, or weights that are not in use yet.
func (i *Instance) unsettled(now time.Time) bool {
	i.State.Lock()
	defer i.State.Unlock()
	if !i.State.Known || i.State.Holding.Split < i.State.Index().Table.Split {
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

func (i *Instance) holdingKey() string {
	return lacewingramp.KeyHoldings + i.State.Self.Domain
}

func (i *Instance) readHolding() (holding.Holding, int64, bool) {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	item, err := i.Store.Get(ctx, i.holdingKey())
	if err != nil {
		i.faults.Store.Add(1)
		return holding.Holding{}, 0, false
	}
	var h holding.Holding
	if item.Revision > 0 {
		if err := json.Unmarshal(item.Value, &h); err != nil || h.Check() != nil {
			i.Log.Error().Str("key", item.Key).Msg("holding can not be read")
			return holding.Holding{}, 0, false
		}
	}
	return h, item.Revision, true
}

// writeHolding changes the domain's key by compare-and-swap until it has won
// or there is nothing left to change. An answer that was lost is settled by
// reading the edit back.
func (i *Instance) writeHolding(f change) bool {
	const tries = 5
	for range tries {
		h, revision, ok := i.readHolding()
		if !ok || revision == 0 || !f(&h) {
			return false
		}
		done, again := i.swapHolding(h, revision)
		if done {
			i.learn(h)
			return true
		}
		if !again {
			return false
		}
	}
	return false
}

func (i *Instance) swapHolding(h holding.Holding, base int64) (done, again bool) {
	h.Edit = rand.Text()
	value, err := json.Marshal(h)
	if err != nil {
		return false, false
	}
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	_, err = i.Store.Swap(ctx, i.holdingKey(), value, base, 0)
	if err == nil {
		return true, false
	}
	if errors.Is(err, lacewingramp.ErrConflict) {
		return false, true
	}
	i.faults.Store.Add(1)
	if !errors.Is(err, lacewingramp.ErrUnclear) {
		return false, false
	}
	now, _, ok := i.readHolding()
	return ok && now.Edit == h.Edit, false
}

// create writes the domain's key for the first time, with every shard at this
// instance. The domain has a part only once all others have come down to the
// split.
func (i *Instance) create() {
	t := i.State.Index().Table
	others, ok := i.allHoldings()
	if !ok {
		return
	}
	part, known := holding.Split(t)[i.State.Self.Domain]
	if !known {
		return
	}
	h := holding.Holding{Domain: i.State.Self.Domain, Part: quota.Part{Region: part.Region}}
	if holding.MayGrow(t.Split, h.Domain, others) {
		h.Part, h.Split = part, t.Split
	}
	for n := range h.Shards {
		h.Shards[n] = holding.Shard{Holder: i.State.Self.Name, Epoch: 1}
	}
	h.Endpoints = []lacewingramp.Endpoint{i.State.Self}
	if done, _ := i.swapHolding(h, 0); !done {
		return
	}
	i.learn(h)
	i.State.Lock()
	defer i.State.Unlock()
	now := i.Timer.Now()
	for n := range h.Shards {
		i.Carrier.Wake(i.State.Hold(now, n, 1, lacewingramp.Handed{}))
	}
}

func (i *Instance) allHoldings() ([]holding.Holding, bool) {
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	items, err := i.Store.Range(ctx, lacewingramp.KeyHoldings)
	if err != nil {
		i.faults.Store.Add(1)
		return nil, false
	}
	all := make([]holding.Holding, 0, len(items))
	for _, item := range items {
		var h holding.Holding
		if json.Unmarshal(item.Value, &h) == nil {
			all = append(all, h)
		}
	}
	return all, true
}

// learn takes in the domain's key. Shards that it shows in other hands under
// a newer epoch are no longer this instance's.
func (i *Instance) learn(h holding.Holding) {
	i.State.Lock()
	defer i.State.Unlock()
	now := i.Timer.Now()
	i.State.Holding = h
	i.State.Known = true
	i.State.Reconfigure(now)
	i.State.Roster.List(now, h.Endpoints)
	i.forfeit(now, i.lost(h))
}

// lost lists the shards that this instance has lost to another.
func (i *Instance) lost(h holding.Holding) []int {
	var all []int
	for n, s := range h.Shards {
		if e, ok := i.State.Claims[n]; ok && s.Holder != i.State.Self.Name && s.Epoch >= e {
			all = append(all, n)
		}
	}
	return all
}

// forfeit drops shards that another instance has taken. It needs the lock.
func (i *Instance) forfeit(now time.Time, shards []int) {
	for _, n := range shards {
		i.State.Quota.Forfeit(now, n)
		i.State.Forfeit(n)
		i.faults.Forfeits.Add(1)
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
	if err != nil || !got.Given {
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
func (i *Instance) accept(g *lacewingramp.Handed) {
	i.State.Lock()
	if e, ok := i.State.Claims[g.Shard]; ok && e >= g.Epoch {
		i.State.Unlock()
		return
	}
	i.Carrier.Wake(i.State.Hold(i.Timer.Now(), g.Shard, g.Epoch, *g))
	self := i.State.Self
	i.State.Unlock()
	i.Log.Info().Int("shard", g.Shard).Int64("epoch", g.Epoch).Msg("shard handed over")
	i.once("spread", func() { i.beat(i.Timer.Now()) })
	i.once("record", func() { i.writeHolding(func(h *holding.Holding) bool { return i.record(h, self) }) })
}

// record writes every newer claim of this instance into the key.
func (i *Instance) record(h *holding.Holding, self lacewingramp.Endpoint) bool {
	i.State.Lock()
	defer i.State.Unlock()
	changed := false
	for n, e := range i.State.Claims {
		if e > h.Shards[n].Epoch {
			h.Shards[n] = holding.Shard{Holder: self.Name, Epoch: e}
			changed = true
		}
	}
	if changed {
		h.Endpoints = endpoints(h, self)
	}
	return changed
}

// endpoints keeps how the holders are reached.
func endpoints(h *holding.Holding, self lacewingramp.Endpoint) []lacewingramp.Endpoint {
	kept := []lacewingramp.Endpoint{self}
	for _, e := range h.Endpoints {
		if e.Name != self.Name && slices.ContainsFunc(h.Shards[:], func(s holding.Shard) bool { return s.Holder == e.Name }) {
			kept = append(kept, e)
		}
	}
	return kept
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
	i.Carrier.Wake(i.State.Hold(now, s.Shard, epoch, lacewingramp.Handed{Since: now}))
	i.Log.Warn().Int("shard", s.Shard).Int64("epoch", epoch).Str("from", s.From).Msg("shard taken")
}

// ServeGive answers a sibling that asks for a shard, or takes the one that a
// leaving sibling offers.
func (i *Instance) ServeGive(_ context.Context, g *lacewingramp.Give) (*lacewingramp.Handed, error) {
	if g.Offer != nil {
		if i.Life() != "serving" {
			return &lacewingramp.Handed{}, nil
		}
		i.accept(g.Offer)
		return &lacewingramp.Handed{Given: true, Shard: g.Offer.Shard}, nil
	}
	return i.give(g.Shard), nil
}

// give stops using a shard and returns what goes with it. What is in use
// stays until it is free.
func (i *Instance) give(shard int) *lacewingramp.Handed {
	i.State.Lock()
	defer i.State.Unlock()
	now := i.Timer.Now()
	epoch, ok := i.State.Claims[shard]
	if !ok || i.State.Quota.Suspended(now) || i.State.Records.Busy(shard) {
		return &lacewingramp.Handed{}
	}
	if !i.State.Pool.Drop(now, shard) {
		return &lacewingramp.Handed{}
	}
	load, _ := i.State.Quota.Drop(now, shard)
	delete(i.State.Claims, shard)
	since, notes := i.State.Records.Drop(shard)
	return &lacewingramp.Handed{
		Given: true, Shard: shard, Epoch: epoch + 1, Since: since, Notes: notes,
		Levels: load.Levels, Owed: load.Owed,
	}
}
