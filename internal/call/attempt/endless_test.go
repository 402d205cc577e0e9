package attempt_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/attempt"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

var _ = ginkgo.Describe("attempts at targets whose responses do not end", func() {
	const (
		requests = 64
		sent     = 4 << 20
		block    = 64 << 10
		// maxHeap is how much the heap may grow: the budget, and as much again that is being
		// copied or not collected yet.
		maxHeap = 96 << 20
	)
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}

	// Guards against running out of memory by many responses, each of which is within its limit.
	ginkgo.It("take no more memory together than the budget", func(ctx context.Context) {
		var stalled sync.WaitGroup
		stalled.Add(requests)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// The server notices that the client is gone once the request was read.
			_, err := io.Copy(io.Discard, r.Body)
			for n := 0; err == nil && n < sent; n += block {
				_, err = w.Write(bytes.Repeat([]byte("x"), block))
			}
			_ = http.NewResponseController(w).Flush()
			stalled.Done()
			<-r.Context().Done()
		}))
		ginkgo.DeferCleanup(s.Close)
		c := &attempt.Caller{Budget: message.NewBudget(1)}
		ginkgo.DeferCleanup(c.Close)
		ctx, cancel := context.WithCancel(ctx)
		var wg sync.WaitGroup
		defer func() {
			cancel()
			wg.Wait()
		}()
		before := heap()
		for range requests {
			wg.Go(func() {
				// A request that never reached the target is sent again, as the test waits for all.
				for ctx.Err() == nil {
					_, err := c.Do(ctx, lacewingramp.Target{Address: strings.TrimPrefix(s.URL, "http://")}, newForwardRequest("x"), false)
					if err == nil || lacewingramp.RefusalOf(err).Verdict != lacewingramp.NotRun {
						return
					}
				}
			})
		}
		stalled.Wait()
		gomega.Expect(heap() - before).To(gomega.BeNumerically("<", maxHeap))
	})

	ginkgo.It("may have run if the response is too large", func(ctx context.Context) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, attempt.MaxResponseBytes+1))
		}))
		ginkgo.DeferCleanup(s.Close)
		c := &attempt.Caller{}
		ginkgo.DeferCleanup(c.Close)
		r, err := c.Do(ctx, lacewingramp.Target{Address: strings.TrimPrefix(s.URL, "http://")}, newForwardRequest("x"), false)
		gomega.Expect(r.Response).To(gomega.BeNil())
		gomega.Expect(lacewingramp.RefusalOf(err).Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Expect(lacewingramp.RefusalOf(err).Cause).To(gomega.Equal(lacewingramp.CauseSize))
	})
})
