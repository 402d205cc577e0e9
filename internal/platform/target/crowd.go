package target

import "sync"

// Crowd counts the requests that run at the same time on a group of targets. The
// zero value is ready to use. It is safe for concurrent use.
type Crowd struct {
	mu         sync.Mutex
	running    int
	maxRunning int
}

// Mark resets the maximum to the number of requests that run now.
func (c *Crowd) Mark() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxRunning = c.running
}

// Worst returns the maximum number of concurrent requests since Mark.
func (c *Crowd) Worst() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxRunning
}

func (c *Crowd) add(n int) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += n
	c.maxRunning = max(c.maxRunning, c.running)
}
