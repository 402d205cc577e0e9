package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

// reply is what a caller got.
type reply struct {
	status int
	body   string
	again  string
}

// ask sends one request to an instance.
func (w *world) ask(instance int, path, key, object string) reply {
	q, err := http.NewRequest(http.MethodGet, "http://"+w.callers[instance]+path, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	q.Host = "h"
	q.Header.Set("Id", fmt.Sprint(path, object, serial.Add(1)))
	q.Header.Set("Key", key)
	q.Header.Set("Object", object)
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return reply{status: p.StatusCode, body: string(b), again: p.Header.Get("Again")}
}

var serial atomic.Int64

func (w *world) runs() (n int32) {
	for _, t := range w.targets {
		n += t.runs.Load()
	}
	return n
}

// all reports whether the answers for several objects fit, as they do for
// certain only after a change has come.
func (w *world) all(fits func(body string) bool) bool {
	for i := range 12 {
		if !fits(w.ask(0, "/read/1", "andes-key", fmt.Sprint(i)).body) {
			return false
		}
	}
	return true
}

func (w *world) mode(mode string) {
	for _, t := range w.targets {
		t.mode.Store(mode)
	}
}

var _ = ginkgo.Describe("an instance", func() {
	var w *world
	ginkgo.BeforeEach(func() {
		w = newWorld(3)
		w.store.put("table/now", table(1))
		gomega.Eventually(w.start(w.store).Ready, 5*time.Second).Should(gomega.BeTrue())
	})

	ginkgo.It("carries a request with its customer and without its key", func() {
		r := w.ask(0, "/read/1", "andes-key", "1")
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(r.body).To(gomega.ContainSubstring(`for "andes" key ""`))
		gomega.Expect(w.ask(0, "/open/1", "", "1").body).To(gomega.ContainSubstring(`for "" key ""`))
	})

	ginkgo.It("says what is wrong with a request that no target should see", func() {
		gomega.Expect(w.ask(0, "/read/1", "no-key", "1").status).To(gomega.Equal(http.StatusUnauthorized))
		gomega.Expect(w.ask(0, "/else/1", "andes-key", "1").status).To(gomega.Equal(http.StatusNotFound))
		gomega.Expect(w.runs()).To(gomega.BeZero())
	})

	ginkgo.It("sends a request that was not run to another target", func() {
		w.targets[0].mode.Store(modeShed)
		w.targets[1].mode.Store(modeShed)
		ok := 0
		for i := range 12 {
			if w.ask(0, "/order/1", "andes-key", fmt.Sprint(i)).status == http.StatusOK {
				ok++
			}
		}
		gomega.Expect(ok).To(gomega.BeNumerically(">=", 8))
		w.mode(modeShed)
		r := w.ask(0, "/order/1", "andes-key", "1")
		gomega.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(r.again).NotTo(gomega.BeEmpty())
	})

	ginkgo.It("runs a request that must not run twice at most once", func() {
		w.mode(modeBreak)
		gomega.Expect(w.ask(0, "/order/1", "andes-key", "1").status).To(gomega.Equal(http.StatusBadGateway))
		gomega.Expect(w.runs()).To(gomega.Equal(int32(1)))
	})

	ginkgo.It("repeats one that may run twice, as often as its route allows", func() {
		w.mode(modeFail)
		gomega.Expect(w.ask(0, "/read/1", "andes-key", "1").status).To(gomega.Equal(http.StatusInternalServerError))
		gomega.Expect(w.runs()).To(gomega.Equal(int32(2)))
	})

	ginkgo.It("holds a customer to its limit and tells when to come back", func() {
		var last reply
		passed := 0
		for range 10 {
			last = w.ask(0, "/read/1", "small-key", "1")
			if last.status == http.StatusOK {
				passed++
			}
		}
		gomega.Expect(passed).To(gomega.BeNumerically("<=", 6))
		gomega.Expect(last.status).To(gomega.Equal(http.StatusTooManyRequests))
		gomega.Expect(last.again).NotTo(gomega.BeEmpty())
	})

	ginkgo.It("sends nothing to an evacuated domain", func() {
		w.store.put("empty/a", struct{}{})
		gomega.Eventually(func() bool { return w.all(func(body string) bool { return strings.HasPrefix(body, "t1 ") }) }).Should(gomega.BeTrue())
		for i := range 20 {
			gomega.Expect(w.ask(0, "/read/1", "andes-key", fmt.Sprint(i)).body).To(gomega.HavePrefix("t1 "))
		}
	})

	ginkgo.It("takes a newer table into force, and no older one", func() {
		next := table(3)
		next.Keys = next.Keys[:1]
		w.store.put("table/now", next)
		gomega.Eventually(func() int { return w.ask(0, "/read/1", "small-key", "1").status }).Should(gomega.Equal(http.StatusUnauthorized))
		w.store.put("table/now", table(2))
		w.store.put("empty/b", struct{}{})
		gomega.Eventually(func() bool { return w.all(func(body string) bool { return !strings.HasPrefix(body, "t1 ") }) }).Should(gomega.BeTrue())
		gomega.Expect(w.ask(0, "/read/1", "small-key", "1").status).To(gomega.Equal(http.StatusUnauthorized))
	})

	ginkgo.It("serves on while the store is away", func() {
		w.store.down.Store(true)
		for i := range 10 {
			gomega.Expect(w.ask(0, "/read/1", "andes-key", fmt.Sprint(i)).status).To(gomega.Equal(http.StatusOK))
		}
	})

	ginkgo.It("learns from another instance what the store does not tell it", func() {
		gomega.Eventually(w.start(w.store).Ready, 5*time.Second).Should(gomega.BeTrue())
		cut := &cutStore{store: w.store}
		gomega.Eventually(w.start(cut).Ready, 5*time.Second).Should(gomega.BeTrue())
		cut.cut.Store(true)
		next := table(9)
		next.Keys = next.Keys[:1]
		w.store.put("table/now", next)
		gomega.Eventually(func() int { return w.ask(2, "/read/1", "small-key", "1").status }, 5*time.Second).
			Should(gomega.Equal(http.StatusUnauthorized))
	})

	ginkgo.It("names itself and the others of a region, and not one that stops", func() {
		gomega.Eventually(w.start(w.store).Ready, 5*time.Second).Should(gomega.BeTrue())
		found := func() []string {
			all, life := w.edges[0].Lookup("h", "north")
			gomega.Expect(life).To(gomega.BeNumerically("<=", 5*time.Second))
			return all
		}
		gomega.Eventually(found, 5*time.Second).Should(gomega.ConsistOf(w.callers[0], w.callers[1]))
		w.stops[1]()
		gomega.Eventually(found, 5*time.Second).Should(gomega.ConsistOf(w.callers[0]))
	})

	ginkgo.It("cuts no request when it stops", func() {
		var wait sync.WaitGroup
		var whole, bad atomic.Int32
		for i := range 8 {
			wait.Go(func() {
				for running(w.ended[0]) {
					switch r := w.ask(0, "/order/1", "andes-key", fmt.Sprint(i)); r.status {
					case http.StatusOK:
						whole.Add(1)
					case 0:
						// The connection ended: nothing may have run for it.
					default:
						bad.Add(1)
					}
				}
			})
		}
		w.stops[0]()
		wait.Wait()
		gomega.Expect(bad.Load()).To(gomega.BeZero())
		gomega.Expect(whole.Load()).To(gomega.BeNumerically(">", 0))
		gomega.Expect(w.runs()).To(gomega.Equal(whole.Load()))
	})

	ginkgo.It("answers in time when a target does not", func() {
		w.mode(modeSilence)
		next := table(4)
		for i := range next.Routes {
			next.Routes[i].Deadline = lacewingramp.Duration(300 * time.Millisecond)
		}
		w.store.put("table/now", next)
		gomega.Eventually(func() int { return w.ask(0, "/order/1", "andes-key", "1").status }, 10*time.Second).
			Should(gomega.Equal(http.StatusGatewayTimeout))
	})
})

// running reports whether an instance has not ended.
func running(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// cutStore is a store that one instance can be cut off from.
type cutStore struct {
	*store
	cut atomic.Bool
}

func (c *cutStore) Changes(ctx context.Context, after int64, wait time.Duration) ([]lacewingramp.Change, int64, error) {
	if c.cut.Load() {
		return nil, after, lacewingramp.ErrDown
	}
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	all, revision, err := c.store.Changes(short, after, wait)
	if err != nil && ctx.Err() == nil && !c.cut.Load() {
		return nil, after, nil
	}
	if c.cut.Load() {
		return nil, after, lacewingramp.ErrDown
	}
	return all, revision, err
}

var _ = ginkgo.Describe("an instance without a table", func() {
	ginkgo.It("refuses for now and does not say that a route or key is unknown", func() {
		w := newWorld(1)
		e := w.start(w.store)
		gomega.Eventually(func() int { return w.ask(0, "/read/1", "andes-key", "1").status }, 5*time.Second).
			Should(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(e.Ready()).To(gomega.BeFalse())
	})
})

var _ = ginkgo.Describe("an order to move a service", func() {
	ginkgo.It("is carried out and its result is written", func() {
		w := newWorld(4)
		w.store.put("table/now", table(1))
		e := w.start(w.store)
		gomega.Eventually(e.Ready, 5*time.Second).Should(gomega.BeTrue())
		for i, t := range w.targets {
			if i >= 2 {
				n, err := format{}.Read(lacewingramp.Change{Item: w.store.item("target/" + t.name)})
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				n.Listing.Version = "v2"
				w.store.put("target/"+t.name, *n.Listing)
			}
		}
		w.store.put("order/s", lacewingramp.Order{Service: "s", Version: "v2", Time: 6 * time.Second})
		state := func() string { return string(w.store.item("result/s").Value) }
		gomega.Eventually(state, 5*time.Second).Should(gomega.ContainSubstring(lacewingramp.ResultRunning))
		gomega.Eventually(func() string {
			w.ask(0, "/read/1", "andes-key", fmt.Sprint(serial.Load()))
			return state()
		}, 15*time.Second, time.Millisecond).Should(gomega.ContainSubstring(lacewingramp.ResultDone))
		for i := range 20 {
			gomega.Expect(w.ask(0, "/read/1", "andes-key", fmt.Sprint(i)).body).To(gomega.Or(gomega.HavePrefix("t2 "), gomega.HavePrefix("t3 ")))
		}
	})
})

var _ = ginkgo.Describe("an instance that starts", func() {
	ginkgo.It("holds a request until it has read the table", func() {
		w := newWorld(3)
		w.store.put("table/now", table(1))
		w.store.down.Store(true)
		e := w.start(w.store)
		var r reply
		var wait sync.WaitGroup
		wait.Go(func() {
			for r.status == 0 {
				r = w.ask(0, "/read/1", "andes-key", "1")
			}
		})
		time.Sleep(100 * time.Millisecond)
		gomega.Expect(e.Ready()).To(gomega.BeFalse())
		w.store.down.Store(false)
		wait.Wait()
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
	})
})
