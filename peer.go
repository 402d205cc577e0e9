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
	RequestLoan(ctx context.Context, address string, l *LoanRequest) (*Loan, error)
	// Extend requests another term for a loan.
	Extend(ctx context.Context, address string, e *Extend) (*LoanExtension, error)
	// RecallLoan asks the borrower to return a loan immediately. The borrower refuses
	// by replying with a LoanReturn that has no id.
	RecallLoan(ctx context.Context, address string, e *Extend) (*LoanReturn, error)
	// ReturnLoan returns a loan before its term ends.
	ReturnLoan(ctx context.Context, address string, r *LoanReturn) error
	// Handover requests a shard from its holder, or hands a shard over to the receiver.
	Handover(ctx context.Context, address string, h *Handover) (*ShardTransfer, error)
	// ForwardRequest forwards a request to the other instance. After an error that is
	// not a *Refusal, the request may have run.
	ForwardRequest(ctx context.Context, address string, f *ForwardRequest) (*Response, error)
	// CheckConnection opens a new connection and returns an error if no instance answers
	// on it. gone is set if an instance other than name answers.
	CheckConnection(ctx context.Context, address, name string) (gone bool, err error)
}

// PeerService is the server side of Peer.
type PeerService interface {
	ServeExchangeDigests(ctx context.Context, d *Digest) (*Digest, error)
	ServeTable(ctx context.Context) (*Table, error)
	ServeRequestLoan(ctx context.Context, l *LoanRequest) (*Loan, error)
	ServeExtendLoan(ctx context.Context, e *Extend) (*LoanExtension, error)
	ServeRecallLoan(ctx context.Context, e *Extend) (*LoanReturn, error)
	ServeReturnLoan(ctx context.Context, r *LoanReturn) error
	ServeHandover(ctx context.Context, h *Handover) (*ShardTransfer, error)
	ServeForwardRequest(ctx context.Context, f *ForwardRequest) (*Response, error)
	ServeName(ctx context.Context) string
}
