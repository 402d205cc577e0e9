package instance

import (
	"context"
	"sort"
	"sync"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

// lendersMost is how many instances are asked for a loan at a time.
const lendersMost = 3

// Need borrows quota for a subject, unless that is under way.
func (i *Instance) Need(s lacewingramp.Subject) {
	if s.Kind != lacewingramp.SubjectCustomer {
		return
	}
	i.once("need "+s.String(), func() { i.borrow(s) })
}

type lender struct {
	endpoint lacewingramp.Endpoint
	spare    lacewingramp.Spare
}

// lenders lists the instances with most to spare. Where none says that it has
// any, those heard of last are asked all the same.
func (i *Instance) lenders(now time.Time, s lacewingramp.Subject) []lender {
	var all, blind []lender
	for _, m := range i.State.Roster.Members() {
		if !m.Live(now) {
			continue
		}
		l := lender{endpoint: m.Digest.Endpoint}
		blind = append(blind, l)
		for _, p := range m.Digest.Spares {
			if p.Subject == s {
				l.spare = p
				all = append(all, l)
			}
		}
	}
	if len(all) == 0 {
		return blind[:min(len(blind), lendersMost)]
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].spare.Tokens > all[b].spare.Tokens })
	return all[:min(len(all), lendersMost)]
}

// borrow asks the lenders for what the instance lacks, all at once, each for
// its part.
func (i *Instance) borrow(s lacewingramp.Subject) {
	now := i.Timer.Now()
	i.State.Lock()
	need, ok := i.State.Quota.NeedOf(now, s)
	lenders := i.lenders(now, s)
	asks := make([]lacewingramp.Ask, len(lenders))
	for n := range lenders {
		asks[n] = i.State.Quota.Ask(now, share(need, lenders, n))
	}
	i.State.Unlock()
	if !ok {
		return
	}
	var wait sync.WaitGroup
	for n, l := range lenders {
		wait.Go(func() { i.ask(l.endpoint, asks[n]) })
	}
	wait.Wait()
}

// share is the part of a need that one lender is asked for: as its spare is
// to that of all, and a little more.
func share(n quota.Need, all []lender, one int) quota.Need {
	const more = 1.2
	var tokens, rate float64
	for _, l := range all {
		tokens += l.spare.Tokens
		rate += l.spare.Rate
	}
	if tokens > 0 {
		n.Tokens = max(1, n.Tokens*more*all[one].spare.Tokens/tokens)
	}
	if rate > 0 {
		n.Rate *= more * all[one].spare.Rate / rate
	}
	return n
}

func (i *Instance) ask(e lacewingramp.Endpoint, a lacewingramp.Ask) {
	ctx, cancel := i.callContext(lendTimeout)
	defer cancel()
	loan, err := i.Peer.Lend(ctx, e.Peer, &a)
	if err != nil {
		return
	}
	i.State.Lock()
	defer i.State.Unlock()
	i.State.Quota.Borrow(i.Timer.Now(), e.Name, *loan)
}

func (i *Instance) giveBack(g quota.Giving) {
	i.State.Lock()
	address := ""
	if m, ok := i.State.Roster.Find(g.Lender); ok {
		address = m.Digest.Peer
	}
	i.State.Unlock()
	if address == "" {
		return
	}
	go func() {
		ctx, cancel := i.callContext(lendTimeout)
		defer cancel()
		_ = i.Peer.GiveBack(ctx, address, &g.Return)
	}()
}

// ServeLend answers another instance's wish for quota.
func (i *Instance) ServeLend(_ context.Context, a *lacewingramp.Ask) (*lacewingramp.Loan, error) {
	i.State.Lock()
	defer i.State.Unlock()
	l := i.State.Quota.Lend(i.Timer.Now(), *a)
	return &l, nil
}

// ServeGiveBack takes a loan back.
func (i *Instance) ServeGiveBack(_ context.Context, r *lacewingramp.Return) error {
	i.State.Lock()
	defer i.State.Unlock()
	i.State.Quota.TakeBack(i.Timer.Now(), *r)
	return nil
}
