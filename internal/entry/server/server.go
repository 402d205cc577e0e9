// Package server runs an instance with its listeners for callers, for peers and
// for operators.
//
// # Usage
//
//	s, err := server.Open(settings, deps)
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

// Open creates the instance and opens its listeners. It sets the Peer of deps to its own
// client. No request is served before Start.
func Open(settings Settings, deps instance.Dependencies) (*Server, error) {
	s := &Server{client: &link.Client{TLS: settings.PeerTLS}}
	for n, a := range []string{settings.CallerListen, settings.PeerListen, settings.OperatorListen} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			s.closeListeners()
			return nil, err
		}
		s.listeners[n] = l
	}
	if settings.Instance.Caller == "" {
		settings.Instance.Caller = s.CallerAddress()
	}
	if settings.Instance.Peer == "" {
		settings.Instance.Peer = s.listeners[1].Addr().String()
	}
	deps.Peer = s.client
	if settings.WrapPeer != nil {
		deps.Peer = settings.WrapPeer(s.client)
	}
	s.Instance = instance.New(settings.Instance, deps)
	s.callers = newHTTPServer(s.Instance.Front)
	s.callers.TLSConfig = settings.CallerTLS
	s.operators = newHTTPServer(operatorMux(s.Instance))
	s.peers = link.NewServer(s.Instance, settings.PeerTLS)
	return s, nil
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (s *Server) closeListeners() {
	for _, l := range s.listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

// CallerAddress returns the address of the listener for callers.
func (s *Server) CallerAddress() string {
	return s.listeners[0].Addr().String()
}

// OperatorAddress returns the address of the listener for operators.
func (s *Server) OperatorAddress() string {
	return s.listeners[2].Addr().String()
}

// PeerAddress returns the address of the listener for peers.
func (s *Server) PeerAddress() string {
	return s.listeners[1].Addr().String()
}

// Start serves requests on every listener and starts the instance.
func (s *Server) Start() {
	go func() {
		if s.callers.TLSConfig != nil {
			_ = s.callers.ServeTLS(s.listeners[0], "", "")
			return
		}
		_ = s.callers.Serve(s.listeners[0])
	}()
	go func() { _ = s.peers.Serve(s.listeners[1]) }()
	go func() { _ = s.operators.Serve(s.listeners[2]) }()
	s.Instance.Start()
}

// Stop lets the instance hand over its shards and leave, waits for the running requests
// and closes the listeners. It aborts the requests that still run when ctx ends or
// stopTimeout has passed.
func (s *Server) Stop(ctx context.Context) {
	s.Instance.Leave(ctx)
	stopCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	_ = s.callers.Shutdown(stopCtx)
	done := make(chan struct{})
	go func() {
		s.Instance.Close()
		s.peers.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-stopCtx.Done():
	}
	s.Kill()
}

// Kill closes the listeners and all connections immediately, like a crash of the
// process.
func (s *Server) Kill() {
	_ = s.callers.Close()
	_ = s.operators.Close()
	s.peers.Stop()
	s.client.Close()
}
