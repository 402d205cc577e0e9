package trial

import (
	"context"
	"sync"

	"lacewingramp.example/lacewingramp"
)

// Net is the network between failure domains and the platform, which a test
// can cut. Its zero value lets everything pass.
type Net struct {
	mu      sync.Mutex
	domains map[string]string
	cut     map[string]bool
}

func (n *Net) place(address, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.domains == nil {
		n.domains = make(map[string]string)
	}
	n.domains[address] = domain
}

// Cut takes a failure domain off from the others and from the platform, or
// brings it back.
func (n *Net) Cut(domain string, off bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[string]bool)
	}
	n.cut[domain] = off
}

func (n *Net) off(domain string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[domain]
}

// parted waits until ctx ends where an address can not be reached, as packets
// into a cut network vanish.
func (n *Net) parted(ctx context.Context, from, address string) error {
	n.mu.Lock()
	to := n.domains[address]
	parted := to != from && (n.cut[to] || n.cut[from])
	n.mu.Unlock()
	if !parted {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// cutPeer is a Peer behind a Net.
type cutPeer struct {
	lacewingramp.Peer

	net    *Net
	domain string
}

// Beat exchanges digests.
func (p *cutPeer) ExchangeDigests(ctx context.Context, address string, d *lacewingramp.Digest) (*lacewingramp.Digest, error) {
	if err := p.net.parted(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.ExchangeDigests(ctx, address, d)
}

// Table fetches the other instance's Table.
func (p *cutPeer) Table(ctx context.Context, address string) (*lacewingramp.Table, error) {
	if err := p.net.parted(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.Table(ctx, address)
}

// Lend asks for a loan.
func (p *cutPeer) RequestLoan(ctx context.Context, address string, a *lacewingramp.Ask) (*lacewingramp.Loan, error) {
	if err := p.net.parted(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.RequestLoan(ctx, address, a)
}

// Extend asks for another term of a loan.
func (p *cutPeer) Extend(ctx context.Context, address string, e *lacewingramp.Extend) (*lacewingramp.Extended, error) {
	if err := p.net.parted(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.Extend(ctx, address, e)
}

// Recall asks a borrower to end a loan.
func (p *cutPeer) RecallLoan(ctx context.Context, address string, e *lacewingramp.Extend) (*lacewingramp.Return, error) {
	if err := p.net.parted(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.RecallLoan(ctx, address, e)
}

// GiveBack ends a loan.
func (p *cutPeer) ReturnLoan(ctx context.Context, address string, r *lacewingramp.Return) error {
	if err := p.net.parted(ctx, p.domain, address); err != nil {
		return err
	}
	return p.Peer.ReturnLoan(ctx, address, r)
}

// Carry has a request run by the other instance.
func (p *cutPeer) Carry(ctx context.Context, address string, c *lacewingramp.Carry) (*lacewingramp.Answer, error) {
	if err := p.net.parted(ctx, p.domain, address); err != nil {
		return nil, err
	}
	return p.Peer.Carry(ctx, address, c)
}

// Probe opens a fresh connection.
func (p *cutPeer) Probe(ctx context.Context, address, name string) (bool, error) {
	if err := p.net.parted(ctx, p.domain, address); err != nil {
		return false, err
	}
	return p.Peer.Probe(ctx, address, name)
}

// cutStore is a Store behind a Net.
type cutStore struct {
	lacewingramp.Store

	net    *Net
	domain string
}

func (s *cutStore) parted(ctx context.Context) error {
	if !s.net.off(s.domain) {
		return nil
	}
	<-ctx.Done()
	return lacewingramp.ErrUnknownOutcome
}

// Get returns the item of key.
func (s *cutStore) Get(ctx context.Context, key string) (lacewingramp.Item, error) {
	if err := s.parted(ctx); err != nil {
		return lacewingramp.Item{}, err
	}
	return s.Store.Get(ctx, key)
}

// Revision returns the revision of key.
func (s *cutStore) Revision(ctx context.Context, key string) (int64, error) {
	if err := s.parted(ctx); err != nil {
		return 0, err
	}
	return s.Store.Revision(ctx, key)
}

// Range returns the items below prefix.
func (s *cutStore) Range(ctx context.Context, prefix string) ([]lacewingramp.Item, error) {
	if err := s.parted(ctx); err != nil {
		return nil, err
	}
	return s.Store.Range(ctx, prefix)
}

// Swap writes value if the key's revision is base.
func (s *cutStore) CompareAndSwap(ctx context.Context, key string, value []byte, base int64, id lacewingramp.LeaseID) (int64, error) {
	if err := s.parted(ctx); err != nil {
		return 0, err
	}
	return s.Store.CompareAndSwap(ctx, key, value, base, id)
}

// Watch calls f for each change, unless the domain is cut off meanwhile.
func (s *cutStore) Watch(ctx context.Context, prefix string, from int64, f func(lacewingramp.Change)) error {
	if err := s.parted(ctx); err != nil {
		return err
	}
	return s.Store.Watch(ctx, prefix, from, func(c lacewingramp.Change) {
		if !s.net.off(s.domain) {
			f(c)
		}
	})
}
