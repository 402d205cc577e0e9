// Package link connects instances over gRPC. Messages are the domain types
// themselves, encoded as CBOR by a library under their json tags, and check
// themselves when they are decoded.
//
// A connection can go silent without an error. A heartbeat that is not
// answered in time ends its connection, so that the next call opens a fresh
// one; calls that were waiting on it end with the verdict that they may have
// run.
//
// # Usage
//
//	client := &link.Client{}
//	defer client.Close()
//	digest, err := client.Beat(ctx, "127.0.0.1:7001", mine)
//
//	server := link.NewServer(service, nil)
//	err = server.Serve(listener)
package link

import (
	"context"

	"google.golang.org/grpc"

	"lacewingramp.example/lacewingramp"
)

// MaxMessageBytes bounds a message between instances.
const MaxMessageBytes = 16 << 20

const serviceName = "lacewingramp.Peer"

// Empty is a message without content.
type Empty struct{}

// Name is an instance's name.
type Name struct {
	Name string `json:"name"`
}

type method[I, O any] func(s lacewingramp.PeerService, ctx context.Context, in *I) (*O, error)

func describe[I, O any](name string, call method[I, O]) grpc.MethodDesc {
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

var description = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*lacewingramp.PeerService)(nil),
	Methods: []grpc.MethodDesc{
		describe("Beat", lacewingramp.PeerService.ServeExchangeDigests),
		describe("Table", func(s lacewingramp.PeerService, ctx context.Context, _ *Empty) (*lacewingramp.Table, error) {
			return s.ServeTable(ctx)
		}),
		describe("Lend", lacewingramp.PeerService.ServeRequestLoan),
		describe("Extend", lacewingramp.PeerService.ServeExtendLoan),
		describe("Recall", lacewingramp.PeerService.ServeRecallLoan),
		describe("GiveBack", func(s lacewingramp.PeerService, ctx context.Context, r *lacewingramp.Return) (*Empty, error) {
			return &Empty{}, s.ServeReturnLoan(ctx, r)
		}),
		describe("Give", lacewingramp.PeerService.ServeTransferShard),
		describe("Carry", lacewingramp.PeerService.ServeForward),
		describe("Name", func(s lacewingramp.PeerService, ctx context.Context, _ *Empty) (*Name, error) {
			return &Name{Name: s.ServeName(ctx)}, nil
		}),
	},
}
