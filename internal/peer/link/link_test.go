package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/cert"
)

// service is a PeerService with constant replies. If block is not nil,
// ServeExchangeDigests waits until it is closed.
type service struct {
	lacewingramp.PeerService

	block chan struct{}
}

func (s *service) ServeName(context.Context) string { return "a" }

func (s *service) ServeExchangeDigests(context.Context, *lacewingramp.Digest) (*lacewingramp.Digest, error) {
	if s.block != nil {
		<-s.block
	}
	return &lacewingramp.Digest{Endpoint: lacewingramp.Endpoint{Name: "a", Domain: "uy1", Peer: "x"}, SinceConfirmed: time.Second}, nil
}

func (s *service) ServeForwardRequest(_ context.Context, r *lacewingramp.ForwardRequest) (*lacewingramp.Response, error) {
	return &lacewingramp.Response{ID: r.ID, Refusal: lacewingramp.NewRefusal(lacewingramp.CauseSlots, "full")}, nil
}

func startServer(s *service, settings cert.Settings) string {
	config, err := cert.PeerConfig(settings)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	server := NewServer(s, config)
	go func() { _ = server.Serve(l) }()
	ginkgo.DeferCleanup(server.Stop)
	return l.Addr().String()
}

func newClient(settings cert.Settings) *Client {
	config, err := cert.PeerConfig(settings)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	c := &Client{TLS: config}
	ginkgo.DeferCleanup(c.Close)
	return c
}

var digest = &lacewingramp.Digest{Endpoint: lacewingramp.Endpoint{Name: "b", Domain: "uy1", Peer: "y"}}

var request = lacewingramp.ForwardRequest{ID: "1", Route: "r", Method: "GET", Remaining: time.Second}

var _ = ginkgo.Describe("the connection between two instances", func() {
	ginkgo.It("transfers messages and refuses invalid ones", func(ctx context.Context) {
		c := newClient(cert.Settings{})
		address := startServer(&service{}, cert.Settings{})
		d, err := c.ExchangeDigests(ctx, address, digest)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(d.SinceConfirmed).To(gomega.Equal(time.Second))
		response, err := c.ForwardRequest(ctx, address, &request)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.Refusal.Cause).To(gomega.Equal(lacewingramp.CauseSlots))
		bad := request
		bad.Hops = lacewingramp.MaxHops + 1
		_, err = c.ForwardRequest(ctx, address, &bad)
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	ginkgo.It("reports that a request did not run if the connection could not be established", func(ctx context.Context) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(l.Close()).To(gomega.Succeed())
		_, err = newClient(cert.Settings{}).ForwardRequest(ctx, l.Addr().String(), &request)
		gomega.Expect(lacewingramp.RefusalOf(err).Verdict).To(gomega.Equal(lacewingramp.NotRun))
	})

	ginkgo.It("reports that a request may have run if its connection was lost", func(ctx context.Context) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		upstream := startServer(&service{}, cert.Settings{})
		go relayAndClose(l, upstream)
		_, err = newClient(cert.Settings{}).ForwardRequest(ctx, l.Addr().String(), &request)
		gomega.Expect(lacewingramp.RefusalOf(err).Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
	})

	ginkgo.It("opens a new connection after an exchange of digests that timed out", func(ctx context.Context) {
		s := &service{block: make(chan struct{})}
		address := startServer(s, cert.Settings{})
		ginkgo.DeferCleanup(func() { close(s.block) })
		c := newClient(cert.Settings{})
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := c.ExchangeDigests(short, address, digest)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(c.connections).To(gomega.BeEmpty())
		replaced, err := c.CheckConnection(ctx, address, "a")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(replaced).To(gomega.BeFalse())
		replaced, _ = c.CheckConnection(ctx, address, "another life")
		gomega.Expect(replaced).To(gomega.BeTrue())
	})

	ginkgo.It("refuses peers without a certificate of the same authority", func(ctx context.Context) {
		ours, theirs := newAuthority(), newAuthority()
		address := startServer(&service{}, ours)
		_, err := newClient(ours).ExchangeDigests(ctx, address, digest)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, other := range []cert.Settings{{}, theirs, {Cert: theirs.Cert, Key: theirs.Key, CA: ours.CA}} {
			_, err := newClient(other).ExchangeDigests(ctx, address, digest)
			gomega.Expect(err).To(gomega.HaveOccurred())
		}
		plain := startServer(&service{}, cert.Settings{})
		_, err = newClient(ours).ExchangeDigests(ctx, plain, digest)
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})

// relayAndClose relays one connection of l to the address to. It closes it shortly after
// it has relayed the request of the first call, before the reply is relayed.
func relayAndClose(l net.Listener, to string) {
	in, err := l.Accept()
	if err != nil {
		return
	}
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	go func() {
		buffer := make([]byte, 4096)
		sent := 0
		for {
			n, err := in.Read(buffer)
			if err != nil {
				return
			}
			_, _ = out.Write(buffer[:n])
			sent += n
			if sent > 100 {
				time.Sleep(20 * time.Millisecond)
				_ = in.Close()
				_ = out.Close()
				return
			}
		}
	}()
	buffer := make([]byte, 4096)
	n, _ := out.Read(buffer)
	_, _ = in.Write(buffer[:n])
	time.Sleep(time.Second)
}

// newAuthority returns a self-signed certificate, which is its own authority, and its
// key.
func newAuthority() cert.Settings {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	certDER, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	certPEM := string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certDER}))
	keyPEM := string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
	return cert.Settings{Cert: certPEM, Key: keyPEM, CA: certPEM}
}
