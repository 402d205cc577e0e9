package admission

const (
	// outcomeWeight is the weight of the latest wait in a customer's fraction of waits that
	// got room.
	outcomeWeight = 0.1
	// minSuccess is the fraction below which only one request of a customer waits at a time.
	minSuccess = 0.5
	// maxCustomers is how many customers' outcomes are remembered before all are forgotten.
	maxCustomers = 1024
)

// outcomes holds, for each customer, how often its requests have got room after a wait. The
// expected wait is that of the whole service: a customer that is bound to a full region waits in
// vain while others get room.
type outcomes struct {
	customers map[string]*outcome
}

// outcome is what is known of one customer. failed is the fraction of its waits without room, and
// waiting the number of its requests that wait.
type outcome struct {
	failed  float64
	waiting int
}

// inVain reports whether another request of a customer would probably wait in vain. One may always
// wait, to find out when there is room again.
func (o *outcomes) inVain(customer string) bool {
	c, ok := o.customers[customer]
	return ok && c.waiting > 0 && 1-c.failed < minSuccess
}

func (o *outcomes) begin(customer string) {
	o.of(customer).waiting++
}

func (o *outcomes) end(customer string, gotRoom bool) {
	c := o.of(customer)
	c.waiting = max(0, c.waiting-1)
	failed := 1.0
	if gotRoom {
		failed = 0
	}
	c.failed += outcomeWeight * (failed - c.failed)
}

// displaced ends the wait of a request that lost its place, which does not show whether it would
// have got room.
func (o *outcomes) displaced(customer string) {
	c := o.of(customer)
	c.waiting = max(0, c.waiting-1)
}

func (o *outcomes) of(customer string) *outcome {
	c, ok := o.customers[customer]
	if ok {
		return c
	}
	if o.customers == nil || len(o.customers) >= maxCustomers {
		o.customers = make(map[string]*outcome)
	}
	c = &outcome{}
	o.customers[customer] = c
	return c
}
