package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/exchange"
)

// repeatingTarget refuses the first request that it gets. It writes that refusal once more
// before the response to each later request on the same connection, and runs the request.
type repeatingTarget struct {
	scriptedTarget
	// withID says that its responses bear the ID of their request.
	withID bool

	mu      sync.Mutex
	refused bool
	runs    map[string]int
}

func startRepeatingTarget(withID bool) *repeatingTarget {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	t := &repeatingTarget{withID: withID, runs: make(map[string]int)}
	t.address = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.dials.Add(1)
			go t.serveRepeating(c)
		}
	}()
	return t
}

func (t *repeatingTarget) serveRepeating(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	refusal := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = req.Body.Close()
		id := req.Header.Get("Id")
		if t.refuses() {
			refusal = "HTTP/1.1 503 X\r\n" + t.idLine(id) + "Shed: 1\r\nContent-Length: 0\r\n\r\n"
			_, _ = c.Write([]byte(refusal))
			continue
		}
		t.run(id)
		_, _ = c.Write([]byte(refusal + "HTTP/1.1 200 OK\r\n" + t.idLine(id) + "Content-Length: 2\r\n\r\nok"))
	}
}

func (t *repeatingTarget) idLine(id string) string {
	if !t.withID {
		return ""
	}
	return "Id: " + id + "\r\n"
}

// refuses reports whether the request is the first one.
func (t *repeatingTarget) refuses() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.refused
	t.refused = true
	return first
}

func (t *repeatingTarget) run(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
}

func (t *repeatingTarget) hasRun(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id] > 0
}

var _ = ginkgo.Describe("a target that repeats a refusal", func() {
	// Guards against requests that are reported not to have run although they run, and that
	// run at a second target as well.
	ginkgo.DescribeTable("makes no request that is not idempotent seem not to have run",
		func(ctx context.Context, withID, firstNonIdempotent bool, ids []string) {
			c := &exchange.Client{HeaderCodec: testCodec{}}
			t := startRepeatingTarget(withID)
			do := func(id string, nonIdempotent bool) exchange.Result {
				req := t.targetRequest(id, nonIdempotent)
				req.Header.Set("Id", id)
				return c.Do(ctx, req)
			}
			gomega.Expect(do("1", firstNonIdempotent).Verdict).To(gomega.Equal(lacewingramp.NotRun))
			for i, id := range ids {
				r := do(id, true)
				gomega.Expect(t.hasRun(id)).To(gomega.BeTrue())
				gomega.Expect(r.Verdict).NotTo(gomega.Equal(lacewingramp.NotRun), fmt.Sprint("request ", i, " with ID ", id))
			}
		},
		ginkgo.Entry("of the same request", true, true, []string{"1", "1"}),
		ginkgo.Entry("of the same request, first sent as one that is idempotent", true, false, []string{"1", "1"}),
		ginkgo.Entry("of another request", true, true, []string{"2", "3", "1"}),
		ginkgo.Entry("of another request, that is idempotent", true, false, []string{"2", "3", "1"}),
		ginkgo.Entry("without an ID", false, true, []string{"2", "3", "1"}),
		ginkgo.Entry("without an ID, of an idempotent request", false, false, []string{"2", "3", "1"}),
	)

	ginkgo.It("still serves idempotent requests on the same connection", func(ctx context.Context) {
		c := &exchange.Client{HeaderCodec: testCodec{}}
		s := startTarget("HTTP/1.1 503 X\r\nId: 1\r\nShed: 1\r\nContent-Length: 0\r\n\r\n", response2)
		gomega.Expect(c.Do(ctx, s.targetRequest("1", false)).Verdict).To(gomega.Equal(lacewingramp.NotRun))
		gomega.Expect(c.Do(ctx, s.targetRequest("2", false)).Verdict).To(gomega.Equal(lacewingramp.Ran))
		gomega.Expect(s.dials.Load()).To(gomega.Equal(int32(1)))
	})

	// Guards against a response that belongs to another request: it has no ID, on a
	// connection on which the target sends IDs.
	ginkgo.It("is not trusted with responses without an ID where it has sent them with one", func(ctx context.Context) {
		c := &exchange.Client{HeaderCodec: testCodec{}}
		s := startTarget(response1, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"+response2)
		gomega.Expect(c.Do(ctx, s.targetRequest("1", false)).Verdict).To(gomega.Equal(lacewingramp.Ran))
		r := c.Do(ctx, s.targetRequest("2", false))
		gomega.Expect(r.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Expect(r.Response).To(gomega.BeNil())
	})

	// Guards against a connection that stays in use after its target has sent a response
	// to nothing.
	ginkgo.It("loses the connection on which it has sent a response too many", func(ctx context.Context) {
		c := &exchange.Client{HeaderCodec: testCodec{}}
		s := startTarget(response1, response1+response2, response1)
		for _, id := range []string{"1", "2", "1"} {
			gomega.Expect(c.Do(ctx, s.targetRequest(id, false)).Verdict).To(gomega.Equal(lacewingramp.Ran))
		}
		gomega.Expect(s.dials.Load()).To(gomega.Equal(int32(2)))
	})
})
