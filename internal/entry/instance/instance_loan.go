package instance

import (
	"context"
	"sync"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// BorrowQuota borrows quota for a subject, unless that is under way.
func (i *Instance) BorrowQuota(s lacewingramp.Subject) {
	if s.Kind != lacewingramp.SubjectCustomer {
		return
	}
	i.startTask("need "+s.String(), func() { i.borrow(s) })
}

// loanOffers lists what the live instances say they could lend. It needs the lock.
func (i *Instance) loanOffers(now time.Time, s lacewingramp.Subject) []quota.Offer {
	var all []quota.Offer
	for _, m := range i.State.Roster.Members() {
		if !m.Live(now) {
			continue
		}
		o := quota.Offer{Lender: m.Digest.Name, Sibling: m.Digest.Domain == i.State.Self.Domain}
		for _, p := range m.Digest.Spares {
			if p.Subject == s {
				o.Spare = p
			}
		}
		all = append(all, o)
	}
	return all
}

// livePeers lists the live instances that stay, of the own domain and of others.
// It needs the lock.
func (i *Instance) livePeers(now time.Time) (siblings, others []string) {
	for _, m := range i.State.Roster.Members() {
		switch {
		case !m.Live(now) || m.Digest.Leaving:
		case m.Digest.Domain == i.State.Self.Domain:
			siblings = append(siblings, m.Digest.Name)
		default:
			others = append(others, m.Digest.Name)
		}
	}
	return siblings, others
}

// borrow asks the lenders for what the instance lacks, all at once.
func (i *Instance) borrow(s lacewingramp.Subject) {
	now := i.Timer.Now()
	i.State.Lock()
	need, ok := i.State.Quota.NeedOf(now, s)
	var portions []quota.Portion
	var asks []lacewingramp.Ask
	if ok {
		portions = i.State.Quota.Choose(need, i.loanOffers(now, s))
		for _, p := range portions {
			asks = append(asks, i.State.Quota.Ask(now, p.Need))
		}
	}
	i.State.Unlock()
	var calls sync.WaitGroup
	for n, p := range portions {
		calls.Go(func() { i.requestLoan(p.Lender, asks[n]) })
	}
	calls.Wait()
}

func (i *Instance) requestLoan(lender string, a lacewingramp.Ask) {
	address := i.peerAddress(lender)
	if address == "" {
		return
	}
	ctx, cancel := i.callContext(loanTimeout)
	defer cancel()
	loan, err := i.Peer.RequestLoan(ctx, address, &a)
	if err != nil {
		return
	}
	i.State.Lock()
	defer i.State.Unlock()
	if i.State.Quota.Borrow(i.Timer.Now(), lender, *loan) {
		i.Carrier.Came(loan.Subject)
	}
}

// returnLoan sends a loan back.
func (i *Instance) returnLoan(loan quota.Giving) {
	address := i.peerAddress(loan.Lender)
	if address == "" {
		return
	}
	go func() {
		ctx, cancel := i.callContext(loanTimeout)
		defer cancel()
		_ = i.Peer.ReturnLoan(ctx, address, &loan.Return)
	}()
}

// extendLoan asks for another term of a loan.
func (i *Instance) extendLoan(r quota.Renewal) {
	address := i.peerAddress(r.Lender)
	if address == "" {
		return
	}
	i.startTask("extend "+address+r.Extend.Subject.String(), func() {
		ctx, cancel := i.callContext(loanTimeout)
		defer cancel()
		sentAt := i.Timer.Now()
		extended, err := i.Peer.Extend(ctx, address, &r.Extend)
		if err != nil {
			return
		}
		i.State.Lock()
		defer i.State.Unlock()
		i.State.Quota.Extended(i.Timer.Now(), sentAt, r.Extend, *extended)
	})
}

// ServeRequestLoan answers another instance's wish for quota.
func (i *Instance) ServeRequestLoan(_ context.Context, a *lacewingramp.Ask) (*lacewingramp.Loan, error) {
	i.State.Lock()
	defer i.State.Unlock()
	l := i.State.Quota.Lend(i.Timer.Now(), *a)
	return &l, nil
}

// ServeExtendLoan lets a loan run for another term.
func (i *Instance) ServeExtendLoan(_ context.Context, e *lacewingramp.Extend) (*lacewingramp.Extended, error) {
	i.State.Lock()
	defer i.State.Unlock()
	x := i.State.Quota.Extend(i.Timer.Now(), *e)
	return &x, nil
}

// ServeReturnLoan takes a loan back.
func (i *Instance) ServeReturnLoan(_ context.Context, r *lacewingramp.Return) error {
	i.State.Lock()
	defer i.State.Unlock()
	i.State.Quota.TakeBack(i.Timer.Now(), *r)
	return nil
}

// recallTimeout is how long a hand-over waits for loans to come back.
const recallTimeout = 200 * time.Millisecond

// recallLoans asks for the loans that are out, before a shard is handed over. One
// that does not come back goes along as a loan of the next holder.
func (i *Instance) recallLoans() {
	i.State.Lock()
	all := i.State.Quota.Recalls(i.Timer.Now())
	i.State.Unlock()
	var calls sync.WaitGroup
	for _, r := range all {
		calls.Go(func() { i.recallLoan(r) })
	}
	calls.Wait()
}

func (i *Instance) recallLoan(r quota.Recalling) {
	address := i.peerAddress(r.Borrower)
	if address == "" {
		return
	}
	ctx, cancel := i.callContext(recallTimeout)
	defer cancel()
	returned, err := i.Peer.RecallLoan(ctx, address, &r.Extend)
	if err != nil || returned.ID != r.Extend.ID {
		return
	}
	i.State.Lock()
	defer i.State.Unlock()
	i.State.Quota.TakeBack(i.Timer.Now(), *returned)
}

// ServeRecallLoan ends a loan that its lender would like back.
func (i *Instance) ServeRecallLoan(_ context.Context, e *lacewingramp.Extend) (*lacewingramp.Return, error) {
	i.State.Lock()
	defer i.State.Unlock()
	r, _ := i.State.Quota.Recall(i.Timer.Now(), *e)
	return &r, nil
}
