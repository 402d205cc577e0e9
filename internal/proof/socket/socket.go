// Package socket says how much the kernel holds for the TCP connections of tests: bytes that were
// received and that the process has not read.
//
// # Usage
//
//	bytes, err := socket.Queued("127.0.0.1", socket.AnyPort)
package socket

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// AnyPort stands for all ports of an address.
const AnyPort = 0

// Columns of the kernel's list of connections, and its state of listening sockets, which count
// connections where others count bytes.
const (
	listPath    = "/proc/net/tcp"
	columnLocal = 1
	columnState = 3
	columnQueue = 4
	stateListen = "0A"
)

// Queued returns the bytes in the receive queues of all connections at an IPv4 address and port,
// also of those that have not been accepted.
func Queued(ip string, port int) (int, error) {
	raw, err := os.ReadFile(listPath)
	if err != nil {
		return 0, errors.Wrap(err, "read the kernel's connections")
	}
	prefix, err := localPrefix(ip, port)
	if err != nil {
		return 0, err
	}
	sum := 0
	for line := range strings.Lines(string(raw)) {
		f := strings.Fields(line)
		if len(f) <= columnQueue || !strings.HasPrefix(f[columnLocal], prefix) || f[columnState] == stateListen {
			continue
		}
		_, queue, _ := strings.Cut(f[columnQueue], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, errors.Wrap(err, "decode a receive queue")
		}
		sum += int(n)
	}
	return sum, nil
}

// localPrefix returns how the kernel writes an address, in the byte order of the machine.
func localPrefix(ip string, port int) (string, error) {
	a, err := netip.ParseAddr(ip)
	if err != nil || !a.Is4() {
		return "", errors.Errorf("%q is no IPv4 address", ip)
	}
	b := a.As4()
	prefix := fmt.Sprintf("%08X:", binary.NativeEndian.Uint32(b[:]))
	if port != AnyPort {
		prefix += fmt.Sprintf("%04X", port)
	}
	return prefix, nil
}
