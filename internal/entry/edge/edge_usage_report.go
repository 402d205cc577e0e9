package edge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/duty"
	"lacewingramp.example/lacewingramp/internal/report/usage"
)

const (
	// usageCallTimeout bounds one call to the platform.
	usageCallTimeout = 1500 * time.Millisecond
	// sendReserve is the time before MaxDelay that is left to store and send the report of a
	// window. A window without all counts is closed then, or at half of MaxDelay if that is
	// later.
	sendReserve = 4 * time.Second
	// countsPause is how often a window is looked at that waits for counts.
	countsPause = 100 * time.Millisecond
	// silentIntervals is the number of intervals between messages after which counts of an
	// instance are no longer waited for.
	silentIntervals = 2.25
	// callsPart is the part of the platform's rate of calls that the holder uses.
	callsPart = 0.25
	// oldReportAge is how long after the end of its window a report is deleted. No holder sends
	// it any more, and no write of it is still on its way.
	oldReportAge = time.Minute
	listTimeout  = 3 * time.Second
)

// Outcomes of windows in metrics.
const (
	usageSent    = "sent"
	usageLate    = "late"
	usageGivenUp = "given-up"
)

// reportRecord is the value of the key of a report. Token is that of its writer, and Body what is
// sent to the platform.
type reportRecord struct {
	Token int64  `json:"token"`
	Body  []byte `json:"body"`
}

func decodeReport(kv *lacewingramp.KeyValue) (int64, reportRecord, error) {
	var r reportRecord
	id, err := windowOfKey(kv.Key)
	if err == nil {
		err = json.Unmarshal(kv.Value, &r)
	}
	return id, r, err
}

// epochRecord is the value of KeyUsageEpoch. It tells instances that start later which windows no
// holder of an earlier epoch may have reported.
type epochRecord struct {
	Epoch      int64 `json:"epoch"`
	FromMillis int64 `json:"from"`
}

func decodeEpoch(value []byte) (epochRecord, error) {
	var r epochRecord
	err := json.Unmarshal(value, &r)
	return r, err
}

// reportTask is what the holder does next: the report of a window, with its body if that is known to be
// stored.
type reportTask struct {
	id      int64
	token   int64
	body    []byte
	stored  bool
	suspect bool
}

// stepReport stores and sends the report that is due, if this instance may act as the holder.
func (e *Edge) stepReport(ctx context.Context) {
	live := e.usageSources()
	w, ok := e.nextReport(live)
	if !ok {
		e.deleteOldReport(ctx)
		return
	}
	if !w.stored {
		if w.body, ok = e.storeReport(ctx, w); !ok {
			return
		}
	}
	e.sendReport(ctx, w)
}

// usageSources returns the live instances with this one.
func (e *Edge) usageSources() []usage.Source {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := []usage.Source{e.usage.self}
	for _, p := range e.peers.Alive(e.Timer.Now()) {
		all = append(all, usage.Source{Name: p.Name, StartMillis: p.StartMillis})
	}
	return all
}

// nextReport returns the report that is due, and decides on its body if nobody has done so.
func (e *Edge) nextReport(live []usage.Source) (reportTask, bool) {
	u := e.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Now()
	token, ok := u.holder.MayAct(now)
	if !ok || now.Before(u.callAt) {
		return reportTask{}, false
	}
	since := u.firstStart(live)
	for _, id := range u.reports.Overdue(now, since) {
		e.giveUp(id, "it could not be stored and sent in time")
	}
	id, ok := u.reports.Next(now, since)
	if !ok {
		return reportTask{}, false
	}
	w := reportTask{id: id, token: token}
	w.body, w.stored, w.suspect = u.reports.Plan(id, duty.Epoch(token), u.holder.ClearFrom())
	if w.body != nil || w.suspect {
		return w, true
	}
	w.body, ok = e.closeWindow(now, id, live)
	return w, ok
}

// firstStart returns the earliest start of a known instance. Nothing is known of windows that ended
// before.
func (u *usageState) firstStart(live []usage.Source) time.Time {
	first := u.self.StartMillis
	for _, s := range append(u.ledger.Sources(), live...) {
		if s.StartMillis > 0 {
			first = min(first, s.StartMillis)
		}
	}
	return time.UnixMilli(first)
}

// closeWindow decides on the body of a report once the counts are complete, or have to do.
// The caller must hold u.mu.
func (e *Edge) closeWindow(now time.Time, id int64, live []usage.Source) ([]byte, bool) {
	u := e.usage
	own := &lacewingramp.UsageCounts{Fingerprint: u.names.Fingerprint, Windows: []lacewingramp.UsageWindow{u.names.Encode(u.counter.At(now, id))}}
	u.sequence++
	own.Sequence = u.sequence
	u.ledger.Record(now, u.self, own)
	total, missing := u.ledger.Total(id, live)
	end := usage.EndOf(id, u.Window)
	latest := end.Add(max(u.MaxDelay-sendReserve, u.MaxDelay/2))
	if len(missing) > 0 && now.Before(latest) {
		interval := usageInterval * time.Duration(max(usageFleet, len(live))) / usageFleet
		if u.ledger.Awaited(now, id, live, time.Duration(silentIntervals*float64(interval))) {
			u.reports.Wait(now.Add(countsPause), id)
			return nil, false
		}
	}
	body, err := u.Platform.EncodeReport(id, total)
	if err != nil {
		e.Log.Error().Err(err).Msg("could not encode a usage report")
		return nil, false
	}
	u.reports.Fix(id, body)
	sum := uint64(0)
	for _, n := range total {
		sum += n
	}
	e.Log.Info().Int64("window", id).Uint64("total", sum).Int("customers", len(total)).Strs("missing", missing).Dur("after", now.Sub(end)).
		Msg("closed a usage window")
	return body, true
}

// giveUp records that a window is not reported. The caller must hold u.mu.
func (e *Edge) giveUp(id int64, reason string) {
	e.usage.reports.Done(id)
	e.Meter.UsageReport(usageGivenUp)
	e.Log.Warn().Int64("window", id).Str("reason", reason).Msg("gave up a usage window")
}

// storeReport makes sure that the store has a report for a window, and returns the body that it
// has, which is the only one that may be sent.
func (e *Edge) storeReport(ctx context.Context, w reportTask) ([]byte, bool) {
	u := e.usage
	key, epoch := reportKey(w.id), duty.Epoch(w.token)
	if w.body != nil {
		value, err := json.Marshal(reportRecord{Token: w.token, Body: w.body})
		if err != nil {
			return nil, false
		}
		position, err := withTimeout(ctx, usageStoreTimeout, func(ctx context.Context) (lacewingramp.Position, error) {
			return u.Store.CompareAndSwapInEpoch(ctx, key, value, 0, 0)
		})
		e.observeEpoch(position.Epoch)
		if err == nil {
			return w.body, e.adopt(w, w.body, position.Epoch)
		}
		if !errors.Is(err, lacewingramp.ErrConflict) && !errors.Is(err, lacewingramp.ErrUnknownOutcome) {
			e.reportFailed(w, err, "could not store a usage report")
			return nil, false
		}
	}
	kv, err := e.readKey(ctx, key)
	if err != nil {
		e.reportFailed(w, err, "could not read a usage report back")
		return nil, false
	}
	if kv.Revision == 0 {
		if w.body == nil {
			e.giveUpSuspect(w)
			return nil, false
		}
		e.reportFailed(w, lacewingramp.ErrUnknownOutcome, "could not store a usage report")
		return nil, false
	}
	_, record, err := decodeReport(&kv)
	if err != nil || !e.usable(w, epoch, record) {
		e.giveUpSuspect(w)
		return nil, false
	}
	return record.Body, e.adopt(w, record.Body, kv.Epoch)
}

func (e *Edge) usable(w reportTask, epoch int64, r reportRecord) bool {
	e.usage.mu.Lock()
	defer e.usage.mu.Unlock()
	return e.usage.reports.Usable(w.id, epoch, e.usage.holder.ClearFrom(), duty.Epoch(r.Token), r.Body)
}

// adopt records the body that the store has. It reports false if the store was restored since the
// duty was acquired.
func (e *Edge) adopt(w reportTask, body []byte, epoch int64) bool {
	u := e.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	token, ok := u.holder.MayAct(u.Now())
	if !ok || token != w.token || epoch != duty.Epoch(token) {
		return false
	}
	u.reports.Stored(w.id, body, epoch)
	u.reports.Learn(w.id, body)
	u.oldReports[reportKey(w.id)] = usage.EndOf(w.id, u.Window)
	return true
}

func (e *Edge) giveUpSuspect(w reportTask) {
	e.usage.mu.Lock()
	defer e.usage.mu.Unlock()
	e.giveUp(w.id, "it may have been reported before the store was restored from a backup")
}

func (e *Edge) reportFailed(w reportTask, err error, message string) {
	e.usage.mu.Lock()
	defer e.usage.mu.Unlock()
	e.usage.reports.Failed(e.usage.Now(), w.id)
	if e.loglimit.Allow(e.Timer.Now(), "usage-report") {
		e.Log.Info().Err(err).Int64("window", w.id).Int64("token", w.token).Msg(message)
	}
}

// sendReport sends a stored report, as long as this instance may act with the token.
func (e *Edge) sendReport(ctx context.Context, w reportTask) {
	u := e.usage
	mayAct := func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		token, ok := u.holder.MayAct(u.Now())
		return ok && token == w.token
	}
	u.mu.Lock()
	now := u.Now()
	end := usage.EndOf(w.id, u.Window)
	timeout := min(usageCallTimeout, u.holder.ValidUntil().Sub(now), end.Add(u.MaxDelay).Sub(now))
	u.callAt = now.Add(time.Duration(float64(time.Second) / max(1, callsPart*u.CallsPerSecond)))
	u.mu.Unlock()
	if timeout <= 0 || !mayAct() {
		return
	}
	_, err := withTimeout(ctx, timeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, u.Platform.SendReport(ctx, lacewingramp.UsageCall{Token: w.token, Body: w.body, MayWrite: mayAct})
	})
	if err != nil {
		e.reportFailed(w, err, "no confirmation of a usage report")
		e.checkPlatform(err)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failingSince = time.Time{}
	u.reports.Done(w.id)
	delay := u.Now().Sub(end)
	outcome := usageSent
	if delay > u.MaxDelay {
		outcome = usageLate
	}
	e.Meter.UsageReport(outcome)
	e.Log.Info().Int64("window", w.id).Int64("token", w.token).Int("bytes", len(w.body)).Dur("after", delay).Msg("reported a usage window")
}

// checkPlatform leaves the duty to other instances if no connection to the platform could be opened
// for platformTimeout: they may reach it.
func (e *Edge) checkPlatform(err error) {
	u := e.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Now()
	token, ok := u.holder.MayAct(now)
	switch {
	case !errors.Is(err, lacewingramp.ErrNoConnection) || !ok:
		u.failingSince = time.Time{}
	case u.failingSince.IsZero():
		u.failingSince = now
	case now.Sub(u.failingSince) >= platformTimeout:
		u.failingSince = time.Time{}
		u.candidate.avoidUntil = now.Add(avoidTime)
		u.holder.Lost(now)
		e.Log.Warn().Int64("token", token).Err(err).Msg("renounced the duty of usage reports: no connection to the platform")
	}
}

// recordEpoch writes KeyUsageEpoch unless the store has it for the present epoch.
func (e *Edge) recordEpoch(ctx context.Context) {
	u := e.usage
	kv, err := e.readKey(ctx, lacewingramp.KeyUsageEpoch)
	if err != nil {
		return
	}
	known, err := decodeEpoch(kv.Value)
	u.mu.Lock()
	own := epochRecord{Epoch: u.holder.SeenEpoch(), FromMillis: u.holder.EpochFrom().UnixMilli() + 1}
	u.mu.Unlock()
	if own.Epoch == 0 || (err == nil && known.Epoch >= own.Epoch) {
		return
	}
	value, err := json.Marshal(own)
	if err != nil {
		return
	}
	_, _ = withTimeout(ctx, usageStoreTimeout, func(ctx context.Context) (lacewingramp.Position, error) {
		return u.Store.CompareAndSwapInEpoch(ctx, lacewingramp.KeyUsageEpoch, value, kv.Revision, 0)
	})
}

// listOldReports lists the reports in the store that are to be deleted once they are old.
func (e *Edge) listOldReports() {
	u := e.usage
	e.recordEpoch(context.Background())
	all, err := withTimeout(context.Background(), listTimeout, func(ctx context.Context) ([]lacewingramp.KeyValue, error) {
		return u.Store.Range(ctx, lacewingramp.KeyUsageReports)
	})
	if err != nil {
		e.Log.Info().Err(err).Msg("could not list the usage reports in the store")
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, kv := range all {
		if id, err := windowOfKey(kv.Key); err == nil {
			u.oldReports[kv.Key] = usage.EndOf(id, u.Window)
		}
	}
}

// deleteOldReport deletes one report of the store that is no longer needed.
func (e *Edge) deleteOldReport(ctx context.Context) {
	u := e.usage
	key := u.oldReport()
	if key == "" {
		return
	}
	_, _ = withTimeout(ctx, usageStoreTimeout, func(ctx context.Context) (struct{}, error) { return struct{}{}, u.Store.Delete(ctx, key) })
}

// oldReport returns the key of a report to delete, "" if there is none or this instance is not
// the holder.
func (u *usageState) oldReport() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.Now()
	if _, ok := u.holder.MayAct(now); !ok {
		return ""
	}
	for key, end := range u.oldReports {
		if now.Sub(end) > u.MaxDelay+oldReportAge {
			delete(u.oldReports, key)
			return key
		}
	}
	return ""
}
