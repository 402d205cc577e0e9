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

// service answers every call the same way.
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

func (s *service) ServeForward(_ context.Context, c *lacewingramp.Carry) (*lacewingramp.Answer, error) {
	return &lacewingramp.Answer{ID: c.ID, Refusal: lacewingramp.NewRefusal(lacewingramp.CauseSlots, "full")}, nil
}

func listen(s *service, settings cert.Settings) string {
	config, err := cert.Peers(settings)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	server := NewServer(s, config)
	go func() { _ = server.Serve(l) }()
	ginkgo.DeferCleanup(server.Stop)
	return l.Addr().String()
}

func client(settings cert.Settings) *Client {
	config, err := cert.Peers(settings)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	c := &Client{TLS: config}
	ginkgo.DeferCleanup(c.Close)
	return c
}

var hello = &lacewingramp.Digest{Endpoint: lacewingramp.Endpoint{Name: "b", Domain: "uy1", Peer: "y"}}

var carry = lacewingramp.Carry{ID: "1", Route: "r", Method: "GET", Remaining: time.Second}

var _ = ginkgo.Describe("a link between instances", func() {
	ginkgo.It("carries messages that check themselves", func(ctx context.Context) {
		c := client(cert.Settings{})
		address := listen(&service{}, cert.Settings{})
		d, err := c.ExchangeDigests(ctx, address, hello)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(d.SinceConfirmed).To(gomega.Equal(time.Second))
		a, err := c.Carry(ctx, address, &carry)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.Refusal.Cause).To(gomega.Equal(lacewingramp.CauseSlots))
		bad := carry
		bad.Hops = lacewingramp.MaxHops + 1
		_, err = c.Carry(ctx, address, &bad)
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	ginkgo.It("says that a request did not run where no connection came about", func(ctx context.Context) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(l.Close()).To(gomega.Succeed())
		_, err = client(cert.Settings{}).Carry(ctx, l.Addr().String(), &carry)
		gomega.Expect(lacewingramp.RefusalOf(err).Verdict).To(gomega.Equal(lacewingramp.NotRun))
	})

	ginkgo.It("says that a request may have run where its connection broke", func(ctx context.Context) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		inner := listen(&service{}, cert.Settings{})
		go relayAndCut(l, inner)
		_, err = client(cert.Settings{}).Carry(ctx, l.Addr().String(), &carry)
		gomega.Expect(lacewingramp.RefusalOf(err).Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
	})

	ginkgo.It("opens a fresh connection after a heartbeat without an answer", func(ctx context.Context) {
		s := &service{block: make(chan struct{})}
		address := listen(s, cert.Settings{})
		ginkgo.DeferCleanup(func() { close(s.block) })
		c := client(cert.Settings{})
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := c.ExchangeDigests(short, address, hello)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(c.connections).To(gomega.BeEmpty())
		gone, err := c.CheckConnection(ctx, address, "a")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(gone).To(gomega.BeFalse())
		gone, _ = c.CheckConnection(ctx, address, "another life")
		gomega.Expect(gone).To(gomega.BeTrue())
	})

	ginkgo.It("refuses peers without a certificate of ours", func(ctx context.Context) {
		ours, theirs := authority(), authority()
		address := listen(&service{}, ours)
		_, err := client(ours).ExchangeDigests(ctx, address, hello)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, other := range []cert.Settings{{}, theirs, {Cert: theirs.Cert, Key: theirs.Key, CA: ours.CA}} {
			_, err := client(other).ExchangeDigests(ctx, address, hello)
			gomega.Expect(err).To(gomega.HaveOccurred())
		}
		plain := listen(&service{}, cert.Settings{})
		_, err = client(ours).ExchangeDigests(ctx, plain, hello)
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})

// relayAndCut passes one connection on and cuts it at the first answer to a
// call.
func relayAndCut(l net.Listener, to string) {
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

// authority makes an authority with one certificate.
func authority() cert.Settings {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	secret, err := x509.MarshalECPrivateKey(key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	public := string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}))
	private := string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}))
	return cert.Settings{Cert: public, Key: private, CA: public}
}
