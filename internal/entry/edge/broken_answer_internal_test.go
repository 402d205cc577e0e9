package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/config/routing"
	"lacewingramp.example/lacewingramp/internal/proof/rawtarget"
	"lacewingramp.example/lacewingramp/internal/report/meter"
	"lacewingramp.example/lacewingramp/internal/timer/wall"
)

// wordyHeaders reads what a response says of its request and its target.
type wordyHeaders struct{ idHeaders }

func (wordyHeaders) ResponseHeaders(_ int, h http.Header) lacewingramp.ResponseHeaders {
	return lacewingramp.ResponseHeaders{ID: h.Get("Request-Id"), Target: h.Get("Target"), Leaving: h.Get("Leaving") != ""}
}

func newWordyEdge() *Edge {
	return New(Settings{Name: "self", Domain: "a", Region: "north", Regions: map[string]string{"a": "north"}},
		Dependencies{Timer: wall.Timer{}, Log: zerolog.Nop(), Meter: meter.New(), HeaderCodec: wordyHeaders{}})
}

func startRaw(s rawtarget.Script) *rawtarget.Target {
	t, err := rawtarget.Start(s)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(t.Close)
	return t
}

// Guards against a broken answer that comes by way of another instance, such as one of an earlier
// version of this program, which passes on the invalid fields of a target, framed by its own length.
var _ = ginkgo.DescribeTable("a relayed request whose answer is broken may have run",
	func(ctx context.Context, s rawtarget.Script, size int) {
		peer := startRaw(s)
		e := newWordyEdge()
		e.peers.Record(time.Now(), &lacewingramp.Heartbeat{Ready: true, Endpoint: lacewingramp.Endpoint{Name: "peer", Domain: "a", Relay: peer.Address}})
		j := &job{
			request: &message.Request{Method: http.MethodPost, URI: "/", Host: "h", Header: make(http.Header), Body: make([]byte, size)},
			route:   &lacewingramp.Route{AttemptLimit: 2}, receivedAt: time.Now(), deadline: time.Now().Add(time.Minute),
		}
		j.headers.ID = "1"
		resp := e.relay(ctx, j)
		gomega.Expect(resp.Status).To(gomega.Equal(http.StatusBadGateway))
		gomega.Expect(resp.Body).To(gomega.BeEmpty())
		gomega.Expect(peer.Requests.Load()).To(gomega.Equal(int32(1)))
	},
	ginkgo.Entry("with a blank in a name", rawtarget.Script{Answer: relayedHead + "X A: 1\r\nContent-Length: 4\r\n\r\nwell", ReadBody: true}, 3),
	ginkgo.Entry("with a second length", rawtarget.Script{Answer: relayedHead + "Content-Length : 2\r\nContent-Length: 4\r\n\r\nwell", ReadBody: true}, 3),
	ginkgo.Entry("with an interim head that has a blank in a name", rawtarget.Script{Answer: "HTTP/1.1 103 X\r\nX A: 1\r\n\r\n" + relayedHead + "Content-Length: 4\r\n\r\nwell", ReadBody: true}, 3),
	ginkgo.Entry("that says beside it that the peer cannot run requests", rawtarget.Script{
		Answer: "HTTP/1.1 503 X\r\nRequest-Id: 1\r\nLacewingramp-Relay-Outcome: unavailable\r\nX A: 1\r\nContent-Length: 0\r\n\r\n", ReadBody: true,
	}, 3),
	ginkgo.Entry("that ends with its connection during the upload", rawtarget.Script{Answer: relayedHead + "\r\npart", End: rawtarget.EndReset, Wait: rawtarget.BreakDelay}, rawtarget.LongUpload),
)

// relayedHead is the start of a response that a peer relays, as this and earlier programs write it.
const relayedHead = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nLacewingramp-Relay-Outcome: responded\r\n"

// Guards against an answer of a peer that is lost although it came whole: all that a peer sends has
// a length, also where it has not read the request.
var _ = ginkgo.It("a relayed request whose answer has a length is answered although the upload broke off", func(ctx context.Context) {
	e := newWordyEdge()
	peer := startRaw(rawtarget.Script{Answer: relayedHead + "Content-Length: 4\r\n\r\nwell", End: rawtarget.EndReset, Wait: rawtarget.BreakDelay})
	j := &job{
		request: &message.Request{Method: http.MethodPost, URI: "/", Host: "h", Header: make(http.Header), Body: make([]byte, rawtarget.LongUpload)},
		route:   &lacewingramp.Route{AttemptLimit: 2}, receivedAt: time.Now(), deadline: time.Now().Add(time.Minute),
	}
	j.headers.ID = "1"
	r := e.relayTo(ctx, j, lacewingramp.Endpoint{Name: "peer", Domain: "a", Relay: peer.Address})
	gomega.Expect(relayOutcome(r)).To(gomega.Equal(lacewingramp.RelayResponded))
	gomega.Expect(string(r.Response.Body)).To(gomega.Equal("well"))
})

// Guards against a health check that believes a broken answer.
var _ = ginkgo.DescribeTable("a health check whose answer is broken says nothing of its target",
	func(ctx context.Context, s rawtarget.Script) {
		e := newWordyEdge()
		table := &lacewingramp.Table{Revision: 1, Services: []lacewingramp.Service{{Name: "s", HealthCheckPath: "/health"}}}
		e.routes.Store(routing.New(table))
		t := lacewingramp.Target{Name: "t", Service: "s", Domain: "a", Address: startRaw(s).Address, Slots: 1}
		e.placer.Update(time.Now(), lacewingramp.TargetRegistration{Target: t, StartMillis: 1})
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		gomega.Expect(e.responds(ctx, t)).To(gomega.BeFalse())
		e.probe(&t)
		gomega.Expect(e.mayServe(&t)).To(gomega.BeTrue())
	},
	ginkgo.Entry("with a blank in a name", rawtarget.Script{Answer: healthHead + "X A: 1\r\nContent-Length: 0\r\n\r\n"}),
	ginkgo.Entry("with a control byte in a name", rawtarget.Script{Answer: healthHead + "X\x02A: 1\r\nContent-Length: 0\r\n\r\n"}),
	ginkgo.Entry("with an interim head that has a blank in a name", rawtarget.Script{Answer: "HTTP/1.1 103 X\r\nX A: 1\r\n\r\n" + healthHead + "Content-Length: 0\r\n\r\n"}),
	ginkgo.Entry("cut short", rawtarget.Script{Answer: healthHead + "Content-Length: 9\r\n\r\nwell", End: rawtarget.EndClose}),
	ginkgo.Entry("reset", rawtarget.Script{Answer: healthHead + "\r\nwell", End: rawtarget.EndReset}),
)

// healthHead is the start of the answer to a health check that says that the target is leaving.
const healthHead = "HTTP/1.1 200 OK\r\nTarget: t\r\nLeaving: 1\r\n"
