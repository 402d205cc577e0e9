package lacewingramp

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted is returned if the requested changes are no longer in the store's
// history, or if the store was restored from a backup since. The caller has to read a
// new snapshot.
var ErrCompacted = errors.New("requested changes are no longer in the store's history")

// ChangeFeed is a source of changes to the store's keys: the store itself, or
// another instance that mirrors it.
type ChangeFeed interface {
	// Snapshot returns all keys with their values, and the position from which to
	// request changes.
	Snapshot(ctx context.Context) ([]KeyValue, Position, error)
	// Changes blocks until there are changes after the given position, or until
	// wait has passed. It returns them with the position to continue from.
	Changes(ctx context.Context, after Position, wait time.Duration) ([]Change, Position, error)
}

// StoreEvent is the decoded change of one key of the store. At most one of the
// pointers is set, according to the kind of the key. Removed is set if the key was
// deleted, and Reverted is that of the Change.
type StoreEvent struct {
	Key      string
	Revision int64
	Removed  bool
	Reverted bool

	Table              *Table
	TargetRegistration *TargetRegistration
	Evacuation         *Evacuation
	RolloutOrder       *RolloutOrder
	RolloutStart       *RolloutStart
	RolloutStatus      *RolloutStatus
	Instance           *Endpoint
}

// EventDecoder decodes changes of the store's keys. For a key of an unknown kind it
// returns a StoreEvent in which no pointer is set.
type EventDecoder interface {
	Decode(c Change) (StoreEvent, error)
}

// TargetRegistration is the registration that a target writes to the store.
// StartMillis is the time of the target's start in milliseconds since 1970.
// WarmupRemaining is for how much longer the target was going to be slow after its
// start when it wrote the registration.
type TargetRegistration struct {
	Target
	StartMillis     int64
	WarmupRemaining time.Duration
}

// Evacuation is an operator's order to send no more requests to the targets of a
// failure domain.
type Evacuation struct {
	Domain string
}

// RolloutOrder is an operator's order to move the traffic of a service to a
// version. MaxDuration is how long the rollout may take.
type RolloutOrder struct {
	Service     string
	Version     string
	MaxDuration time.Duration
}

// RolloutStart records when the instances started the rollout of an order. Revision
// is the store's revision of the order, which distinguishes it from an earlier order
// for the same service.
type RolloutStart struct {
	Service   string    `json:"service"`
	Revision  int64     `json:"revision"`
	StartedAt time.Time `json:"moment"`
	// RampStartedAt is the time at which the new version passed the canary stage and
	// its share of traffic started to grow, zero before. An instance that starts later
	// resumes from there.
	RampStartedAt time.Time `json:"ramp,omitzero"`
}

// RolloutStatus is the state of an order's rollout, as written to the store for
// operators.
type RolloutStatus struct {
	Service string
	Version string
	State   string
}

// DocumentEncoder encodes the documents that instances write to the store.
type DocumentEncoder interface {
	// Instance returns the key and value that register an instance.
	Instance(e Endpoint) (key string, value []byte, err error)
	// RolloutStart returns the key and value of a rollout's start.
	RolloutStart(s RolloutStart) (key string, value []byte, err error)
	// RolloutStatus returns the key and value of a rollout's status.
	RolloutStatus(r RolloutStatus) (key string, value []byte, err error)
}

// The states of a RolloutStatus.
const (
	StatusRunning    = "running"
	StatusDone       = "done"
	StatusRolledBack = "rolledback"
)
