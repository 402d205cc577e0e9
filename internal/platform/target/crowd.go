package target

import "sync"

// Crowd counts what runs on several targets together at one moment. Its zero
// value is ready and safe for use by many goroutines.
type Crowd struct {
	mu      sync.Mutex
	running int
	worst   int
}

// Mark begins the time of which Worst tells, with what runs now.
func (c *Crowd) Mark() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.worst = c.running
}

// Worst is the most that ran at a time since Mark.
func (c *Crowd) Worst() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.worst
}

func (c *Crowd) add(n int) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += n
	c.worst = max(c.worst, c.running)
}
