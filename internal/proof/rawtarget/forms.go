package rawtarget

import "time"

// Sizes of uploads, in bytes.
const (
	// LongUpload is more than the kernel takes of a body that nobody reads, ShortUpload less.
	LongUpload  = 16 << 20
	ShortUpload = 1 << 20
)

// BreakDelay is how long a target that breaks off an upload waits after its answer.
const BreakDelay = 60 * time.Millisecond

// InvalidLines are header lines whose names hold a blank or a control byte.
var InvalidLines = []string{"Content-Length : 2", "Transfer-Encoding : chunked", "X A: 1", "X\t: 1", "X\x01Y: 1", "X\x7f: 1"}

// Framings are the ends of a head, and the body, of the same answer, and what becomes of the
// connection after it.
var Framings = map[string]End{
	"Content-Length: 2\r\n\r\nok": EndNone, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": EndNone, "\r\nok": EndClose,
}
