package trial

import (
	"context"
	"sync"

	"lacewingramp.example/lacewingramp"
)

// Network simulates isolated failure domains. By default every address can be
// reached.
type Network struct {
	mu              sync.Mutex
	domains         map[string]string
	isolatedDomains map[string]bool
}

func (n *Network) setDomain(address, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.domains == nil {
		n.domains = make(map[string]string)
	}
	n.domains[address] = domain
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
// Otherwise it blocks until ctx is done, as a connection does whose packets are
// dropped, and returns an error.
func (n *Network) unreachable(ctx context.Context, from, address string) error {
	n.mu.Lock()
	to := n.domains[address]
	unreachable := to != from && (n.isolatedDomains[to] || n.isolatedDomains[from])
	n.mu.Unlock()
	if !unreachable {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// networkPeer is a Peer whose calls do not reach unreachable addresses of a Network.
// Calls of Give are passed on regardless.
type networkPeer struct {
	lacewingramp.Peer

	network *Network
	domain  string
}

// Beat exchanges digests with another instance.
func (p *networkPeer) ExchangeDigests(ctx context.Context, address string, d *lacewingramp.Digest) (*lacewingramp.Digest, error) {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.ExchangeDigests(ctx, address, d)
}

// Table fetches the Table of another instance.
func (p *networkPeer) Table(ctx context.Context, address string) (*lacewingramp.Table, error) {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.Table(ctx, address)
}

// Lend requests a loan from another instance.
func (p *networkPeer) RequestLoan(ctx context.Context, address string, a *lacewingramp.Ask) (*lacewingramp.Loan, error) {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.RequestLoan(ctx, address, a)
}

// Extend requests an extension of a loan.
func (p *networkPeer) Extend(ctx context.Context, address string, e *lacewingramp.Extend) (*lacewingramp.Extended, error) {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.Extend(ctx, address, e)
}

// Recall requests the return of a loan from its borrower.
func (p *networkPeer) RecallLoan(ctx context.Context, address string, e *lacewingramp.Extend) (*lacewingramp.Return, error) {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.RecallLoan(ctx, address, e)
}

// GiveBack returns a loan to its lender.
func (p *networkPeer) ReturnLoan(ctx context.Context, address string, r *lacewingramp.Return) error {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return err
	}
	return p.Peer.ReturnLoan(ctx, address, r)
}

// Carry forwards a request to another instance.
func (p *networkPeer) Carry(ctx context.Context, address string, c *lacewingramp.Carry) (*lacewingramp.Answer, error) {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.Carry(ctx, address, c)
}

// Probe checks over a new connection which instance answers at an address.
func (p *networkPeer) CheckConnection(ctx context.Context, address, name string) (bool, error) {
	if err := p.network.unreachable(ctx, p.domain, address); err != nil {
		return false, err
	}
	return p.Peer.CheckConnection(ctx, address, name)
}

// networkStore is a Store whose calls fail while the domain is isolated. Calls of
// Delete, Grant and Renew are passed on regardless.
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

// Get returns the item with the key.
func (s *networkStore) Get(ctx context.Context, key string) (lacewingramp.Item, error) {
	if err := s.unreachable(ctx); err != nil {
		return lacewingramp.Item{}, err
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

// Range returns the items whose keys begin with prefix.
func (s *networkStore) Range(ctx context.Context, prefix string) ([]lacewingramp.Item, error) {
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

// Watch calls f for each change that occurs while the domain is connected.
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
