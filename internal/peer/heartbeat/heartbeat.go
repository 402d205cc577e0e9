// Package heartbeat carries heartbeats between instances as datagrams, and
// remembers which instances have been heard lately.
//
// # Usage
//
//	socket, err := heartbeat.Listen("10.1.0.23:7460")
//	go socket.Receive(func(h *lacewingramp.Heartbeat) { ... })
//	socket.Send(h, addresses)
package heartbeat

import (
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
)

// datagramMost is the largest datagram that is read, in bytes.
const datagramMost = 60 << 10

// Socket sends and receives heartbeats.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens a socket at an address.
func Listen(address string) (*Socket, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "heartbeat address")
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrap(err, "open the heartbeat socket")
	}
	return &Socket{conn: c}, nil
}

// Address returns the address that the socket is open at.
func (s *Socket) Address() string {
	return s.conn.LocalAddr().String()
}

// Send sends a heartbeat to addresses. Those that can not be reached miss it.
func (s *Socket) Send(h *lacewingramp.Heartbeat, addresses []string) error {
	b, err := cbor.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "encode a heartbeat")
	}
	for _, a := range addresses {
		at, err := netip.ParseAddrPort(a)
		if err != nil {
			continue
		}
		_, _ = s.conn.WriteToUDPAddrPort(b, at)
	}
	return nil
}

// Receive calls f for each heartbeat until the socket is closed. Datagrams
// that are none are passed to bad.
func (s *Socket) Receive(f func(*lacewingramp.Heartbeat), bad func(error)) {
	b := make([]byte, datagramMost)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		h := &lacewingramp.Heartbeat{}
		if err := cbor.Unmarshal(b[:n], h); err != nil {
			bad(errors.Wrap(err, "decode a heartbeat"))
			continue
		}
		if err := h.Check(); err != nil {
			bad(err)
			continue
		}
		f(h)
	}
}

// Close ends Receive.
func (s *Socket) Close() error {
	return s.conn.Close()
}
