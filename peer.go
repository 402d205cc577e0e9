package lacewingramp

import "context"

// Peer is the client side of calls between instances. Every call is bounded by its
// context. Addresses are IP addresses with a port.
type Peer interface {
	// ExchangeDigests sends d and returns the digest of the other instance.
	ExchangeDigests(ctx context.Context, address string, d *Digest) (*Digest, error)
	// Table returns the Table that is in force at the other instance.
	Table(ctx context.Context, address string) (*Table, error)
	// RequestLoan requests a loan of quota.
	RequestLoan(ctx context.Context, address string, a *Ask) (*Loan, error)
	// Extend requests another term for a loan.
	Extend(ctx context.Context, address string, e *Extend) (*Extended, error)
	// RecallLoan asks the borrower to return a loan immediately. The borrower refuses
	// by replying with a Return that has no id.
	RecallLoan(ctx context.Context, address string, e *Extend) (*Return, error)
	// ReturnLoan returns a loan before its term ends.
	ReturnLoan(ctx context.Context, address string, r *Return) error
	// Give requests a shard from its holder, or hands a shard over to the receiver.
	Give(ctx context.Context, address string, g *Give) (*ShardTransfer, error)
	// Carry forwards a request to the other instance. After an error that is not
	// a *Refusal, the request may have run.
	Carry(ctx context.Context, address string, c *Carry) (*Answer, error)
	// CheckConnection opens a new connection and returns an error if no instance answers
	// on it. gone is set if an instance other than name answers.
	CheckConnection(ctx context.Context, address, name string) (gone bool, err error)
}

// PeerService is the server side of Peer.
type PeerService interface {
	ServeExchangeDigests(ctx context.Context, d *Digest) (*Digest, error)
	ServeTable(ctx context.Context) (*Table, error)
	ServeRequestLoan(ctx context.Context, a *Ask) (*Loan, error)
	ServeExtendLoan(ctx context.Context, e *Extend) (*Extended, error)
	ServeRecallLoan(ctx context.Context, e *Extend) (*Return, error)
	ServeReturnLoan(ctx context.Context, r *Return) error
	ServeTransferShard(ctx context.Context, g *Give) (*ShardTransfer, error)
	ServeForward(ctx context.Context, c *Carry) (*Answer, error)
	ServeName(ctx context.Context) string
}
