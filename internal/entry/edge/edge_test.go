package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

// response is the response that a caller received, with status 0 if there was none.
type response struct {
	status     int
	body       string
	retryAfter string
}

// request sends a request to an instance and returns the response.
func (d *deployment) request(instance int, path, key, object string) response {
	req, err := http.NewRequest(http.MethodGet, "http://"+d.callerAddresses[instance]+path, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	req.Host = "h"
	req.Header.Set("Id", fmt.Sprint(path, object, requestCount.Add(1)))
	req.Header.Set("Key", key)
	req.Header.Set("Object", object)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{body: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return response{status: resp.StatusCode, body: string(b), retryAfter: resp.Header.Get("Again")}
}

var requestCount atomic.Int64

func (d *deployment) runs() (n int32) {
	for _, t := range d.targets {
		n += t.runs.Load()
	}
	return n
}

// all reports whether match holds for the responses for several objects. A single
// response could match by chance before a change has reached the instance.
func (d *deployment) all(match func(body string) bool) bool {
	for i := range 12 {
		if !match(d.request(0, "/read/1", "andes-key", fmt.Sprint(i)).body) {
			return false
		}
	}
	return true
}

func (d *deployment) mode(mode string) {
	for _, t := range d.targets {
		t.mode.Store(mode)
	}
}

var _ = ginkgo.Describe("an instance", func() {
	var d *deployment
	ginkgo.BeforeEach(func() {
		d = newDeployment(3)
		d.store.put("table/now", testTable(1))
		gomega.Eventually(d.start(d.store).Ready, 5*time.Second).Should(gomega.BeTrue())
	})

	ginkgo.It("forwards a request with its customer and without its key", func() {
		r := d.request(0, "/read/1", "andes-key", "1")
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(r.body).To(gomega.ContainSubstring(`for "andes" key ""`))
		gomega.Expect(d.request(0, "/open/1", "", "1").body).To(gomega.ContainSubstring(`for "" key ""`))
	})

	ginkgo.It("refuses an unknown key or route without sending the request to a target", func() {
		gomega.Expect(d.request(0, "/read/1", "no-key", "1").status).To(gomega.Equal(http.StatusUnauthorized))
		gomega.Expect(d.request(0, "/else/1", "andes-key", "1").status).To(gomega.Equal(http.StatusNotFound))
		gomega.Expect(d.runs()).To(gomega.BeZero())
	})

	ginkgo.It("retries a request that has not run on another target", func() {
		d.targets[0].mode.Store(modeShed)
		d.targets[1].mode.Store(modeShed)
		ok := 0
		for i := range 12 {
			if d.request(0, "/order/1", "andes-key", fmt.Sprint(i)).status == http.StatusOK {
				ok++
			}
		}
		gomega.Expect(ok).To(gomega.BeNumerically(">=", 8))
		d.mode(modeShed)
		r := d.request(0, "/order/1", "andes-key", "1")
		gomega.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(r.retryAfter).NotTo(gomega.BeEmpty())
	})

	ginkgo.It("runs a request that is not idempotent at most once", func() {
		d.mode(modeBreak)
		gomega.Expect(d.request(0, "/order/1", "andes-key", "1").status).To(gomega.Equal(http.StatusBadGateway))
		gomega.Expect(d.runs()).To(gomega.Equal(int32(1)))
	})

	ginkgo.It("retries an idempotent request as often as its route allows", func() {
		d.mode(modeFail)
		gomega.Expect(d.request(0, "/read/1", "andes-key", "1").status).To(gomega.Equal(http.StatusInternalServerError))
		gomega.Expect(d.runs()).To(gomega.Equal(int32(2)))
	})

	// Guards against a caller that waits for its deadline while a target sends bytes
	// that can never become a response.
	ginkgo.It("ends or retries a request at once whose target sends bytes without end", func() {
		d.mode(modeEndless)
		gomega.Expect(d.request(0, "/order/1", "andes-key", "1").status).To(gomega.Equal(http.StatusBadGateway))
		gomega.Expect(d.runs()).To(gomega.Equal(int32(1)))
		gomega.Expect(d.request(0, "/read/1", "andes-key", "1").status).To(gomega.Equal(http.StatusBadGateway))
		gomega.Expect(d.runs()).To(gomega.Equal(int32(3)))
		d.targets[0].mode.Store(modeWell)
		d.targets[1].mode.Store(modeWell)
		for i := range 12 {
			gomega.Expect(d.request(0, "/read/1", "andes-key", fmt.Sprint(i)).status).To(gomega.Equal(http.StatusOK))
		}
		gomega.Eventually(func() (n int32) {
			for _, t := range d.targets {
				n += t.runs.Load() - t.cutOff.Load()
			}
			return n
		}).Should(gomega.Equal(int32(12)))
	})

	ginkgo.It("enforces a customer's rate and returns a retry delay", func() {
		var last response
		passed := 0
		for range 10 {
			last = d.request(0, "/read/1", "small-key", "1")
			if last.status == http.StatusOK {
				passed++
			}
		}
		gomega.Expect(passed).To(gomega.BeNumerically("<=", 6))
		gomega.Expect(last.status).To(gomega.Equal(http.StatusTooManyRequests))
		gomega.Expect(last.retryAfter).NotTo(gomega.BeEmpty())
	})

	ginkgo.It("sends nothing to an evacuated domain", func() {
		d.store.put("empty/a", struct{}{})
		gomega.Eventually(func() bool { return d.all(func(body string) bool { return strings.HasPrefix(body, "t1 ") }) }).Should(gomega.BeTrue())
		for i := range 20 {
			gomega.Expect(d.request(0, "/read/1", "andes-key", fmt.Sprint(i)).body).To(gomega.HavePrefix("t1 "))
		}
	})

	ginkgo.It("puts a newer table into force, but no older one", func() {
		next := testTable(3)
		next.Keys = next.Keys[:1]
		d.store.put("table/now", next)
		gomega.Eventually(func() int { return d.request(0, "/read/1", "small-key", "1").status }).Should(gomega.Equal(http.StatusUnauthorized))
		d.store.put("table/now", testTable(2))
		d.store.put("empty/b", struct{}{})
		gomega.Eventually(func() bool { return d.all(func(body string) bool { return !strings.HasPrefix(body, "t1 ") }) }).Should(gomega.BeTrue())
		gomega.Expect(d.request(0, "/read/1", "small-key", "1").status).To(gomega.Equal(http.StatusUnauthorized))
	})

	ginkgo.It("keeps serving while the store is unreachable", func() {
		d.store.down.Store(true)
		for i := range 10 {
			gomega.Expect(d.request(0, "/read/1", "andes-key", fmt.Sprint(i)).status).To(gomega.Equal(http.StatusOK))
		}
	})

	ginkgo.It("catches up from a peer while it is cut off from the store", func() {
		gomega.Eventually(d.start(d.store).Ready, 5*time.Second).Should(gomega.BeTrue())
		partitioned := &partitionedStore{store: d.store}
		gomega.Eventually(d.start(partitioned).Ready, 5*time.Second).Should(gomega.BeTrue())
		partitioned.partitioned.Store(true)
		next := testTable(9)
		next.Keys = next.Keys[:1]
		d.store.put("table/now", next)
		gomega.Eventually(func() int { return d.request(2, "/read/1", "small-key", "1").status }, 5*time.Second).
			Should(gomega.Equal(http.StatusUnauthorized))
	})

	ginkgo.It("returns the instances of a region from lookups, without one that stops", func() {
		gomega.Eventually(d.start(d.store).Ready, 5*time.Second).Should(gomega.BeTrue())
		found := func() []string {
			all, ttl := d.edges[0].Lookup("h", "north")
			gomega.Expect(ttl).To(gomega.BeNumerically("<=", 5*time.Second))
			return all
		}
		gomega.Eventually(found, 5*time.Second).Should(gomega.ConsistOf(d.callerAddresses[0], d.callerAddresses[1]))
		d.stops[1]()
		gomega.Eventually(found, 5*time.Second).Should(gomega.ConsistOf(d.callerAddresses[0]))
	})

	ginkgo.It("loses no request when it stops", func() {
		var wait sync.WaitGroup
		var served, failed atomic.Int32
		for i := range 8 {
			wait.Go(func() {
				for running(d.exited[0]) {
					switch r := d.request(0, "/order/1", "andes-key", fmt.Sprint(i)); r.status {
					case http.StatusOK:
						served.Add(1)
					case 0:
						// The connection was closed, so the request must not have run.
					default:
						failed.Add(1)
					}
				}
			})
		}
		d.stops[0]()
		wait.Wait()
		gomega.Expect(failed.Load()).To(gomega.BeZero())
		gomega.Expect(served.Load()).To(gomega.BeNumerically(">", 0))
		gomega.Expect(d.runs()).To(gomega.Equal(served.Load()))
	})

	// Guards against requests that are sent to a target late in a stop and cut at its end.
	ginkgo.It("refuses a request whose body comes late in its stop, without sending it to a target", func() {
		c, err := net.Dial("tcp4", d.callerAddresses[0])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "POST /order/1 HTTP/1.1\r\nHost: h\r\nId: late-body\r\nKey: andes-key\r\nContent-Length: 4\r\n\r\n12")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		d.stops[0]()
		time.Sleep(stopTimeout*6/10 + 50*time.Millisecond)
		_, err = io.WriteString(c, "34")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_ = resp.Body.Close()
		gomega.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(resp.Close).To(gomega.BeTrue())
		gomega.Expect(d.runs()).To(gomega.BeZero())
	})

	ginkgo.It("responds at the deadline if a target does not", func() {
		d.mode(modeSilence)
		next := testTable(4)
		for i := range next.Routes {
			next.Routes[i].Deadline = lacewingramp.Duration(300 * time.Millisecond)
		}
		d.store.put("table/now", next)
		gomega.Eventually(func() int { return d.request(0, "/order/1", "andes-key", "1").status }, 10*time.Second).
			Should(gomega.Equal(http.StatusGatewayTimeout))
	})
})

// running reports whether an instance is still running.
func running(exited <-chan struct{}) bool {
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// partitionedStore is a connection to a store that can be cut for one instance. It
// splits waits for changes into short ones, so that a cut takes effect during a wait.
type partitionedStore struct {
	*store
	partitioned atomic.Bool
}

func (s *partitionedStore) Changes(ctx context.Context, after lacewingramp.Position, wait time.Duration) ([]lacewingramp.Change, lacewingramp.Position, error) {
	if s.partitioned.Load() {
		return nil, after, lacewingramp.ErrUnreachable
	}
	pollCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	all, position, err := s.store.Changes(pollCtx, after, wait)
	if err != nil && ctx.Err() == nil && !s.partitioned.Load() {
		return nil, after, nil
	}
	if s.partitioned.Load() {
		return nil, after, lacewingramp.ErrUnreachable
	}
	return all, position, err
}

var _ = ginkgo.Describe("an instance without a table", func() {
	ginkgo.It("refuses temporarily instead of reporting an unknown route or key", func() {
		d := newDeployment(1)
		e := d.start(d.store)
		gomega.Eventually(func() int { return d.request(0, "/read/1", "andes-key", "1").status }, 5*time.Second).
			Should(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(e.Ready()).To(gomega.BeFalse())
	})
})

var _ = ginkgo.Describe("a rollout order", func() {
	ginkgo.It("is carried out, and its status is written to the store", func() {
		d := newDeployment(4)
		d.store.put("table/now", testTable(1))
		e := d.start(d.store)
		gomega.Eventually(e.Ready, 5*time.Second).Should(gomega.BeTrue())
		for i, t := range d.targets {
			if i >= 2 {
				event, err := codec{}.Decode(lacewingramp.Change{KeyValue: d.store.keyValue("target/" + t.name)})
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				event.TargetRegistration.Version = "v2"
				d.store.put("target/"+t.name, *event.TargetRegistration)
			}
		}
		d.store.put("order/s", lacewingramp.RolloutOrder{Service: "s", Version: "v2", MaxDuration: 6 * time.Second})
		state := func() string { return string(d.store.keyValue("result/s").Value) }
		gomega.Eventually(state, 5*time.Second).Should(gomega.ContainSubstring(lacewingramp.StatusRunning))
		gomega.Eventually(func() string {
			d.request(0, "/read/1", "andes-key", fmt.Sprint(requestCount.Load()))
			return state()
		}, 15*time.Second, time.Millisecond).Should(gomega.ContainSubstring(lacewingramp.StatusDone))
		for i := range 20 {
			gomega.Expect(d.request(0, "/read/1", "andes-key", fmt.Sprint(i)).body).To(gomega.Or(gomega.HavePrefix("t2 "), gomega.HavePrefix("t3 ")))
		}
	})
})

var _ = ginkgo.Describe("an instance that starts", func() {
	ginkgo.It("holds a request until it has read the table", func() {
		d := newDeployment(3)
		d.store.put("table/now", testTable(1))
		d.store.down.Store(true)
		e := d.start(d.store)
		var r response
		var wait sync.WaitGroup
		wait.Go(func() {
			for r.status == 0 {
				r = d.request(0, "/read/1", "andes-key", "1")
			}
		})
		time.Sleep(100 * time.Millisecond)
		gomega.Expect(e.Ready()).To(gomega.BeFalse())
		d.store.down.Store(false)
		wait.Wait()
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
	})
})
