package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/caller"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/report/meter"
	"lacewingramp.example/lacewingramp/internal/timer/wall"
)

// idHeaders reads and writes only the ID of a request.
type idHeaders struct{ lacewingramp.HeaderCodec }

func (idHeaders) SetRequestID(h http.Header, id string) { h.Set("Request-Id", id) }

func (idHeaders) ResponseHeaders(_ int, h http.Header) lacewingramp.ResponseHeaders {
	return lacewingramp.ResponseHeaders{ID: h.Get("Request-Id")}
}

// startSmallPeer starts a peer that responds to relayed requests and has no memory for bodies of
// more than 3 MiB.
func startSmallPeer() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	s := &caller.Server{
		Requests: message.NewRequestBudget(8 << 20),
		Bounds: func() lacewingramp.Bounds {
			timeout := lacewingramp.Duration(time.Minute)
			return lacewingramp.Bounds{Header: 1 << 10, Body: 8 << 20, ReceiveTimeout: timeout, IdleTimeout: timeout}
		},
		Handle: func(_ context.Context, r *message.Request, _ time.Time) *message.Response {
			return &message.Response{Status: http.StatusOK, Header: http.Header{
				"Request-Id": {r.Header.Get("Request-Id")}, headerRelayOutcome: {lacewingramp.RelayResponded.String()},
			}}
		},
	}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

// Guards against a response that leaves in doubt whether a request has run, although the peer
// refused its body for lack of memory: such a refusal has no ID, unlike the earlier responses on
// the connection.
var _ = ginkgo.It("a relayed request that the peer could not read has not run", func(ctx context.Context) {
	e := New(Settings{Name: "self", Domain: "a", Region: "north", Regions: map[string]string{"a": "north"}},
		Dependencies{Timer: wall.Timer{}, Log: zerolog.Nop(), Meter: meter.New(), HeaderCodec: idHeaders{}})
	peer := lacewingramp.Endpoint{Name: "peer", Domain: "a", Relay: startSmallPeer()}
	relay := func(id string, size int) lacewingramp.RelayOutcome {
		j := &job{
			request: &message.Request{
				Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Request-Id": {id}}, Body: make([]byte, size),
			},
			route: &lacewingramp.Route{AttemptLimit: 2}, deadline: time.Now().Add(time.Minute),
		}
		j.headers.ID = id
		return relayOutcome(e.relayTo(ctx, j, peer))
	}
	gomega.Expect(relay("first", 1)).To(gomega.Equal(lacewingramp.RelayResponded))
	gomega.Expect(relay("second", 4<<20)).To(gomega.Equal(lacewingramp.RelayUnavailable))
})
