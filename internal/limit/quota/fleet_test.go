package quota

import (
	"fmt"
	"math"
	"time"

	"lacewingramp.example/lacewingramp"
)

const customer = "andes"

var subject = lacewingramp.Subject{Kind: lacewingramp.SubjectCustomer, Name: customer}

var startTime = time.Unix(1_800_000_000, 0)

// reference is a single bucket with the whole rate and burst of a limit. Its level never
// becomes negative if and only if the fleet admits at most rate × window + burst in every
// window.
type reference struct {
	limit lacewingramp.Limit
	level float64
	at    time.Time
}

func (r *reference) admit(now time.Time, n float64) float64 {
	r.level = math.Min(r.limit.Burst, r.level+now.Sub(r.at).Seconds()*r.limit.Rate)
	r.at = now
	r.level -= n
	return r.level
}

// instance is an instance of the fleet. Its process may be paused. stoppedAt is when it
// crashed or the pause began.
type instance struct {
	name        string
	domain      int
	ledger      *Ledger
	crashed     bool
	pausedUntil time.Time
	stoppedAt   time.Time
}

// message is a message that is delivered when it is due.
type message struct {
	due     time.Time
	deliver func(now time.Time)
}

// fleet runs several Ledgers with simulated time and messages, in one goroutine. holder has the
// holder of each shard by domain, lowestLevel the lowest level of the reference bucket.
type fleet struct {
	now          time.Time
	limit        lacewingramp.Limit
	domainShares []DomainShares
	instances    []*instance
	holder       [][Shards]*instance
	messages     []message
	reference    reference
	serial       int
	lowestLevel  float64
	admitted     int
	refused      int
}

func newFleet(domains, each int, limit lacewingramp.Limit) *fleet {
	f := &fleet{now: startTime, limit: limit, reference: reference{limit: limit, level: limit.Burst, at: startTime}}
	f.holder = make([][Shards]*instance, domains)
	for d := range domains {
		f.domainShares = append(f.domainShares, DomainShares{Customers: lacewingramp.WholeLimit / lacewingramp.LimitFraction(domains)})
		for range each {
			f.join(d)
		}
		first := f.instances[d*each]
		for s := range Shards {
			first.ledger.Hold(f.now, s, ShardState{})
			f.holder[d][s] = first
		}
	}
	return f
}

func (f *fleet) config(d int, l lacewingramp.Limit) Config {
	return Config{Limits: map[lacewingramp.Subject]lacewingramp.Limit{subject: l}, DomainShares: f.domainShares[d]}
}

func (f *fleet) join(domain int) *instance {
	f.serial++
	n := &instance{name: fmt.Sprintf("i%d", f.serial), domain: domain}
	n.ledger = NewLedger(n.name)
	n.ledger.Configure(f.now, f.config(domain, f.limit))
	n.ledger.Tick(f.now)
	f.instances = append(f.instances, n)
	return n
}

func (f *fleet) running(n *instance) bool {
	return !n.crashed && !f.now.Before(n.pausedUntil)
}

// advance advances the time in steps, delivers the messages that are due and calls Tick on
// the Ledgers.
func (f *fleet) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(min(step, end.Sub(f.now)))
		f.deliver()
		for _, n := range f.instances {
			if f.running(n) {
				n.ledger.Tick(f.now)
			}
		}
	}
}

func (f *fleet) deliver() {
	kept := f.messages[:0:0]
	due := f.messages
	f.messages = nil
	for _, m := range due {
		if m.due.After(f.now) {
			kept = append(kept, m)
			continue
		}
		m.deliver(f.now)
	}
	f.messages = append(kept, f.messages...)
}

func (f *fleet) send(delay time.Duration, deliver func(now time.Time)) {
	f.messages = append(f.messages, message{due: f.now.Add(delay), deliver: deliver})
}

func (f *fleet) take(n *instance, count int) {
	if !f.running(n) {
		return
	}
	for range count {
		if n.ledger.Take(f.now, subject) != nil {
			f.refused++
			continue
		}
		f.admitted++
		f.lowestLevel = math.Min(f.lowestLevel, f.reference.admit(f.now, 1))
	}
}

// delivery specifies how a message is delivered.
type delivery struct {
	delay      time.Duration
	lost       bool
	duplicated bool
}

func (f *fleet) transmit(t delivery, deliver func(now time.Time)) {
	if t.lost {
		return
	}
	f.send(t.delay, deliver)
	if t.duplicated {
		f.send(2*t.delay, deliver)
	}
}

// borrow makes one instance request a loan from another. Both messages may be delayed, lost
// or duplicated.
func (f *fleet) borrow(borrower, lender *instance, need Need, request, reply delivery) {
	if !f.running(borrower) {
		return
	}
	need.Subject = subject
	loanRequest := borrower.ledger.LoanRequest(f.now, need)
	f.transmit(request, func(now time.Time) {
		if !f.running(lender) {
			return
		}
		loan := lender.ledger.Lend(now, loanRequest)
		f.transmit(reply, func(now time.Time) {
			if f.running(borrower) {
				borrower.ledger.Borrow(now, lender.name, loan)
			}
		})
	})
}

// extend makes an instance request an extension of all loans that it has borrowed.
func (f *fleet) extend(n *instance, request, reply delivery) {
	if !f.running(n) {
		return
	}
	for _, l := range n.ledger.buckets[subject].borrowed {
		e := lacewingramp.Extend{ID: l.id, Subject: subject}
		lender := f.byName(l.lender)
		sent := f.now
		f.transmit(request, func(now time.Time) {
			if !f.running(lender) {
				return
			}
			x := lender.ledger.Extend(now, e)
			f.transmit(reply, func(now time.Time) {
				if f.running(n) {
					n.ledger.LoanExtension(now, sent, e, x)
				}
			})
		})
	}
}

// recall makes a lender request the return of all its loans.
func (f *fleet) recall(n *instance, request, reply delivery) {
	if !f.running(n) {
		return
	}
	for _, r := range n.ledger.RecallRequests(f.now) {
		borrower := f.byName(r.Borrower)
		f.transmit(request, func(now time.Time) {
			if !f.running(borrower) {
				return
			}
			loanReturn, ok := borrower.ledger.ReturnRecalled(now, r.Extend)
			if !ok {
				return
			}
			f.transmit(reply, func(now time.Time) {
				if f.running(n) {
					n.ledger.TakeBack(now, loanReturn)
				}
			})
		})
	}
}

func (f *fleet) byName(name string) *instance {
	for _, n := range f.instances {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (f *fleet) returnLoans(n *instance, t delivery) {
	if !f.running(n) {
		return
	}
	for _, r := range n.ledger.ReturnRequests(f.now) {
		f.transmit(t, func(now time.Time) {
			if o := f.byName(r.Lender); f.running(o) {
				o.ledger.TakeBack(now, r.LoanReturn)
			}
		})
	}
}

// handOver hands a shard over to another instance of the domain. If the message is lost, the
// previous holder no longer holds the shard either.
func (f *fleet) handOver(d, shard int, to *instance, t delivery) {
	from := f.holder[d][shard]
	if from == to || from == nil || to.domain != d || !f.running(from) || !f.running(to) {
		return
	}
	if from.ledger.Suspended(f.now) {
		return
	}
	state, ok := from.ledger.Drop(f.now, shard)
	if !ok {
		return
	}
	f.holder[d][shard] = nil
	if t.lost {
		return
	}
	f.send(t.delay, func(now time.Time) {
		if f.running(to) && f.holder[d][shard] == nil {
			to.ledger.Hold(now, shard, state)
			f.holder[d][shard] = to
		}
	})
}

// takeOver makes an instance take over the shards of the instances in its domain that have
// crashed or been paused for longer than TakeoverDelay, as the domain's key in the store allows.
func (f *fleet) takeOver(to *instance) {
	if !f.running(to) {
		return
	}
	for s, h := range f.holder[to.domain] {
		if h == nil || h == to || f.running(h) {
			continue
		}
		if f.now.Sub(h.stoppedAt) <= TakeoverDelay {
			continue
		}
		to.ledger.Hold(f.now, s, ShardState{})
		f.holder[to.domain][s] = to
	}
}

// resume makes an instance confirm its shards after a pause.
func (f *fleet) resume(n *instance) {
	if !f.running(n) || !n.ledger.Suspended(f.now) {
		return
	}
	var held [Shards]bool
	for s, h := range f.holder[n.domain] {
		held[s] = h == n
	}
	n.ledger.Confirm(f.now, f.now, held)
}

// totalRate returns the sum of the rate that the instances own, including what they have
// lent. It leaves out paused and suspended instances, because they do not use what they hold.
func (f *fleet) totalRate() lacewingramp.LimitFraction {
	var sum lacewingramp.LimitFraction
	for _, n := range f.instances {
		if !f.running(n) || n.ledger.Suspended(f.now) {
			continue
		}
		k := n.ledger.buckets[subject]
		sum += k.own.Rate
		for _, l := range k.lent {
			if l.source == (lacewingramp.LoanID{}) {
				sum += l.allocation.Rate
			}
		}
	}
	return sum
}

// usableAllocation returns the sum of the rate and burst that the instances can use now,
// owned and borrowed.
func (f *fleet) usableAllocation() lacewingramp.Allocation {
	var sum lacewingramp.Allocation
	for _, n := range f.instances {
		if !f.running(n) || n.ledger.Suspended(f.now) {
			continue
		}
		k := n.ledger.buckets[subject]
		k.accrue(f.now)
		sum.Rate += k.own.Rate + k.borrowedRate
		sum.Burst += k.own.Burst + k.borrowedBurst
	}
	return sum
}
