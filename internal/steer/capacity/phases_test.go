package capacity_test

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/steer/capacity"
)

// phasedTarget is a target with three slots whose machine is slow in phases that do not depend on
// its load.
type phasedTarget struct {
	random  *rand.Rand
	rate    float64
	running []float64
	waiting []float64
	slow    bool
}

const (
	phaseStep   = 5 * time.Millisecond
	slowPhase   = 600 * time.Millisecond
	slowPart    = 0.15
	phasePeriod = time.Duration(float64(slowPhase) / slowPart)
	slowWork    = 2.5
	meanWork    = 0.41
)

func (p *phasedTarget) happens(mean time.Duration) bool {
	return p.random.Float64() < float64(phaseStep)/float64(mean)
}

// step advances by phaseStep and returns the number of requests that have ended.
func (p *phasedTarget) step() (ended int) {
	if p.slow {
		p.slow = !p.happens(slowPhase)
	} else {
		p.slow = p.happens(phasePeriod - slowPhase)
	}
	if p.random.Float64() < p.rate*phaseStep.Seconds() && len(p.waiting) < queue {
		p.waiting = append(p.waiting, meanWork*(0.5+p.random.Float64()))
	}
	done := phaseStep.Seconds()
	if p.slow {
		done /= slowWork
	}
	var remaining []float64
	for _, left := range p.running {
		if left > done {
			remaining = append(remaining, left-done)
		} else {
			ended++
		}
	}
	p.running = remaining
	for len(p.running) < slots && len(p.waiting) > 0 {
		p.running, p.waiting = append(p.running, p.waiting[0]), p.waiting[1:]
	}
	return ended
}

func (p *phasedTarget) workPercent() int {
	if p.slow {
		return slowWork * 100
	}
	return 100
}

// Load: deployment L. Guards against taking slow phases for a target that slows down with
// its load: in a phase more requests run, as each takes longer.
var _ = ginkgo.It("the limit is not below the slots for phases that do not depend on load", func() {
	const duration, heard = 5 * time.Minute, 0.5
	for _, utilization := range []float64{0.4, 0.6, 0.75, 0.9} {
		low, count := 0, 0
		for seed := range int64(10) {
			p := phasedTarget{random: rand.New(rand.NewSource(seed)), rate: utilization * slots / meanWork / (1 + slowPart*(slowWork-1))}
			var t capacity.Target
			for now := start; now.Before(start.Add(duration)); now = now.Add(phaseStep) {
				for range p.step() {
					if p.random.Float64() < heard {
						t.Report(now, 0, load(len(p.running), len(p.waiting), p.workPercent()))
					}
				}
				count++
				if t.Limit(now, slots) < slots {
					low++
				}
			}
		}
		fraction := float64(low) / float64(count)
		ginkgo.GinkgoWriter.Printf("utilization %.2f: limit below the slots in %.3f of the time\n", utilization, fraction)
		gomega.Expect(fraction).To(gomega.BeNumerically("<", 0.05), fmt.Sprint(utilization))
	}
})
