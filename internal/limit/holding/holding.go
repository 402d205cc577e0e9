// Package holding decides which instance of a failure domain holds which
// shards of the domain's quota and slots.
//
// The domain has one key in the platform's store with a Holding, changed by
// compare-and-swap only when membership changes. A joining instance asks the
// one that holds the most for a shard. A leaving instance hands its shards
// over. The shards of a dead holder are taken when a fresh connection to it
// has failed and the fence time has passed since it was heard of.
//
// # Usage
//
//	for _, s := range holding.Plan(view) {
//		switch s.Kind {
//		case holding.StepAsk:  // ask s.From to hand s.Shard over
//		case holding.StepTake: // take s.Shard of the dead s.From by CAS
//		}
//	}
package holding

import (
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

//go:generate stringer -type=StepKind -linecomment

// Shard is the holder of one shard. Epoch rises with every change of hands.
type Shard struct {
	Holder string `json:"holder"`
	Epoch  int64  `json:"epoch"`
}

// Holding is the value of a failure domain's key. Split is the revision of
// the Table whose weights Part comes from. Edit settles a lost
// answer. Endpoints says how the holders are reached.
type Holding struct {
	Domain    string                  `json:"domain"`
	Edit      string                  `json:"edit"`
	Split     int64                   `json:"split"`
	Part      quota.Part              `json:"part"`
	Shards    [quota.Shards]Shard     `json:"shards"`
	Endpoints []lacewingramp.Endpoint `json:"endpoints"`
}

// Check reports a holding that no instance can have written.
func (h *Holding) Check() error {
	if h.Domain == "" || h.Part.Customers > lacewingramp.WholeLimit || h.Part.Caps > lacewingramp.WholeLimit {
		return &lacewingramp.InvalidValueError{Kind: "holding", Name: h.Domain}
	}
	return nil
}

// Of lists the shards of one holder.
func (h *Holding) Of(name string) [quota.Shards]bool {
	var held [quota.Shards]bool
	for i, s := range h.Shards {
		held[i] = s.Holder == name
	}
	return held
}

// StepKind is what an instance should do about a shard.
type StepKind uint8

// The kinds of step.
const (
	StepAsk  StepKind = iota // ask
	StepTake                 // take
)

// Step is one thing to do about a shard.
type Step struct {
	Kind  StepKind
	Shard int
	From  string
	Epoch int64
}

// Member is what is known of an instance of the domain. Heard is when it was
// last heard of. Failed is set once a fresh connection to it has failed since.
type Member struct {
	Name    string
	Heard   time.Time
	Failed  bool
	Leaving bool
	Gone    bool
	Claims  []lacewingramp.Claim
}

// View is what an instance knows when it plans.
type View struct {
	Self    string
	Now     time.Time
	Known   bool
	Holding Holding
	Members []Member
	// Orphans are shards whose holder lives and has not claimed them for
	// longer than the fence: their hand-over was lost, or its receiver died
	// before the key showed it.
	Orphans [quota.Shards]bool
}

// Plan lists what the instance should do now, at most one shard asked for and
// every dead holder's shard that falls to it.
func Plan(v View) []Step {
	if !v.Known {
		return nil
	}
	p := newPlan(v)
	if p.self < 0 {
		return nil
	}
	var steps []Step
	for i, s := range v.Holding.Shards {
		if (v.Orphans[i] || p.dead(s.Holder)) && p.heir(i) == v.Self && !p.claimed(i, s.Epoch) {
			steps = append(steps, Step{Kind: StepTake, Shard: i, From: s.Holder, Epoch: s.Epoch})
		}
	}
	if s, ok := p.ask(); ok {
		steps = append(steps, s)
	}
	return steps
}

type plan struct {
	view  View
	live  []string
	self  int
	count map[string]int
}

func newPlan(v View) *plan {
	p := &plan{view: v, self: -1, count: make(map[string]int)}
	for _, m := range v.Members {
		if !m.Leaving && !p.dead(m.Name) {
			p.live = append(p.live, m.Name)
		}
	}
	sort.Strings(p.live)
	for i, n := range p.live {
		if n == v.Self {
			p.self = i
		}
	}
	for _, s := range v.Holding.Shards {
		p.count[s.Holder]++
	}
	return p
}

// dead reports whether a holder has been silent for the fence time and a
// fresh connection to it has failed. An instance that left cleanly, and one
// that nobody knows, holds nothing any more.
func (p *plan) dead(name string) bool {
	if name == p.view.Self {
		return false
	}
	if name == "" {
		return true
	}
	for _, m := range p.view.Members {
		if m.Name == name {
			return m.Gone || m.Failed && p.view.Now.Sub(m.Heard) > quota.Fence
		}
	}
	return false
}

func (p *plan) claimed(shard int, epoch int64) bool {
	for _, m := range p.view.Members {
		for _, c := range m.Claims {
			if c.Shard == shard && c.Epoch > epoch {
				return true
			}
		}
	}
	return false
}

// heir is the live instance that a dead holder's shard falls to.
func (p *plan) heir(shard int) string {
	return p.live[shard%len(p.live)]
}

// ask finds a shard to ask for: from the instance with the most, while it has
// at least two more than this one. Shards of a leaving one are asked first.
func (p *plan) ask() (Step, bool) {
	most := ""
	for _, m := range p.view.Members {
		if m.Name == p.view.Self || p.dead(m.Name) || p.count[m.Name] == 0 {
			continue
		}
		if most == "" || p.count[m.Name] > p.count[most] {
			most = m.Name
		}
	}
	if most == "" || p.count[most] < p.count[p.view.Self]+2 {
		return Step{}, false
	}
	for i, s := range p.view.Holding.Shards {
		if s.Holder == most {
			return Step{Kind: StepAsk, Shard: i, From: most, Epoch: s.Epoch}, true
		}
	}
	return Step{}, false
}

// Heir returns the live instance that a leaving one should hand a shard to,
// or "" where there is none.
func Heir(v View, shard int) string {
	var live []string
	for _, m := range v.Members {
		if m.Name != v.Self && !m.Leaving && !m.Gone && !m.Failed {
			live = append(live, m.Name)
		}
	}
	if len(live) == 0 {
		return ""
	}
	sort.Strings(live)
	return live[shard%len(live)]
}
