package instance

import (
	"time"

	"lacewingramp.example/lacewingramp/internal/limit/assignment"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// applySplit changes the domain's part of the limits, in its key, to the Table's weights
// in two steps. First it lowers the part to what both the old and the new split allow,
// once every live sibling has the Table and no loan of the larger part can be in use any
// more. Then it raises the part to the whole new one, once the keys of all other domains
// show that they have been lowered.
func (i *Instance) applySplit(h assignment.Assignment) {
	t := i.State.Index().Table
	newPart, ok := assignment.Split(t)[i.State.Self.Domain]
	if !ok {
		newPart = quota.DomainShares{Region: h.DomainShares.Region}
	}
	if h.Split < t.Split {
		if !i.siblingsHaveRevision(t.Revision) {
			return
		}
		i.updateHolding(func(h *assignment.Assignment) bool {
			if h.Split >= t.Split {
				return false
			}
			h.DomainShares, h.Split = assignment.MinShares(h.DomainShares, newPart), t.Split
			return true
		})
		return
	}
	if h.DomainShares == newPart {
		return
	}
	others, ok := i.readAllHoldings()
	if !ok || !assignment.MayGrow(t.Split, h.Domain, others) {
		return
	}
	i.updateHolding(func(h *assignment.Assignment) bool {
		if h.Split != t.Split || h.DomainShares == newPart {
			return false
		}
		h.DomainShares = newPart
		return true
	})
}

// siblingsHaveRevision reports whether every live instance of the domain has had a
// revision of the Table for longer than the term of a loan.
func (i *Instance) siblingsHaveRevision(revision int64) bool {
	now := i.Timer.Now()
	i.State.Lock()
	for _, m := range i.State.Roster.Domain(i.State.Self.Domain) {
		if !m.Replaced && !m.Unreachable && m.Digest.Revision < revision {
			i.State.Unlock()
			return false
		}
	}
	i.State.Unlock()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.adoption.revision != revision {
		i.adoption = tableAdoption{revision: revision, since: now}
	}
	return now.Sub(i.adoption.since) > quota.Term+quota.ReclaimMargin
}

// tableAdoption is the time since which all live siblings have had a revision of the
// Table.
type tableAdoption struct {
	revision int64
	since    time.Time
}
