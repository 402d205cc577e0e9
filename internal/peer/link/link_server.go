package link

import (
	"crypto/tls"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"lacewingramp.example/lacewingramp"
)

// A connection on which nothing arrives for keepaliveTime is pinged, and closed if
// the ping is not answered within keepaliveTimeout.
const (
	keepaliveTime    = 30 * time.Second
	keepaliveTimeout = 5 * time.Second
)

// NewServer returns a gRPC server that serves the calls of other instances with
// service. config is nil for a server without TLS. With the configuration that
// cert.PeerConfig returns, it refuses clients without a valid certificate.
func NewServer(service lacewingramp.PeerService, config *tls.Config) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.ForceServerCodec(cborCodec),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}
	if config != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(config)))
	}
	s := grpc.NewServer(options...)
	s.RegisterService(&serviceDesc, service)
	return s
}
