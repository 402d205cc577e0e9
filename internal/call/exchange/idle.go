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
	used     time.Time
	idleMost time.Duration
}

// idleSet holds the connections that carry no request, by address.
type idleSet struct {
	mu  sync.Mutex
	all map[string][]*connection
}

// take returns the connection that was used last, if it is still good.
func (s *idleSet) take(address string, once bool) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, ok := s.all[address]
	if !ok {
		return nil
	}
	for len(list) > 0 {
		k := list[len(list)-1]
		age := time.Since(k.used)
		if once && age > freshFor && age <= k.idleMost {
			// It may be silent. Others can still use it.
			break
		}
		list = list[:len(list)-1]
		if age <= k.idleMost && silent(k.Conn) {
			s.all[address] = list
			return k
		}
		_ = k.Close()
	}
	s.all[address] = list
	return nil
}

func (s *idleSet) put(address string, k *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = make(map[string][]*connection)
	}
	list := s.all[address]
	if len(list) >= idlePerTarget {
		_ = list[0].Close()
		list = list[1:]
	}
	s.all[address] = append(list, k)
}

// Sweep closes connections that have been idle for too long.
func (c *Client) Sweep(now time.Time) {
	c.idle.mu.Lock()
	defer c.idle.mu.Unlock()
	for address, list := range c.idle.all {
		kept := list[:0]
		for _, k := range list {
			if now.Sub(k.used) <= k.idleMost {
				kept = append(kept, k)
				continue
			}
			_ = k.Close()
		}
		c.idle.all[address] = kept
		if len(kept) == 0 {
			delete(c.idle.all, address)
		}
	}
}

// Drop closes the idle connections to an address that has a new target.
func (c *Client) Drop(address string) {
	c.idle.mu.Lock()
	defer c.idle.mu.Unlock()
	for _, k := range c.idle.all[address] {
		_ = k.Close()
	}
	delete(c.idle.all, address)
}
