package exchange

import (
	"net"
	"sync"
	"time"

	"lacewingramp.example/lacewingramp/internal/call/message"
)

// connection is one connection to a target.
type connection struct {
	net.Conn
	reader   *message.Reader
	lastUsed time.Time
	maxIdle  time.Duration
}

// idlePool holds the idle connections by address, the most recently used last.
type idlePool struct {
	mu        sync.Mutex
	byAddress map[string][]*connection
}

// get returns the most recently used connection that can be reused, or nil. It
// closes those that cannot.
func (p *idlePool) get(address string, nonIdempotent bool) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, ok := p.byAddress[address]
	if !ok {
		return nil
	}
	for len(list) > 0 {
		conn := list[len(list)-1]
		idleFor := time.Since(conn.lastUsed)
		if nonIdempotent && idleFor > nonIdempotentMaxIdle && idleFor <= conn.maxIdle {
			// The connection may be dead. It stays in the pool for idempotent
			// requests, which can be retried.
			break
		}
		list = list[:len(list)-1]
		if idleFor <= conn.maxIdle && openWithoutInput(conn.Conn) {
			p.byAddress[address] = list
			return conn
		}
		_ = conn.Close()
	}
	p.byAddress[address] = list
	return nil
}

func (p *idlePool) put(address string, conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddress == nil {
		p.byAddress = make(map[string][]*connection)
	}
	list := p.byAddress[address]
	if len(list) >= maxIdlePerTarget {
		_ = list[0].Close()
		list = list[1:]
	}
	p.byAddress[address] = append(list, conn)
}

// Sweep closes connections that have exceeded their maximum idle time.
func (c *Client) Sweep(now time.Time) {
	c.idle.mu.Lock()
	defer c.idle.mu.Unlock()
	for address, list := range c.idle.byAddress {
		kept := list[:0]
		for _, conn := range list {
			if now.Sub(conn.lastUsed) <= conn.maxIdle {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
		}
		c.idle.byAddress[address] = kept
		if len(kept) == 0 {
			delete(c.idle.byAddress, address)
		}
	}
}

// CloseIdle closes the idle connections to an address that its target has left.
func (c *Client) CloseIdle(address string) {
	c.idle.mu.Lock()
	defer c.idle.mu.Unlock()
	for _, conn := range c.idle.byAddress[address] {
		_ = conn.Close()
	}
	delete(c.idle.byAddress, address)
}
