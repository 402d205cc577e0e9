package lacewingramp

import (
	"context"
	"errors"
)

// Errors returned by a Store.
var (
	// ErrConflict is returned if the base revision of a compare-and-swap is not
	// the key's current revision. Nothing was written.
	ErrConflict = errors.New("conflict: the key was modified since it was read")
	// ErrUnknownOutcome is returned if the store did not respond to a call. The call
	// may have taken effect.
	ErrUnknownOutcome = errors.New("no response from the store: the call may have taken effect")
	// ErrUnreachable is returned if the store could not be reached. Nothing was written.
	ErrUnreachable = errors.New("store unreachable")
	// ErrLeaseExpired is returned if the store no longer has the lease.
	ErrLeaseExpired = errors.New("lease expired")
)

// LeaseID identifies a lease of the store. Zero means no lease.
type LeaseID int64

// KeyValue is one key of the store with its value.
//
// Revision is the store's revision of the last write to the key. It is 0 if the key
// does not exist. Epoch is that of the Position at which the key was read, and is only
// set by a ChangeFeed and by the platform's store.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    LeaseID
	Epoch    int64
}

// Position returns the position of the last write to the key.
func (k *KeyValue) Position() Position {
	return Position{Epoch: k.Epoch, Revision: k.Revision}
}

// Change is one event of a watch. It has no value if Deleted is set.
//
// Reverted is set if nobody has written the change: the store was restored from a
// backup and has lost a later state of the key, which may be written again.
type Change struct {
	KeyValue
	Deleted  bool
	Reverted bool
}

// Store is the platform's key-value store.
//
// Every call is bounded by its context. After a write that returns
// ErrUnknownOutcome, the writer determines the outcome by reading the key back and
// comparing the edit id in its value.
type Store interface {
	// Get returns key with its value, and with revision 0 if the key does not exist.
	Get(ctx context.Context, key string) (KeyValue, error)
	// Revision returns the revision of key without its value.
	Revision(ctx context.Context, key string) (int64, error)
	// Range returns the keys that start with prefix with their values, sorted by key.
	Range(ctx context.Context, prefix string) ([]KeyValue, error)
	// CompareAndSwap writes value and returns the new revision if the key's revision
	// is still base, and returns ErrConflict otherwise. A base of 0 requires that the
	// key does not exist.
	CompareAndSwap(ctx context.Context, key string, value []byte, base int64, lease LeaseID) (int64, error)
	// Delete removes a key. It succeeds if the key does not exist.
	Delete(ctx context.Context, key string) error
	// GrantLease creates a lease of ttl seconds.
	GrantLease(ctx context.Context, ttl int64) (LeaseID, error)
	// RenewLease restarts the ttl of a lease.
	RenewLease(ctx context.Context, id LeaseID) error
	// Watch calls f for each change after revision from to a key that starts with
	// prefix, until ctx is done or the watch fails.
	Watch(ctx context.Context, prefix string, from int64, f func(Change)) error
}

// Keys of the store.
const (
	// KeyTable holds the Table in force as JSON.
	KeyTable = "lacewingramp/table"
	// KeyAudit is the prefix of the audit trail's entries.
	KeyAudit = "lacewingramp/audit/"
	// KeyInstances is the prefix of the registrations of live and leaving instances.
	KeyInstances = "lacewingramp/instance/"
	// KeyAssignments is the prefix of the failure domains' shard assignments.
	KeyAssignments = "lacewingramp/holding/"
	// KeyRollouts is the prefix of the rollouts' outcomes.
	KeyRollouts = "lacewingramp/rollout/"
)
