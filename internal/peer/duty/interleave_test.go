package duty_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/duty"
)

// depth is the number of steps of each order that is tried.
const depth = 8

// modelStep is the time that passes with the step time. Four of them are longer than a lease.
const modelStep = 900 * time.Millisecond

// modelKey is the key of the duty in the model of the store. owner is 0 if it is absent.
type modelKey struct {
	owner     int
	revision  int64
	expiresAt time.Time
}

// call is a call to the platform with its sender and token.
type call struct {
	sender int
	token  int64
	at     time.Time
}

// pending is a write that has not taken effect yet.
type pending struct {
	owner   int
	granted time.Time
}

// world is the model: two holders, the store, and the calls that the platform has got. It is
// copied for each branch.
type world struct {
	now      time.Time
	holders  [2]duty.Holder
	key      modelKey
	backup   modelKey
	epoch    int64
	revision int64
	backupAt int64
	delayed  []pending
	calls    []call
	trace    []string
}

func (w *world) clone() *world {
	c := *w
	c.delayed, c.calls, c.trace = slices.Clone(w.delayed), slices.Clone(w.calls), slices.Clone(w.trace)
	return &c
}

func (w *world) expire() {
	if w.key.owner != 0 && !w.now.Before(w.key.expiresAt) {
		w.key = modelKey{}
	}
}

// write takes effect as a compare-and-swap on absence under a lease granted at a time.
func (w *world) write(owner int, granted time.Time) (lacewingramp.Position, bool) {
	w.expire()
	if w.key.owner != 0 || !w.now.Before(granted.Add(lease)) {
		return lacewingramp.Position{}, false
	}
	w.revision++
	w.key = modelKey{owner: owner, revision: w.revision, expiresAt: granted.Add(lease)}
	return lacewingramp.Position{Epoch: w.epoch, Revision: w.revision}, true
}

func (w *world) readBack(n int) {
	w.expire()
	w.holders[n].ReadBack(w.now, lacewingramp.KeyValue{Revision: w.key.revision, Epoch: w.epoch}, w.key.owner == n+1)
}

// steps are what can happen next. Each returns false if it changes nothing.
var steps = []struct {
	name string
	run  func(w *world) bool
}{
	{"time", func(w *world) bool { w.now = w.now.Add(modelStep); return true }},
	{"A acquires", func(w *world) bool { return w.acquire(0, false) }},
	{"B acquires", func(w *world) bool { return w.acquire(1, false) }},
	{"A acquires, response lost", func(w *world) bool { return w.acquire(0, true) }},
	{"A writes later", func(w *world) bool { return w.delay(0) }},
	{"the write takes effect", func(w *world) bool { return w.deliver() }},
	{"A renews", func(w *world) bool { return w.renewOne(0) }},
	{"B renews", func(w *world) bool { return w.renewOne(1) }},
	{"leases dropped", func(w *world) bool { k := w.key; w.key = modelKey{}; return k.owner != 0 }},
	{"restored", func(w *world) bool { return w.restore() }},
}

func (w *world) acquire(n int, lost bool) bool {
	h := &w.holders[n]
	if h.State(w.now) != duty.StateIdle {
		return false
	}
	h.Granted(w.now, w.now, 1, w.epoch)
	p, ok := w.write(n+1, w.now)
	if !ok {
		h.Lost(w.now)
		return false
	}
	if !lost {
		h.Written(w.now, p)
	}
	w.readBack(n)
	return true
}

// delay sends a write that takes effect later, and reads the key back before that.
func (w *world) delay(n int) bool {
	h := &w.holders[n]
	if h.State(w.now) != duty.StateIdle || len(w.delayed) > 0 {
		return false
	}
	h.Granted(w.now, w.now, 1, w.epoch)
	w.delayed = append(w.delayed, pending{owner: n + 1, granted: w.now})
	w.readBack(n)
	return true
}

func (w *world) deliver() bool {
	if len(w.delayed) == 0 {
		return false
	}
	p := w.delayed[0]
	w.delayed = w.delayed[1:]
	_, ok := w.write(p.owner, p.granted)
	return ok
}

// renewOne renews the lease of a holder that has one. The other is as if it were paused.
func (w *world) renewOne(n int) bool {
	h := &w.holders[n]
	if _, ok := h.LeaseID(w.now); !ok {
		return false
	}
	w.expire()
	if w.key.owner != n+1 {
		h.ObserveEpoch(w.now, w.epoch)
		h.Lost(w.now)
		return true
	}
	w.key.expiresAt = w.now.Add(lease)
	if h.Renewed(w.now, w.now, w.epoch) {
		w.readBack(n)
	}
	return true
}

func (w *world) renew() {
	w.renewOne(0)
	w.renewOne(1)
}

// restore returns the store to the state before its last restoration or its start, with the leases
// of that state renewed.
func (w *world) restore() bool {
	if w.epoch >= 3 {
		return false
	}
	w.epoch++
	w.key, w.revision = w.backup, w.backupAt
	w.key.expiresAt = w.now.Add(lease)
	return true
}

// send lets all holders send that may, which they could do at any time, and returns a violation
// of the rules of the platform.
func (w *world) send() string {
	for n := range w.holders {
		token, ok := w.holders[n].MayAct(w.now)
		if !ok {
			continue
		}
		for _, c := range w.calls {
			switch {
			case c.token > token:
				return fmt.Sprintf("%d sends token %x after %x", n, token, c.token)
			case c.token == token && c.sender != n:
				return fmt.Sprintf("both send token %x", token)
			}
		}
		if aba := w.returned(n); aba {
			return fmt.Sprintf("%d, the other, %d within a lease", n, n)
		}
		w.calls = append(w.calls, call{sender: n, token: token, at: w.now})
	}
	return ""
}

// returned reports whether a holder has sent before another one, less than a lease ago.
func (w *world) returned(n int) bool {
	other := false
	for _, c := range slices.Backward(w.calls) {
		other = other || c.sender != n
		if other && c.sender == n {
			return w.now.Sub(c.at) < lease
		}
	}
	return false
}

// explore tries all orders of steps, and returns the first that violates a rule.
func explore(w *world, left int, count *int) []string {
	*count++
	if v := w.send(); v != "" {
		return append(w.trace, v)
	}
	if left == 0 {
		return nil
	}
	for _, s := range steps {
		next := w.clone()
		if !s.run(next) {
			continue
		}
		next.trace = append(next.trace, s.name)
		if found := explore(next, left-1, count); found != nil {
			return found
		}
	}
	return nil
}

// newWorld returns a world. If held is set, A has acquired the duty and its quiet time is over,
// so that the orders that follow have a holder.
func newWorld(held bool) *world {
	w := &world{now: start, epoch: 1, revision: 5, backupAt: 5}
	for n := range w.holders {
		w.holders[n] = *newHolder()
	}
	if !held {
		return w
	}
	w.acquire(0, false)
	for range 4 {
		w.now = w.now.Add(modelStep)
		w.renew()
	}
	w.backup, w.backupAt = w.key, w.revision
	return w
}

var _ = ginkgo.Describe("two holders", func() {
	// Guards against every order of acquisition, renewal, expiry, pause, lost response, late
	// write and restoration in which the platform would get a lower token after a higher one, the
	// same token of both, or holders in the order A, B, A within a lease. Between two steps every
	// holder sends that may; a holder that is paused is one whose renewals are missing.
	ginkgo.DescribeTable("never send against the rules, in any order of steps", func(held bool, restoreTo string) {
		w := newWorld(held)
		if restoreTo == "empty" {
			w.backup, w.backupAt = modelKey{}, 5
		}
		count := 0
		gomega.Expect(explore(w, depth, &count)).To(gomega.BeNil())
		ginkgo.GinkgoWriter.Println(count, "states")
		gomega.Expect(count).To(gomega.BeNumerically(">", 1000))
	},
		ginkgo.Entry("from the start", false, ""),
		ginkgo.Entry("with a holder that a restored store still has", true, ""),
		ginkgo.Entry("with a holder that a restored store has lost", true, "empty"),
	)

	// Guards against a model in which nobody ever sends.
	ginkgo.It("do send in turn in the model", func() {
		w := newWorld(true)
		gomega.Expect(w.send()).To(gomega.BeEmpty())
		w.key = modelKey{}
		gomega.Expect(w.acquire(1, false)).To(gomega.BeTrue())
		for range 5 {
			w.now = w.now.Add(modelStep)
			w.renew()
			gomega.Expect(w.send()).To(gomega.BeEmpty())
		}
		gomega.Expect(w.calls[len(w.calls)-1].sender).To(gomega.Equal(1))
	})
})
