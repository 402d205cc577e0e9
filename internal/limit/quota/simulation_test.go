package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Parameters of a simulation. The durations are those of internal/entry, which runs the same
// Ledgers over real connections.
const (
	simStep          = 5 * time.Millisecond
	simTick          = 100 * time.Millisecond
	simHeartbeat     = 500 * time.Millisecond
	maxWait          = time.Second
	baseQueueSize    = 64
	sameRegionDelay  = time.Millisecond
	otherRegionDelay = 35 * time.Millisecond
)

// stream is the demand of one customer at one domain, in requests per second.
type stream struct {
	customer int
	domain   int
	rate     float64
}

// request is a request that is queued for quota.
type request struct {
	queuedAt time.Time
}

// simInstance is an instance of a simulation. waiting has its queued requests and
// borrowingUntil the time before which it does not borrow again, both by customer. spares
// has the last reports of the other instances.
type simInstance struct {
	*instance

	waiting        [][]request
	borrowingUntil []time.Time
	spares         map[string][]lacewingramp.SpareQuota
}

// simulation runs a fleet of Ledgers under load, with delayed messages, and counts the requests
// that were refused although they were within the customer's limit.
//
// isolated has the domains that cannot reach the others. For each customer, actual is a bucket
// of the whole limit from which every admitted request takes a token, and ideal one from which
// every offered request takes a token if there is one. excess is the largest deficit of an
// actual bucket. baseline selects a simpler strategy to compare with, see admitBaseline.
type simulation struct {
	now                   time.Time
	random                *rand.Rand
	limits                []lacewingramp.Limit
	subjects              []lacewingramp.Subject
	instances             []*simInstance
	domainShares          []DomainShares
	isolated              map[int]bool
	messages              []message
	actual                []reference
	ideal                 []reference
	offered               int
	withinLimit           int
	admitted              int
	excess                float64
	waitTimes             []time.Duration
	servedByCustomer      []int
	withinLimitByCustomer []int
	baseline              string
	baselineBuckets       [][]reference
}

func newSimulation(seed uint64, instancesPerDomain []int, limits []lacewingramp.Limit) *simulation {
	s := &simulation{
		now: startTime, random: rand.New(rand.NewPCG(seed, seed)), limits: limits, isolated: make(map[int]bool),
		servedByCustomer: make([]int, len(limits)), withinLimitByCustomer: make([]int, len(limits)),
	}
	all := make(map[lacewingramp.Subject]lacewingramp.Limit)
	for i, l := range limits {
		u := lacewingramp.Subject{Kind: lacewingramp.SubjectCustomer, Name: fmt.Sprintf("c%d", i)}
		s.subjects = append(s.subjects, u)
		all[u] = l
		s.actual = append(s.actual, reference{limit: l, level: l.Burst, at: startTime})
		s.ideal = append(s.ideal, reference{limit: l, level: l.Burst, at: startTime})
	}
	for d, count := range instancesPerDomain {
		shares := DomainShares{Customers: lacewingramp.WholeLimit / lacewingramp.LimitFraction(len(instancesPerDomain))}
		s.domainShares = append(s.domainShares, shares)
		for i := range count {
			name := fmt.Sprintf("d%d-%d", d, i)
			n := &instance{name: name, domain: d, ledger: NewLedger(name)}
			n.ledger.Configure(startTime, Config{Limits: all, DomainShares: shares})
			for sh := i; sh < Shards; sh += count {
				n.ledger.Hold(startTime, sh, ShardState{})
			}
			s.instances = append(s.instances, &simInstance{instance: n, waiting: make([][]request, len(limits)), borrowingUntil: make([]time.Time, len(limits))})
		}
	}
	s.updatePeers()
	// Wait until every bucket is full.
	for range 300 {
		s.now = s.now.Add(simTick)
		for _, t := range s.instances {
			t.ledger.Tick(s.now)
		}
	}
	for i := range s.actual {
		s.actual[i].at, s.ideal[i].at = s.now, s.now
	}
	return s
}

// updatePeers sets the peers of every instance to the others that it can reach.
func (s *simulation) updatePeers() {
	for _, t := range s.instances {
		var siblings, remotes []string
		for _, o := range s.instances {
			switch {
			case o == t || o.crashed || s.isolated[o.domain] != s.isolated[t.domain]:
			case o.domain == t.domain:
				siblings = append(siblings, o.name)
			default:
				remotes = append(remotes, o.name)
			}
		}
		t.ledger.SetPeers(siblings, remotes)
	}
}

// run simulates the streams for the given time.
func (s *simulation) run(length time.Duration, streams []stream) {
	steps := int(length / simStep)
	for i := range steps {
		s.now = s.now.Add(simStep)
		s.deliver()
		s.retryWaiting()
		for _, d := range streams {
			for range s.poisson(d.rate * simStep.Seconds()) {
				s.arrive(d)
			}
		}
		if i%int(simTick/simStep) == 0 {
			s.tick()
		}
		if i%int(simHeartbeat/simStep) == 0 {
			s.sendHeartbeats()
		}
	}
}

func (s *simulation) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for u := s.random.Float64(); u > p; n++ {
		u *= s.random.Float64()
	}
	return n
}

func (s *simulation) deliver() {
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

// send sends a message. Messages between an isolated domain and the others are lost.
func (s *simulation) send(from, to *simInstance, deliver func(now time.Time)) {
	if from.crashed || to.crashed || (from.domain != to.domain && (s.isolated[from.domain] || s.isolated[to.domain])) {
		return
	}
	d := sameRegionDelay
	if from.domain/2 != to.domain/2 {
		d = otherRegionDelay
	}
	s.messages = append(s.messages, message{due: s.now.Add(d), deliver: deliver})
}

// routeTo returns the instance to which a customer's caller in a domain sends its request.
func (s *simulation) routeTo(domain, customer int) *simInstance {
	var all []*simInstance
	for _, t := range s.instances {
		if t.domain == domain && !t.crashed {
			all = append(all, t)
		}
	}
	if len(all) == 0 {
		return s.routeTo((domain+1)%len(s.domainShares), customer)
	}
	// Lookups return the same instance first to all callers of a customer, but some
	// callers use another one.
	if s.random.IntN(4) > 0 {
		u := s.subjects[customer]
		return s.byName(higherRanked(u, all[0].name, all[len(all)-1].name))
	}
	return all[s.random.IntN(len(all))]
}

func higherRanked(u lacewingramp.Subject, a, b string) string {
	if Rank(a, u) >= Rank(b, u) {
		return a
	}
	return b
}

func (s *simulation) arrive(d stream) {
	s.offered++
	withinLimit := s.ideal[d.customer].hasToken(s.now)
	if withinLimit {
		s.ideal[d.customer].admit(s.now, 1)
		s.withinLimit++
		s.withinLimitByCustomer[d.customer]++
	}
	t := s.routeTo(d.domain, d.customer)
	if s.baseline != "" {
		s.admitBaseline(t, d)
		return
	}
	if t.ledger.Take(s.now, s.subjects[d.customer]) == nil {
		s.admit(d.customer, 0)
		return
	}
	if len(t.waiting[d.customer]) >= max(baseQueueSize, int(s.limits[d.customer].Rate)) {
		return
	}
	t.waiting[d.customer] = append(t.waiting[d.customer], request{queuedAt: s.now})
	t.ledger.AddWaiting(s.subjects[d.customer], 1)
	s.borrow(t, d.customer)
}

func (r *reference) hasToken(now time.Time) bool {
	return math.Min(r.limit.Burst, r.level+now.Sub(r.at).Seconds()*r.limit.Rate) >= 1
}

func (s *simulation) admit(customer int, waited time.Duration) {
	s.admitted++
	s.servedByCustomer[customer]++
	s.excess = math.Max(s.excess, -s.actual[customer].admit(s.now, 1))
	s.waitTimes = append(s.waitTimes, waited)
}

// retryWaiting retries the queued requests in the order of arrival.
func (s *simulation) retryWaiting() {
	for _, t := range s.instances {
		for c := range t.waiting {
			for len(t.waiting[c]) > 0 {
				q := t.waiting[c][0]
				if t.crashed || t.ledger.TakeAgain(s.now, s.subjects[c]) != nil {
					if s.now.Sub(q.queuedAt) < maxWait {
						break
					}
				} else {
					s.admit(c, s.now.Sub(q.queuedAt))
				}
				t.waiting[c] = t.waiting[c][1:]
				t.ledger.AddWaiting(s.subjects[c], -1)
			}
		}
	}
}

func (s *simulation) tick() {
	s.updatePeers()
	for _, t := range s.instances {
		if t.crashed {
			continue
		}
		t.ledger.Tick(s.now)
		needs := t.ledger.Needs(s.now)
		sort.Slice(needs, func(i, j int) bool { return needs[i].Subject.Name < needs[j].Subject.Name })
		for _, n := range needs {
			s.borrow(t, s.customerIndex(n.Subject))
		}
		s.extend(t)
		s.returnLoans(t)
	}
}

func (s *simulation) customerIndex(u lacewingramp.Subject) int {
	for i := range s.subjects {
		if s.subjects[i] == u {
			return i
		}
	}
	return 0
}

func (s *simulation) sendHeartbeats() {
	for _, t := range s.instances {
		spares := t.ledger.Spares(s.now, func(lacewingramp.Subject) bool { return true })
		for _, o := range s.instances {
			if o == t {
				continue
			}
			s.send(t, o, func(time.Time) {
				if o.spares == nil {
					o.spares = make(map[string][]lacewingramp.SpareQuota)
				}
				o.spares[t.name] = spares
				o.ledger.Record(t.name, spares)
			})
		}
	}
}

// borrow borrows quota in the same way as an entry instance does for a subject with queued
// requests.
func (s *simulation) borrow(t *simInstance, customer int) {
	u := s.subjects[customer]
	if s.now.Before(t.borrowingUntil[customer]) {
		return
	}
	n, ok := t.ledger.NeedOf(s.now, u)
	if !ok {
		return
	}
	var reports []LenderReport
	for _, o := range s.instances {
		if o == t || o.crashed || (s.isolated[t.domain] != s.isolated[o.domain]) {
			continue
		}
		report := LenderReport{Lender: o.name, Sibling: o.domain == t.domain}
		for _, p := range t.spares[o.name] {
			if p.Subject == u {
				report.SpareQuota = p
			}
		}
		reports = append(reports, report)
	}
	lenderNeeds := t.ledger.ChooseLenders(n, reports)
	pending := len(lenderNeeds)
	t.borrowingUntil[customer] = s.now.Add(500 * time.Millisecond)
	for _, p := range lenderNeeds {
		lender := s.byName(p.Lender)
		loanRequest := t.ledger.LoanRequest(s.now, p.Need)
		s.send(t, lender, func(now time.Time) {
			loan := lender.ledger.Lend(now, loanRequest)
			s.send(lender, t, func(now time.Time) {
				t.ledger.Borrow(now, lender.name, loan)
				if pending--; pending == 0 {
					t.borrowingUntil[customer] = now
				}
			})
		})
	}
}

func (s *simulation) byName(name string) *simInstance {
	for _, t := range s.instances {
		if t.name == name {
			return t
		}
	}
	return nil
}

func (s *simulation) extend(t *simInstance) {
	for _, r := range t.ledger.ExtendRequests(s.now) {
		sent, lender := s.now, s.byName(r.Lender)
		s.send(t, lender, func(now time.Time) {
			x := lender.ledger.Extend(now, r.Extend)
			s.send(lender, t, func(now time.Time) { t.ledger.LoanExtension(now, sent, r.Extend, x) })
		})
	}
}

func (s *simulation) returnLoans(t *simInstance) {
	for _, r := range t.ledger.ReturnRequests(s.now) {
		lender := s.byName(r.Lender)
		s.send(t, lender, func(now time.Time) { lender.ledger.TakeBack(now, r.LoanReturn) })
	}
}

// admitBaseline admits or refuses a request by a simpler strategy: the limit is split equally
// among all instances, or each customer has one home instance with the whole limit.
func (s *simulation) admitBaseline(t *simInstance, d stream) {
	if s.baselineBuckets == nil {
		s.baselineBuckets = make([][]reference, len(s.instances))
		for i := range s.instances {
			for _, l := range s.limits {
				n := float64(len(s.instances))
				share := lacewingramp.Limit{Rate: l.Rate / n, Burst: l.Burst / n}
				if s.baseline == "home" {
					share = l
				}
				s.baselineBuckets[i] = append(s.baselineBuckets[i], reference{limit: share, level: share.Burst, at: s.now})
			}
		}
	}
	at := t
	if s.baseline == "home" {
		at = s.instances[d.customer%len(s.instances)]
		if at.crashed || (at.domain != t.domain && (s.isolated[at.domain] || s.isolated[t.domain])) {
			return
		}
	}
	for i, o := range s.instances {
		if o == at && s.baselineBuckets[i][d.customer].hasToken(s.now) {
			s.baselineBuckets[i][d.customer].admit(s.now, 1)
			s.admit(d.customer, 0)
			return
		}
	}
}

// resetCounts sets the counters to zero, so that earlier requests are not included.
func (s *simulation) resetCounts() {
	s.offered, s.withinLimit, s.admitted, s.waitTimes = 0, 0, 0, nil
	clear(s.servedByCustomer)
	clear(s.withinLimitByCustomer)
}

// wrongfulPPM returns the wrongful refusals per million requests within the limit. The
// wrongful refusals of a customer are the requests that one bucket of the whole limit would
// have admitted in addition.
func (s *simulation) wrongfulPPM() float64 {
	wrongful := 0
	for c := range s.withinLimitByCustomer {
		wrongful += max(0, s.withinLimitByCustomer[c]-s.servedByCustomer[c])
	}
	return float64(wrongful) / math.Max(1, float64(s.withinLimit)) * 1e6
}

func (s *simulation) waitQuantile(q float64) time.Duration {
	if len(s.waitTimes) == 0 {
		return 0
	}
	sort.Slice(s.waitTimes, func(i, j int) bool { return s.waitTimes[i] < s.waitTimes[j] })
	return s.waitTimes[int(q*float64(len(s.waitTimes)-1))]
}

// fairness returns the success rate of the worst-served customer divided by the median
// customer's.
func (s *simulation) fairness() float64 {
	var all []float64
	for i := range s.servedByCustomer {
		if s.withinLimitByCustomer[i] > 0 {
			all = append(all, math.Min(1, float64(s.servedByCustomer[i])/float64(s.withinLimitByCustomer[i])))
		}
	}
	sort.Float64s(all)
	return all[0] / all[len(all)/2]
}
