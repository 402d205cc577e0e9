package message_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
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

	// Guards against running out of memory by responses that are whole and wait to be sent.
	ginkgo.It("counts a response until it is released", func() {
		budget = message.NewBudget(1)
		whole := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", message.MaxResponseBody)
		first, err := read(strings.NewReader(whole))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = read(strings.NewReader(whole))
		gomega.Expect(err).To(gomega.HaveOccurred())
		first.Release()
		_, err = read(strings.NewReader(whole))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})

	ginkgo.DescribeTable("is given back by every body that is released or does not end well, and is enough for one of the maximum size",
		func(limit int64) {
			budget = message.NewBudget(limit)
			whole := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", message.MaxResponseBody)
			for range 5 {
				resp, err := read(strings.NewReader(whole))
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				resp.Release()
				resp.Release()
				_, err = read(strings.NewReader(whole + "x"))
				gomega.Expect(err).To(gomega.HaveOccurred())
			}
		},
		ginkgo.Entry("with little memory", int64(1)),
		ginkgo.Entry("with a small instance's memory", int64(memory)),
	)
})

// Guards against running out of memory by several hundred heads at one time that never end.
var _ = ginkgo.Describe("heads of responses that never end", func() {
	const (
		// memory is that of the smallest instance, of which responses may take a quarter.
		memory  = 284 << 20
		readers = 400
		// headBytes is a little less than a head may have.
		headBytes = 55 << 10
	)
	// held returns the memory that readers hold which have read a text and wait for more. Those
	// that have ended with an error hold none.
	held := func(text string) uint64 {
		stalled, release := make(chan error, readers), make(chan struct{})
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range readers {
			go func() {
				reader := message.NewReader(staller{strings.NewReader(text), stalled, release})
				if _, err := reader.Response(http.MethodGet); !errors.Is(err, io.ErrUnexpectedEOF) {
					stalled <- err
				}
			}()
		}
		for range readers {
			<-stalled
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		close(release)
		return max(after.HeapAlloc, before.HeapAlloc) - before.HeapAlloc
	}
	head := func(line func(i int) string) string {
		var b strings.Builder
		b.WriteString("HTTP/1.1 200 OK\r\n")
		for i := 0; b.Len() < headBytes; i++ {
			b.WriteString(line(i))
		}
		return b.String()
	}

	ginkgo.DescribeTable("take a part of a small instance's memory only",
		func(line func(i int) string) {
			n := held(head(line))
			ginkgo.GinkgoWriter.Println(n>>20, "MB held by", readers)
			gomega.Expect(n).To(gomega.BeNumerically("<", memory/4))
		},
		ginkgo.Entry("of many names", func(i int) string { return fmt.Sprintf("%x:\r\n", i) }),
		ginkgo.Entry("of one name", func(int) string { return "a:\r\n" }),
		ginkgo.Entry("of about as many lines as are read", func(i int) string { return fmt.Sprintf("%x: %s\r\n", i, strings.Repeat("x", 450)) }),
		ginkgo.Entry("of long lines", func(i int) string { return fmt.Sprintf("%x: %s\r\n", i, strings.Repeat("x", 4<<10)) }),
	)
})
