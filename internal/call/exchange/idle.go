package exchange

import (
	"slices"
	"sync"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
)

// connection is one connection to a target.
type connection struct {
	*message.Conn
	reader   *message.Reader
	lastUsed time.Time
	maxIdle  time.Duration
	// refused says that the target has refused a request on the connection, sendsIDs that
	// its responses bear the ID of their request, and sentExtra that it has sent a response
	// to an earlier request once more or too late.
	refused   bool
	sendsIDs  bool
	sentExtra bool
}

// record records what the headers of a response reveal.
func (c *connection) record(h lacewingramp.ResponseHeaders) {
	c.refused = c.refused || isRefusal(h)
	c.sendsIDs = c.sendsIDs || h.ID != ""
}

// lacksID reports whether a response should have had an ID to be taken for that to a request, and
// has none.
func (c *connection) lacksID(req TargetRequest, h lacewingramp.ResponseHeaders) bool {
	return h.ID == "" && c.sendsIDs && req.ID != "" && !req.AllowMissingID
}

// carries reports whether the connection may carry another request. One that is not
// idempotent may be lost on a connection that is dead, and a repeated refusal would be
// taken for the response to it.
func (c *connection) carries(nonIdempotent bool) bool {
	return !nonIdempotent || !c.refused && time.Since(c.lastUsed) <= nonIdempotentMaxIdle
}

// idlePool holds the idle connections by address, the most recently used last.
type idlePool struct {
	mu        sync.Mutex
	byAddress map[string][]*connection
}

// get returns the most recently used connection that can be reused, or nil. It closes
// those that no request can use. Those that may not carry a request that is not
// idempotent stay for others.
func (p *idlePool) get(address string, nonIdempotent bool) *connection {
	return p.take(address, func(c *connection) bool { return c.carries(nonIdempotent) })
}

// getToProve returns the most recently used connection that can carry a request once it is
// proven, or nil.
func (p *idlePool) getToProve(req TargetRequest) *connection {
	if req.Prove == nil {
		return nil
	}
	return p.take(req.Address, func(c *connection) bool { return !c.refused })
}

// take returns the most recently used connection that can be reused and that is usable by a
// request, or nil.
func (p *idlePool) take(address string, usable func(*connection) bool) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, ok := p.byAddress[address]
	if !ok {
		return nil
	}
	for i := len(list) - 1; i >= 0; i-- {
		conn := list[i]
		if !usable(conn) {
			continue
		}
		list = slices.Delete(list, i, i+1)
		if time.Since(conn.lastUsed) <= conn.maxIdle && openWithoutInput(conn.Conn) {
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
