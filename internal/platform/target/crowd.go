package target

import "sync"

// Crowd counts the requests that run at the same time on a group of targets, to check
// a limit that applies to the group. The zero value is ready to use. It is safe for
// concurrent use.
type Crowd struct {
	mu          sync.Mutex
	running     int
	peakRunning int
}

// Mark restarts the measurement of PeakRunning with the number of requests that run
// now.
func (c *Crowd) Mark() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peakRunning = c.running
}

// PeakRunning returns the maximum number of requests that ran at the same time since the
// last call of Mark.
func (c *Crowd) PeakRunning() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peakRunning
}

func (c *Crowd) add(n int) {
	// A target without a Crowd has a nil one.
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += n
	c.peakRunning = max(c.peakRunning, c.running)
}
