// Package follower lets an instance that the store does not answer follow
// another one that mirrors it. One connection carries one question and its
// answer, as this is needed seldom.
//
// # Usage
//
//	go follower.Serve(listener, source)
//	feed := follower.Feed{Address: "10.2.0.40:7460"}
//	changes, revision, err := feed.Changes(ctx, after, 0)
package follower

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
)

const (
	dialTimeout = 500 * time.Millisecond
	callTimeout = 2 * time.Second
)

// Source is what an instance knows of the store. Since reports false where it
// does not have all changes after the revision.
type Source interface {
	Snapshot() ([]lacewingramp.Item, int64)
	Since(after int64) ([]lacewingramp.Change, int64, bool)
}

// question asks for the changes after a revision, or for everything.
type question struct {
	After int64 `cbor:"1,keyasint"`
	All   bool  `cbor:"2,keyasint,omitempty"`
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

// answer reads one question. One that can not be read gets no answer, and its
// sender asks again.
func answer(c net.Conn, s Source) {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(callTimeout))
	var q question
	if err := cbor.NewDecoder(c).Decode(&q); err != nil {
		return
	}
	_ = cbor.NewEncoder(c).Encode(replyTo(q, s))
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

// Feed follows the instance at Address.
type Feed struct {
	Address string
}

var _ lacewingramp.Feed = Feed{}

// Snapshot returns all items that the instance has.
func (f Feed) Snapshot(ctx context.Context) ([]lacewingramp.Item, int64, error) {
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

// Changes returns what the instance knows to have changed, without waiting.
func (f Feed) Changes(ctx context.Context, after int64, _ time.Duration) ([]lacewingramp.Change, int64, error) {
	r, err := f.ask(ctx, question{After: after})
	if err != nil {
		return nil, after, err
	}
	if r.Compacted {
		return nil, after, lacewingramp.ErrCompacted
	}
	return r.Changes, r.Revision, nil
}

func (f Feed) ask(ctx context.Context, q question) (reply, error) {
	var r reply
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp4", f.Address)
	if err != nil {
		return r, errors.Wrap(err, "reach another instance")
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(callTimeout))
	if err := cbor.NewEncoder(c).Encode(q); err != nil {
		return r, errors.Wrap(err, "ask another instance")
	}
	if err := cbor.NewDecoder(c).Decode(&r); err != nil {
		return r, errors.Wrap(err, "read another instance's answer")
	}
	return r, nil
}
