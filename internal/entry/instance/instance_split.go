package instance

import (
	"time"

	"lacewingramp.example/lacewingramp/internal/limit/assignment"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// applySplit changes the domain's share of the limits, in its key, to the Table's weights
// in two steps. First it lowers the share to what both the old and the new split allow,
// once every reachable sibling has the Table and no loan of the larger share can be in
// use any more. Then it raises the share to the whole new one, once the keys of all other
// domains show that their shares have been lowered.
func (i *Instance) applySplit(a assignment.Assignment) {
	t := i.State.Index().Table
	newShares, ok := assignment.Split(t)[i.State.Self.Domain]
	if !ok {
		newShares = quota.DomainShares{Region: a.DomainShares.Region}
	}
	if a.Split < t.Split {
		if !i.siblingsHaveRevision(t.Revision) {
			return
		}
		i.updateAssignment(func(a *assignment.Assignment) bool {
			if a.Split >= t.Split {
				return false
			}
			a.DomainShares, a.Split = assignment.MinShares(a.DomainShares, newShares), t.Split
			return true
		})
		return
	}
	if a.DomainShares == newShares {
		return
	}
	others, ok := i.readAllAssignments()
	if !ok || !assignment.MayGrow(t.Split, a.Domain, others) {
		return
	}
	i.updateAssignment(func(a *assignment.Assignment) bool {
		if a.Split != t.Split || a.DomainShares == newShares {
			return false
		}
		a.DomainShares = newShares
		return true
	})
}

// siblingsHaveRevision reports whether every other instance of the domain has had this
// revision of the Table, or a newer one, for longer than the term of a loan plus
// quota.ReclaimMargin. It ignores instances that are unreachable or replaced, but not
// those whose last digest is merely old.
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

// tableAdoption is the time since which siblingsHaveRevision has found that all
// siblings have a revision of the Table or a newer one.
type tableAdoption struct {
	revision int64
	since    time.Time
}
