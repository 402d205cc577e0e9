package carrier

import (
	"context"
	"errors"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/poison"
	"lacewingramp.example/lacewingramp/internal/call/record"
)

// once carries a request with an idempotency key to the instance that keeps
// the key's record. Only that instance lets it run.
//
// While the shard of the record is on its way to another holder, the request
// waits.
func (c *Carrier) once(ctx context.Context, j *job) *lacewingramp.Answer {
	key := record.Parse(j.Customer, j.IdempotencyKey, j.index.Table.Domains)
	for {
		a, err := c.toKeeper(ctx, j, key)
		if err == nil {
			return a
		}
		if !isHomeless(err) {
			return refused(j.ID, err)
		}
		select {
		case <-time.After(keeperPoll):
		case <-ctx.Done():
			return refused(j.ID, errHome(key.Domain))
		}
	}
}

// keeperPoll is how often a request looks for the holder of its record.
const keeperPoll = 50 * time.Millisecond

func (c *Carrier) toKeeper(ctx context.Context, j *job, key record.Key) (*lacewingramp.Answer, error) {
	keeper, own, err := c.keeper(key)
	if err != nil {
		return nil, err
	}
	if !own {
		return c.forward(ctx, j, keeper, func(r *lacewingramp.Carry) { r.KeepRecord = true })
	}
	a := c.keep(ctx, j)
	if a.Refusal != nil && isHomeless(a.Refusal) {
		return nil, a.Refusal
	}
	return a, nil
}

// errHomeless is the refusal of an instance that does not hold the record it
// is asked for and knows of no other that does.
var errHomeless = lacewingramp.NewRefusal(lacewingramp.CausePeer, "the holder of the record is not known")

// isHomeless reports a refusal after which the holder of a record is to be
// looked for again.
func isHomeless(err error) bool {
	r := lacewingramp.RefusalOf(err)
	return r.Cause == lacewingramp.CausePeer && r.Verdict == lacewingramp.NotRun
}

// errHome is the refusal of a request whose record's home can not be reached.
// The request itself did not run, but an earlier one with its key may have.
func errHome(domain string) error {
	return &lacewingramp.Refusal{
		Verdict: lacewingramp.MayHaveRun, Cause: lacewingramp.CauseIdempotency,
		Detail: "the records of domain " + domain + " can not be reached",
	}
}

// keeper finds the instance that holds the shard of a key's record.
func (c *Carrier) keeper(key record.Key) (e lacewingramp.Endpoint, own bool, err error) {
	c.State.Lock()
	defer c.State.Unlock()
	now := c.Timer.Now()
	shard := key.Shard()
	if key.Domain == c.State.Self.Domain && c.State.Holds(shard) {
		return e, true, nil
	}
	var any *lacewingramp.Endpoint
	for _, m := range c.State.Roster.Domain(key.Domain) {
		if !m.Live(now) {
			continue
		}
		for _, k := range m.Digest.Claims {
			if k.Shard == shard {
				return m.Digest.Endpoint, false, nil
			}
		}
		if any == nil {
			any = &m.Digest.Endpoint
		}
	}
	if any == nil || key.Domain == c.State.Self.Domain {
		return e, false, errHomeless
	}
	return *any, false, nil
}

// keep runs a request under its idempotency record, or gives the answer that
// its key has had before. An instance that does not hold the record passes the
// request on within its domain.
func (c *Carrier) keep(ctx context.Context, j *job) *lacewingramp.Answer {
	key := record.Parse(j.Customer, j.IdempotencyKey, j.index.Table.Domains)
	for {
		d, own := c.begin(j, key)
		if !own {
			return c.passOn(ctx, j, key)
		}
		switch d.Kind {
		case record.KindRun:
			return c.finish(ctx, j, key)
		case record.KindAnswer:
			a := *d.Answer
			a.ID, a.Replayed = j.ID, true
			return &a
		case record.KindWait:
			if err := c.awaitFirst(ctx, key); err != nil {
				return refused(j.ID, err)
			}
		default:
			return refused(j.ID, d.Refusal)
		}
	}
}

func (c *Carrier) passOn(ctx context.Context, j *job, key record.Key) *lacewingramp.Answer {
	if j.Hops >= lacewingramp.MaxHops {
		return refused(j.ID, errHomeless)
	}
	keeper, own, err := c.keeper(key)
	if err != nil || own {
		return refused(j.ID, errHomeless)
	}
	a, err := c.forward(ctx, j, keeper, func(r *lacewingramp.Carry) { r.KeepRecord = true })
	if err != nil {
		return refused(j.ID, err)
	}
	return a
}

func (c *Carrier) begin(j *job, key record.Key) (record.Decision, bool) {
	c.State.Lock()
	defer c.State.Unlock()
	now := c.Timer.Now()
	if key.Domain != c.State.Self.Domain || !c.State.Holds(key.Shard()) {
		return record.Decision{}, false
	}
	if c.State.Quota.Suspended(now) {
		return record.Decision{Kind: record.KindRefuse, Refusal: &lacewingramp.Refusal{
			Verdict: lacewingramp.MayHaveRun, Cause: lacewingramp.CauseSuspended, Detail: "records not confirmed after a pause",
		}}, true
	}
	d := c.State.Records.Begin(now, key, poison.Fingerprint(j.Carry))
	if d.Kind == record.KindRun {
		if c.repeats == nil {
			c.repeats = make(map[string]chan struct{})
		}
		c.repeats[key.Text] = make(chan struct{})
	}
	return d, true
}

// finish runs a request that its record lets run. It goes on when the caller
// has gone, so that a repeat finds an answer.
func (c *Carrier) finish(ctx context.Context, j *job, key record.Key) *lacewingramp.Answer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), j.Remaining)
	defer cancel()
	a := c.place(ctx, j)
	kept := *a
	c.State.Lock()
	defer c.State.Unlock()
	c.State.Records.Finish(key, &kept)
	if done, ok := c.repeats[key.Text]; ok {
		close(done)
		delete(c.repeats, key.Text)
	}
	return a
}

func (c *Carrier) awaitFirst(ctx context.Context, key record.Key) error {
	c.State.Lock()
	done := c.repeats[key.Text]
	c.State.Unlock()
	if done == nil {
		return errHome(key.Domain)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &lacewingramp.Refusal{
			Verdict: lacewingramp.MayHaveRun, Cause: lacewingramp.CauseDeadline, Detail: "an earlier request with this key still runs",
		}
	}
}

// notRun reports whether an error is a refusal of a request that did not run.
func notRun(err error) bool {
	var r *lacewingramp.Refusal
	return errors.As(err, &r) && r.Verdict == lacewingramp.NotRun
}
