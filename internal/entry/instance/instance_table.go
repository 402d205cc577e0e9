package instance

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/index"
)

// auditLength is how many changes an instance remembers.
const auditLength = 200

// watchRetry is how long a failed watch rests before it is opened again.
const watchRetry = 500 * time.Millisecond

// Taken is an entry of the instance's audit trail: a Table that came into
// force here.
type Taken struct {
	Moment   time.Time `json:"moment"`
	From     int64     `json:"from"`
	Revision int64     `json:"revision"`
	Edit     string    `json:"edit"`
	Operator string    `json:"operator"`
	Source   string    `json:"source"`
	// Delay is the time from the commit to this entry by the clocks of both
	// machines.
	Delay lacewingramp.Duration `json:"delay"`
	Lines []string              `json:"lines,omitempty"`
}

// errOlder reports a table that is not newer than the one in force.
var errOlder = errors.New("the table is older than the one in force")

// take brings a Table into force if it is newer. A revision never goes back,
// whatever the store says.
func (i *Instance) take(t *lacewingramp.Table, source string) error {
	if err := t.Check(); err != nil {
		i.faults.Bad.Add(1)
		return fmt.Errorf("table revision %d from %s: %w", t.Revision, source, err)
	}
	x := index.New(t)
	now := i.Timer.Now()
	i.State.Lock()
	old := i.State.Index()
	if old != nil && old.Table.Revision >= t.Revision {
		i.State.Unlock()
		if old.Table.Revision > t.Revision {
			return errOlder
		}
		return nil
	}
	i.Carrier.Wake(i.State.Apply(now, x))
	i.State.Unlock()
	i.note(now, old, t, source)
	i.event("table")
	i.once("spread", func() { i.beat(i.Timer.Now()) })
	return nil
}

func (i *Instance) note(now time.Time, old *index.Index, t *lacewingramp.Table, source string) {
	e := Taken{
		Moment: now, Revision: t.Revision, Edit: t.Edit, Operator: t.Operator, Source: source,
		Delay: lacewingramp.Duration(max(0, now.Sub(t.Moment))),
	}
	if old != nil {
		e.From = old.Table.Revision
	}
	if t.History != nil && len(t.History.Edits) > 0 {
		e.Lines = t.History.Edits[len(t.History.Edits)-1].Lines
	}
	i.mu.Lock()
	i.audit = append(i.audit, e)
	if len(i.audit) > auditLength {
		i.audit = i.audit[1:]
	}
	i.mu.Unlock()
	i.Log.Info().Int64("from", e.From).Int64("revision", e.Revision).Str("operator", e.Operator).
		Str("edit", e.Edit).Str("source", source).Dur("delay", time.Duration(e.Delay)).Msg("table")
}

// Audit lists the Tables that came into force here, the newest last.
func (i *Instance) Audit() []Taken {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Taken(nil), i.audit...)
}

// confirmed notes that the Table in force was the newest at a moment.
func (i *Instance) confirmed(at time.Time) {
	i.State.Lock()
	defer i.State.Unlock()
	if at.After(i.State.Confirmed) {
		i.State.Confirmed = at
	}
}

// fetch reads the Table from the store.
func (i *Instance) fetch() {
	asked := i.Timer.Now()
	ctx, cancel := i.callContext(callTimeout)
	defer cancel()
	item, err := i.Store.Get(ctx, lacewingramp.KeyTable)
	if err != nil {
		i.faults.Store.Add(1)
		return
	}
	i.takeItem(item, asked)
}

// takeItem brings the store's value into force. asked is when the store was
// asked for it.
func (i *Instance) takeItem(item lacewingramp.Item, asked time.Time) {
	if item.Revision == 0 {
		return
	}
	var t lacewingramp.Table
	if err := json.Unmarshal(item.Value, &t); err != nil {
		i.faults.Bad.Add(1)
		i.Log.Error().Err(err).Msg("table of the store")
		return
	}
	err := i.take(&t, "store")
	if errors.Is(err, errOlder) {
		i.faults.Older.Add(1)
		i.Log.Error().Int64("revision", t.Revision).Msg("the store's table is older than the one in force")
		i.sawRevision(item.Revision)
		return
	}
	if err != nil {
		i.Log.Error().Err(err).Msg("table of the store")
		return
	}
	i.sawRevision(item.Revision)
	i.confirmed(asked)
}

func (i *Instance) sawRevision(revision int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.read = revision
}

func (i *Instance) readRevision() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.read
}

// speaks reports whether this instance asks the store on behalf of its
// domain.
func (i *Instance) speaks(now time.Time) bool {
	i.State.Lock()
	defer i.State.Unlock()
	return i.State.Roster.Represents(now, "store")
}

// poll confirms by a small read that the Table in force is the newest. It
// finds what a silent watch has missed.
func (i *Instance) poll(now time.Time) {
	if !i.speaks(now) && i.State.Index() != nil {
		return
	}
	i.once("poll", func() {
		asked := i.Timer.Now()
		ctx, cancel := i.callContext(callTimeout)
		defer cancel()
		revision, err := i.Store.Revision(ctx, lacewingramp.KeyTable)
		if err != nil {
			i.faults.Store.Add(1)
			return
		}
		if revision == i.readRevision() {
			i.confirmed(asked)
			return
		}
		i.fetch()
	})
}

// watch follows the store's Table while this instance speaks for its domain.
func (i *Instance) watch() {
	for i.ctx.Err() == nil {
		if i.speaks(i.Timer.Now()) {
			i.watchOnce()
		}
		select {
		case <-i.ctx.Done():
		case <-time.After(watchRetry):
		}
	}
}

func (i *Instance) watchOnce() {
	err := i.Store.Watch(i.ctx, lacewingramp.KeyTable, i.readRevision(), func(c lacewingramp.Change) {
		if !c.Deleted {
			i.takeItem(c.Item, i.Timer.Now())
		}
	})
	if err != nil {
		i.faults.Store.Add(1)
	}
}

// fetchFrom takes a newer Table from a peer.
func (i *Instance) fetchFrom(e lacewingramp.Endpoint) {
	i.once("table "+e.Peer, func() {
		ctx, cancel := i.callContext(callTimeout)
		defer cancel()
		t, err := i.Peer.Table(ctx, e.Peer)
		if err != nil {
			return
		}
		if err := i.take(t, e.Name); err != nil && !errors.Is(err, errOlder) {
			i.Log.Error().Err(err).Msg("table of a peer")
		}
	})
}
