package instance

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/index"
)

// maxAuditEntries is the number of Tables that the audit trail of an instance keeps.
const maxAuditEntries = 200

// watchRetryDelay is the delay before a watch of the store that has ended is opened again.
const watchRetryDelay = 500 * time.Millisecond

// AuditEntry is an entry of the instance's audit trail. It records that a Table came into
// force at this instance. Time is when it did, and PreviousRevision the revision in force
// before it, or 0 for the first Table. Source is "store" or the name of a peer.
type AuditEntry struct {
	Time             time.Time `json:"moment"`
	PreviousRevision int64     `json:"from"`
	Revision         int64     `json:"revision"`
	Edit             string    `json:"edit"`
	Operator         string    `json:"operator"`
	Source           string    `json:"source"`
	// Delay is the time from the commit of the Table to this entry. It includes the
	// difference between the clocks of the two machines.
	Delay lacewingramp.Duration `json:"delay"`
	Lines []string              `json:"lines,omitempty"`
}

// errOlderTable is returned for a Table that is older than the one in force.
var errOlderTable = errors.New("the table is older than the one in force")

// applyTable puts a Table in force if it is newer than the current one. The revision
// in force never decreases, even if the store returns an older Table.
func (i *Instance) applyTable(t *lacewingramp.Table, source string) error {
	if err := t.Check(); err != nil {
		i.faults.InvalidTables.Add(1)
		return fmt.Errorf("table revision %d from %s: %w", t.Revision, source, err)
	}
	tableIndex := index.New(t)
	now := i.Timer.Now()
	i.State.Lock()
	old := i.State.Index()
	if old != nil && old.Table.Revision >= t.Revision {
		i.State.Unlock()
		if old.Table.Revision > t.Revision {
			return errOlderTable
		}
		return nil
	}
	i.Dispatcher.DeliverGrants(i.State.ApplyTable(now, tableIndex))
	i.State.Unlock()
	i.recordAudit(now, old, t, source)
	i.transition("table")
	i.startTask("exchange digests", func() { i.exchangeDigests(i.Timer.Now()) })
	return nil
}

func (i *Instance) recordAudit(now time.Time, old *index.Index, t *lacewingramp.Table, source string) {
	entry := AuditEntry{
		Time: now, Revision: t.Revision, Edit: t.Edit, Operator: t.Operator, Source: source,
		Delay: lacewingramp.Duration(max(0, now.Sub(t.Time))),
	}
	if old != nil {
		entry.PreviousRevision = old.Table.Revision
	}
	if t.AuditTrail != nil && len(t.AuditTrail.Edits) > 0 {
		entry.Lines = t.AuditTrail.Edits[len(t.AuditTrail.Edits)-1].Lines
	}
	i.mu.Lock()
	i.audit = append(i.audit, entry)
	if len(i.audit) > maxAuditEntries {
		i.audit = i.audit[1:]
	}
	i.mu.Unlock()
	i.Log.Info().Int64("from", entry.PreviousRevision).Int64("revision", entry.Revision).Str("operator", entry.Operator).
		Str("edit", entry.Edit).Str("source", source).Dur("delay", time.Duration(entry.Delay)).Msg("put a new table in force")
}

// Audit returns the last Tables that came into force at this instance, oldest first.
func (i *Instance) Audit() []AuditEntry {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]AuditEntry(nil), i.audit...)
}

// recordConfirmation records a time at which the Table in force was the newest one.
func (i *Instance) recordConfirmation(at time.Time) {
	i.State.Lock()
	defer i.State.Unlock()
	if at.After(i.State.TableConfirmedAt) {
		i.State.TableConfirmedAt = at
	}
}

// fetchTable reads the Table from the store and applies it.
func (i *Instance) fetchTable() {
	requestedAt := i.Timer.Now()
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	item, err := i.Store.Get(ctx, lacewingramp.KeyTable)
	if err != nil {
		i.faults.Store.Add(1)
		return
	}
	i.applyTableItem(item, requestedAt)
}

// applyTableItem puts a Table read from the store in force if it is newer than the
// current one. requestedAt is the time at which the store was asked for it.
func (i *Instance) applyTableItem(item lacewingramp.KeyValue, requestedAt time.Time) {
	if item.Revision == 0 {
		return
	}
	var t lacewingramp.Table
	if err := json.Unmarshal(item.Value, &t); err != nil {
		i.faults.InvalidTables.Add(1)
		i.Log.Error().Err(err).Msg("ignored a table in the store that cannot be decoded")
		return
	}
	err := i.applyTable(&t, "store")
	if errors.Is(err, errOlderTable) {
		i.faults.OlderTables.Add(1)
		i.Log.Error().Int64("revision", t.Revision).Msg("the store's table is older than the one in force")
		i.recordStoreRevision(item.Revision)
		return
	}
	if err != nil {
		i.Log.Error().Err(err).Msg("ignored an invalid table in the store")
		return
	}
	i.recordStoreRevision(item.Revision)
	i.recordConfirmation(requestedAt)
}

func (i *Instance) recordStoreRevision(revision int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.storeRevision = revision
}

func (i *Instance) lastStoreRevision() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.storeRevision
}

// representsDomain reports whether this instance is one of those that read the store
// for their domain.
func (i *Instance) representsDomain(now time.Time) bool {
	i.State.Lock()
	defer i.State.Unlock()
	return i.State.Roster.IsRepresentative(now, "store")
}

// pollTable checks with a small read whether the Table in force is the newest, and
// fetches the newest if not. This finds changes that a stalled watch has missed. Only
// the representatives of a domain and instances without a Table poll.
func (i *Instance) pollTable(now time.Time) {
	if !i.representsDomain(now) && i.State.Index() != nil {
		return
	}
	i.startTask("poll table", func() {
		requestedAt := i.Timer.Now()
		ctx, cancel := i.callContext(callTimeout)
		defer cancel()
		revision, err := i.Store.Revision(ctx, lacewingramp.KeyTable)
		if err != nil {
			i.faults.Store.Add(1)
			return
		}
		if revision == i.lastStoreRevision() {
			i.recordConfirmation(requestedAt)
			return
		}
		i.fetchTable()
	})
}

// watchTable watches the Table in the store, and opens the watch again when it ends. A
// watch is opened only while this instance represents its domain.
func (i *Instance) watchTable() {
	for i.ctx.Err() == nil {
		if i.representsDomain(i.Timer.Now()) {
			i.watchTableOnce()
		}
		select {
		case <-i.ctx.Done():
		case <-time.After(watchRetryDelay):
		}
	}
}

func (i *Instance) watchTableOnce() {
	err := i.Store.Watch(i.ctx, lacewingramp.KeyTable, i.lastStoreRevision(), func(c lacewingramp.Change) {
		if !c.Deleted {
			i.applyTableItem(c.KeyValue, i.Timer.Now())
		}
	})
	if err != nil {
		i.faults.Store.Add(1)
	}
}

// fetchTableFromPeer reads the Table in force at a peer and applies it.
func (i *Instance) fetchTableFromPeer(e lacewingramp.Endpoint) {
	i.startTask("fetch table "+e.Peer, func() {
		ctx, cancel := i.callContext(callTimeout)
		defer cancel()
		t, err := i.Peer.Table(ctx, e.Peer)
		if err != nil {
			return
		}
		if err := i.applyTable(t, e.Name); err != nil && !errors.Is(err, errOlderTable) {
			i.Log.Error().Err(err).Msg("ignored an invalid table from a peer")
		}
	})
}
