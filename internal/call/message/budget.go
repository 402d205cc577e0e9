package message

import (
	"io"
	"net/http"
	"sync/atomic"
)

// Budget bounds the memory of all response bodies that are being read, or were read and not
// released, at one time. A body takes memory from it only beyond the size of an ordinary
// one, so that ordinary responses are still read while others have used it up. A nil
// Budget has no bound. It is safe for concurrent use.
type Budget struct {
	free atomic.Int64
}

var errBodyBudget error = &FormatError{Status: http.StatusBadGateway, Detail: "too many large response bodies at one time"}

// NewBudget returns a Budget for a process with the given memory limit in bytes.
func NewBudget(memory int64) *Budget {
	b := &Budget{}
	b.free.Store(max(minBudget, memory/budgetFraction))
	return b
}

const (
	// budgetFraction is the part of a process's memory that its Budget holds: one in
	// budgetFraction.
	budgetFraction = 8
	// minBudget is enough for one response of the maximum size. While its buffer is doubled
	// for the last time, the old and the new one exist.
	minBudget = MaxResponseBody + MaxResponseBody/2
)

// ReadAll reads a response body of at most limit bytes to its end, and takes its memory from the
// budget meanwhile. length is -1 if it is not known. A body that is too large, or for which the
// budget has no memory left, is a FormatError.
func (b *Budget) ReadAll(r io.Reader, length int64, limit int) ([]byte, error) {
	read, err := readBody(r, length, limit, b)
	if err != nil {
		return nil, err
	}
	b.giveBack(read.taken)
	return read.buf, nil
}

// take takes n bytes, and reports false if fewer are free.
func (b *Budget) take(n int) bool {
	if b == nil {
		return true
	}
	if b.free.Add(-int64(n)) >= 0 {
		return true
	}
	b.free.Add(int64(n))
	return false
}

func (b *Budget) giveBack(n int) {
	if b != nil {
		b.free.Add(int64(n))
	}
}
