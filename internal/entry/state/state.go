// Package state contains the data on which an instance bases its decisions, behind
// one mutex.
//
// The components of State do no I/O and are not safe for concurrent use. Code that uses
// them must hold the mutex, for a few microseconds only and never during a call over
// the network or to the store.
//
// # Usage
//
//	s.Lock()
//	err := s.Quota.Take(timer.Now(), subject)
//	s.Unlock()
package state

import (
	"sync"
	"sync/atomic"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/poison"
	"lacewingramp.example/lacewingramp/internal/call/record"
	"lacewingramp.example/lacewingramp/internal/change/rollout"
	"lacewingramp.example/lacewingramp/internal/config/index"
	"lacewingramp.example/lacewingramp/internal/limit/assignment"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
	"lacewingramp.example/lacewingramp/internal/peer/roster"
	"lacewingramp.example/lacewingramp/internal/steer/resolver"
	"lacewingramp.example/lacewingramp/internal/steer/slot"
)

// State is the data on which an instance bases its decisions.
type State struct {
	sync.Mutex

	Self     lacewingramp.Endpoint
	Region   string
	Quota    *quota.Ledger
	Pool     *slot.Pool
	Records  record.Ledger
	Guard    poison.Guard
	Roster   *roster.Roster
	Resolver *resolver.Resolver
	// Rollouts decides which version a request runs on.
	Rollouts   *rollout.Manager
	Claims     map[int]int64
	Assignment assignment.Assignment
	// AssignmentKnown is set once Assignment has been read from the store, or its
	// DomainShares were learned from a peer because the store could not be reached.
	AssignmentKnown bool
	// unclaimedSince is the time since which the recorded holder of a shard is live but
	// does not claim the shard, by shard. It is zero for all other shards.
	unclaimedSince [quota.Shards]time.Time
	// TableConfirmedAt is the last time at which the Table was known to be the newest.
	TableConfirmedAt time.Time

	index atomic.Pointer[index.Index]
}

// New returns the State of an instance that has no Table yet.
func New(self lacewingramp.Endpoint, seedAddresses []string, randomSeed uint64) *State {
	return &State{
		Self:     self,
		Quota:    quota.NewLedger(self.Name),
		Pool:     slot.NewPool(randomSeed),
		Guard:    poison.Guard{Instance: self.Name},
		Roster:   roster.New(self, seedAddresses),
		Resolver: resolver.NewResolver(self.Domain),

		Rollouts: rollout.NewManager(self.Name),
		Claims:   make(map[int]int64),
	}
}

// Index returns the index of the Table in force, or nil if there is none yet. It
// needs no lock.
func (s *State) Index() *index.Index {
	return s.index.Load()
}

// ApplyTable puts a Table in force and returns the waiting requests that can now run. It
// needs the lock.
func (s *State) ApplyTable(now time.Time, tableIndex *index.Index) []slot.Grant {
	s.index.Store(tableIndex)
	if d, ok := tableIndex.Domain(s.Self.Domain); ok {
		s.Region = d.Region
	}
	s.Reconfigure(now)
	s.Resolver.Configure(tableIndex.Table)
	s.Rollouts.Configure(tableIndex.Table)
	s.Pool.Configure(now, tableIndex.Targets(s.Self.Domain))
	return s.Pool.Tick(now)
}

// Reconfigure recalculates the quota after the Table or the Assignment has changed. A
// split is the division of the limits among the domains. While the Assignment belongs
// to an older split than the Table, the domain uses no more than both splits allow, so
// that the shares of all domains never add up to more than the limits. It needs the
// lock.
func (s *State) Reconfigure(now time.Time) {
	tableIndex := s.Index()
	if tableIndex == nil {
		return
	}
	shares := quota.DomainShares{Region: s.Region}
	if s.AssignmentKnown {
		shares = s.Assignment.DomainShares
		if s.Assignment.Split < tableIndex.Table.Split {
			shares = assignment.MinShares(shares, assignment.Split(tableIndex.Table)[s.Self.Domain])
		}
	}
	s.Quota.Configure(now, tableIndex.Quota(s.Region, shares))
}

// Hold starts to use a shard, with the state that its previous holder handed over or
// else none. It returns the waiting requests that can now run. It needs the lock.
func (s *State) Hold(now time.Time, shard int, epoch int64, t lacewingramp.ShardTransfer) []slot.Grant {
	s.Claims[shard] = epoch
	s.Quota.Hold(now, shard, quota.ShardState{Balances: t.Balances, Outstanding: t.Outstanding})
	s.Records.Hold(shard, t.RecordsCompleteSince, t.IdempotencyRecords)
	return s.Pool.Hold(now, shard)
}

// Forfeit stops the use of a shard that another instance has taken over or that this
// instance frees when it ends. It does not change the quota: the caller also calls
// Quota.Forfeit. It needs the lock.
func (s *State) Forfeit(shard int) {
	delete(s.Claims, shard)
	s.Records.Drop(shard)
	s.Pool.Forfeit(shard)
}

// Holds reports whether the instance holds a shard. It needs the lock.
func (s *State) Holds(shard int) bool {
	_, ok := s.Claims[shard]
	return ok
}

// AllShardsHeld reports whether every shard of a domain has a live holder, as far as this
// instance knows. It needs the lock.
func (s *State) AllShardsHeld(now time.Time, domain string) bool {
	held := make(map[int]bool, quota.Shards)
	if domain == s.Self.Domain {
		for n := range s.Claims {
			held[n] = true
		}
	}
	for _, m := range s.Roster.Domain(domain) {
		if !m.Live(now) {
			continue
		}
		for _, c := range m.Digest.Claims {
			held[c.Shard] = true
		}
	}
	return len(held) >= quota.Shards
}

// HasUnrecordedClaims reports whether Assignment lacks the current epoch of a shard that
// this instance holds. It needs the lock.
func (s *State) HasUnrecordedClaims() bool {
	for n, e := range s.Claims {
		if e > s.Assignment.Shards[n].Epoch {
			return true
		}
	}
	return false
}

// SharesOutdated reports whether the domain's share of the limits according to Assignment
// differs from its share according to the Table in force. It needs the lock.
func (s *State) SharesOutdated() bool {
	return s.Assignment.DomainShares != assignment.Split(s.Index().Table)[s.Self.Domain]
}

// Unclaimed returns the shards of a whose recorded holder is live but has not claimed
// them for longer than quota.TakeoverDelay, such as after a handover that was
// interrupted. It needs the lock.
func (s *State) Unclaimed(now time.Time, a assignment.Assignment) [quota.Shards]bool {
	var found [quota.Shards]bool
	for n, shard := range a.Shards {
		if !s.unclaimed(now, n, shard.Holder) {
			s.unclaimedSince[n] = time.Time{}
			continue
		}
		if s.unclaimedSince[n].IsZero() {
			s.unclaimedSince[n] = now
		}
		found[n] = now.Sub(s.unclaimedSince[n]) > quota.TakeoverDelay
	}
	return found
}

// unclaimed reports whether a shard's recorded holder is known to be live and does
// not claim the shard.
func (s *State) unclaimed(now time.Time, shard int, holder string) bool {
	if holder == s.Self.Name {
		return !s.Holds(shard)
	}
	m, ok := s.Roster.Find(holder)
	if !ok || !m.Live(now) {
		return false
	}
	for _, c := range m.Digest.Claims {
		if c.Shard == shard {
			return false
		}
	}
	return true
}
