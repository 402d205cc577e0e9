// Package quota holds an instance's part of every limit that is counted over
// the fleet, and lends it to other instances for short terms.
//
// Every limit is divided into parcels. A parcel is a token bucket that is in
// one pair of hands at a time: splitting divides its rate, its burst and its
// level, joining adds them, and nothing else makes tokens. So over every
// window the fleet admits at most rate × window + burst, whatever the order
// of joins, deaths, pauses, lost messages and table edits.
//
// An instance owns the parcels of the shards it holds (internal/limit/holding)
// and may borrow others. The lender splits a loan off before it answers and
// takes it back, at level 0, when the term and a margin have passed on its own
// clock. The borrower counts the term from the moment it asked. A lost message
// therefore costs capacity for one term and never admits too much.
//
// # Usage
//
//	book := quota.NewBook("uy1-a", limits)
//	book.Hold(now, 3, quota.Load{})
//	if book.Take(now, subject) == nil {
//		// The request may run.
//	}
//	for _, ask := range book.Asks(now) {
//		// Send ask to an instance with spare quota, then book.Borrow.
//	}
//
// A Book is not safe for use by more than one goroutine.
package quota

import (
	"time"

	"lacewingramp.example/lacewingramp"
)

// Shards is the number of parts that a failure domain's quota is cut into.
const Shards = 16

// Terms of loans and of trust.
const (
	// Term is how long a loan lasts for its borrower.
	Term = 2 * time.Second
	// Margin is how much longer the lender waits, for clock drift and for a
	// borrower that is a little late.
	Margin = 200 * time.Millisecond
	// Fence is how long an instance must have been silent before its shards
	// are taken. It is longer than a loan of its shards.
	Fence = 5 * time.Second
	// PauseLimit is the longest gap between two ticks after which an instance
	// still trusts that it holds its shards.
	PauseLimit = Fence / 2
)

// Part says which part of each kind of limit one failure domain owns.
type Part struct {
	// Customers is the domain's part of every customer's limit.
	Customers lacewingramp.LimitFraction `json:"customers"`
	// Caps is the domain's part of its region's caps.
	Caps lacewingramp.LimitFraction `json:"caps"`
	// Region is the region whose caps the domain has a part of.
	Region string `json:"region"`
}

// Config is what a Book needs to know of the Table in force.
type Config struct {
	Limits map[lacewingramp.Subject]lacewingramp.Limit
	// Caps names the caps of the domain's own region.
	Caps map[string]bool
	Part Part
}

// Book is an instance's quota.
type Book struct {
	name      string
	config    Config
	buckets   map[lacewingramp.Subject]*bucket
	held      [Shards]bool
	seq       uint64
	asked     map[lacewingramp.LoanID]asking
	ticked    time.Time
	suspended bool
	siblings  []string
	others    []string
	leaves    bool
	tracer    Tracer
}

type asking struct {
	subject lacewingramp.Subject
	sent    time.Time
	all     bool
}

// NewBook returns the Book of the instance called name, which holds nothing.
// The name must differ between two lives of an instance.
func NewBook(name string) *Book {
	return &Book{
		name:    name,
		buckets: make(map[lacewingramp.Subject]*bucket),
		asked:   make(map[lacewingramp.LoanID]asking),
	}
}

// Configure takes a new Table into force. Parcels scale with their limits in
// place: units stay the same, so that no edit makes tokens.
func (b *Book) Configure(now time.Time, c Config) {
	if b.tracer != nil {
		part := c.Part
		b.trace(now, CallConfigure, Args{Limits: c.sized(), Part: &part}, Want{})
	}
	old := b.config
	b.config = c
	for s, l := range c.Limits {
		k, ok := b.buckets[s]
		if !ok {
			k = &bucket{at: now}
			b.buckets[s] = k
		}
		k.accrue(now)
		b.resize(k, shardUnits(s, old), shardUnits(s, c), ok)
		k.limit = l
		k.clamp()
	}
	for s, k := range b.buckets {
		if _, ok := c.Limits[s]; !ok {
			k.accrue(now)
			k.limit = lacewingramp.Limit{}
			k.clamp()
		}
	}
}

// shardUnits is the part of a limit that one shard stands for.
func shardUnits(s lacewingramp.Subject, c Config) lacewingramp.LimitFraction {
	if s.Kind != lacewingramp.SubjectCap {
		return c.Part.Customers / Shards
	}
	if !c.Caps[s.Name] {
		return 0
	}
	return c.Part.Caps / Shards
}

func (b *Book) shardUnits(s lacewingramp.Subject) lacewingramp.LimitFraction {
	return shardUnits(s, b.config)
}

// resize moves a bucket from one part of the limit to another. What is lent
// out stays owed: a shrunken part takes it from the loans as they come back.
func (b *Book) resize(k *bucket, before, after lacewingramp.LimitFraction, known bool) {
	n := lacewingramp.LimitFraction(b.heldCount())
	if !known {
		before = 0
	}
	if after >= before {
		k.gain((after - before) * n)
		return
	}
	k.lose((before-after)*n, (before-after)*n)
}

func (b *Book) heldCount() int {
	n := 0
	for _, h := range b.held {
		if h {
			n++
		}
	}
	return n
}

// Held lists the shards that the instance holds.
func (b *Book) Held() []int {
	return listed(b.held)
}

func listed(held [Shards]bool) []int {
	var all []int
	for i, h := range held {
		if h {
			all = append(all, i)
		}
	}
	return all
}

// Part returns the domain's part that is in force.
func (b *Book) Part() Part {
	return b.config.Part
}

// Tick tells the Book that its process is running. A gap between ticks longer
// than PauseLimit suspends it until Confirm.
func (b *Book) Tick(now time.Time) {
	b.trace(now, CallTick, Args{}, Want{})
	b.watch(now)
	b.ticked = now
	for s, k := range b.buckets {
		k.expire(now)
		k.measure(now)
		if _, ok := b.config.Limits[s]; !ok && len(k.lent) == 0 && len(k.borrowed) == 0 {
			delete(b.buckets, s)
		}
	}
	for id, a := range b.asked {
		if now.Sub(a.sent) > Term {
			delete(b.asked, id)
		}
	}
}

func (b *Book) watch(now time.Time) {
	if !b.ticked.IsZero() && now.Sub(b.ticked) > PauseLimit {
		b.suspended = true
	}
}

// Suspended reports whether the Book admits nothing because its process has
// been paused.
func (b *Book) Suspended(now time.Time) bool {
	b.watch(now)
	return b.suspended
}

// Confirm ends a suspension. held are the shards that the domain's key or the
// domain's instances show as this instance's own; all others are dropped.
// checked is when the confirmation was asked for: one that was asked before
// another pause counts for nothing.
func (b *Book) Confirm(now, checked time.Time, held [Shards]bool) {
	if b.tracer != nil {
		b.trace(now, CallConfirm, Args{Moment: &checked, Held: listed(held)}, Want{})
	}
	if now.Sub(checked) > PauseLimit {
		return
	}
	for i := range held {
		if b.held[i] && !held[i] {
			b.Forfeit(now, i)
		}
	}
	b.ticked = now
	b.suspended = false
}
