package message

import (
	"errors"
	"io"
)

// Sizes of the first buffer for a response body, in bytes. It is doubled whenever it is
// full, so that memory is taken up by bytes that were received and not by a length that
// was announced.
const (
	// announcedBodySize is its maximum size for a body with a length.
	announcedBodySize = 32 << 10
	// unknownBodySize is its size for a body without one.
	unknownBodySize = 4 << 10
)

// body is a response body that is being read or was read. taken is the memory taken from
// budget.
type body struct {
	buf    []byte
	budget *Budget
	taken  int
}

// readBody reads a body of at most limit bytes to its end. length is -1 if it is not known. The
// memory of a body that was read stays taken.
func readBody(r io.Reader, length int64, limit int, budget *Budget) (*body, error) {
	if length > int64(limit) {
		return nil, errBodySize
	}
	b := &body{budget: budget}
	if err := b.read(r, length, limit); err != nil {
		b.budget.giveBack(b.taken)
		return nil, err
	}
	return b, nil
}

func (b *body) read(r io.Reader, length int64, limit int) error {
	size := unknownBodySize
	if length >= 0 {
		limit, size = int(length), min(int(length), announcedBodySize)
	}
	b.buf = make([]byte, 0, size)
	for len(b.buf) < limit {
		if len(b.buf) == cap(b.buf) {
			if err := b.grow(limit); err != nil {
				return err
			}
		}
		n, err := r.Read(b.buf[len(b.buf):cap(b.buf)])
		b.buf = b.buf[:len(b.buf)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	if length >= 0 {
		return nil
	}
	return expectEnd(r)
}

// grow doubles the buffer, up to limit.
func (b *body) grow(limit int) error {
	size := min(limit, 2*cap(b.buf))
	need := 0
	if size > announcedBodySize {
		need = size
	}
	if !b.budget.take(need) {
		return errBodyBudget
	}
	larger := make([]byte, len(b.buf), size)
	copy(larger, b.buf)
	b.buf = larger
	b.budget.giveBack(b.taken)
	b.taken = need
	return nil
}

// expectEnd checks that a body of the maximum size has come to its end.
func expectEnd(r io.Reader) error {
	var next [1]byte
	_, err := io.ReadFull(r, next[:])
	switch {
	case err == nil:
		return errBodySize
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}
