package instance

import (
	"context"
	"sync"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// BorrowQuota starts borrowing quota for a customer, unless it is in progress already.
func (i *Instance) BorrowQuota(s lacewingramp.Subject) {
	if s.Kind != lacewingramp.SubjectCustomer {
		return
	}
	i.startTask("borrow "+s.String(), func() { i.borrow(s) })
}

// lenderReports returns, for each live peer, the quota of a subject that it offers to
// lend. It needs the State's lock.
func (i *Instance) lenderReports(now time.Time, s lacewingramp.Subject) []quota.LenderReport {
	var all []quota.LenderReport
	for _, m := range i.State.Roster.Members() {
		if !m.Live(now) {
			continue
		}
		report := quota.LenderReport{Lender: m.Digest.Name, Sibling: m.Digest.Domain == i.State.Self.Domain}
		for _, p := range m.Digest.Spares {
			if p.Subject == s {
				report.SpareQuota = p
			}
		}
		all = append(all, report)
	}
	return all
}

// livePeers returns the names of the live instances that are not leaving: those of this
// instance's domain, and those of other domains. It needs the State's lock.
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

// borrow requests the quota that the instance lacks from all selected lenders in
// parallel.
func (i *Instance) borrow(s lacewingramp.Subject) {
	now := i.Timer.Now()
	i.State.Lock()
	need, ok := i.State.Quota.NeedOf(now, s)
	var lenderNeeds []quota.LenderNeed
	var requests []lacewingramp.LoanRequest
	if ok {
		lenderNeeds = i.State.Quota.ChooseLenders(need, i.lenderReports(now, s))
		for _, l := range lenderNeeds {
			requests = append(requests, i.State.Quota.LoanRequest(now, l.Need))
		}
	}
	i.State.Unlock()
	var calls sync.WaitGroup
	for n, l := range lenderNeeds {
		calls.Go(func() { i.requestLoan(l.Lender, requests[n]) })
	}
	calls.Wait()
}

func (i *Instance) requestLoan(lender string, r lacewingramp.LoanRequest) {
	peerAddress := i.peerAddress(lender)
	if peerAddress == "" {
		return
	}
	ctx, cancel := i.callContext(loanTimeout)
	defer cancel()
	loan, err := i.Peer.RequestLoan(ctx, peerAddress, &r)
	if err != nil {
		return
	}
	i.State.Lock()
	defer i.State.Unlock()
	if i.State.Quota.Borrow(i.Timer.Now(), lender, *loan) {
		i.Dispatcher.NotifyBorrowed(loan.Subject)
	}
}

// returnLoan returns a loan to its lender.
func (i *Instance) returnLoan(r quota.ReturnRequest) {
	peerAddress := i.peerAddress(r.Lender)
	if peerAddress == "" {
		return
	}
	go func() {
		ctx, cancel := i.callContext(loanTimeout)
		defer cancel()
		_ = i.Peer.ReturnLoan(ctx, peerAddress, &r.LoanReturn)
	}()
}

// extendLoan requests another term for a loan.
func (i *Instance) extendLoan(r quota.ExtendRequest) {
	peerAddress := i.peerAddress(r.Lender)
	if peerAddress == "" {
		return
	}
	i.startTask("extend loan "+peerAddress+r.Extend.Subject.String(), func() {
		ctx, cancel := i.callContext(loanTimeout)
		defer cancel()
		sentAt := i.Timer.Now()
		extension, err := i.Peer.Extend(ctx, peerAddress, &r.Extend)
		if err != nil {
			return
		}
		i.State.Lock()
		defer i.State.Unlock()
		i.State.Quota.LoanExtension(i.Timer.Now(), sentAt, r.Extend, *extension)
	})
}

// ServeRequestLoan lends quota to another instance, if there is quota to spare.
func (i *Instance) ServeRequestLoan(_ context.Context, r *lacewingramp.LoanRequest) (*lacewingramp.Loan, error) {
	i.State.Lock()
	defer i.State.Unlock()
	loan := i.State.Quota.Lend(i.Timer.Now(), *r)
	return &loan, nil
}

// ServeExtendLoan decides whether a loan is extended by another term.
func (i *Instance) ServeExtendLoan(_ context.Context, e *lacewingramp.Extend) (*lacewingramp.LoanExtension, error) {
	i.State.Lock()
	defer i.State.Unlock()
	extension := i.State.Quota.Extend(i.Timer.Now(), *e)
	return &extension, nil
}

// ServeReturnLoan accepts a loan that its borrower returns.
func (i *Instance) ServeReturnLoan(_ context.Context, r *lacewingramp.LoanReturn) error {
	i.State.Lock()
	defer i.State.Unlock()
	i.State.Quota.TakeBack(i.Timer.Now(), *r)
	return nil
}

// recallTimeout is the maximum time that a handover waits for loans to be returned.
const recallTimeout = 200 * time.Millisecond

// recallLoans recalls the outstanding loans before a shard is handed over. A loan that
// is not returned moves to the next holder with the shard.
func (i *Instance) recallLoans() {
	i.State.Lock()
	all := i.State.Quota.RecallRequests(i.Timer.Now())
	i.State.Unlock()
	var calls sync.WaitGroup
	for _, r := range all {
		calls.Go(func() { i.recallLoan(r) })
	}
	calls.Wait()
}

func (i *Instance) recallLoan(r quota.RecallRequest) {
	peerAddress := i.peerAddress(r.Borrower)
	if peerAddress == "" {
		return
	}
	ctx, cancel := i.callContext(recallTimeout)
	defer cancel()
	returned, err := i.Peer.RecallLoan(ctx, peerAddress, &r.Extend)
	if err != nil || returned.ID != r.Extend.ID {
		return
	}
	i.State.Lock()
	defer i.State.Unlock()
	i.State.Quota.TakeBack(i.Timer.Now(), *returned)
}

// ServeRecallLoan ends a borrowed loan that its lender recalls and returns it.
func (i *Instance) ServeRecallLoan(_ context.Context, e *lacewingramp.Extend) (*lacewingramp.LoanReturn, error) {
	i.State.Lock()
	defer i.State.Unlock()
	r, _ := i.State.Quota.ReturnRecalled(i.Timer.Now(), *e)
	return &r, nil
}
