// Package loopback chooses addresses for the programs that tests start.
//
// A port that the system chooses, and that is closed again until a program listens on it,
// can be given to another listener or to an outgoing connection in between. The addresses of
// this package are below the ports that the system chooses, each is returned once, and each
// process has a host of its own: all of 127.0.0.0/8 is this machine.
//
// # Usage
//
//	address, err := loopback.Free()
//	l, err := net.Listen("tcp4", address)
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// The ports are from firstPort on, portCount of them.
const (
	firstPort = 15000
	portCount = 15000
)

// used counts the ports that were tried.
var used atomic.Int64

// Free returns an address on which nothing listens. It returns an error once all ports were
// tried.
func Free() (string, error) {
	for {
		n := used.Add(1) - 1
		if n >= portCount {
			return "", errors.Errorf("no free port among %d", portCount)
		}
		address := fmt.Sprintf("%s:%d", host(os.Getpid()), firstPort+n)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
}

// host returns the host of a process. The second byte is never 0, as in 127.0.0.1.
func host(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>16)&0x3f, (pid>>8)&0xff, pid&0xff)
}
