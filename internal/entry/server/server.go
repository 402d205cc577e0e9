// Package server runs an instance with its listeners for callers, for peers and
// for operators.
//
// # Usage
//
//	s, err := server.Open(settings, parts)
//	s.Start()
//	...
//	s.Stop(ctx)
package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"google.golang.org/grpc"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/entry/instance"
	"lacewingramp.example/lacewingramp/internal/peer/link"
)

// Limits of the HTTP listeners, which protect them against slow callers.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	// stopTimeout is the maximum time that Stop waits for running requests, counted
	// from when Instance.Leave has returned.
	stopTimeout = 2 * time.Minute
)

// Settings are the settings of an instance and its listeners. If the caller or peer
// address in Instance is empty, the address of the listener is used.
type Settings struct {
	Instance instance.Settings
	// CallerListen, PeerListen and OperatorListen are IP addresses with ports.
	CallerListen   string
	PeerListen     string
	OperatorListen string
	// CallerTLS and PeerTLS are nil if TLS is off.
	CallerTLS *tls.Config
	PeerTLS   *tls.Config
	// WrapPeer, if set, wraps the client through which the instance calls its peers.
	// Tests use it to simulate the network.
	WrapPeer func(lacewingramp.Peer) lacewingramp.Peer
}

// Server is an instance with its listeners.
type Server struct {
	Instance *instance.Instance

	callers   *http.Server
	operators *http.Server
	peers     *grpc.Server
	listeners [3]net.Listener
	client    *link.Client
}

// Open creates the instance and opens its listeners. No request is served before
// Start.
func Open(s Settings, p instance.Dependencies) (*Server, error) {
	v := &Server{client: &link.Client{TLS: s.PeerTLS}}
	for n, a := range []string{s.CallerListen, s.PeerListen, s.OperatorListen} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			v.closeListeners()
			return nil, err
		}
		v.listeners[n] = l
	}
	if s.Instance.Caller == "" {
		s.Instance.Caller = v.CallerAddress()
	}
	if s.Instance.Peer == "" {
		s.Instance.Peer = v.listeners[1].Addr().String()
	}
	p.Peer = v.client
	if s.WrapPeer != nil {
		p.Peer = s.WrapPeer(v.client)
	}
	v.Instance = instance.New(s.Instance, p)
	v.callers = newHTTP(v.Instance.Front)
	v.callers.TLSConfig = s.CallerTLS
	v.operators = newHTTP(operatorMux(v.Instance))
	v.peers = link.NewServer(v.Instance, s.PeerTLS)
	return v, nil
}

func newHTTP(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (v *Server) closeListeners() {
	for _, l := range v.listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

// CallerAddress returns the address of the listener for callers.
func (v *Server) CallerAddress() string {
	return v.listeners[0].Addr().String()
}

// OperatorAddress returns the address of the listener for operators.
func (v *Server) OperatorAddress() string {
	return v.listeners[2].Addr().String()
}

// PeerAddress returns the address of the listener for peers.
func (v *Server) PeerAddress() string {
	return v.listeners[1].Addr().String()
}

// Start serves requests on every listener and starts the instance.
func (v *Server) Start() {
	go func() {
		if v.callers.TLSConfig != nil {
			_ = v.callers.ServeTLS(v.listeners[0], "", "")
			return
		}
		_ = v.callers.Serve(v.listeners[0])
	}()
	go func() { _ = v.peers.Serve(v.listeners[1]) }()
	go func() { _ = v.operators.Serve(v.listeners[2]) }()
	v.Instance.Start()
}

// Stop lets the instance hand over its shards and leave, waits for the running requests
// and closes the listeners. It aborts the requests that still run when ctx ends or
// stopTimeout has passed.
func (v *Server) Stop(ctx context.Context) {
	v.Instance.Leave(ctx)
	stopCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	_ = v.callers.Shutdown(stopCtx)
	done := make(chan struct{})
	go func() {
		v.Instance.Close()
		v.peers.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-stopCtx.Done():
	}
	v.Kill()
}

// Kill closes the listeners and all connections immediately, like a crash of the
// process.
func (v *Server) Kill() {
	_ = v.callers.Close()
	_ = v.operators.Close()
	v.peers.Stop()
	v.client.Close()
}
