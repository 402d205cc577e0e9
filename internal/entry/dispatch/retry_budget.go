package dispatch

import (
	"sync"
)

// Parameters of the retry budgets.
const (
	// retryRatio is the number of retries allowed per request, for each customer
	// and route.
	retryRatio = 0.1
	// maxRetryTokens is the maximum number of unused retries that accumulate.
	maxRetryTokens = 10
)

// retryBudget limits the retries of one customer on one route. Each call of runAttempts
// deposits retryRatio tokens, and each retry withdraws one.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

type retryBudgetKey struct {
	customer string
	route    string
}

// retryBudget returns the retry budget of a request's customer and route.
func (d *Dispatcher) retryBudget(req *request) *retryBudget {
	k := retryBudgetKey{customer: req.Customer, route: req.route.Name}
	if b, ok := d.retryBudgets.Load(k); ok {
		return b.(*retryBudget)
	}
	b, _ := d.retryBudgets.LoadOrStore(k, &retryBudget{tokens: maxRetryTokens})
	return b.(*retryBudget)
}

func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+retryRatio)
}

func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
