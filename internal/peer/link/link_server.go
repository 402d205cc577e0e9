package link

import (
	"crypto/tls"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"lacewingramp.example/lacewingramp"
)

const (
	serverIdle = 30 * time.Second
	serverPing = 5 * time.Second
)

// NewServer returns a gRPC server that answers peers with service. With a TLS
// configuration it refuses peers whose certificate does not verify.
func NewServer(service lacewingramp.PeerService, config *tls.Config) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.ForceServerCodec(theCodec),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverIdle, Timeout: serverPing}),
	}
	if config != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(config)))
	}
	s := grpc.NewServer(options...)
	s.RegisterService(&description, service)
	return s
}
