package exchange_test

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/call/exchange"
	"lacewingramp.example/lacewingramp/internal/proof/rawtarget"
)

// silentDialer opens connections whose target falls silent during an upload: the write takes the
// error of the socket, and the read after it ends.
type silentDialer struct{ net.Dialer }

func (d *silentDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	return silentConn{c}, err
}

type silentConn struct{ net.Conn }

func (c silentConn) Write(p []byte) (int, error) {
	if len(p) < rawtarget.LongUpload {
		return c.Conn.Write(p)
	}
	return 1, syscall.ETIMEDOUT
}

func (silentConn) Read([]byte) (int, error) { return 0, io.EOF }

// Guards against a target that is taken for one that has crashed, as it falls silent during an
// upload: the requests that it was running would then count as crashing ones.
var _ = ginkgo.It("a connection that is lost during an upload was not broken by its target", func(ctx context.Context) {
	c := &exchange.Client{HeaderCodec: testCodec{}, Dialer: &silentDialer{}}
	r := c.Do(ctx, upload(startRaw(rawtarget.Script{Answer: ""}), "POST", rawtarget.LongUpload))
	gomega.Expect(r.ConnectionLost).To(gomega.BeTrue())
	gomega.Expect(r.ConnectionBroken).To(gomega.BeFalse())
})
