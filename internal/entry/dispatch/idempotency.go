package dispatch

import (
	"context"
	"errors"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/poison"
	"lacewingramp.example/lacewingramp/internal/call/record"
)

// serveAtMostOnce processes a request with an idempotency key at the instance that
// holds the key's record. Only that instance decides whether the request runs.
//
// While no instance is known to hold the record, because its shard is being handed
// over or its holder cannot be reached, the request waits until its deadline.
func (d *Dispatcher) serveAtMostOnce(ctx context.Context, req *request) *lacewingramp.Response {
	key := record.Parse(req.Customer, req.IdempotencyKey, req.index.Table.Domains)
	for {
		resp, err := d.sendToHolder(ctx, req, key)
		if err == nil {
			return resp
		}
		if !isHolderUnavailable(err) {
			return refusalResponse(req.ID, err)
		}
		select {
		case <-time.After(holderPollInterval):
		case <-ctx.Done():
			return refusalResponse(req.ID, errRecordsUnavailable(key.Domain))
		}
	}
}

// holderPollInterval is how often a waiting request looks for the holder of its
// record.
const holderPollInterval = 50 * time.Millisecond

func (d *Dispatcher) sendToHolder(ctx context.Context, req *request, key record.Key) (*lacewingramp.Response, error) {
	holder, local, err := d.holder(key)
	if err != nil {
		return nil, err
	}
	if !local {
		return d.forward(ctx, req, holder, func(r *lacewingramp.ForwardRequest) { r.KeepRecord = true })
	}
	resp := d.runWithRecord(ctx, req)
	if resp.Refusal != nil && isHolderUnavailable(resp.Refusal) {
		return nil, resp.Refusal
	}
	return resp, nil
}

// errHolderUnknown is returned by an instance that does not hold the requested
// record and knows of no other instance that does.
var errHolderUnknown = lacewingramp.NewRefusal(lacewingramp.CausePeer, "the holder of the record is not known")

// isHolderUnavailable reports whether err is a refusal after which the holder of the
// record has to be looked up again.
func isHolderUnavailable(err error) bool {
	r := lacewingramp.RefusalOf(err)
	return r.Cause == lacewingramp.CausePeer && r.Verdict == lacewingramp.NotRun
}

// errRecordsUnavailable returns the refusal of a request whose idempotency record
// cannot be reached. The request itself did not run, but an earlier one with its key
// may have.
func errRecordsUnavailable(domain string) error {
	return &lacewingramp.Refusal{
		Verdict: lacewingramp.MayHaveRun, Cause: lacewingramp.CauseIdempotency,
		Detail: "the records of domain " + domain + " can not be reached",
	}
}

// holder returns the instance that holds the shard of a key's record, with local
// set if it is this one. For a key of another domain in which no instance claims the
// shard, it returns any live instance of that domain, which may know the holder.
func (d *Dispatcher) holder(key record.Key) (e lacewingramp.Endpoint, local bool, err error) {
	d.State.Lock()
	defer d.State.Unlock()
	now := d.Timer.Now()
	shard := key.Shard()
	if key.Domain == d.State.Self.Domain && d.State.Holds(shard) {
		return e, true, nil
	}
	var fallback *lacewingramp.Endpoint
	for _, m := range d.State.Roster.Domain(key.Domain) {
		if !m.Live(now) {
			continue
		}
		for _, claim := range m.Digest.Claims {
			if claim.Shard == shard {
				return m.Digest.Endpoint, false, nil
			}
		}
		if fallback == nil {
			fallback = &m.Digest.Endpoint
		}
	}
	if fallback == nil || key.Domain == d.State.Self.Domain {
		return e, false, errHolderUnknown
	}
	return *fallback, false, nil
}

// runWithRecord runs a request under its idempotency record, or returns the response
// to an earlier request with the same key. An instance that does not hold the record
// forwards the request within its domain.
func (d *Dispatcher) runWithRecord(ctx context.Context, req *request) *lacewingramp.Response {
	key := record.Parse(req.Customer, req.IdempotencyKey, req.index.Table.Domains)
	for {
		decision, held := d.beginRecord(req, key)
		if !held {
			return d.forwardToHolder(ctx, req, key)
		}
		switch decision.Action {
		case record.ActionRun:
			return d.runFirst(ctx, req, key)
		case record.ActionRespond:
			resp := *decision.Response
			resp.ID, resp.Replayed = req.ID, true
			return &resp
		case record.ActionWait:
			if err := d.awaitFirst(ctx, key); err != nil {
				return refusalResponse(req.ID, err)
			}
		default:
			return refusalResponse(req.ID, decision.Refusal)
		}
	}
}

func (d *Dispatcher) forwardToHolder(ctx context.Context, req *request, key record.Key) *lacewingramp.Response {
	if req.Hops >= lacewingramp.MaxHops {
		return refusalResponse(req.ID, errHolderUnknown)
	}
	holder, local, err := d.holder(key)
	if err != nil || local {
		return refusalResponse(req.ID, errHolderUnknown)
	}
	resp, err := d.forward(ctx, req, holder, func(r *lacewingramp.ForwardRequest) { r.KeepRecord = true })
	if err != nil {
		return refusalResponse(req.ID, err)
	}
	return resp
}

func (d *Dispatcher) beginRecord(req *request, key record.Key) (record.Decision, bool) {
	d.State.Lock()
	defer d.State.Unlock()
	now := d.Timer.Now()
	if key.Domain != d.State.Self.Domain || !d.State.Holds(key.Shard()) {
		return record.Decision{}, false
	}
	if d.State.Quota.Suspended(now) {
		return record.Decision{Action: record.ActionRefuse, Refusal: &lacewingramp.Refusal{
			Verdict: lacewingramp.MayHaveRun, Cause: lacewingramp.CauseSuspended,
			Detail: "records not confirmed after a pause",
		}}, true
	}
	decision := d.State.Records.Begin(now, key, poison.Fingerprint(req.ForwardRequest))
	if decision.Action == record.ActionRun {
		if d.inProgress == nil {
			d.inProgress = make(map[string]chan struct{})
		}
		d.inProgress[key.Text] = make(chan struct{})
	}
	return decision, true
}

// runFirst runs the first request with an idempotency key and records the result. It
// continues after the caller has closed its connection, so that a retry by the
// caller gets the response.
func (d *Dispatcher) runFirst(ctx context.Context, req *request, key record.Key) *lacewingramp.Response {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), req.Remaining)
	defer cancel()
	resp := d.place(ctx, req)
	recorded := *resp
	d.State.Lock()
	defer d.State.Unlock()
	d.State.Records.Finish(key, &recorded)
	if done, ok := d.inProgress[key.Text]; ok {
		close(done)
		delete(d.inProgress, key.Text)
	}
	return resp
}

func (d *Dispatcher) awaitFirst(ctx context.Context, key record.Key) error {
	d.State.Lock()
	done := d.inProgress[key.Text]
	d.State.Unlock()
	if done == nil {
		return errRecordsUnavailable(key.Domain)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &lacewingramp.Refusal{
			Verdict: lacewingramp.MayHaveRun, Cause: lacewingramp.CauseDeadline,
			Detail: "an earlier request with this key still runs",
		}
	}
}

// isNotRun reports whether err is a refusal of a request that did not run.
func isNotRun(err error) bool {
	var r *lacewingramp.Refusal
	return errors.As(err, &r) && r.Verdict == lacewingramp.NotRun
}
