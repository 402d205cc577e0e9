// Package ledger commits Tables to the platform's store and reads them back.
//
// A commit is one compare-and-swap of the whole Table with its audit trail,
// under an edit id. An answer that is lost is settled by reading the Table
// back: if it bears the edit id, or its history does, the commit took effect.
//
// # Usage
//
//	l := ledger.Ledger{Store: store}
//	current, err := l.Get(ctx)
//	committed, err := l.Put(ctx, next, ledger.Commit{Operator: "ana", Base: current.Revision})
package ledger

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/sheet"
)

// MaxBytes is the largest value of the store.
const MaxBytes = 1 << 20

// linesMost is how many rows an entry of the audit trail shows.
const linesMost = 20

// Errors of a commit.
var (
	// ErrBase reports a commit whose base revision is not the current one.
	// Nothing was written.
	ErrBase = errors.New("another operator has changed the table: get it again and redo the edit")
	// ErrLarge reports a table that does not fit into a value of the store.
	ErrLarge = errors.New("the table is too large for the store")
)

// AnyBase stands for whatever revision is current.
const AnyBase = -1

// Ledger reads and commits Tables.
type Ledger struct {
	Store lacewingramp.Store
}

// Commit says who commits and from which revision the edit began.
type Commit struct {
	Operator string
	Base     int64
	Moment   time.Time
}

// Get returns the current Table, an empty one of revision 0 before the first
// commit.
func (l *Ledger) Get(ctx context.Context) (*lacewingramp.Table, error) {
	t, _, err := l.read(ctx)
	return t, err
}

func (l *Ledger) read(ctx context.Context) (*lacewingramp.Table, int64, error) {
	item, err := l.Store.Get(ctx, lacewingramp.KeyTable)
	if err != nil {
		return nil, 0, err
	}
	var t lacewingramp.Table
	if item.Revision == 0 {
		return &t, 0, nil
	}
	if err := json.Unmarshal(item.Value, &t); err != nil {
		return nil, 0, fmt.Errorf("table in the store: %w", err)
	}
	return &t, item.Revision, nil
}

// Put commits a Table and returns it as committed. It returns ErrBase where
// the current revision is not the commit's base, and lacewingramp.ErrUnknownOutcome
// where the store can not be read back.
func (l *Ledger) Put(ctx context.Context, next *lacewingramp.Table, c Commit) (*lacewingramp.Table, error) {
	if err := next.Check(); err != nil {
		return nil, err
	}
	current, base, err := l.read(ctx)
	if err != nil {
		return nil, err
	}
	if c.Base != AnyBase && current.Revision != c.Base {
		return nil, fmt.Errorf("%w (base %d, current %d)", ErrBase, c.Base, current.Revision)
	}
	t, err := entry(current, next, c)
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	if len(value) > MaxBytes {
		return nil, fmt.Errorf("%w: %d of %d bytes", ErrLarge, len(value), MaxBytes)
	}
	_, err = l.Store.CompareAndSwap(ctx, lacewingramp.KeyTable, value, base, 0)
	return l.settle(ctx, t, err)
}

// settle finds out what became of a write.
func (l *Ledger) settle(ctx context.Context, t *lacewingramp.Table, err error) (*lacewingramp.Table, error) {
	if errors.Is(err, lacewingramp.ErrConflict) {
		return nil, ErrBase
	}
	if err == nil {
		return t, nil
	}
	if !errors.Is(err, lacewingramp.ErrUnknownOutcome) {
		return nil, err
	}
	now, _, readErr := l.read(context.WithoutCancel(ctx))
	if readErr != nil {
		return nil, fmt.Errorf("edit %s: %w", t.Edit, lacewingramp.ErrUnknownOutcome)
	}
	if committed(now, t.Edit) {
		return t, nil
	}
	return nil, lacewingramp.ErrUnreachable
}

func committed(t *lacewingramp.Table, edit string) bool {
	if t.Edit == edit {
		return true
	}
	if t.History == nil {
		return false
	}
	for _, e := range t.History.Edits {
		if e.Edit == edit {
			return true
		}
	}
	return false
}

// entry makes the Table that is to be written: with the next revision and a
// new entry of the audit trail.
func entry(current, next *lacewingramp.Table, c Commit) (*lacewingramp.Table, error) {
	lines, err := sheet.Diff(current, next)
	if err != nil {
		return nil, err
	}
	t := *next
	t.Revision = current.Revision + 1
	t.Edit = rand.Text()
	t.Operator = c.Operator
	t.Moment = c.Moment
	t.Split = current.Split
	if splits(current, next) {
		t.Split = t.Revision
	}
	t.History = &lacewingramp.History{}
	if current.History != nil {
		t.History.Edits = append(t.History.Edits, current.History.Edits...)
	}
	if n := len(lines); n > linesMost {
		lines = append(lines[:linesMost:linesMost], fmt.Sprintf("… %d more", n-linesMost))
	}
	t.History.Edits = append(t.History.Edits, lacewingramp.Edit{
		Revision: t.Revision, Edit: t.Edit, Operator: t.Operator, Moment: t.Moment, Lines: lines,
	})
	if n := len(t.History.Edits); n > lacewingramp.MaxEdits {
		t.History.Edits = t.History.Edits[n-lacewingramp.MaxEdits:]
	}
	return &t, nil
}

// splits reports whether an edit changes how limits are divided among the
// failure domains.
func splits(current, next *lacewingramp.Table) bool {
	if len(current.Domains) != len(next.Domains) {
		return true
	}
	old := make(map[string]lacewingramp.Domain, len(current.Domains))
	for _, d := range current.Domains {
		old[d.Name] = d
	}
	for _, d := range next.Domains {
		if old[d.Name] != d {
			return true
		}
	}
	return false
}
