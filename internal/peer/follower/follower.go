// Package follower lets an instance follow another one that mirrors the store:
// most instances do, as calls of the store are dear, and all that the store
// does not answer.
//
// A question waits at the other instance for a change. One connection carries
// questions and answers by turns.
//
// # Usage
//
//	go follower.Serve(listener, source)
//	feed := &follower.Feed{Address: "10.2.0.40:7460"}
//	defer feed.Close()
//	changes, revision, err := feed.Changes(ctx, after, wait)
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
	// callTimeout bounds a call beyond the time that it waits for a change.
	callTimeout = time.Second
	// waitMost is how long a question may wait for a change.
	waitMost = 10 * time.Second
	// idleTimeout is how long a connection may be without a question.
	idleTimeout = 30 * time.Second
)

// Source is what an instance knows of the store. Since reports false where it
// does not have all changes after the revision.
type Source interface {
	Snapshot() ([]lacewingramp.Item, int64)
	Since(after int64) ([]lacewingramp.Change, int64, bool)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// question asks for the changes after a revision, or for everything.
type question struct {
	After int64         `cbor:"1,keyasint"`
	All   bool          `cbor:"2,keyasint,omitempty"`
	Wait  time.Duration `cbor:"3,keyasint,omitempty"`
}

// reply holds changes, or all items as changes.
type reply struct {
	Changes   []lacewingramp.Change `cbor:"1,keyasint,omitempty"`
	Revision  int64                 `cbor:"2,keyasint"`
	Compacted bool                  `cbor:"3,keyasint,omitempty"`
}

// Serve answers questions until the listener is closed.
func Serve(l net.Listener, s Source) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		go answer(c, s)
	}
}

// answer answers the questions of a connection. What can not be read ends it,
// and its sender asks again.
func answer(c net.Conn, s Source) {
	defer func() { _ = c.Close() }()
	in, out := cbor.NewDecoder(c), cbor.NewEncoder(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		var q question
		if err := in.Decode(&q); err != nil {
			return
		}
		await(q, s)
		_ = c.SetWriteDeadline(time.Now().Add(callTimeout))
		if err := out.Encode(replyTo(q, s)); err != nil {
			return
		}
	}
}

// await returns when there is something to answer or the question has waited.
func await(q question, s Source) {
	if q.All || q.Wait <= 0 {
		return
	}
	late := time.NewTimer(min(waitMost, q.Wait))
	defer late.Stop()
	for {
		changed := s.Changed()
		if all, _, ok := s.Since(q.After); !ok || len(all) > 0 {
			return
		}
		select {
		case <-changed:
		case <-late.C:
			return
		}
	}
}

func replyTo(q question, s Source) reply {
	if !q.All {
		changes, revision, ok := s.Since(q.After)
		return reply{Changes: changes, Revision: revision, Compacted: !ok}
	}
	items, revision := s.Snapshot()
	r := reply{Revision: revision}
	for _, i := range items {
		r.Changes = append(r.Changes, lacewingramp.Change{Item: i})
	}
	return r
}

// Feed follows the instance at Address. It is for one goroutine at a time, but
// for Close.
type Feed struct {
	Address string

	mu   sync.Mutex
	conn net.Conn
}

var _ lacewingramp.Feed = (*Feed)(nil)

// Snapshot returns all items that the instance has.
func (f *Feed) Snapshot(ctx context.Context) ([]lacewingramp.Item, int64, error) {
	r, err := f.ask(ctx, question{All: true})
	if err != nil {
		return nil, 0, err
	}
	items := make([]lacewingramp.Item, 0, len(r.Changes))
	for _, c := range r.Changes {
		items = append(items, c.Item)
	}
	return items, r.Revision, nil
}

// Changes returns what the instance knows to have changed, as soon as there is
// something or when wait is over.
func (f *Feed) Changes(ctx context.Context, after int64, wait time.Duration) ([]lacewingramp.Change, int64, error) {
	r, err := f.ask(ctx, question{After: after, Wait: wait})
	if err != nil {
		return nil, after, err
	}
	if r.Compacted {
		return nil, after, lacewingramp.ErrCompacted
	}
	return r.Changes, r.Revision, nil
}

// Close ends the connection and a question that waits on it.
func (f *Feed) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil {
		_ = f.conn.Close()
		f.conn = nil
	}
}

// open returns the connection to the instance.
func (f *Feed) open(ctx context.Context) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil {
		return f.conn, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp4", f.Address)
	if err != nil {
		return nil, errors.Wrap(err, "reach another instance")
	}
	f.conn = c
	return c, nil
}

func (f *Feed) ask(ctx context.Context, q question) (reply, error) {
	var r reply
	c, err := f.open(ctx)
	if err != nil {
		return r, err
	}
	stop := context.AfterFunc(ctx, f.Close)
	defer stop()
	_ = c.SetDeadline(time.Now().Add(q.Wait + callTimeout))
	if err := cbor.NewEncoder(c).Encode(q); err != nil {
		f.Close()
		return r, errors.Wrap(err, "ask another instance")
	}
	if err := cbor.NewDecoder(c).Decode(&r); err != nil {
		f.Close()
		return r, errors.Wrap(err, "read another instance's answer")
	}
	return r, nil
}
