package lacewingramp

import "context"

// Peer is how instances talk to each other. Every call is bounded by its
// context, and an address is an IP number with a port.
type Peer interface {
	// Beat exchanges digests.
	Beat(ctx context.Context, address string, d *Digest) (*Digest, error)
	// Table fetches the Table that the other instance has in force.
	Table(ctx context.Context, address string) (*Table, error)
	// Lend asks for a loan of quota.
	Lend(ctx context.Context, address string, a *Ask) (*Loan, error)
	// Extend asks for another term of a loan.
	Extend(ctx context.Context, address string, e *Extend) (*Extended, error)
	// Recall asks a borrower to end a loan at once. A Return without an id means
	// that it does not.
	Recall(ctx context.Context, address string, e *Extend) (*Return, error)
	// GiveBack ends a loan before its term.
	GiveBack(ctx context.Context, address string, r *Return) error
	// Give asks a holder for a shard or offers it one.
	Give(ctx context.Context, address string, g *Give) (*Handed, error)
	// Carry has a request run by the other instance. An error that is not a
	// *Refusal means that it may have run.
	Carry(ctx context.Context, address string, c *Carry) (*Answer, error)
	// Probe opens a fresh connection and reports whether the instance called
	// name answers on it. gone is set where another instance answers.
	Probe(ctx context.Context, address, name string) (gone bool, err error)
}

// PeerService is what an instance answers to its peers.
type PeerService interface {
	ServeBeat(ctx context.Context, d *Digest) (*Digest, error)
	ServeTable(ctx context.Context) (*Table, error)
	ServeLend(ctx context.Context, a *Ask) (*Loan, error)
	ServeExtend(ctx context.Context, e *Extend) (*Extended, error)
	ServeRecall(ctx context.Context, e *Extend) (*Return, error)
	ServeGiveBack(ctx context.Context, r *Return) error
	ServeGive(ctx context.Context, g *Give) (*Handed, error)
	ServeCarry(ctx context.Context, c *Carry) (*Answer, error)
	ServeName(ctx context.Context) string
}
