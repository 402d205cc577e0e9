// Package follower reads the store's changes from a peer that mirrors the store.
// Most instances use it, as calls to the store are expensive, and so does every
// instance that cannot reach the store.
//
// Changes are read by long polling: the peer holds a query until there is a change
// or the query's wait time is over. A connection carries one query at a time. A reply
// may take long over a busy link: it is given up when it makes no progress. Large values
// are packed, that is compressed, for a follower that can read them so.
//
// # Usage
//
//	server := &follower.Server{Source: source}
//	go server.Serve(listener)
//	feed := &follower.ChangeFeed{Address: "10.2.0.40:7460"}
//	defer feed.Close()
//	changes, position, err := feed.Changes(ctx, after, wait)
package follower

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxWait is the longest time for which the server holds a query, whatever wait
	// time the query states.
	maxWait = 10 * time.Second
)

// Source is an instance's copy of the store's keys. It must be safe for
// concurrent use. Snapshot and Since also return the store position up to which
// the copy is complete. Since returns false if it no longer has all changes after
// the given position.
type Source interface {
	Snapshot() ([]lacewingramp.KeyValue, lacewingramp.Position)
	Since(after lacewingramp.Position) ([]lacewingramp.Change, lacewingramp.Position, bool)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// query requests the changes after a position, or all keys with their values if
// AllKeys is set. The position is that of Revision in Epoch. Packed is set if the reply
// may hold packed values.
type query struct {
	Revision int64         `cbor:"1,keyasint"`
	AllKeys  bool          `cbor:"2,keyasint,omitempty"`
	Wait     time.Duration `cbor:"3,keyasint,omitempty"`
	Epoch    int64         `cbor:"4,keyasint,omitempty"`
	Packed   bool          `cbor:"5,keyasint,omitempty"`
}

func (q *query) after() lacewingramp.Position {
	return lacewingramp.Position{Epoch: q.Epoch, Revision: q.Revision}
}

// reply holds the changes, or all keys with their values in the form of changes, up to
// the position of Revision in Epoch. Compacted is set if the instance no longer has all
// changes that the query requests.
type reply struct {
	Changes   []wireChange `cbor:"1,keyasint,omitempty"`
	Revision  int64        `cbor:"2,keyasint"`
	Compacted bool         `cbor:"3,keyasint,omitempty"`
	Epoch     int64        `cbor:"4,keyasint,omitempty"`
}

func (r *reply) position() lacewingramp.Position {
	return lacewingramp.Position{Epoch: r.Epoch, Revision: r.Revision}
}

// assumeEpoch sets the epoch of a reply from a peer that reports none to that of the
// query.
func (r *reply) assumeEpoch(epoch int64) {
	if r.Epoch != 0 {
		return
	}
	r.Epoch = epoch
	for i := range r.Changes {
		r.Changes[i].Epoch = epoch
	}
}

// ChangeFeed reads the store's keys from the instance at Address. Its methods must not
// be called concurrently, except for Close and Receiving.
type ChangeFeed struct {
	Address string

	limits   limits
	progress progress

	mu   sync.Mutex
	conn net.Conn
}

var _ lacewingramp.ChangeFeed = (*ChangeFeed)(nil)

// Snapshot returns all keys that the peer has, with their values, and the position up
// to which they are complete.
func (f *ChangeFeed) Snapshot(ctx context.Context) ([]lacewingramp.KeyValue, lacewingramp.Position, error) {
	r, err := f.roundTrip(ctx, query{AllKeys: true, Packed: true})
	if err != nil {
		return nil, lacewingramp.Position{}, err
	}
	keyValues := make([]lacewingramp.KeyValue, 0, len(r.Changes))
	for _, c := range r.Changes {
		keyValues = append(keyValues, c.KeyValue)
	}
	return keyValues, r.position(), nil
}

// Changes returns the changes after a position and the position to continue from,
// as soon as there are any or when wait is over. It returns ErrCompacted if the
// peer no longer has all of these changes.
func (f *ChangeFeed) Changes(ctx context.Context, after lacewingramp.Position, wait time.Duration) ([]lacewingramp.Change, lacewingramp.Position, error) {
	r, err := f.roundTrip(ctx, query{Revision: after.Revision, Epoch: after.Epoch, Wait: wait, Packed: true})
	if err != nil {
		return nil, after, err
	}
	if r.Compacted {
		return nil, after, lacewingramp.ErrCompacted
	}
	r.assumeEpoch(after.Epoch)
	changes := make([]lacewingramp.Change, 0, len(r.Changes))
	for _, c := range r.Changes {
		changes = append(changes, c.Change)
	}
	return changes, r.position(), nil
}

// Receiving reports whether a reply is being received and makes progress. It is false
// before the first byte of a reply, after its last, and when no bytes have come for
// longer than progressTimeout.
func (f *ChangeFeed) Receiving() bool {
	return f.progress.within(f.limits.withDefaults().progress)
}

// Close closes the connection and aborts a pending query. The next query opens
// a new connection.
func (f *ChangeFeed) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil {
		_ = f.conn.Close()
		f.conn = nil
	}
}

// connect returns the open connection, or dials a new one.
func (f *ChangeFeed) connect(ctx context.Context) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil {
		return f.conn, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp4", f.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to a peer")
	}
	f.conn = c
	return c, nil
}

func (f *ChangeFeed) roundTrip(ctx context.Context, q query) (reply, error) {
	var r reply
	c, err := f.connect(ctx)
	if err != nil {
		return r, err
	}
	stop := context.AfterFunc(ctx, f.Close)
	defer stop()
	defer f.progress.end()
	l := f.limits.withDefaults()
	_ = c.SetDeadline(time.Now().Add(q.Wait + l.call))
	if err := cbor.NewEncoder(c).Encode(q); err != nil {
		f.Close()
		return r, errors.Wrap(err, "send a query to a peer")
	}
	if err := cbor.NewDecoder(&replyReader{conn: c, limits: l, progress: &f.progress}).Decode(&r); err != nil {
		f.Close()
		return r, errors.Wrap(err, "read a peer's reply")
	}
	if err := unpackChanges(r.Changes, l.replyBytes); err != nil {
		f.Close()
		return r, errors.Wrap(err, "unpack a peer's reply")
	}
	return r, nil
}
