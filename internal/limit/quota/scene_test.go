package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Times of a scene. They are those of internal/entry, where the same Books
// run on real connections.
const (
	sceneStep    = 5 * time.Millisecond
	sceneTick    = 100 * time.Millisecond
	sceneBeat    = 500 * time.Millisecond
	sceneWait    = time.Second
	sceneWaiters = 64
	near         = time.Millisecond
	far          = 35 * time.Millisecond
)

// stream is the demand of one customer at one domain in requests a second.
type stream struct {
	customer int
	domain   int
	rate     float64
}

// request is one that waits for quota.
type request struct {
	since time.Time
}

// seat is one instance of a scene with the requests that wait at it.
type seat struct {
	*node

	waiting [][]request
	busy    []time.Time
	spares  map[string][]lacewingramp.Spare
}

// scene runs a fleet of Books under demand, with messages that take their
// time, and counts what was refused although the whole limit had room.
type scene struct {
	now       time.Time
	random    *rand.Rand
	limits    []lacewingramp.Limit
	subjects  []lacewingramp.Subject
	seats     []*seat
	parts     []Part
	cut       map[int]bool
	messages  []message
	truth     []reference
	ideal     []reference
	offered   int
	inside    int
	admitted  int
	excess    float64
	waits     []time.Duration
	served    []int
	insides   []int
	baseline  string
	baseLevel [][]reference
}

func newScene(seed uint64, perDomain []int, limits []lacewingramp.Limit) *scene {
	s := &scene{
		now: epoch, random: rand.New(rand.NewPCG(seed, seed)), limits: limits, cut: make(map[int]bool),
		served: make([]int, len(limits)), insides: make([]int, len(limits)),
	}
	all := make(map[lacewingramp.Subject]lacewingramp.Limit)
	for i, l := range limits {
		u := lacewingramp.Subject{Kind: lacewingramp.SubjectCustomer, Name: fmt.Sprintf("c%d", i)}
		s.subjects = append(s.subjects, u)
		all[u] = l
		s.truth = append(s.truth, reference{limit: l, level: l.Burst, at: epoch})
		s.ideal = append(s.ideal, reference{limit: l, level: l.Burst, at: epoch})
	}
	for d, count := range perDomain {
		part := Part{Customers: lacewingramp.WholeLimit / lacewingramp.LimitFraction(len(perDomain))}
		s.parts = append(s.parts, part)
		for i := range count {
			name := fmt.Sprintf("d%d-%d", d, i)
			n := &node{name: name, domain: d, book: NewBook(name)}
			n.book.Configure(epoch, Config{Limits: all, Part: part})
			for sh := i; sh < Shards; sh += count {
				n.book.Hold(epoch, sh, Load{})
			}
			s.seats = append(s.seats, &seat{node: n, waiting: make([][]request, len(limits)), busy: make([]time.Time, len(limits))})
		}
	}
	s.meet()
	// Let every bucket fill.
	for range 300 {
		s.now = s.now.Add(sceneTick)
		for _, t := range s.seats {
			t.book.Tick(s.now)
		}
	}
	for i := range s.truth {
		s.truth[i].at, s.ideal[i].at = s.now, s.now
	}
	return s
}

// meet tells every instance which others it can reach.
func (s *scene) meet() {
	for _, t := range s.seats {
		var siblings, others []string
		for _, o := range s.seats {
			switch {
			case o == t || o.dead || s.cut[o.domain] != s.cut[t.domain]:
			case o.domain == t.domain:
				siblings = append(siblings, o.name)
			default:
				others = append(others, o.name)
			}
		}
		t.book.Peers(siblings, others)
	}
}

// run drives the streams for a while.
func (s *scene) run(length time.Duration, streams []stream) {
	steps := int(length / sceneStep)
	for i := range steps {
		s.now = s.now.Add(sceneStep)
		s.deliver()
		s.retry()
		for _, d := range streams {
			for range s.poisson(d.rate * sceneStep.Seconds()) {
				s.arrive(d)
			}
		}
		if i%int(sceneTick/sceneStep) == 0 {
			s.tick()
		}
		if i%int(sceneBeat/sceneStep) == 0 {
			s.beat()
		}
	}
}

func (s *scene) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for u := s.random.Float64(); u > p; n++ {
		u *= s.random.Float64()
	}
	return n
}

func (s *scene) deliver() {
	due := s.messages
	s.messages = nil
	for _, m := range due {
		if m.due.After(s.now) {
			s.messages = append(s.messages, m)
			continue
		}
		m.deliver(s.now)
	}
}

// post sends a message, which is lost between a domain that is cut off and
// the others.
func (s *scene) post(from, to *seat, deliver func(now time.Time)) {
	if from.dead || to.dead || (from.domain != to.domain && (s.cut[from.domain] || s.cut[to.domain])) {
		return
	}
	d := near
	if from.domain/2 != to.domain/2 {
		d = far
	}
	s.messages = append(s.messages, message{due: s.now.Add(d), deliver: deliver})
}

// seatOf is where a look-up sends a customer's callers in a domain.
func (s *scene) seatOf(domain, customer int) *seat {
	var all []*seat
	for _, t := range s.seats {
		if t.domain == domain && !t.dead {
			all = append(all, t)
		}
	}
	if len(all) == 0 {
		return s.seatOf((domain+1)%len(s.parts), customer)
	}
	// Look-ups name one instance first for all callers of a customer; some
	// callers use another.
	if s.random.IntN(4) > 0 {
		u := s.subjects[customer]
		return s.named(homeOf(u, all[0].name, all[len(all)-1].name))
	}
	return all[s.random.IntN(len(all))]
}

func homeOf(u lacewingramp.Subject, a, b string) string {
	if Rank(a, u) >= Rank(b, u) {
		return a
	}
	return b
}

func (s *scene) arrive(d stream) {
	s.offered++
	inside := s.ideal[d.customer].peek(s.now)
	if inside {
		s.ideal[d.customer].admit(s.now, 1)
		s.inside++
		s.insides[d.customer]++
	}
	t := s.seatOf(d.domain, d.customer)
	if s.baseline != "" {
		s.settleBase(t, d)
		return
	}
	if t.book.Take(s.now, s.subjects[d.customer]) == nil {
		s.admit(d.customer, 0)
		return
	}
	if len(t.waiting[d.customer]) >= max(sceneWaiters, int(s.limits[d.customer].Rate)) {
		return
	}
	t.waiting[d.customer] = append(t.waiting[d.customer], request{since: s.now})
	t.book.Wait(s.subjects[d.customer], 1)
	s.borrow(t, d.customer)
}

func (r *reference) peek(now time.Time) bool {
	return math.Min(r.limit.Burst, r.level+now.Sub(r.at).Seconds()*r.limit.Rate) >= 1
}

func (s *scene) admit(customer int, waited time.Duration) {
	s.admitted++
	s.served[customer]++
	s.excess = math.Max(s.excess, -s.truth[customer].admit(s.now, 1))
	s.waits = append(s.waits, waited)
}

// retry gives waiting requests their tokens, first come first.
func (s *scene) retry() {
	for _, t := range s.seats {
		for c := range t.waiting {
			for len(t.waiting[c]) > 0 {
				q := t.waiting[c][0]
				if t.dead || t.book.Retry(s.now, s.subjects[c]) != nil {
					if s.now.Sub(q.since) < sceneWait {
						break
					}
				} else {
					s.admit(c, s.now.Sub(q.since))
				}
				t.waiting[c] = t.waiting[c][1:]
				t.book.Wait(s.subjects[c], -1)
			}
		}
	}
}

func (s *scene) tick() {
	s.meet()
	for _, t := range s.seats {
		if t.dead {
			continue
		}
		t.book.Tick(s.now)
		needs := t.book.Needs(s.now)
		sort.Slice(needs, func(i, j int) bool { return needs[i].Subject.Name < needs[j].Subject.Name })
		for _, n := range needs {
			s.borrow(t, s.index(n.Subject))
		}
		s.extend(t)
		s.giveBack(t)
	}
}

func (s *scene) index(u lacewingramp.Subject) int {
	for i := range s.subjects {
		if s.subjects[i] == u {
			return i
		}
	}
	return 0
}

func (s *scene) beat() {
	for _, t := range s.seats {
		spares := t.book.Spares(s.now, func(lacewingramp.Subject) bool { return true })
		for _, o := range s.seats {
			if o == t {
				continue
			}
			s.post(t, o, func(time.Time) {
				if o.spares == nil {
					o.spares = make(map[string][]lacewingramp.Spare)
				}
				o.spares[t.name] = spares
				o.book.Record(t.name, spares)
			})
		}
	}
}

// borrow does what the entry instance does for a subject whose requests wait.
func (s *scene) borrow(t *seat, customer int) {
	u := s.subjects[customer]
	if s.now.Before(t.busy[customer]) {
		return
	}
	n, ok := t.book.NeedOf(s.now, u)
	if !ok {
		return
	}
	var offers []Offer
	for _, o := range s.seats {
		if o == t || o.dead || (s.cut[t.domain] != s.cut[o.domain]) {
			continue
		}
		f := Offer{Lender: o.name, Sibling: o.domain == t.domain}
		for _, p := range t.spares[o.name] {
			if p.Subject == u {
				f.Spare = p
			}
		}
		offers = append(offers, f)
	}
	portions := t.book.Choose(n, offers)
	open := len(portions)
	t.busy[customer] = s.now.Add(500 * time.Millisecond)
	for _, p := range portions {
		lender := s.named(p.Lender)
		ask := t.book.Ask(s.now, p.Need)
		s.post(t, lender, func(now time.Time) {
			loan := lender.book.Lend(now, ask)
			s.post(lender, t, func(now time.Time) {
				t.book.Borrow(now, lender.name, loan)
				if open--; open == 0 {
					t.busy[customer] = now
				}
			})
		})
	}
}

func (s *scene) named(name string) *seat {
	for _, t := range s.seats {
		if t.name == name {
			return t
		}
	}
	return nil
}

func (s *scene) extend(t *seat) {
	for _, r := range t.book.Renewals(s.now) {
		sent, lender := s.now, s.named(r.Lender)
		s.post(t, lender, func(now time.Time) {
			x := lender.book.Extend(now, r.Extend)
			s.post(lender, t, func(now time.Time) { t.book.Extended(now, sent, r.Extend, x) })
		})
	}
}

func (s *scene) giveBack(t *seat) {
	for _, g := range t.book.Returns(s.now) {
		lender := s.named(g.Lender)
		s.post(t, lender, func(now time.Time) { lender.book.TakeBack(now, g.Return) })
	}
}

// settleBase answers as the simpler ways would: an equal split over all
// instances, or one home instance for each customer.
func (s *scene) settleBase(t *seat, d stream) {
	if s.baseLevel == nil {
		s.baseLevel = make([][]reference, len(s.seats))
		for i := range s.seats {
			for _, l := range s.limits {
				n := float64(len(s.seats))
				part := lacewingramp.Limit{Rate: l.Rate / n, Burst: l.Burst / n}
				if s.baseline == "home" {
					part = l
				}
				s.baseLevel[i] = append(s.baseLevel[i], reference{limit: part, level: part.Burst, at: s.now})
			}
		}
	}
	at := t
	if s.baseline == "home" {
		at = s.seats[d.customer%len(s.seats)]
		if at.dead || (at.domain != t.domain && (s.cut[at.domain] || s.cut[t.domain])) {
			return
		}
	}
	for i, o := range s.seats {
		if o == at && s.baseLevel[i][d.customer].peek(s.now) {
			s.baseLevel[i][d.customer].admit(s.now, 1)
			s.admit(d.customer, 0)
			return
		}
	}
}

// forget leaves out what has been counted so far.
func (s *scene) forget() {
	s.offered, s.inside, s.admitted, s.waits = 0, 0, 0, nil
	clear(s.served)
	clear(s.insides)
}

// ppm is the wrongful refusals in a million requests inside their rate: for
// each customer, how many fewer were admitted than one bucket of the whole
// limit would have.
func (s *scene) ppm() float64 {
	wrongful := 0
	for c := range s.insides {
		wrongful += max(0, s.insides[c]-s.served[c])
	}
	return float64(wrongful) / math.Max(1, float64(s.inside)) * 1e6
}

func (s *scene) wait(q float64) time.Duration {
	if len(s.waits) == 0 {
		return 0
	}
	sort.Slice(s.waits, func(i, j int) bool { return s.waits[i] < s.waits[j] })
	return s.waits[int(q*float64(len(s.waits)-1))]
}

// fairness is the success of the worst-served customer against the median.
func (s *scene) fairness() float64 {
	var all []float64
	for i := range s.served {
		if s.insides[i] > 0 {
			all = append(all, math.Min(1, float64(s.served[i])/float64(s.insides[i])))
		}
	}
	sort.Float64s(all)
	return all[0] / all[len(all)/2]
}
