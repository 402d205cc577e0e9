package edge

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/report/meter"
	"lacewingramp.example/lacewingramp/internal/timer/wall"
)

// startDyingPeer starts a peer that reads requests that are relayed to it, counts them, and
// closes their connections without a response.
func startDyingPeer(received *atomic.Int32) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				received.Add(1)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// noHeaders reads and writes no headers.
type noHeaders struct{ lacewingramp.HeaderCodec }

func (noHeaders) SetRequestID(http.Header, string) {}

var _ = ginkgo.Describe("an instance that relays a request to a peer that dies", func() {
	// Guards against a request that runs more often than its route allows, as the peer may
	// have used all attempts before it died.
	ginkgo.It("does not send it again, also if it is idempotent", func(ctx context.Context) {
		e := New(Settings{Name: "self", Domain: "a", Region: "north", Regions: map[string]string{"a": "north"}},
			Dependencies{Timer: wall.Timer{}, Log: zerolog.Nop(), Meter: meter.New(), HeaderCodec: noHeaders{}})
		var received atomic.Int32
		now := time.Now()
		for n := range maxRelays {
			e.peers.Record(now, &lacewingramp.Heartbeat{Ready: true, Endpoint: lacewingramp.Endpoint{
				Name: fmt.Sprint("peer-", n), Domain: "a", Relay: startDyingPeer(&received),
			}})
		}
		j := &job{
			request: &message.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: make(http.Header)},
			route:   &lacewingramp.Route{Idempotent: true, AttemptLimit: 2}, receivedAt: now, deadline: now.Add(time.Minute),
		}
		resp := e.relay(ctx, j)
		gomega.Expect(received.Load()).To(gomega.Equal(int32(1)))
		gomega.Expect(resp).To(gomega.HaveField("Status", http.StatusBadGateway))
	})
})

// Guards against an instance that ends with a nil pointer: a request was relayed to it just
// as its first table came in force.
var _ = ginkgo.It("an instance without a table runs no relayed request", func() {
	e := New(Settings{Name: "self", Domain: "a", Region: "north", Regions: map[string]string{"a": "north"}},
		Dependencies{Timer: wall.Timer{}, Log: zerolog.Nop(), Meter: meter.New(), HeaderCodec: noHeaders{}})
	e.ready.Store(true)
	gomega.Expect(e.mayRunRelayed(&lacewingramp.RelayedRequest{})).To(gomega.BeFalse())
})
