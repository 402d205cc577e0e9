// Package heartbeat carries heartbeats and other datagrams between instances,
// and remembers which instances have been heard lately.
//
// # Usage
//
//	socket, err := heartbeat.Listen("10.1.0.23:7460")
//	go socket.Receive(func(d *lacewingramp.Datagram, from string) { ... }, bad)
//	socket.Send(&lacewingramp.Datagram{Heartbeat: h}, addresses)
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

// Socket sends and receives datagrams.
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

// Send sends a datagram to addresses. Those that can not be reached miss it.
func (s *Socket) Send(d *lacewingramp.Datagram, addresses []string) error {
	b, err := cbor.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "encode a datagram")
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

// Receive calls f for each datagram until the socket is closed, with the
// address that it came from. Errors of bytes that are none are passed to bad.
func (s *Socket) Receive(f func(d *lacewingramp.Datagram, from string), bad func(error)) {
	b := make([]byte, datagramMost)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		d := &lacewingramp.Datagram{}
		if err := cbor.Unmarshal(b[:n], d); err != nil {
			bad(errors.Wrap(err, "decode a datagram"))
			continue
		}
		if err := d.Check(); err != nil {
			bad(err)
			continue
		}
		f(d, from.String())
	}
}

// Close ends Receive.
func (s *Socket) Close() error {
	return s.conn.Close()
}
