// Package assignment assigns the shards of a failure domain's quota and slots to the
// instances of the domain.
//
// It is stored as an Assignment under one key per domain in the platform's
// store. It is written by compare-and-swap, and only when a shard changes its holder or
// the domain weights change. An instance that joins requests shards from the instance
// that holds the most. An instance that leaves hands its shards over. The shards of a
// failed instance are taken over when a new connection to it has failed and nothing was
// received from it for quota.TakeoverDelay.
//
// # Usage
//
//	for _, s := range assignment.Plan(view) {
//		switch s.Kind {
//		case assignment.StepRequest:  // ask s.From to hand over s.Shard
//		case assignment.StepTakeOver: // take s.Shard over from s.From by compare-and-swap
//		}
//	}
package assignment

import (
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

//go:generate stringer -type=StepKind -linecomment

// Shard is the assignment of one shard. Epoch increases each time the shard changes its
// holder.
type Shard struct {
	Holder string `json:"holder"`
	Epoch  int64  `json:"epoch"`
}

// Assignment is the shard assignment of a failure domain, as stored under the domain's
// key. DomainShares are the domain's shares of the limits, and Split the revision of the
// Table whose domain weights they were computed from. WriteID is the ID of the last
// write, by which the writer determines the outcome of a write whose response was lost.
// HolderEndpoints are the endpoints of the holders.
type Assignment struct {
	Domain          string                  `json:"domain"`
	WriteID         string                  `json:"edit"`
	Split           int64                   `json:"split"`
	DomainShares    quota.DomainShares      `json:"part"`
	Shards          [quota.Shards]Shard     `json:"shards"`
	HolderEndpoints []lacewingramp.Endpoint `json:"endpoints"`
}

// Check returns an error if the Assignment has no domain or a share above the complete limit.
// No instance writes such an Assignment.
func (a *Assignment) Check() error {
	if a.Domain == "" || a.DomainShares.Customers > lacewingramp.WholeLimit || a.DomainShares.Caps > lacewingramp.WholeLimit {
		return &lacewingramp.InvalidValueError{Kind: "holding", Name: a.Domain}
	}
	return nil
}

// HeldBy returns the set of shards that an instance holds.
func (a *Assignment) HeldBy(name string) [quota.Shards]bool {
	var held [quota.Shards]bool
	for i, s := range a.Shards {
		held[i] = s.Holder == name
	}
	return held
}

// StepKind is the kind of a Step.
type StepKind uint8

// The kinds of a Step. StepRequest requests a shard from its holder, and StepTakeOver takes a
// shard over from a holder that has failed or does not claim it.
const (
	StepRequest  StepKind = iota // ask
	StepTakeOver                 // take
)

// Step is an action on one shard. From is the shard's holder and Epoch its epoch.
type Step struct {
	Kind  StepKind
	Shard int
	From  string
	Epoch int64
}

// Member is the state of an instance of the domain. HeardAt is the last time at which
// something was received from it. Unreachable is set if a new connection to it has failed
// since then. Replaced is set if its address now belongs to another instance, so that it
// must have stopped. Claims are the shards that it reports to hold.
type Member struct {
	Name        string
	HeardAt     time.Time
	Unreachable bool
	Leaving     bool
	Replaced    bool
	Claims      []lacewingramp.ShardClaim
}

// View is the input of Plan: the Assignment and the members of the domain, as an instance
// knows them. AssignmentKnown is set once the Assignment has been read.
type View struct {
	Self            string
	Now             time.Time
	AssignmentKnown bool
	Assignment      Assignment
	Members         []Member
	// Unclaimed are the shards whose recorded holder is live but has not claimed them
	// for longer than quota.TakeoverDelay. This happens if the message that hands a shard
	// over is lost, or if its receiver fails before it has recorded the handover in
	// the domain's key.
	Unclaimed [quota.Shards]bool
}

// Plan returns the steps that the instance should take now: it takes over all shards of
// failed holders and all unclaimed shards whose successor it is, and requests at most one
// shard.
func Plan(v View) []Step {
	if !v.AssignmentKnown {
		return nil
	}
	p := newPlan(v)
	if p.selfIndex < 0 {
		return nil
	}
	var steps []Step
	for i, s := range v.Assignment.Shards {
		if (v.Unclaimed[i] || p.hasFailed(s.Holder)) && p.successor(i) == v.Self && !p.claimedSince(i, s.Epoch) {
			steps = append(steps, Step{Kind: StepTakeOver, Shard: i, From: s.Holder, Epoch: s.Epoch})
		}
	}
	if s, ok := p.shardToRequest(); ok {
		steps = append(steps, s)
	}
	return steps
}

type plan struct {
	view       View
	live       []string
	selfIndex  int
	shardCount map[string]int
}

func newPlan(v View) *plan {
	p := &plan{view: v, selfIndex: -1, shardCount: make(map[string]int)}
	for _, m := range v.Members {
		if !m.Leaving && !p.hasFailed(m.Name) {
			p.live = append(p.live, m.Name)
		}
	}
	sort.Strings(p.live)
	for i, n := range p.live {
		if n == v.Self {
			p.selfIndex = i
		}
	}
	for _, s := range v.Assignment.Shards {
		p.shardCount[s.Holder]++
	}
	return p
}

// hasFailed reports whether nothing was received from a holder for quota.TakeoverDelay and
// a new connection to it has failed. An instance that has been replaced counts as failed,
// and so does the empty name of a shard without a holder.
func (p *plan) hasFailed(name string) bool {
	if name == p.view.Self {
		return false
	}
	if name == "" {
		return true
	}
	for _, m := range p.view.Members {
		if m.Name == name {
			return m.Replaced || m.Unreachable && p.view.Now.Sub(m.HeardAt) > quota.TakeoverDelay
		}
	}
	return false
}

func (p *plan) claimedSince(shard int, epoch int64) bool {
	for _, m := range p.view.Members {
		for _, c := range m.Claims {
			if c.Shard == shard && c.Epoch > epoch {
				return true
			}
		}
	}
	return false
}

// successor returns the live instance that takes over a shard. Instances with the same
// view compute the same one, so that only one of them takes over the shard.
func (p *plan) successor(shard int) string {
	return p.live[shard%len(p.live)]
}

// shardToRequest returns a step that requests a shard from the instance that holds the
// most, or false if that instance does not hold at least two more than this one.
func (p *plan) shardToRequest() (Step, bool) {
	largest := ""
	for _, m := range p.view.Members {
		if m.Name == p.view.Self || p.hasFailed(m.Name) || p.shardCount[m.Name] == 0 {
			continue
		}
		if largest == "" || p.shardCount[m.Name] > p.shardCount[largest] {
			largest = m.Name
		}
	}
	if largest == "" || p.shardCount[largest] < p.shardCount[p.view.Self]+2 {
		return Step{}, false
	}
	for i, s := range p.view.Assignment.Shards {
		if s.Holder == largest {
			return Step{Kind: StepRequest, Shard: i, From: largest, Epoch: s.Epoch}, true
		}
	}
	return Step{}, false
}

// Successor returns the live instance to which an instance that leaves should hand over a
// shard, or "" if there is none.
func Successor(v View, shard int) string {
	var live []string
	for _, m := range v.Members {
		if m.Name != v.Self && !m.Leaving && !m.Replaced && !m.Unreachable {
			live = append(live, m.Name)
		}
	}
	if len(live) == 0 {
		return ""
	}
	sort.Strings(live)
	return live[shard%len(live)]
}
