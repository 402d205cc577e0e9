// Package heartbeat sends and receives heartbeats and other datagrams between
// instances over UDP, and tracks which instances are alive.
//
// # Usage
//
//	socket, err := heartbeat.Listen("10.1.0.23:7460")
//	go socket.Receive(func(d *lacewingramp.Datagram, from string) { ... }, onError)
//	socket.Send(&lacewingramp.Datagram{Heartbeat: h}, addresses)
package heartbeat

import (
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
)

// maxDatagramSize is the size of the receive buffer in bytes. A larger datagram
// is cut off and fails to decode.
const maxDatagramSize = 60 << 10

// Socket sends and receives datagrams over UDP.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens a socket at address, an IPv4 address with a port.
func Listen(address string) (*Socket, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse the heartbeat address")
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrap(err, "open the heartbeat socket")
	}
	return &Socket{conn: c}, nil
}

// Address returns the socket's local address.
func (s *Socket) Address() string {
	return s.conn.LocalAddr().String()
}

// Send sends a datagram to each address. It skips addresses that do not parse
// and ignores write errors, as datagrams may be lost in any case.
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

// Receive calls handle with each valid datagram and its sender's address until
// the socket is closed. Datagrams that can not be decoded or fail their check
// are reported to onError.
func (s *Socket) Receive(handle func(d *lacewingramp.Datagram, from string), onError func(error)) {
	b := make([]byte, maxDatagramSize)
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
			onError(errors.Wrap(err, "decode a datagram"))
			continue
		}
		if err := d.Check(); err != nil {
			onError(err)
			continue
		}
		handle(d, from.String())
	}
}

// Close closes the socket, which makes Receive return.
func (s *Socket) Close() error {
	return s.conn.Close()
}
