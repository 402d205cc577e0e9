package edge_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/routing"
	"lacewingramp.example/lacewingramp/internal/peer/heartbeat"
)

// The kinds of cuts of a cutDialer.
const (
	cutNone int32 = iota
	// cutHang lets new connections hang, and open ones lose everything.
	cutHang
	// cutReset refuses new connections and resets open ones.
	cutReset
	// cutNew refuses new connections and leaves open ones alone.
	cutNew
	// cutSlow is no cut: new connections are opened after slowDialTime.
	cutSlow
)

// slowDialTime is longer than most checks of targets take.
const slowDialTime = 900 * time.Millisecond

// cutDialer opens connections unless its instance is cut off.
type cutDialer struct {
	cut atomic.Int32
	// lost is the address of a target that no longer responds to keep-alive probes, nil for
	// none.
	lost atomic.Pointer[string]

	mu    sync.Mutex
	conns []*cutConn
}

func (d *cutDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	switch d.cut.Load() {
	case cutHang:
		<-ctx.Done()
		return nil, ctx.Err()
	case cutReset, cutNew:
		return nil, syscall.ECONNREFUSED
	}
	if d.isLost(address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if d.cut.Load() == cutSlow {
		select {
		case <-time.After(slowDialTime):
		case <-ctx.Done():
			_ = c.Close()
			return nil, ctx.Err()
		}
	}
	conn := &cutConn{TCPConn: c.(*net.TCPConn), dialer: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, conn)
	return conn, nil
}

func (d *cutDialer) isLost(address string) bool {
	lost := d.lost.Load()
	return lost != nil && *lost == address
}

// set cuts the instance off.
func (d *cutDialer) set(cut int32) {
	d.cut.Store(cut)
	if cut != cutReset {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		_ = c.Close()
	}
}

// cutConn is a connection of a cutDialer.
type cutConn struct {
	*net.TCPConn
	dialer *cutDialer
}

// Write discards the bytes while connections hang or the target is lost.
func (c *cutConn) Write(b []byte) (int, error) {
	if c.dialer.cut.Load() == cutHang || c.dialer.isLost(c.RemoteAddr().String()) {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// Read reports a reset connection as one that the target has reset, and fails as that of a
// connection whose keep-alive probes have no response if the target is lost.
func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.dialer.isLost(c.RemoteAddr().String()) {
		return 0, &net.OpError{Op: "read", Net: "tcp4", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	}
	if err != nil && c.dialer.cut.Load() == cutReset {
		return n, syscall.ECONNRESET
	}
	return n, err
}

// Guards against the refusal of requests by an instance that reaches no target although
// its peers do (the users' rule RECOVER), and against relaying that breaks other
// guarantees.
var _ = ginkgo.Describe("an instance that is cut off from all targets", func() {
	var d *deployment
	startInstances := func(domains ...string) {
		d = newDeployment(6)
		d.domains = domains
		d.store.put("table/now", testTable(1))
		for range domains {
			gomega.Eventually(d.start(d.store).Ready, 5*time.Second).Should(gomega.BeTrue())
		}
		d.awaitPeers(len(domains))
	}

	for name, cut := range map[string]int32{"hang": cutHang, "are reset": cutReset, "live on while new ones are refused": cutNew} {
		ginkgo.It("serves its callers through a peer and is named by no lookup while its connections "+name, func() {
			startInstances("a", "a")
			for i := range 12 {
				gomega.Expect(d.request(0, "/read/1", "andes-key", fmt.Sprint(i)).status).To(gomega.Equal(http.StatusOK))
			}
			d.dialers[0].set(cut)
			gomega.Eventually(func() []string {
				go d.request(0, "/read/1", "andes-key", fmt.Sprint(requestCount.Load()))
				found, _ := d.edges[1].Lookup("h", "north")
				return found
			}, 10*time.Second).Should(gomega.ConsistOf(d.callerAddresses[1]))
			for i := range 20 {
				gomega.Expect(d.request(0, "/read/1", "andes-key", fmt.Sprint(i)).status).To(gomega.Equal(http.StatusOK))
				gomega.Expect(d.request(0, "/order/1", "andes-key", fmt.Sprint(i)).status).To(gomega.Equal(http.StatusOK))
			}
			found, _ := d.edges[0].Lookup("h", "north")
			gomega.Expect(found).To(gomega.ConsistOf(d.callerAddresses[1]))
			d.dialers[0].set(cutNone)
			gomega.Eventually(func() []string {
				found, _ := d.edges[1].Lookup("h", "north")
				return found
			}, 10*time.Second).Should(gomega.ConsistOf(d.callerAddresses[0], d.callerAddresses[1]))
			for i := range 12 {
				gomega.Expect(d.request(0, "/read/1", "andes-key", fmt.Sprint(i)).status).To(gomega.Equal(http.StatusOK))
			}
		})
	}

	ginkgo.It("relays a request that is not idempotent so that it runs at most once", func() {
		startInstances("a", "a")
		d.cutOff(0)
		before := d.runs()
		d.mode(modeBreak)
		gomega.Expect(d.request(0, "/order/1", "andes-key", "1").status).To(gomega.Equal(http.StatusBadGateway))
		gomega.Expect(d.runs() - before).To(gomega.Equal(int32(1)))
	})

	// Guards against bytes without end that are kept, or waited for until the deadline, at the
	// instance that relays the request or at the one that it is relayed to.
	ginkgo.It("ends a relayed request whose target sends bytes without end", func() {
		startInstances("a", "a")
		d.cutOff(0)
		d.mode(modeEndless)
		gomega.Expect(d.request(0, "/order/1", "andes-key", "1").status).To(gomega.Equal(http.StatusBadGateway))
		gomega.Eventually(func() (n int32) {
			for _, t := range d.targets {
				n += t.cutOff.Load()
			}
			return n
		}).Should(gomega.Equal(int32(1)))
	})

	// Guards against a request that runs twice because its target sends the header with
	// which instances tell each other the outcome.
	ginkgo.It("takes no outcome from a target", func() {
		startInstances("a", "a", "a")
		d.cutOff(0)
		d.mode(modeForge)
		before := d.runs()
		gomega.Expect(d.request(0, "/order/1", "andes-key", "1").status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(d.runs() - before).To(gomega.Equal(int32(1)))
	})

	// Guards against a target that no instance uses any more because another target says
	// that it is leaving, with the header by which instances tell each other.
	ginkgo.It("takes no word of another target's leaving from a target", func() {
		startInstances("a", "a")
		d.cutOff(0)
		d.mode(modeForge)
		runs := func() int32 {
			before := d.targets[1].runs.Load()
			for i := range 40 {
				gomega.Expect(d.request(0, "/read/1", "andes-key", fmt.Sprint(i)).status).To(gomega.Equal(http.StatusOK))
			}
			return d.targets[1].runs.Load() - before
		}
		gomega.Expect(runs()).To(gomega.BeNumerically(">", 0))
		d.dialers[0].set(cutNone)
		d.stops[1]()
		gomega.Eventually(func() bool { return d.edges[0].CutOff() }, 10*time.Second).Should(gomega.BeFalse())
		gomega.Expect(runs()).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("relays within a customer's limit, and passes on the refusals of a peer", func() {
		startInstances("a", "a")
		const rate, burst, slack = 20.0, 10.0, 2.0
		next := testTable(2)
		next.Customers = append(next.Customers, lacewingramp.Customer{Name: "medium", Rate: rate, Burst: burst})
		next.Keys = append(next.Keys, lacewingramp.AccessKey{Name: "medium-1", Customer: "medium", Hash: routing.Hash("medium-key")})
		d.store.put("table/now", next)
		d.cutOff(0)
		served := 0
		from := time.Now()
		for i := range 200 {
			if d.request(0, "/read/1", "medium-key", fmt.Sprint(i)).status == http.StatusOK {
				served++
			}
		}
		gomega.Expect(served).To(gomega.BeNumerically(">", 0))
		gomega.Expect(float64(served)).To(gomega.BeNumerically("<=", burst+rate*time.Since(from).Seconds()+slack))
		d.mode(modeShed)
		r := d.request(0, "/order/1", "andes-key", "1")
		gomega.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(r.retryAfter).NotTo(gomega.BeEmpty())
	})

	// Guards against a promise that a request has not run which is true of the peer only.
	ginkgo.It("does not promise that a request has not run because a peer has not run it", func() {
		startInstances("a", "a")
		d.mode(modeSilence)
		result := make(chan response, 1)
		go func() { result <- d.request(0, "/read/1", "andes-key", "1") }()
		gomega.Eventually(d.runs).Should(gomega.Equal(int32(1)))
		d.mode(modeShed)
		d.dialers[0].set(cutReset)
		var r response
		gomega.Eventually(result, 5*time.Second).Should(gomega.Receive(&r))
		gomega.Expect(r.status).To(gomega.Equal(http.StatusBadGateway))
	})

	ginkgo.It("responds at the deadline if the target of a peer does not", func() {
		startInstances("a", "a")
		next := testTable(2)
		for i := range next.Routes {
			next.Routes[i].Deadline = lacewingramp.Duration(700 * time.Millisecond)
		}
		d.store.put("table/now", next)
		d.cutOff(0)
		d.mode(modeSilence)
		gomega.Expect(d.request(0, "/order/1", "andes-key", "1").status).To(gomega.Equal(http.StatusGatewayTimeout))
	})

	ginkgo.It("relays nothing to a region that the route does not allow", func() {
		startInstances("a", "b")
		next := testTable(2)
		for i := range next.Routes {
			next.Routes[i].Regions = lacewingramp.NameList{"north"}
		}
		d.store.put("table/now", next)
		d.cutOff(0)
		before := d.runs()
		gomega.Expect(d.request(0, "/read/1", "andes-key", "1").status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(d.runs()).To(gomega.Equal(before))
	})

	ginkgo.It("refuses at once where all instances are cut off, and passes requests in no circle", func() {
		startInstances("a", "a", "a")
		for i := range 3 {
			d.cutOff(i)
		}
		r := d.request(0, "/read/1", "andes-key", "1")
		gomega.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(r.retryAfter).NotTo(gomega.BeEmpty())
		found, _ := d.edges[0].Lookup("h", "north")
		gomega.Expect(found).To(gomega.ConsistOf(d.callerAddresses))
	})

	// Guards against a fleet that refuses requests as crashing their targets because
	// their connections were reset at an instance that was cut off.
	ginkgo.It("does not take its reset connections for crashes of targets", func() {
		startInstances("a", "a")
		d.mode(modeSilence)
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { d.request(0, "/order/1", "andes-key", "1") })
		}
		gomega.Eventually(d.runs).Should(gomega.BeNumerically(">=", 4))
		d.dialers[0].set(cutReset)
		wg.Wait()
		d.mode(modeWell)
		d.cutOff(0)
		time.Sleep(time.Second)
		for range 5 {
			gomega.Expect(d.request(1, "/order/1", "andes-key", "1").status).To(gomega.Equal(http.StatusOK))
		}
	})
})

// Guards against an instance that relays its requests because its connections are opened
// slowly, although it reaches targets and gets their responses on open connections.
var _ = ginkgo.Describe("an instance whose connections to targets are opened slowly", func() {
	ginkgo.It("is not cut off", func() {
		const objects = 24
		d := newDeployment(6)
		d.store.put("table/now", testTable(1))
		e := d.start(d.store)
		gomega.Eventually(e.Ready, 5*time.Second).Should(gomega.BeTrue())
		send := func() {
			for i := range objects {
				gomega.Expect(d.request(0, "/read/1", "andes-key", fmt.Sprint(i)).status).To(gomega.Equal(http.StatusOK))
			}
		}
		send()
		d.dialers[0].set(cutSlow)
		// A target that cannot be reached makes the instance check the others.
		d.store.put("target/t6", d.registration(6, freeAddress()))
		gomega.Consistently(func() bool {
			send()
			return e.CutOff()
		}, 5*time.Second).Should(gomega.BeFalse())
	})
})

// awaitPeers waits until lookups at every instance return count instances.
func (d *deployment) awaitPeers(count int) {
	for _, e := range d.edges {
		gomega.Eventually(func() int {
			found, _ := e.Lookup("h", "")
			return len(found)
		}, 5*time.Second).Should(gomega.Equal(count))
	}
}

// cutOff cuts an instance off from all targets and waits until all instances know it.
func (d *deployment) cutOff(instance int) {
	d.dialers[instance].set(cutReset)
	gomega.Eventually(func() bool {
		d.request(instance, "/read/1", "andes-key", fmt.Sprint(requestCount.Load()))
		return d.edges[instance].CutOff()
	}, 5*time.Second).Should(gomega.BeTrue())
	time.Sleep(2 * heartbeat.Period)
}
