// Package link implements calls between instances over gRPC. The messages are the
// types of package lacewingramp, encoded as CBOR with the keys of their cbor tags, or
// the names of their json tags if they have no cbor tags. A message is checked when it
// is decoded.
//
// A connection can stop responding without an error. An exchange of digests that fails
// or times out therefore closes its connection, and the next call opens a new
// one. Calls that were in flight on the closed connection return an error; the
// verdict on a forwarded request is then that it may have run.
//
// # Usage
//
//	client := &link.Client{}
//	defer client.Close()
//	digest, err := client.ExchangeDigests(ctx, "127.0.0.1:7001", own)
//
//	server := link.NewServer(service, nil)
//	err = server.Serve(listener)
package link

import (
	"context"

	"google.golang.org/grpc"

	"lacewingramp.example/lacewingramp"
)

// MaxMessageBytes is the maximum size of a message between instances.
const MaxMessageBytes = 16 << 20

const serviceName = "lacewingramp.Peer"

// Empty is a message without fields.
type Empty struct{}

// Name is the reply to a call for the name of an instance.
type Name struct {
	Name string `json:"name"`
}

// unaryMethod is the implementation of one gRPC method.
type unaryMethod[I, O any] func(s lacewingramp.PeerService, ctx context.Context, in *I) (*O, error)

func newMethodDesc[I, O any](name string, call unaryMethod[I, O]) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			in := new(I)
			if err := decode(in); err != nil {
				return nil, err
			}
			s, _ := srv.(lacewingramp.PeerService)
			return call(s, ctx, in)
		},
	}
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*lacewingramp.PeerService)(nil),
	Methods: []grpc.MethodDesc{
		newMethodDesc("Beat", lacewingramp.PeerService.ServeExchangeDigests),
		newMethodDesc("Table", func(s lacewingramp.PeerService, ctx context.Context, _ *Empty) (*lacewingramp.Table, error) {
			return s.ServeTable(ctx)
		}),
		newMethodDesc("Lend", lacewingramp.PeerService.ServeRequestLoan),
		newMethodDesc("Extend", lacewingramp.PeerService.ServeExtendLoan),
		newMethodDesc("Recall", lacewingramp.PeerService.ServeRecallLoan),
		newMethodDesc("GiveBack", func(s lacewingramp.PeerService, ctx context.Context, r *lacewingramp.LoanReturn) (*Empty, error) {
			return &Empty{}, s.ServeReturnLoan(ctx, r)
		}),
		newMethodDesc("Give", lacewingramp.PeerService.ServeHandover),
		newMethodDesc("Carry", lacewingramp.PeerService.ServeForwardRequest),
		newMethodDesc("Name", func(s lacewingramp.PeerService, ctx context.Context, _ *Empty) (*Name, error) {
			return &Name{Name: s.ServeName(ctx)}, nil
		}),
	},
}
