package instance

import (
	"context"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/assignment"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// startRebalance starts a rebalance of the domain's shards if one is needed.
func (i *Instance) startRebalance(now time.Time) {
	if i.LifecycleState() != "serving" || i.State.Index() == nil {
		return
	}
	if !i.needsRebalance(now) {
		return
	}
	i.startTask("rebalance", i.rebalance)
}

// needsRebalance reports whether there is a reason to read the domain's key in the
// store: an Assignment that is not known yet, a shard that no live instance claims, an
// uneven distribution of the shards, claims that the key does not record, or domain
// weights that are not applied yet.
func (i *Instance) needsRebalance(now time.Time) bool {
	i.State.Lock()
	defer i.State.Unlock()
	if !i.State.AssignmentKnown || i.State.Assignment.Split < i.State.Index().Table.Split {
		return true
	}
	if i.State.HasUnrecordedClaims() || (i.State.SharesOutdated() && i.State.Roster.IsRepresentative(now, "split")) {
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

// rebalance reads the domain's key, updates it, and requests or takes over the shards
// that this instance should hold.
func (i *Instance) rebalance() {
	a, revision, ok := i.readAssignment()
	if !ok {
		i.rebalanceWithoutStore()
		return
	}
	if revision == 0 {
		i.createAssignment()
		return
	}
	i.applyAssignment(a)
	i.applySplit(a)
	i.startTask("record claims", i.recordClaims)
	for range quota.Shards {
		i.State.Lock()
		v := i.assignmentView(i.State.Assignment)
		i.State.Unlock()
		if !i.runSteps(assignment.Plan(v)) {
			return
		}
	}
}

// runSteps carries out the steps of a plan and reports whether it received a requested
// shard, in which case a new plan may request another.
func (i *Instance) runSteps(steps []assignment.Step) bool {
	replan := false
	for _, s := range steps {
		switch s.Kind {
		case assignment.StepRequest:
			replan = i.requestShard(s)
		case assignment.StepTakeOver:
			i.takeOverShard(s)
		}
	}
	return replan
}

// rebalanceWithoutStore requests shards according to the claims of the domain's
// instances, while the domain's key cannot be read. If the Assignment is not known yet,
// it first adopts the domain's share of the limits that a live sibling reports. It takes
// over no shards of dead holders.
func (i *Instance) rebalanceWithoutStore() {
	i.State.Lock()
	now := i.Timer.Now()
	if !i.State.AssignmentKnown {
		for _, m := range i.State.Roster.Domain(i.State.Self.Domain) {
			if m.Live(now) && m.Digest.DomainShares != nil {
				i.State.Assignment = assignment.Assignment{
					Domain: i.State.Self.Domain, Split: m.Digest.DomainShares.Split,
					DomainShares: quota.DomainShares{Customers: m.Digest.DomainShares.Customers, Caps: m.Digest.DomainShares.Caps, Region: m.Digest.DomainShares.Region},
				}
				i.State.AssignmentKnown = true
				i.State.Reconfigure(now)
				break
			}
		}
	}
	known := i.State.AssignmentKnown
	v := i.assignmentView(i.State.Assignment)
	i.State.Unlock()
	if !known {
		return
	}
	for _, s := range assignment.Plan(v) {
		if s.Kind == assignment.StepRequest {
			_ = i.requestShard(s)
		}
	}
}

// assignmentView returns the input of assignment.Plan. A claim with a newer epoch takes
// precedence over the domain's key, because the key is updated only after a handover
// between instances. This does not apply to claims of an instance whose address another
// instance has taken over. It needs the State's lock.
func (i *Instance) assignmentView(a assignment.Assignment) assignment.View {
	now := i.Timer.Now()
	self := i.State.Self
	v := assignment.View{Self: self.Name, Now: now, AssignmentKnown: true, Assignment: a}
	v.Members = append(v.Members, assignment.Member{Name: self.Name, HeardAt: now, Leaving: self.Leaving, Claims: sortedClaims(i.State.Claims)})
	for _, m := range i.State.Roster.Domain(self.Domain) {
		v.Members = append(v.Members, assignment.Member{
			Name: m.Digest.Name, HeardAt: m.HeardAt, Unreachable: m.Unreachable, Leaving: m.Digest.Leaving,
			Replaced: m.Replaced, Claims: m.Digest.Claims,
		})
	}
	for _, m := range v.Members {
		for _, c := range m.Claims {
			if s := &v.Assignment.Shards[c.Shard%quota.Shards]; c.Epoch > s.Epoch && !m.Replaced {
				*s = assignment.Shard{Holder: m.Name, Epoch: c.Epoch}
			}
		}
	}
	v.Unclaimed = i.State.Unclaimed(now, v.Assignment)
	return v
}

// requestShard requests a shard from its holder and starts to use it at once. The
// domain's key is updated afterwards.
func (i *Instance) requestShard(s assignment.Step) bool {
	peerAddress := i.peerAddress(s.From)
	if peerAddress == "" {
		return false
	}
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	transfer, err := i.Peer.Handover(ctx, peerAddress, &lacewingramp.Handover{From: i.State.Self.Name, Shard: s.Shard})
	if err != nil || !transfer.Granted {
		return false
	}
	i.acceptShard(transfer)
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

// acceptShard starts to use a shard that was handed over, and starts the task that
// records it in the domain's key.
func (i *Instance) acceptShard(transfer *lacewingramp.ShardTransfer) {
	i.State.Lock()
	if e, ok := i.State.Claims[transfer.Shard]; ok && e >= transfer.Epoch {
		i.State.Unlock()
		return
	}
	i.Dispatcher.DeliverGrants(i.State.Hold(i.Timer.Now(), transfer.Shard, transfer.Epoch, *transfer))
	i.State.Unlock()
	i.Log.Info().Int("shard", transfer.Shard).Int64("epoch", transfer.Epoch).Msg("received a shard")
	i.startTask("exchange digests", func() { i.exchangeDigests(i.Timer.Now()) })
	i.startTask("record claims", i.recordClaims)
}

// takeOverShard takes over, by compare-and-swap, a shard whose recorded holder is dead or
// no longer claims it. The shard comes without tokens and without the idempotency
// records of earlier requests.
func (i *Instance) takeOverShard(s assignment.Step) {
	self := i.State.Self
	epoch := s.Epoch + 1
	taken := i.updateAssignment(func(a *assignment.Assignment) bool {
		current := a.Shards[s.Shard]
		if current.Epoch > s.Epoch || (current.Epoch == s.Epoch && current.Holder != s.From) {
			return false
		}
		a.Shards[s.Shard] = assignment.Shard{Holder: self.Name, Epoch: epoch}
		a.HolderEndpoints = holderEndpoints(a, self)
		return true
	})
	if !taken {
		return
	}
	i.State.Lock()
	defer i.State.Unlock()
	now := i.Timer.Now()
	i.Dispatcher.DeliverGrants(i.State.Hold(now, s.Shard, epoch, lacewingramp.ShardTransfer{RecordsCompleteSince: now}))
	i.Log.Warn().Int("shard", s.Shard).Int64("epoch", epoch).Str("from", s.From).Msg("took over a shard")
}

// ServeHandover hands a shard over to a sibling that requests it, or accepts the
// shard that a leaving sibling offers.
func (i *Instance) ServeHandover(_ context.Context, h *lacewingramp.Handover) (*lacewingramp.ShardTransfer, error) {
	if h.Offer != nil {
		if i.LifecycleState() != "serving" {
			return &lacewingramp.ShardTransfer{}, nil
		}
		i.acceptShard(h.Offer)
		return &lacewingramp.ShardTransfer{Granted: true, Shard: h.Offer.Shard}, nil
	}
	i.recallLoans()
	return i.releaseShard(h.Shard), nil
}

// releaseShard stops the use of a shard and returns its state for the next holder. The
// shard is not granted while requests use it or while the quota is suspended.
func (i *Instance) releaseShard(shard int) *lacewingramp.ShardTransfer {
	i.State.Lock()
	defer i.State.Unlock()
	now := i.Timer.Now()
	epoch, ok := i.State.Claims[shard]
	if !ok || i.State.Quota.Suspended(now) || i.State.Records.Running(shard) {
		return &lacewingramp.ShardTransfer{}
	}
	if !i.State.Pool.Drop(now, shard) {
		return &lacewingramp.ShardTransfer{}
	}
	shardState, _ := i.State.Quota.Drop(now, shard)
	delete(i.State.Claims, shard)
	recordsSince, records := i.State.Records.Drop(shard)
	return &lacewingramp.ShardTransfer{
		Granted: true, Shard: shard, Epoch: epoch + 1, RecordsCompleteSince: recordsSince, IdempotencyRecords: records,
		Balances: shardState.Balances, Outstanding: shardState.Outstanding,
	}
}
