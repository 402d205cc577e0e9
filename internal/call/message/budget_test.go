package message_test

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/call/message"
)

// staller sends its bytes, then reports that on stalled and waits for release before it
// closes.
type staller struct {
	io.Reader
	stalled chan<- error
	release <-chan struct{}
}

func (s staller) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if n == 0 && errors.Is(err, io.EOF) {
		s.stalled <- nil
		<-s.release
	}
	return n, err
}

// Guards against running out of memory by many bodies at one time that never end, each
// of them within its own limit.
var _ = ginkgo.Describe("a budget for response bodies", func() {
	const (
		memory   = 184 << 20
		received = 6 << 20
		readers  = 40
	)
	var (
		budget  *message.Budget
		release chan struct{}
		stalled chan error
	)
	read := func(r io.Reader) (*message.Response, error) {
		reader := message.NewReader(r)
		reader.Budget = budget
		return reader.Response(http.MethodGet)
	}
	ginkgo.BeforeEach(func() {
		budget = message.NewBudget(memory)
		release, stalled = make(chan struct{}), make(chan error, readers)
	})
	// stall begins to read bodies that stall, and returns how many are in memory. The
	// others must have ended with a format error.
	stall := func() (held int) {
		for range readers {
			go func() {
				text := io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 16777216\r\n\r\n"), strings.NewReader(strings.Repeat("x", received)))
				if _, err := read(staller{text, stalled, release}); err != nil {
					stalled <- err
				}
			}()
			err := <-stalled
			if err == nil {
				held++
				continue
			}
			var f *message.FormatError
			gomega.Expect(errors.As(err, &f)).To(gomega.BeTrue(), "%v", err)
		}
		return held
	}

	ginkgo.It("bounds all that are being read, and lets ordinary ones pass", func() {
		held := stall()
		gomega.Expect(held).To(gomega.BeNumerically(">", 1))
		gomega.Expect(held * received).To(gomega.BeNumerically("<", memory/4))
		body := strings.Repeat("x", 30_000)
		for _, start := range []string{"Content-Length: 30000\r\n\r\n", "\r\n"} {
			resp, err := read(strings.NewReader("HTTP/1.1 200 OK\r\n" + start + body))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(resp.Body).To(gomega.HaveLen(len(body)))
		}
		close(release)
		for range held {
			gomega.Expect(<-stalled).To(gomega.MatchError(io.ErrUnexpectedEOF))
		}
	})

	ginkgo.DescribeTable("is given back by every body, whole or not, and is enough for one of the maximum size",
		func(limit int64) {
			budget = message.NewBudget(limit)
			whole := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", message.MaxResponseBody)
			for range 5 {
				_, err := read(strings.NewReader(whole))
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = read(strings.NewReader(whole + "x"))
				gomega.Expect(err).To(gomega.HaveOccurred())
			}
		},
		ginkgo.Entry("with little memory", int64(1)),
		ginkgo.Entry("with a small instance's memory", int64(memory)),
	)
})
