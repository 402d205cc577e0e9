package message

import (
	"bytes"
	"net/http"
	"time"
)

// What a request takes beside its body, in bytes.
const (
	// requestBytes is for its goroutines and what is known of it while it is handled.
	requestBytes = 24 << 10
	// headCopies is how often the bytes of a head are in memory: as they arrived, in its
	// fields, and as they are sent to the target.
	headCopies = 3
	// headLineBytes is for each line of a head: an entry in each of two maps.
	headLineBytes = 192
)

// requestMemory is the memory that a request takes from a budget, from its first byte until it is
// released. cut ends a read that is waiting for its bytes. The budget guards the other fields. A
// nil requestMemory takes none and has no bound.
type requestMemory struct {
	budget *RequestBudget
	cut    func()

	// taken is all that it takes, and head the part that its body does not.
	taken    int
	head     int
	lastRead time.Time
	wasCut   bool
}

// release gives back all memory.
func (m *requestMemory) release() {
	if m != nil {
		m.budget.giveBack(m)
	}
}

// releaseBody gives back what does not belong to the head.
func (m *requestMemory) releaseBody() {
	if m != nil {
		m.budget.giveBackBody(m)
	}
}

// hold takes n bytes whether there are any or not: others wait for them.
func (m *requestMemory) hold(n int) {
	if m != nil {
		m.budget.hold(m, n)
	}
}

// end marks the request as read, and returns its error: one that was cut has another.
func (m *requestMemory) end(err error) error {
	if m == nil {
		return err
	}
	if cut := m.budget.end(m); cut && err != nil {
		return errRequestCut
	}
	return err
}

// takeHead takes memory for a part of a head that has arrived.
func (m *requestMemory) takeHead(part []byte) error {
	if m == nil {
		return nil
	}
	if end := bytes.Index(part, headEnd); end >= 0 {
		part = part[:end]
	}
	return m.budget.acquireHead(m, headCost(len(part), bytes.Count(part, lineFeed)))
}

// settleHead takes the exact memory of a head that was read, in place of what its parts took.
func (m *requestMemory) settleHead(req *http.Request) error {
	if m == nil {
		return nil
	}
	lines := 0
	for _, values := range req.Header {
		lines += len(values)
	}
	cost := requestBytes + headCost(int(headerSize(req)), lines)
	if cost > m.head {
		return m.budget.acquireHead(m, cost-m.head)
	}
	m.budget.giveBackHead(m, m.head-cost)
	return nil
}

var headEnd = []byte("\r\n\r\n")

func headCost(size, lines int) int {
	return headCopies*size + headLineBytes*lines
}
