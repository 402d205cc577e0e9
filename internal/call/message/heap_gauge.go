package message

import (
	"runtime/metrics"
	"sync"
	"time"
)

// gaugeInterval is how long a reading of the heap holds.
const gaugeInterval = 2 * time.Millisecond

// heapGauge says whether the memory of the Go runtime, garbage included, is over a maximum. What
// requests have given back is garbage until the next collection ends, which takes long while other
// programs use the CPU.
type heapGauge struct {
	mu     sync.Mutex
	readAt time.Time
	full   bool
}

// over reports whether the runtime has more than maximum bytes, 0 for no maximum.
func (g *heapGauge) over(maximum int64) bool {
	if maximum == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := time.Now(); now.Sub(g.readAt) >= gaugeInterval {
		g.readAt, g.full = now, runtimeBytes() > uint64(maximum)
	}
	return g.full
}

// runtimeBytes returns the memory that the Go runtime holds.
func runtimeBytes() uint64 {
	s := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(s)
	return s[0].Value.Uint64() - s[1].Value.Uint64()
}
