package placement

//go:generate stringer -type=Reason -linecomment

// Reason says why a target was chosen, and with it the region in which a request runs.
type Reason int

const (
	// Preferred targets rank first for the request's object.
	Preferred Reason = iota // preferred
	// Later targets rank behind others, which are full, slow, failing, paused or without a token.
	Later // later
	// Moved targets are those that the request's object was moved to under load.
	Moved // moved
	// Held targets are in the region that the bound on movement between regions gives the request.
	Held // held
	// Bound targets are in the only regions that the request's route and customer allow.
	Bound // bound
	// Repeated targets are asked after another one has refused or failed the request.
	Repeated // repeated
)

// reasonOf returns why the target at a position of the ranking was chosen.
func (q *Query) reasonOf(position int) Reason {
	switch {
	case len(q.Tried) > 0:
		return Repeated
	case q.bound():
		return Bound
	case position > 0:
		return Later
	}
	return Preferred
}

// bound reports whether only some regions may serve the request.
func (q *Query) bound() bool {
	return len(q.RouteRegions)+len(q.CustomerRegions) > 0
}
