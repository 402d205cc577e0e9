package follower

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"golang.org/x/sync/semaphore"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/stream"
)

const (
	// idleTimeout is how long the server keeps a connection open without a query, and
	// minIdleTime how long a connection has to be without one before it is closed for a new
	// connection.
	idleTimeout = 30 * time.Second
	minIdleTime = 500 * time.Millisecond
	// smallReplyBytes is the size up to which a reply takes no memory from ReplyMemory.
	smallReplyBytes = 32 << 10
	// replyCopies is how often a reply is in memory while it is encoded.
	replyCopies = 2
	// changeBytes is what a change takes beside its key and value, in bytes.
	changeBytes = 128
)

var errReplyMemory = errors.New("no memory for a reply")

// Server answers queries of other instances. Source must be set before Serve.
type Server struct {
	Source Source
	// MaxConnections is the maximum number of open connections, 0 for no bound. Beyond it, the
	// connection that has been longest without a query is closed for a new one.
	MaxConnections int
	// ReplyMemory is the maximum memory of all large replies that are being sent, in bytes, 0
	// for no bound. Others wait.
	ReplyMemory int64

	packer  packer
	replies *semaphore.Weighted

	mu sync.Mutex
	// queriedAt holds the time of the last query of each connection.
	queriedAt map[net.Conn]time.Time
	// allKeysBytes is the memory that the last reply with all keys took, 0 before the first.
	allKeysBytes int64
}

// Serve answers queries until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	if s.ReplyMemory > 0 {
		s.replies = semaphore.NewWeighted(s.ReplyMemory)
	}
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		if !s.add(c) {
			_ = c.Close()
			continue
		}
		go s.serveConn(c)
	}
}

// add adds a connection, and reports false if there are too many.
func (s *Server) add(c net.Conn) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxConnections > 0 && len(s.queriedAt) >= s.MaxConnections && !s.closeIdlestLocked(now) {
		return false
	}
	if s.queriedAt == nil {
		s.queriedAt = make(map[net.Conn]time.Time)
	}
	s.queriedAt[c] = now
	return true
}

// closeIdlestLocked closes the connection that has been longest without a query. It reports false
// if there is none that has been without one long enough.
func (s *Server) closeIdlestLocked(now time.Time) bool {
	var idlest net.Conn
	for c, at := range s.queriedAt {
		if now.Sub(at) >= minIdleTime && (idlest == nil || at.Before(s.queriedAt[idlest])) {
			idlest = c
		}
	}
	if idlest == nil {
		return false
	}
	_ = idlest.Close()
	delete(s.queriedAt, idlest)
	return true
}

func (s *Server) recordQuery(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.queriedAt[c]; ok {
		s.queriedAt[c] = time.Now()
	}
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.queriedAt, c)
}

// serveConn answers the queries of a connection. It closes the connection on any
// error, after which the client opens a new one.
func (s *Server) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.remove(c)
	}()
	reader := &stream.Reader{Reader: c, Max: maxQueryBytes}
	decoder := cbor.NewDecoder(reader)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		reader.Next()
		var q query
		if err := decoder.Decode(&q); err != nil {
			return
		}
		s.recordQuery(c)
		if err := s.answer(c, q); err != nil {
			return
		}
	}
}

// answer sends the reply to a query as soon as there is one.
func (s *Server) answer(c net.Conn, q query) error {
	waitForChange(q, s.Source)
	var taken int64
	defer func() { s.giveBack(taken) }()
	if q.AllKeys {
		// The copies of the keys that make up the reply also take memory.
		if err := s.take(&taken, s.expectedAllKeys()); err != nil {
			return err
		}
	}
	r := newReply(q, s.Source)
	if q.Packed {
		packReply(&r, q, &s.packer)
	}
	size := r.size()
	if q.AllKeys {
		s.recordAllKeys(size)
	}
	if size > smallReplyBytes && size > taken {
		if err := s.take(&taken, size-taken); err != nil {
			return err
		}
	}
	encoded, err := cbor.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode a reply")
	}
	return writePieces(c, encoded)
}

// expectedAllKeys returns what a reply with all keys will take, as far as is known.
func (s *Server) expectedAllKeys() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allKeysBytes == 0 {
		return s.ReplyMemory
	}
	return s.allKeysBytes
}

func (s *Server) recordAllKeys(size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allKeysBytes = size
}

// take adds n bytes to what a reply has taken. It waits until there are as many, as long as the
// peer waits for the first byte. A reply that needs more than there are at all takes all.
func (s *Server) take(taken *int64, n int64) error {
	if s.replies == nil {
		return nil
	}
	n = min(n, s.ReplyMemory-*taken)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := s.replies.Acquire(ctx, n); err != nil {
		return errReplyMemory
	}
	*taken += n
	return nil
}

func (s *Server) giveBack(n int64) {
	if s.replies != nil && n > 0 {
		s.replies.Release(n)
	}
}

// size returns the memory that a reply takes while it is sent.
func (r *reply) size() int64 {
	n := 0
	for i := range r.Changes {
		c := &r.Changes[i]
		n += changeBytes + len(c.Key) + len(c.Value) + len(c.Packed)
	}
	return replyCopies * int64(n)
}

// waitForChange returns when there is a change to report, when the source no
// longer has the changes that the query requests, or when the query's wait time
// is over.
func waitForChange(q query, s Source) {
	if q.AllKeys || q.Wait <= 0 {
		return
	}
	timeout := time.NewTimer(min(maxWait, q.Wait))
	defer timeout.Stop()
	for {
		changed := s.Changed()
		if changes, _, ok := s.Since(q.after()); !ok || len(changes) > 0 {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		}
	}
}

func newReply(q query, s Source) reply {
	if !q.AllKeys {
		changes, position, ok := s.Since(q.after())
		r := reply{Revision: position.Revision, Epoch: position.Epoch, Compacted: !ok}
		for _, c := range changes {
			r.Changes = append(r.Changes, wireChange{Change: c})
		}
		return r
	}
	keyValues, position := s.Snapshot()
	r := reply{Revision: position.Revision, Epoch: position.Epoch}
	for _, i := range keyValues {
		r.Changes = append(r.Changes, wireChange{Change: lacewingramp.Change{KeyValue: i}})
	}
	return r
}

// packReply packs the large values of a reply.
func packReply(r *reply, q query, p *packer) {
	if q.AllKeys {
		p.retain(r.Changes)
	}
	p.packChanges(r.Changes)
}
