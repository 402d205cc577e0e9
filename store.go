package lacewingramp

import (
	"context"
	"errors"
)

// Errors of a Store.
var (
	// ErrConflict reports a compare-and-swap whose base revision was not the
	// key's revision. Nothing was written.
	ErrConflict = errors.New("conflict: the key has changed since it was read")
	// ErrUnclear reports a call that got no answer and may have taken effect.
	ErrUnclear = errors.New("no answer from the store: the call may have taken effect")
	// ErrDown reports a store that could not be reached. Nothing was written.
	ErrDown = errors.New("the store can not be reached")
	// ErrNoLease reports a lease that the store does not know any more.
	ErrNoLease = errors.New("the lease has ended")
)

// LeaseID names a lease of the store. Zero is no lease.
type LeaseID int64

// Item is one key of the store with its value.
//
// Revision is the store's revision at which the key was last written. An
// absent key has Revision 0.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    LeaseID
}

// Change is one event of a watch. A change with Deleted set has no value.
type Change struct {
	Item
	Deleted bool
}

// Store is the platform's key-value service.
//
// Every call is bounded by its context. A write that ends in ErrUnclear is
// settled by reading the key back and looking for the writer's edit id.
type Store interface {
	// Get returns the item of key, with Revision 0 where the key is absent.
	Get(ctx context.Context, key string) (Item, error)
	// Revision returns the revision of key without its value.
	Revision(ctx context.Context, key string) (int64, error)
	// Range returns the items whose keys begin with prefix, in order of key.
	Range(ctx context.Context, prefix string) ([]Item, error)
	// Swap writes value if the key's revision is still base, where 0 stands
	// for an absent key, and returns the new revision.
	Swap(ctx context.Context, key string, value []byte, base int64, lease LeaseID) (int64, error)
	// Delete removes a key and succeeds where it is absent.
	Delete(ctx context.Context, key string) error
	// Grant opens a lease of ttl seconds.
	Grant(ctx context.Context, ttl int64) (LeaseID, error)
	// Renew extends a lease by its full ttl.
	Renew(ctx context.Context, id LeaseID) error
	// Watch calls f for each change below prefix after revision from, until
	// ctx ends or the watch fails.
	Watch(ctx context.Context, prefix string, from int64, f func(Change)) error
}

// Keys of the store.
const (
	// KeyTable holds the Table in force as JSON.
	KeyTable = "lacewingramp/table"
	// KeyAudit is the prefix of the audit trail's entries.
	KeyAudit = "lacewingramp/audit/"
	// KeyInstances is the prefix of the list of live and leaving instances.
	KeyInstances = "lacewingramp/instance/"
	// KeyHoldings is the prefix of the failure domains' shard holdings.
	KeyHoldings = "lacewingramp/holding/"
	// KeyRollouts is the prefix of the rollouts' outcomes.
	KeyRollouts = "lacewingramp/rollout/"
)
