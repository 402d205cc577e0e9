package carrier

import (
	"sync"
)

// Policy of retries.
const (
	// retryPart is the part of its requests that a customer's route may send
	// again.
	retryPart = 0.1
	// retryMost is how many retries may gather.
	retryMost = 10
)

// budget bounds the retries of one customer on one route.
type budget struct {
	mu    sync.Mutex
	level float64
}

type budgetKey struct {
	customer string
	route    string
}

// budget returns the retry budget that a request counts towards.
func (c *Carrier) budget(j *job) *budget {
	k := budgetKey{customer: j.Customer, route: j.route.Name}
	if b, ok := c.budgets.Load(k); ok {
		return b.(*budget)
	}
	b, _ := c.budgets.LoadOrStore(k, &budget{level: retryMost})
	return b.(*budget)
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(retryMost, b.level+retryPart)
}

func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
