// Package tablestore commits Tables to the platform's store and reads them back.
//
// A commit is one compare-and-swap of the whole Table, including its audit
// trail. Each commit has a unique edit id. If the response to the write is lost,
// the Table is read back: the commit took effect if the edit id is that of the
// Table, or that of an entry in its audit trail, as others may have committed since.
//
// # Usage
//
//	s := tablestore.TableStore{Store: store}
//	current, err := s.Get(ctx)
//	committed, err := s.Put(ctx, next, tablestore.Commit{Operator: "ana", Base: current.Revision, Time: now})
package tablestore

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

// MaxBytes is the maximum size of a value in the store.
const MaxBytes = 1 << 20

// maxEditLines is the maximum number of changed rows that an entry of the audit
// trail lists.
const maxEditLines = 20

// Errors of a commit.
var (
	// ErrOutdatedBase reports that the base revision of a commit is not the current
	// revision. Nothing was written.
	ErrOutdatedBase = errors.New("another operator has changed the table: get it again and redo the edit")
	// ErrTooLarge reports that the encoded table exceeds MaxBytes.
	ErrTooLarge = errors.New("the table is too large for the store")
)

// AnyBase is the base of a commit that replaces the current Table, whatever its
// revision is.
const AnyBase = -1

// TableStore reads and commits Tables.
type TableStore struct {
	Store lacewingramp.Store
}

// Commit describes a commit: the operator, the Revision of the Table that was
// edited or AnyBase, and the time of the commit.
type Commit struct {
	Operator string
	Base     int64
	Time     time.Time
}

// Get returns the current Table. Before the first commit, it returns an empty
// Table with revision 0.
func (s *TableStore) Get(ctx context.Context) (*lacewingramp.Table, error) {
	t, _, err := s.read(ctx)
	return t, err
}

func (s *TableStore) read(ctx context.Context) (*lacewingramp.Table, int64, error) {
	keyValue, err := s.Store.Get(ctx, lacewingramp.KeyTable)
	if err != nil {
		return nil, 0, err
	}
	var t lacewingramp.Table
	if keyValue.Revision == 0 {
		return &t, 0, nil
	}
	if err := json.Unmarshal(keyValue.Value, &t); err != nil {
		return nil, 0, fmt.Errorf("decode the table in the store: %w", err)
	}
	return &t, keyValue.Revision, nil
}

// Put commits a Table and returns it with its new revision. It returns
// ErrOutdatedBase if the current revision is not the base of the commit or if another
// commit precedes this one, lacewingramp.ErrUnreachable if the Table in the store does
// not have the commit after a lost response, and lacewingramp.ErrUnknownOutcome if the
// store cannot be read to find that out.
func (s *TableStore) Put(ctx context.Context, next *lacewingramp.Table, c Commit) (*lacewingramp.Table, error) {
	if err := next.Check(); err != nil {
		return nil, err
	}
	current, storeRevision, err := s.read(ctx)
	if err != nil {
		return nil, err
	}
	if c.Base != AnyBase && current.Revision != c.Base {
		return nil, fmt.Errorf("%w (base %d, current %d)", ErrOutdatedBase, c.Base, current.Revision)
	}
	t, err := nextTable(current, next, c)
	if err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	if len(encoded) > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrTooLarge, len(encoded), MaxBytes)
	}
	_, err = s.Store.CompareAndSwap(ctx, lacewingramp.KeyTable, encoded, storeRevision, 0)
	return s.resolveWrite(ctx, t, err)
}

// resolveWrite returns the result of a commit of t whose write returned err. If it is
// unknown whether the write took effect, the Table is read back from the store. This
// is done even if ctx is cancelled.
func (s *TableStore) resolveWrite(ctx context.Context, t *lacewingramp.Table, err error) (*lacewingramp.Table, error) {
	if errors.Is(err, lacewingramp.ErrConflict) {
		return nil, ErrOutdatedBase
	}
	if err == nil {
		return t, nil
	}
	if !errors.Is(err, lacewingramp.ErrUnknownOutcome) {
		return nil, err
	}
	stored, _, readErr := s.read(context.WithoutCancel(ctx))
	if readErr != nil {
		return nil, fmt.Errorf("edit %s: %w", t.Edit, lacewingramp.ErrUnknownOutcome)
	}
	if hasEdit(stored, t.Edit) {
		return t, nil
	}
	return nil, lacewingramp.ErrUnreachable
}

func hasEdit(t *lacewingramp.Table, edit string) bool {
	if t.Edit == edit {
		return true
	}
	if t.AuditTrail == nil {
		return false
	}
	for _, e := range t.AuditTrail.Edits {
		if e.Edit == edit {
			return true
		}
	}
	return false
}

// nextTable returns the Table to be written: next with the revision that follows the
// current one, a new edit id and a new entry in the audit trail. Its Split is the new
// revision if the failure domains change.
func nextTable(current, next *lacewingramp.Table, c Commit) (*lacewingramp.Table, error) {
	lines, err := sheet.Diff(current, next)
	if err != nil {
		return nil, err
	}
	t := *next
	t.Revision = current.Revision + 1
	t.Edit = rand.Text()
	t.Operator = c.Operator
	t.Time = c.Time
	t.Split = current.Split
	if domainsDiffer(current, next) {
		t.Split = t.Revision
	}
	t.AuditTrail = &lacewingramp.AuditTrail{}
	if current.AuditTrail != nil {
		t.AuditTrail.Edits = append(t.AuditTrail.Edits, current.AuditTrail.Edits...)
	}
	if n := len(lines); n > maxEditLines {
		lines = append(lines[:maxEditLines:maxEditLines], fmt.Sprintf("… %d more", n-maxEditLines))
	}
	t.AuditTrail.Edits = append(t.AuditTrail.Edits, lacewingramp.Edit{
		Revision: t.Revision, Edit: t.Edit, Operator: t.Operator, Time: t.Time, Lines: lines,
	})
	if n := len(t.AuditTrail.Edits); n > lacewingramp.MaxEdits {
		t.AuditTrail.Edits = t.AuditTrail.Edits[n-lacewingramp.MaxEdits:]
	}
	return &t, nil
}

// domainsDiffer reports whether an edit changes the failure domains, and therefore
// how limits are divided among them.
func domainsDiffer(current, next *lacewingramp.Table) bool {
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
