package quota

import (
	"testing"
	"time"

	"lacewingramp.example/lacewingramp"
)

// deployments has the limits of the customers in the two current deployments.
var deployments = map[string][]lacewingramp.Limit{
	"bank": {
		{Rate: 600, Burst: 300}, {Rate: 400, Burst: 200}, {Rate: 200, Burst: 100}, {Rate: 60, Burst: 30},
		{Rate: 60, Burst: 30}, {Rate: 40, Burst: 20}, {Rate: 30, Burst: 15}, {Rate: 20, Burst: 10},
	},
	"kavach": {
		{Rate: 500, Burst: 250}, {Rate: 350, Burst: 175}, {Rate: 200, Burst: 100}, {Rate: 80, Burst: 40},
		{Rate: 80, Burst: 40}, {Rate: 40, Burst: 20}, {Rate: 30, Burst: 15}, {Rate: 20, Burst: 10},
	},
}

var instancesPerDomain = []int{2, 2, 2, 2, 1, 1}

// scenario is a sequence of events in a simulation.
type scenario struct {
	name string
	play func(s *simulation)
}

func evenLoad(s *simulation, utilization float64) []stream {
	var all []stream
	for c, l := range s.limits {
		for d := range s.domainShares {
			all = append(all, stream{customer: c, domain: d, rate: l.Rate * utilization / float64(len(s.domainShares))})
		}
	}
	return all
}

var scenarios = []scenario{
	{"steady", func(s *simulation) { s.run(30*time.Second, evenLoad(s, 0.6)) }},
	{"steady-warm", func(s *simulation) {
		s.run(5*time.Second, evenLoad(s, 0.6))
		s.resetCounts()
		s.run(30*time.Second, evenLoad(s, 0.6))
	}},
	{"one-at-5x", func(s *simulation) {
		all := evenLoad(s, 0.6)
		for d := range s.domainShares {
			all[d].rate = s.limits[0].Rate * 5 / float64(len(s.domainShares))
		}
		s.run(30*time.Second, all)
	}},
	{"one-domain", func(s *simulation) {
		var all []stream
		for c, l := range s.limits {
			all = append(all, stream{customer: c, domain: c % len(s.domainShares), rate: l.Rate * 0.8})
		}
		s.run(30*time.Second, all)
	}},
	{"moving", func(s *simulation) {
		for i := range 6 {
			var all []stream
			for c, l := range s.limits {
				all = append(all, stream{customer: c, domain: (c + i) % len(s.domainShares), rate: l.Rate * 0.7})
			}
			s.run(5*time.Second, all)
		}
	}},
	{"domain-lost", func(s *simulation) {
		s.run(5*time.Second, evenLoad(s, 0.6))
		for _, t := range s.instances {
			t.crashed = t.crashed || t.domain == 5
		}
		s.run(30*time.Second, evenLoad(s, 0.6))
	}},
	{"cut-off-3m", func(s *simulation) {
		s.run(5*time.Second, evenLoad(s, 0.6))
		s.isolated[4] = true
		s.run(3*time.Minute, evenLoad(s, 0.6))
		s.isolated[4] = false
		s.run(10*time.Second, evenLoad(s, 0.6))
	}},
}

// BenchmarkScenes reports the wrongful refusals, the excess, the fairness and the waiting time
// of each scenario, and those of the simpler strategies for comparison.
func BenchmarkScenes(b *testing.B) {
	for _, deployment := range []string{"bank", "kavach"} {
		for _, c := range scenarios {
			for _, strategy := range []string{"shards", "equal", "home"} {
				b.Run(deployment+"/"+c.name+"/"+strategy, func(b *testing.B) {
					for b.Loop() {
						s := newSimulation(1, instancesPerDomain, deployments[deployment])
						if strategy != "shards" {
							s.baseline = strategy
						}
						c.play(s)
						b.ReportMetric(s.wrongfulPPM(), "wrongful-ppm")
						b.ReportMetric(s.excess, "excess")
						b.ReportMetric(s.fairness(), "worst/median")
						b.ReportMetric(float64(s.waitQuantile(0.99).Microseconds())/1000, "p99-wait-ms")
					}
				})
			}
		}
	}
}
