// Package stream bounds the messages that are read from one connection after another, by
// decoders that have no bound of their own.
//
// # Usage
//
//	r := &stream.Reader{Reader: conn, Max: 4 << 10}
//	decoder := cbor.NewDecoder(r)
//	for {
//		r.Next()
//		err := decoder.Decode(&message) // ErrTooLong if it has no end
//	}
package stream

import (
	"io"

	"github.com/go-faster/errors"
)

// ErrTooLong is the error of a message that is longer than its reader allows.
var ErrTooLong = errors.New("the message is too long")

// Reader fails once Max bytes have been read of the present message. As decoders read ahead,
// the last read may exceed Max, and a part of a message may count for the one before it.
type Reader struct {
	Reader io.Reader
	Max    int

	length int
}

// Next begins the next message.
func (r *Reader) Next() {
	r.length = 0
}

func (r *Reader) Read(p []byte) (int, error) {
	if r.length >= r.Max {
		return 0, ErrTooLong
	}
	n, err := r.Reader.Read(p)
	r.length += n
	return n, err
}
