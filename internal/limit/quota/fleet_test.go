package quota

import (
	"fmt"
	"math"
	"time"

	"lacewingramp.example/lacewingramp"
)

const customer = "andes"

var subject = lacewingramp.Subject{Kind: lacewingramp.SubjectCustomer, Name: customer}

var epoch = time.Unix(1_800_000_000, 0)

// reference is the limit itself: a bucket of the whole rate and burst. Over
// every window the fleet admits at most rate × window + burst exactly if this
// bucket never runs below zero.
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

// node is one instance of the fleet with a clock that may be paused.
type node struct {
	name   string
	domain int
	book   *Book
	dead   bool
	paused time.Time
	killed time.Time
}

// message is on its way between two nodes, or lost.
type message struct {
	due     time.Time
	deliver func(now time.Time)
}

// fleet drives several Books through events in one goroutine.
type fleet struct {
	now       time.Time
	limit     lacewingramp.Limit
	parts     []Part
	nodes     []*node
	holder    [][Shards]*node
	messages  []message
	reference reference
	serial    int
	worst     float64
	admitted  int
	refused   int
}

func newFleet(domains, each int, limit lacewingramp.Limit) *fleet {
	f := &fleet{now: epoch, limit: limit, reference: reference{limit: limit, level: limit.Burst, at: epoch}}
	f.holder = make([][Shards]*node, domains)
	for d := range domains {
		f.parts = append(f.parts, Part{Customers: lacewingramp.WholeLimit / lacewingramp.LimitFraction(domains)})
		for range each {
			f.join(d)
		}
		first := f.nodes[d*each]
		for s := range Shards {
			first.book.Hold(f.now, s, Load{})
			f.holder[d][s] = first
		}
	}
	return f
}

func (f *fleet) config(d int, l lacewingramp.Limit) Config {
	return Config{Limits: map[lacewingramp.Subject]lacewingramp.Limit{subject: l}, Part: f.parts[d]}
}

func (f *fleet) join(domain int) *node {
	f.serial++
	n := &node{name: fmt.Sprintf("i%d", f.serial), domain: domain}
	n.book = NewBook(n.name)
	n.book.Configure(f.now, f.config(domain, f.limit))
	n.book.Tick(f.now)
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) running(n *node) bool {
	return !n.dead && !f.now.Before(n.paused)
}

// advance moves the time on in ticks and delivers what falls due.
func (f *fleet) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(min(step, end.Sub(f.now)))
		f.deliver()
		for _, n := range f.nodes {
			if f.running(n) {
				n.book.Tick(f.now)
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

func (f *fleet) take(n *node, count int) {
	if !f.running(n) {
		return
	}
	for range count {
		if n.book.Take(f.now, subject) != nil {
			f.refused++
			continue
		}
		f.admitted++
		f.worst = math.Min(f.worst, f.reference.admit(f.now, 1))
	}
}

// transit says what becomes of a message.
type transit struct {
	delay time.Duration
	lost  bool
	twice bool
}

func (f *fleet) carry(t transit, deliver func(now time.Time)) {
	if t.lost {
		return
	}
	f.send(t.delay, deliver)
	if t.twice {
		f.send(2*t.delay, deliver)
	}
}

// borrow has one node ask another for a loan, over messages that may be late,
// lost or doubled.
func (f *fleet) borrow(to, from *node, n Need, there, back transit) {
	if !f.running(to) {
		return
	}
	n.Subject = subject
	ask := to.book.Ask(f.now, n)
	f.carry(there, func(now time.Time) {
		if !f.running(from) {
			return
		}
		loan := from.book.Lend(now, ask)
		f.carry(back, func(now time.Time) {
			if f.running(to) {
				to.book.Borrow(now, from.name, loan)
			}
		})
	})
}

// extend has a node ask for another term of all that it borrows.
func (f *fleet) extend(n *node, there, back transit) {
	if !f.running(n) {
		return
	}
	for _, l := range n.book.buckets[subject].borrowed {
		e := lacewingramp.Extend{ID: l.id, Subject: subject}
		lender := f.named(l.lender)
		sent := f.now
		f.carry(there, func(now time.Time) {
			if !f.running(lender) {
				return
			}
			x := lender.book.Extend(now, e)
			f.carry(back, func(now time.Time) {
				if f.running(n) {
					n.book.Extended(now, sent, e, x)
				}
			})
		})
	}
}

// recall has a lender ask for all its loans back.
func (f *fleet) recall(n *node, there, back transit) {
	if !f.running(n) {
		return
	}
	for _, r := range n.book.Recalls(f.now) {
		borrower := f.named(r.Borrower)
		f.carry(there, func(now time.Time) {
			if !f.running(borrower) {
				return
			}
			g, ok := borrower.book.Recall(now, r.Extend)
			if !ok {
				return
			}
			f.carry(back, func(now time.Time) {
				if f.running(n) {
					n.book.TakeBack(now, g)
				}
			})
		})
	}
}

func (f *fleet) named(name string) *node {
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (f *fleet) giveBack(n *node, t transit) {
	if !f.running(n) {
		return
	}
	for _, g := range n.book.Returns(f.now) {
		f.carry(t, func(now time.Time) {
			if o := f.named(g.Lender); f.running(o) {
				o.book.TakeBack(now, g.Return)
			}
		})
	}
}

// hand gives a shard to another node of the domain, over a message that may
// be lost: the giver counts the shard as given all the same.
func (f *fleet) hand(d, shard int, to *node, t transit) {
	from := f.holder[d][shard]
	if from == to || from == nil || to.domain != d || !f.running(from) || !f.running(to) {
		return
	}
	if from.book.Suspended(f.now) {
		return
	}
	load, ok := from.book.Drop(f.now, shard)
	if !ok {
		return
	}
	f.holder[d][shard] = nil
	if t.lost {
		return
	}
	f.send(t.delay, func(now time.Time) {
		if f.running(to) && f.holder[d][shard] == nil {
			to.book.Hold(now, shard, load)
			f.holder[d][shard] = to
		}
	})
}

// inherit has a node take the shards of the dead and the paused for longer
// than the fence, as the domain's key would let it.
func (f *fleet) inherit(to *node) {
	if !f.running(to) {
		return
	}
	for s, h := range f.holder[to.domain] {
		if h == nil || h == to || f.running(h) {
			continue
		}
		if f.now.Sub(h.killed) <= Fence {
			continue
		}
		to.book.Hold(f.now, s, Load{})
		f.holder[to.domain][s] = to
	}
}

// resume lets a paused node confirm its shards.
func (f *fleet) resume(n *node) {
	if !f.running(n) || !n.book.Suspended(f.now) {
		return
	}
	var held [Shards]bool
	for s, h := range f.holder[n.domain] {
		held[s] = h == n
	}
	n.book.Confirm(f.now, f.now, held)
}

// units is all that the fleet holds or has lent of the limit's rate. A node
// that is paused or suspended uses nothing of what it holds.
func (f *fleet) units() lacewingramp.LimitFraction {
	var sum lacewingramp.LimitFraction
	for _, n := range f.nodes {
		if !f.running(n) || n.book.Suspended(f.now) {
			continue
		}
		k := n.book.buckets[subject]
		sum += k.own.Rate
		for _, l := range k.lent {
			if l.source == (lacewingramp.LoanID{}) {
				sum += l.parcel.Rate
			}
		}
	}
	return sum
}

// usable is all of the limit that the fleet admits from at this moment, of
// its own and borrowed.
func (f *fleet) usable() lacewingramp.Parcel {
	var sum lacewingramp.Parcel
	for _, n := range f.nodes {
		if !f.running(n) || n.book.Suspended(f.now) {
			continue
		}
		k := n.book.buckets[subject]
		k.accrue(f.now)
		sum.Rate += k.own.Rate + k.rate
		sum.Burst += k.own.Burst + k.burst
	}
	return sum
}
