package usage_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/duty"
	"lacewingramp.example/lacewingramp/internal/report/usage"
)

// This file plays holders against a model of the store and the platform in random orders. Each
// call to the store takes effect at one time and is answered at a later one, or is answered with
// an unknown outcome before or after it takes effect.

const (
	modelLease  = 3 * time.Second
	modelMargin = 500 * time.Millisecond
	modelNodes  = 3
)

// record is a stored report.
type record struct {
	tokenEpoch int64
	body       string
	revision   int64
}

// modelStore is the store's state, which is copied for backups.
type modelStore struct {
	revision  int64
	owner     string
	ownerRev  int64
	expiresAt time.Time
	reports   map[int64]record
	clear     epochNote
}

type epochNote struct {
	epoch int64
	from  time.Time
}

func (s *modelStore) clone() modelStore {
	c := *s
	c.reports = maps.Clone(s.reports)
	return c
}

// answer is the response to a call to the store.
type answer struct {
	position lacewingramp.Position
	ok       bool
	record   record
	owner    string
	unknown  bool
}

// pendingCall is a call of a node. It takes effect when run is called.
type pendingCall struct {
	run    func() answer
	then   func(answer)
	answer *answer
}

// node is one run of an instance.
type node struct {
	name    string
	holder  duty.Holder
	reports usage.Reports
	started time.Time
	// dutyCall and reportCall are the calls in progress.
	dutyCall   *pendingCall
	reportCall *pendingCall
	// mirror has the reports that the node has seen.
	mirror map[int64]record
	nonce  string
}

type model struct {
	random  *rand.Rand
	now     time.Time
	epoch   int64
	store   modelStore
	backups []modelStore
	nodes   [modelNodes]*node
	runs    int
	late    []*pendingCall
	sent    map[int64]string
	tokens  map[int64]string
	highest int64
	calls   int
	fault   string
}

func newModel(seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), now: start, epoch: 1, sent: make(map[int64]string), tokens: make(map[int64]string)}
	m.store.reports = make(map[int64]record)
	m.store.revision = 5
	m.backups = []modelStore{m.store.clone()}
	for n := range m.nodes {
		m.restart(n)
	}
	return m
}

func (m *model) restart(n int) {
	m.runs++
	m.nodes[n] = &node{
		name: fmt.Sprint("run-", m.runs), holder: duty.Holder{Lease: modelLease, Margin: modelMargin, StartedAt: m.now}, started: m.now,
		reports: usage.Reports{Window: window, Late: late}, mirror: make(map[int64]record),
	}
	m.sync(m.nodes[n])
}

func (m *model) expire() {
	if m.store.owner != "" && !m.now.Before(m.store.expiresAt) {
		m.store.owner = ""
	}
}

// sync brings the mirror of a node up to date.
func (m *model) sync(n *node) {
	n.holder.ObserveEpoch(m.now, m.epoch)
	for id, r := range m.store.reports {
		if known, ok := n.mirror[id]; ok && known == r {
			continue
		}
		n.mirror[id] = r
		if r.tokenEpoch == m.epoch {
			n.reports.Learn(id, []byte(r.body))
		}
	}
	n.holder.LearnEpochFrom(m.store.clear.epoch, m.store.clear.from)
}

// call starts a call of a node.
func call(run func() answer, then func(answer)) *pendingCall {
	return &pendingCall{run: run, then: then}
}

// progress moves a call on, and returns nil once it has ended.
func (m *model) progress(c *pendingCall) *pendingCall {
	switch {
	case c.answer == nil && m.random.IntN(8) == 0:
		// The call gets no answer, and may take effect later.
		m.late = append(m.late, c)
		c.then(answer{unknown: true})
		return nil
	case c.answer == nil:
		a := c.run()
		c.answer = &a
		return c
	case m.random.IntN(12) == 0:
		c.then(answer{unknown: true})
		return nil
	default:
		c.then(*c.answer)
		return nil
	}
}

func (m *model) swapDuty(nonce string, granted time.Time) answer {
	m.expire()
	a := answer{position: lacewingramp.Position{Epoch: m.epoch}}
	if m.store.owner != "" || !m.now.Before(granted.Add(modelLease)) {
		return a
	}
	m.store.revision++
	m.store.owner, m.store.ownerRev, m.store.expiresAt = nonce, m.store.revision, granted.Add(modelLease)
	a.ok, a.position.Revision = true, m.store.revision
	return a
}

func (m *model) getDuty() answer {
	m.expire()
	a := answer{ok: true, position: lacewingramp.Position{Epoch: m.epoch}}
	if m.store.owner != "" {
		a.owner, a.position.Revision = m.store.owner, m.store.ownerRev
	}
	return a
}

// stepDuty starts the next call of the duty of a node.
func (m *model) stepDuty(n *node) {
	if n.holder.State(m.now) == duty.StateIdle {
		m.acquire(n)
		return
	}
	if _, ok := n.holder.LeaseID(m.now); !ok {
		return
	}
	sentAt := m.now
	n.dutyCall = call(func() answer {
		m.expire()
		ok := m.store.owner == n.nonce
		if ok {
			m.store.expiresAt = m.now.Add(modelLease)
		}
		return answer{ok: ok, position: lacewingramp.Position{Epoch: m.epoch}}
	}, func(a answer) {
		switch {
		case a.unknown:
		case !a.ok:
			n.holder.ObserveEpoch(m.now, a.position.Epoch)
			n.holder.Lost(m.now)
		case n.holder.Renewed(sentAt, m.now, a.position.Epoch):
			n.dutyCall = call(m.getDuty, func(a answer) { m.readBack(n, a) })
		}
	})
}

func (m *model) readBack(n *node, a answer) {
	if a.unknown {
		n.holder.Lost(m.now)
		return
	}
	n.holder.ReadBack(m.now, lacewingramp.KeyValue{Revision: a.position.Revision, Epoch: a.position.Epoch}, a.owner == n.nonce)
}

func (m *model) acquire(n *node) {
	n.dutyCall = call(m.getDuty, func(a answer) {
		if a.unknown || a.owner != "" {
			return
		}
		sentAt := m.now
		n.holder.Granted(sentAt, m.now, 1, a.position.Epoch)
		n.nonce = fmt.Sprint(n.name, "-", m.random.Uint32())
		nonce := n.nonce
		n.dutyCall = call(func() answer { return m.swapDuty(nonce, sentAt) }, func(a answer) {
			switch {
			case a.unknown:
			case !a.ok:
				n.holder.Lost(m.now)
				return
			default:
				n.holder.Written(m.now, a.position)
			}
			n.dutyCall = call(m.getDuty, func(a answer) { m.readBack(n, a) })
		})
	})
}

// stepReport starts the next call for a report of a node, as the holder.
func (m *model) stepReport(n *node) {
	token, ok := n.holder.MayAct(m.now)
	if !ok {
		return
	}
	if note := (epochNote{n.holder.SeenEpoch(), n.holder.EpochFrom()}); m.store.clear.epoch < note.epoch && m.epoch == note.epoch {
		m.store.clear = note
	}
	epoch := duty.Epoch(token)
	id, ok := n.reports.Next(m.now, start)
	if !ok {
		return
	}
	body, stored, suspect := n.reports.Plan(id, epoch, n.holder.ClearFrom())
	if stored {
		m.send(n, id, token, string(body))
		return
	}
	if body == nil && !suspect {
		body = fmt.Appendf(nil, "%s counts %d", n.name, m.random.Uint32())
		n.reports.Fix(id, body)
	}
	text := string(body)
	if body == nil {
		n.reportCall = call(func() answer { return m.getReport(id) }, func(a answer) { m.found(n, id, token, a) })
		return
	}
	n.reportCall = call(func() answer {
		a := answer{position: lacewingramp.Position{Epoch: m.epoch}}
		if _, ok := m.store.reports[id]; ok {
			return a
		}
		m.store.revision++
		m.store.reports[id] = record{tokenEpoch: epoch, body: text, revision: m.store.revision}
		a.ok = true
		return a
	}, func(a answer) {
		if a.ok && !a.unknown {
			m.adopt(n, id, token, text, a.position.Epoch)
			return
		}
		n.reportCall = call(func() answer { return m.getReport(id) }, func(a answer) { m.found(n, id, token, a) })
	})
}

func (m *model) getReport(id int64) answer {
	r, ok := m.store.reports[id]
	return answer{ok: ok, record: r, position: lacewingramp.Position{Epoch: m.epoch}}
}

func (m *model) found(n *node, id, token int64, a answer) {
	if a.unknown || !a.ok {
		n.reports.Failed(m.now, id)
		return
	}
	n.holder.ObserveEpoch(m.now, a.position.Epoch)
	if !n.reports.Usable(id, duty.Epoch(token), n.holder.ClearFrom(), a.record.tokenEpoch, []byte(a.record.body)) {
		n.reports.Done(id)
		return
	}
	m.adopt(n, id, token, a.record.body, a.position.Epoch)
}

func (m *model) adopt(n *node, id, token int64, body string, epoch int64) {
	n.holder.ObserveEpoch(m.now, epoch)
	present, ok := n.holder.MayAct(m.now)
	if !ok || present != token || epoch != duty.Epoch(token) {
		return
	}
	n.reports.Stored(id, []byte(body), epoch)
	n.reports.Learn(id, []byte(body))
}

// send sends a report and checks the rules of the platform.
func (m *model) send(n *node, id, token int64, body string) {
	m.calls++
	if known, ok := m.sent[id]; ok && known != body {
		m.fault = fmt.Sprintf("window %d: %q after %q", id, body, known)
	}
	if known, ok := m.tokens[token]; ok && known != n.name {
		m.fault = fmt.Sprintf("token %x of %s and %s", token, known, n.name)
	}
	if token < m.highest {
		m.fault = fmt.Sprintf("token %x after %x", token, m.highest)
	}
	m.sent[id], m.tokens[token], m.highest = body, n.name, max(m.highest, token)
	if m.random.IntN(4) > 0 {
		n.reports.Done(id)
		return
	}
	n.reports.Failed(m.now, id)
}

// step does one thing at random.
func (m *model) step() {
	n := m.nodes[m.random.IntN(len(m.nodes))]
	switch m.random.IntN(40) {
	case 0:
		m.backups = append(m.backups, m.store.clone())
	case 1:
		if m.random.IntN(25) == 0 {
			m.restore()
		}
	case 2:
		if m.random.IntN(15) == 0 {
			m.store.owner = ""
		}
	case 3:
		if m.random.IntN(20) == 0 {
			m.restart(m.random.IntN(len(m.nodes)))
		}
	case 4, 5:
		m.sync(n)
	case 6:
		if len(m.late) > 0 {
			k := m.random.IntN(len(m.late))
			m.late[k].run()
			m.late = slices.Delete(m.late, k, k+1)
		}
	case 7:
		// A pause, of a node or of all.
		m.now = m.now.Add(time.Duration(m.random.Int64N(int64(time.Second))))
	case 8, 9, 10, 11, 12:
		m.now = m.now.Add(time.Duration(m.random.Int64N(int64(200 * time.Millisecond))))
	default:
		m.advance(n)
	}
}

// advance moves the calls of a node on, or starts one.
func (m *model) advance(n *node) {
	if m.random.IntN(2) == 0 {
		if c := n.dutyCall; c != nil {
			n.dutyCall = nil
			if next := m.progress(c); next != nil {
				n.dutyCall = next
			}
			return
		}
		m.stepDuty(n)
		return
	}
	if c := n.reportCall; c != nil {
		n.reportCall = nil
		if next := m.progress(c); next != nil {
			n.reportCall = next
		}
		return
	}
	m.stepReport(n)
}

// restore brings back one of the backups, with its leases renewed, in the next epoch.
func (m *model) restore() {
	b := m.backups[max(0, len(m.backups)-1-m.random.IntN(3))]
	m.store = b.clone()
	m.store.expiresAt = m.now.Add(modelLease)
	m.epoch++
	m.backups = []modelStore{m.store.clone()}
}

var _ = ginkgo.Describe("reports by several holders", func() {
	// Guards against two reports of one window, against tokens that fall and against a token of
	// two holders, while calls to the store are late or lost, leases are dropped, nodes pause and
	// restart, and the store is restored to older states again and again.
	ginkgo.It("are never in conflict", func() {
		calls, windows, epochs := 0, 0, int64(0)
		seeds := uint64(600)
		if text := os.Getenv("LACEWINGRAMP_USAGE_SEEDS"); text != "" {
			var err error
			seeds, err = strconv.ParseUint(text, 10, 64)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		for seed := range seeds {
			m := newModel(seed)
			for range 6000 {
				m.step()
				gomega.Expect(m.fault).To(gomega.BeEmpty(), "seed %d", seed)
			}
			calls, windows, epochs = calls+m.calls, windows+len(m.sent), epochs+m.epoch
		}
		ginkgo.GinkgoWriter.Println(calls, "calls,", windows, "windows,", epochs, "epochs")
		gomega.Expect(calls).To(gomega.BeNumerically(">", 1000))
	})
})
