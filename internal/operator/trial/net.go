package trial

import (
	"context"
	"sync"

	"lacewingramp.example/lacewingramp"
)

// Network simulates failure domains that are cut off from the other domains and from
// the store. By default none is. domainByAddress holds the domains of the instances'
// peer addresses.
type Network struct {
	mu              sync.Mutex
	domainByAddress map[string]string
	isolatedDomains map[string]bool
}

func (n *Network) setDomain(address, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.domainByAddress == nil {
		n.domainByAddress = make(map[string]string)
	}
	n.domainByAddress[address] = domain
}

// SetIsolated disconnects a failure domain from the others and from the platform's
// store, or connects it again.
func (n *Network) SetIsolated(domain string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolatedDomains == nil {
		n.isolatedDomains = make(map[string]bool)
	}
	n.isolatedDomains[domain] = isolated
}

func (n *Network) isIsolated(domain string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolatedDomains[domain]
}

// unreachable returns nil if the address can be reached from the domain from.
// Otherwise it blocks until ctx is done, as if all packets were dropped, and returns
// the error of ctx.
func (n *Network) unreachable(ctx context.Context, from, address string) error {
	n.mu.Lock()
	to := n.domainByAddress[address]
	unreachable := to != from && (n.isolatedDomains[to] || n.isolatedDomains[from])
	n.mu.Unlock()
	if !unreachable {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// networkPeer is the Peer of an instance in a domain of a Network. Its calls to
// addresses that the domain cannot reach fail. Handover is not overridden, so its calls
// succeed even then.
type networkPeer struct {
	lacewingramp.Peer

	network *Network
	domain  string
}

// ExchangeDigests exchanges digests with another instance.
func (p *networkPeer) ExchangeDigests(ctx context.Context, address string, d *lacewingramp.Digest) (*lacewingramp.Digest, error) {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.ExchangeDigests(ctx, address, d)
}

// Table fetches the table in force at another instance.
func (p *networkPeer) Table(ctx context.Context, address string) (*lacewingramp.Table, error) {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.Table(ctx, address)
}

// RequestLoan requests a loan of quota from another instance.
func (p *networkPeer) RequestLoan(ctx context.Context, address string, r *lacewingramp.LoanRequest) (*lacewingramp.Loan, error) {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.RequestLoan(ctx, address, r)
}

// Extend requests another term for a loan.
func (p *networkPeer) Extend(ctx context.Context, address string, e *lacewingramp.Extend) (*lacewingramp.LoanExtension, error) {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.Extend(ctx, address, e)
}

// RecallLoan requests the return of a loan from its borrower.
func (p *networkPeer) RecallLoan(ctx context.Context, address string, e *lacewingramp.Extend) (*lacewingramp.LoanReturn, error) {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.RecallLoan(ctx, address, e)
}

// ReturnLoan returns a loan to its lender.
func (p *networkPeer) ReturnLoan(ctx context.Context, address string, r *lacewingramp.LoanReturn) error {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return err
	}
	return p.Peer.ReturnLoan(ctx, address, r)
}

// ForwardRequest forwards a request to another instance.
func (p *networkPeer) ForwardRequest(ctx context.Context, address string, r *lacewingramp.ForwardRequest) (*lacewingramp.Response, error) {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.ForwardRequest(ctx, address, r)
}

// CheckConnection checks over a new connection which instance answers at an address.
func (p *networkPeer) CheckConnection(ctx context.Context, address, name string) (bool, error) {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return false, err
	}
	return p.Peer.CheckConnection(ctx, address, name)
}

// networkStore is the Store of an instance in a domain of a Network. Its calls fail
// while the domain is isolated. Delete, GrantLease and RenewLease are not
// overridden, so their calls succeed even then.
type networkStore struct {
	lacewingramp.Store

	network *Network
	domain  string
}

func (s *networkStore) unreachable(ctx context.Context) error {
	if !s.network.isIsolated(s.domain) {
		return nil
	}
	<-ctx.Done()
	return lacewingramp.ErrUnknownOutcome
}

// Get returns the key with its value.
func (s *networkStore) Get(ctx context.Context, key string) (lacewingramp.KeyValue, error) {
	if err := s.unreachable(ctx); err != nil {
		return lacewingramp.KeyValue{}, err
	}
	return s.Store.Get(ctx, key)
}

// Revision returns the revision of key.
func (s *networkStore) Revision(ctx context.Context, key string) (int64, error) {
	if err := s.unreachable(ctx); err != nil {
		return 0, err
	}
	return s.Store.Revision(ctx, key)
}

// Range returns the keys that begin with prefix, with their values.
func (s *networkStore) Range(ctx context.Context, prefix string) ([]lacewingramp.KeyValue, error) {
	if err := s.unreachable(ctx); err != nil {
		return nil, err
	}
	return s.Store.Range(ctx, prefix)
}

// CompareAndSwap sets the value of key if its current revision is base.
func (s *networkStore) CompareAndSwap(ctx context.Context, key string, value []byte, base int64, id lacewingramp.LeaseID) (int64, error) {
	if err := s.unreachable(ctx); err != nil {
		return 0, err
	}
	return s.Store.CompareAndSwap(ctx, key, value, base, id)
}

// Watch calls f for each change that occurs while the domain is not isolated. Other
// changes are dropped.
func (s *networkStore) Watch(ctx context.Context, prefix string, from int64, f func(lacewingramp.Change)) error {
	if err := s.unreachable(ctx); err != nil {
		return err
	}
	return s.Store.Watch(ctx, prefix, from, func(c lacewingramp.Change) {
		if !s.network.isIsolated(s.domain) {
			f(c)
		}
	})
}
