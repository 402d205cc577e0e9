package follower

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// callTimeout is the maximum time for a call to the first byte of its reply,
	// beyond the query's wait time.
	callTimeout = time.Second
	// progressTimeout is the maximum time for the next bytes of a reply, or for
	// sending the next piece of it.
	progressTimeout = time.Second
	// maxTransferTime is the maximum time for a reply from its first byte, for a peer
	// that never stops sending.
	maxTransferTime = 20 * time.Second
	// pieceBytes is how much of a reply is sent with one deadline.
	pieceBytes = 16 << 10
	// maxQueryBytes is the size from which on no more is read of a query.
	maxQueryBytes = 4 << 10
	// maxReplyBytes is the size of the longest reply that is read.
	maxReplyBytes = 64 << 20
)

var errReplyTooLong = errors.New("the reply is too long")

// limits bounds a transfer. A zero field stands for its default.
type limits struct {
	call, progress, transfer time.Duration
	replyBytes               int64
}

func (l limits) withDefaults() limits {
	if l.call == 0 {
		l.call = callTimeout
	}
	if l.progress == 0 {
		l.progress = progressTimeout
	}
	if l.transfer == 0 {
		l.transfer = maxTransferTime
	}
	if l.replyBytes == 0 {
		l.replyBytes = maxReplyBytes
	}
	return l
}

// writePieces writes p. The peer has to accept each piece within progressTimeout, and all of them
// within maxTransferTime.
func writePieces(c net.Conn, p []byte) error {
	end := time.Now().Add(maxTransferTime)
	for len(p) > 0 {
		n := min(len(p), pieceBytes)
		deadline := time.Now().Add(progressTimeout)
		if deadline.After(end) {
			deadline = end
		}
		_ = c.SetWriteDeadline(deadline)
		if _, err := c.Write(p[:n]); err != nil {
			return errors.Wrap(err, "send a reply")
		}
		p = p[n:]
	}
	return nil
}

// progress is the state of the reply that is being received, if any. It is safe for
// concurrent use.
type progress struct {
	// receivedAt is the time of the last bytes, nil before the first and after the
	// end of the reply.
	receivedAt atomic.Pointer[time.Time]
}

func (p *progress) record(t time.Time) { p.receivedAt.Store(&t) }

func (p *progress) end() { p.receivedAt.Store(nil) }

// within reports whether bytes have come in the given time before now.
func (p *progress) within(d time.Duration) bool {
	t := p.receivedAt.Load()
	return t != nil && time.Since(*t) < d
}

// replyReader reads one reply from a connection on which the deadline of the first
// byte is set. All later reads have to bring bytes within the time for progress, and
// all of them together within the time for a transfer.
type replyReader struct {
	conn     net.Conn
	limits   limits
	progress *progress

	length int64
	end    time.Time
}

func (r *replyReader) Read(p []byte) (int, error) {
	if r.length >= r.limits.replyBytes {
		return 0, errReplyTooLong
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.limits.replyBytes-r.length)])
	if n > 0 {
		r.renew(n)
	}
	return n, err
}

// renew moves the deadline after n bytes have come.
func (r *replyReader) renew(n int) {
	now := time.Now()
	if r.length == 0 {
		r.end = now.Add(r.limits.transfer)
	}
	r.length += int64(n)
	r.progress.record(now)
	deadline := now.Add(r.limits.progress)
	if deadline.After(r.end) {
		deadline = r.end
	}
	_ = r.conn.SetReadDeadline(deadline)
}
