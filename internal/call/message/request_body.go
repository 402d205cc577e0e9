package message

import (
	"errors"
	"io"
	"net/http"

	"lacewingramp.example/lacewingramp"
)

const (
	// NarrowBody is the size of a request body, in bytes, that may arrive in a few parts. A
	// larger one is worth a wide receive window.
	NarrowBody = 16 << 10
	// firstRequestBuffer is the size of the first buffer for a request body, in bytes. It is
	// doubled up to maxHeapBody.
	firstRequestBuffer = 4 << 10
	// maxHeapBody is the maximum size of a buffer on the heap, in bytes. Larger bodies are
	// held in pages of their own: they need no copy to grow, and return their memory at once
	// and not at the next garbage collection.
	maxHeapBody = 64 << 10
	// pageStep is how much is added to a buffer in pages at a time, in bytes.
	pageStep = 256 << 10
)

// requestBody is a request body that is being read or was read. memory is what its request
// takes, and widen lets its bytes arrive faster.
type requestBody struct {
	buf    []byte
	pages  *pages
	memory *requestMemory
	widen  func()
}

// requestBody reads the body of a request.
func (r *Reader) requestBody(req *http.Request, bounds lacewingramp.Bounds, m *requestMemory) (*requestBody, error) {
	b := &requestBody{memory: m, widen: r.Widen}
	if req.Body == nil || req.Body == http.NoBody {
		return b, nil
	}
	if m == nil {
		var err error
		b.buf, err = readUnbudgeted(req, bounds)
		return b, err
	}
	if err := b.read(req.Body, req.ContentLength, int(bounds.Body)); err != nil {
		b.release()
		return nil, err
	}
	return b, nil
}

// read reads a body of at most limit bytes to its end. length is -1 if it is not known.
func (b *requestBody) read(r io.Reader, length int64, limit int) error {
	if length >= 0 {
		limit = int(length)
	}
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
			return requestError(err)
		}
		b.memory.budget.progress(b.memory)
	}
	if length >= 0 {
		return nil
	}
	err := expectEnd(r)
	if errors.Is(err, errBodySize) {
		return errRequestSize
	}
	if err != nil {
		return requestError(err)
	}
	return nil
}

// grow makes the buffer larger, up to limit.
func (b *requestBody) grow(limit int) error {
	size := min(limit, max(firstRequestBuffer, 2*cap(b.buf)))
	if size > NarrowBody && b.widen != nil {
		b.widen()
	}
	if size <= maxHeapBody && b.pages == nil {
		return b.growOnHeap(size)
	}
	return b.growInPages(limit)
}

func (b *requestBody) growOnHeap(size int) error {
	if err := b.memory.budget.acquireOnHeap(b.memory, size-cap(b.buf)); err != nil {
		return err
	}
	larger := make([]byte, len(b.buf), size)
	copy(larger, b.buf)
	b.buf = larger
	return nil
}

func (b *requestBody) growInPages(limit int) error {
	size := min(limit, cap(b.buf)+pageStep)
	if err := b.memory.budget.acquire(b.memory, size-cap(b.buf)); err != nil {
		return err
	}
	first := b.pages == nil
	if first {
		p, err := reservePages(limit)
		if err != nil {
			return errRequestBudget
		}
		b.pages = p
	}
	larger, err := b.pages.use(size)
	if err != nil {
		return errRequestBudget
	}
	if first {
		copy(larger, b.buf)
	}
	b.buf = larger[:len(b.buf)]
	return nil
}

// release gives back the pages of the body. Nothing may use its bytes any longer.
func (b *requestBody) release() {
	if b == nil || b.memory == nil {
		return
	}
	b.buf = nil
	b.pages.release()
	b.pages = nil
}

// readUnbudgeted reads a body where no budget is set.
func readUnbudgeted(req *http.Request, bounds lacewingramp.Bounds) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(req.Body, bounds.Body+1))
	if err != nil {
		return nil, requestError(err)
	}
	if int64(len(body)) > bounds.Body {
		return nil, errRequestSize
	}
	return body, nil
}
