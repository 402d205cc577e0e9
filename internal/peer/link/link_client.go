package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"lacewingramp.example/lacewingramp"
)

// Client is a lacewingramp.Peer over gRPC. Its zero value is ready for use without
// TLS. It is safe for use by more than one goroutine.
type Client struct {
	// TLS is the TLS configuration, nil for connections without TLS.
	TLS *tls.Config

	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
}

// reconnectDelay is the constant delay between two attempts to connect.
const reconnectDelay = 200 * time.Millisecond

func (c *Client) dial(address string) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if c.TLS != nil {
		creds = credentials.NewTLS(c.TLS)
	}
	b := backoff.Config{BaseDelay: reconnectDelay, Multiplier: 1, MaxDelay: reconnectDelay}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(cborCodec), grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: b, MinConnectTimeout: time.Second}),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", a)
		}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
	)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

func (c *Client) connectionTo(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.connections[address]; ok {
		return conn, nil
	}
	conn, err := c.dial(address)
	if err != nil {
		return nil, err
	}
	if c.connections == nil {
		c.connections = make(map[string]*grpc.ClientConn)
	}
	c.connections[address] = conn
	return conn, nil
}

// closeConnection closes a connection, so that the next call opens a new one.
func (c *Client) closeConnection(address string, conn *grpc.ClientConn) {
	c.mu.Lock()
	if c.connections[address] == conn {
		delete(c.connections, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, conn := range c.connections {
		_ = conn.Close()
		delete(c.connections, a)
	}
}

func invoke[O any](ctx context.Context, conn *grpc.ClientConn, name string, in any) (*O, error) {
	out := new(O)
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+name, in, out); err != nil {
		return nil, err
	}
	return out, nil
}

func call[O any](ctx context.Context, c *Client, address, name string, in any) (*O, error) {
	conn, err := c.connectionTo(address)
	if err != nil {
		return nil, err
	}
	return invoke[O](ctx, conn, name, in)
}

// ExchangeDigests sends d and returns the digest of the other instance. It closes
// the connection if the call fails.
func (c *Client) ExchangeDigests(ctx context.Context, address string, d *lacewingramp.Digest) (*lacewingramp.Digest, error) {
	conn, err := c.connectionTo(address)
	if err != nil {
		return nil, err
	}
	out, err := invoke[lacewingramp.Digest](ctx, conn, "Beat", d)
	if err != nil {
		c.closeConnection(address, conn)
	}
	return out, err
}

// Table returns the Table that is in force at the other instance.
func (c *Client) Table(ctx context.Context, address string) (*lacewingramp.Table, error) {
	return call[lacewingramp.Table](ctx, c, address, "Table", &Empty{})
}

// RequestLoan requests a loan of quota.
func (c *Client) RequestLoan(ctx context.Context, address string, r *lacewingramp.LoanRequest) (*lacewingramp.Loan, error) {
	return call[lacewingramp.Loan](ctx, c, address, "Lend", r)
}

// Extend requests another term for a loan.
func (c *Client) Extend(ctx context.Context, address string, e *lacewingramp.Extend) (*lacewingramp.LoanExtension, error) {
	return call[lacewingramp.LoanExtension](ctx, c, address, "Extend", e)
}

// RecallLoan asks the borrower to return a loan immediately.
func (c *Client) RecallLoan(ctx context.Context, address string, e *lacewingramp.Extend) (*lacewingramp.LoanReturn, error) {
	return call[lacewingramp.LoanReturn](ctx, c, address, "Recall", e)
}

// ReturnLoan returns a loan before its term ends.
func (c *Client) ReturnLoan(ctx context.Context, address string, r *lacewingramp.LoanReturn) error {
	_, err := call[Empty](ctx, c, address, "GiveBack", r)
	return err
}

// Handover requests a shard from its holder, or hands a shard over.
func (c *Client) Handover(ctx context.Context, address string, h *lacewingramp.Handover) (*lacewingramp.ShardTransfer, error) {
	return call[lacewingramp.ShardTransfer](ctx, c, address, "Give", h)
}

// ForwardRequest forwards a request to the other instance. Every error is a *Refusal.
// Its verdict is NotRun if the other instance has certainly not run the request, and
// MayHaveRun otherwise.
func (c *Client) ForwardRequest(ctx context.Context, address string, r *lacewingramp.ForwardRequest) (*lacewingramp.Response, error) {
	out, err := call[lacewingramp.Response](ctx, c, address, "Carry", r)
	if err == nil {
		return out, nil
	}
	refusal := &lacewingramp.Refusal{
		Verdict: lacewingramp.MayHaveRun, Cause: lacewingramp.CausePeer, Detail: status.Code(err).String(),
	}
	if didNotRun(err) {
		refusal.Verdict = lacewingramp.NotRun
	}
	return nil, refusal
}

// didNotRun reports whether an error implies that the other instance did not run
// the request: it does not know the method, the message is too large, or the
// connection could not be established.
func didNotRun(err error) bool {
	s := status.Convert(err)
	switch s.Code() {
	case codes.Unimplemented, codes.ResourceExhausted:
		return true
	case codes.Unavailable:
		return isDialError(s.Message())
	default:
		return false
	}
}

// CheckConnection opens a new connection and requests the name of the instance that
// responds on it. replaced is set if that is not name.
func (c *Client) CheckConnection(ctx context.Context, address, name string) (replaced bool, err error) {
	conn, err := c.dial(address)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	n, err := invoke[Name](ctx, conn, "Name", &Empty{})
	if err != nil {
		return false, err
	}
	return n.Name != name, nil
}

var _ lacewingramp.Peer = (*Client)(nil)
