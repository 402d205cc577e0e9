// Package socket says how much the kernel holds for the TCP connections of tests: bytes that were
// received and that the process has not read.
//
// # Usage
//
//	bytes, err := socket.Queued("127.0.0.1", socket.AnyPort)
package socket

import (
	"encoding/binary"
	"net/netip"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// AnyPort stands for all ports of an address.
const AnyPort = 0

// The kernel's interface sock_diag: the sizes of a request and of an answer, and the places of
// their fields, in bytes.
const (
	diagByFamily = 20
	requestBytes = 56
	answerBytes  = 72

	requestFamily   = 0
	requestProtocol = 1
	requestStates   = 4

	answerPort  = 4
	answerIP    = 8
	answerQueue = 56
)

// queueStates are the states of connections that may hold received bytes, as bits: established,
// and closed by one side, but not those that only wait for their end.
const queueStates = 1<<1 | 1<<4 | 1<<5 | 1<<8 | 1<<9 | 1<<11

// Queued returns the bytes in the receive queues of all connections at an IPv4 address and port,
// also of those that have not been accepted.
func Queued(ip string, port int) (int, error) {
	local, err := netip.ParseAddr(ip)
	if err != nil || !local.Is4() {
		return 0, errors.Errorf("%q is no IPv4 address", ip)
	}
	s, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0, errors.Wrap(err, "ask for connections")
	}
	defer func() { _ = unix.Close(s) }()
	if err := unix.Sendto(s, request(), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, errors.Wrap(err, "ask for connections")
	}
	return sum(s, local, port)
}

// request returns a request for all IPv4 connections in queueStates.
func request() []byte {
	b := make([]byte, unix.SizeofNlMsghdr+requestBytes)
	binary.NativeEndian.PutUint32(b, uint32(len(b)))
	binary.NativeEndian.PutUint16(b[4:], diagByFamily)
	binary.NativeEndian.PutUint16(b[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	body := b[unix.SizeofNlMsghdr:]
	body[requestFamily], body[requestProtocol] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(body[requestStates:], queueStates)
	return b
}

// sum reads the kernel's answers and adds the queues of the connections at an address.
func sum(s int, local netip.Addr, port int) (total int, err error) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := unix.Recvfrom(s, buf, 0)
		if err != nil {
			return 0, errors.Wrap(err, "read connections")
		}
		messages, err := syscall.ParseNetlinkMessage(buf[:n])
		if err != nil {
			return 0, errors.Wrap(err, "decode connections")
		}
		for _, m := range messages {
			switch m.Header.Type {
			case unix.NLMSG_DONE:
				return total, nil
			case unix.NLMSG_ERROR:
				return 0, errors.New("the kernel does not list its connections")
			}
			total += queueAt(m.Data, local, port)
		}
	}
}

// queueAt returns the queue of the connection that an answer describes, if it is at an address.
func queueAt(answer []byte, local netip.Addr, port int) int {
	if len(answer) < answerBytes || netip.AddrFrom4([4]byte(answer[answerIP:])) != local {
		return 0
	}
	if port != AnyPort && int(binary.BigEndian.Uint16(answer[answerPort:])) != port {
		return 0
	}
	return int(binary.NativeEndian.Uint32(answer[answerQueue:]))
}
