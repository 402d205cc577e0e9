package lacewingramp

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted reports changes that the store has dropped from its history.
// The reader takes a new snapshot.
var ErrCompacted = errors.New("the store no longer has these changes")

// Feed is where an instance follows the store's keys: the store itself, or
// another instance that mirrors it.
type Feed interface {
	// Snapshot returns all items and the revision from which to follow on.
	Snapshot(ctx context.Context) ([]Item, int64, error)
	// Changes returns what changed after a revision, as soon as there is
	// something or when wait is over, and the revision to go on from.
	Changes(ctx context.Context, after int64, wait time.Duration) ([]Change, int64, error)
}

// Notice is what one key of the store says, in the product's terms. Exactly
// one field is set, except Removed, which says that the key is gone.
type Notice struct {
	Key      string
	Revision int64
	Removed  bool

	Table      *Table
	Listing    *Listing
	Evacuation *Evacuation
	Order      *Order
	Start      *Start
	Result     *Result
	Instance   *Endpoint
}

// Reader turns the store's keys into notices. A key that means nothing to the
// product yields a Notice with no field set.
type Reader interface {
	Read(c Change) (Notice, error)
}

// Listing is what a target says of itself. Cold is how long it still was slow
// after its start when it wrote the listing. Born tells its starts apart, in
// milliseconds since 1970.
type Listing struct {
	Target
	Born int64
	Cold time.Duration
}

// Evacuation asks that targets of a failure domain get nothing more.
type Evacuation struct {
	Domain string
}

// Order asks for a service's traffic to be moved to a version in Time.
type Order struct {
	Service string
	Version string
	Time    time.Duration
}

// Start says when the instances began to carry out an order. Revision is that
// of the order, which tells it from an earlier one for the same service.
type Start struct {
	Service  string    `json:"service"`
	Revision int64     `json:"revision"`
	Moment   time.Time `json:"moment"`
	// Ramp is when the version under test had passed its first test, zero
	// before. An instance that starts later goes on from there.
	Ramp time.Time `json:"ramp,omitzero"`
}

// Result is the state of an order as operators read it.
type Result struct {
	Service string
	Version string
	State   string
}

// Writer puts what the instances say into the form that the store's readers
// expect.
type Writer interface {
	// Instance returns the key and value under which an instance is listed.
	Instance(e Endpoint) (key string, value []byte, err error)
	// Start returns the key and value of a rollout's start.
	Start(s Start) (key string, value []byte, err error)
	// Result returns the key and value of a rollout's state.
	Result(r Result) (key string, value []byte, err error)
}

// The states of a Result.
const (
	ResultRunning    = "running"
	ResultDone       = "done"
	ResultRolledBack = "rolledback"
)
