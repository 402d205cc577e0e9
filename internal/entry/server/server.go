// Package server opens an instance's listeners: for callers, for peers and
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

// Timeouts of the HTTP listeners, against slow callers.
const (
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 64 << 10
	// stopTimeout bounds the wait for requests that still run.
	stopTimeout = 2 * time.Minute
)

// Settings say where an instance listens. Addresses of the instance that are
// empty are taken from its listeners.
type Settings struct {
	Instance instance.Settings
	// CallerListen, PeerListen and OperatorListen are IP numbers with ports.
	CallerListen   string
	PeerListen     string
	OperatorListen string
	// CallerTLS and PeerTLS are nil where TLS is off.
	CallerTLS *tls.Config
	PeerTLS   *tls.Config
	// Wrap, if set, stands between the instance and its peers, as a test's
	// network does.
	Wrap func(lacewingramp.Peer) lacewingramp.Peer
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

// Open opens the listeners. Nothing is answered before Start.
func Open(s Settings, p instance.Parts) (*Server, error) {
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
	if s.Wrap != nil {
		p.Peer = s.Wrap(v.client)
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
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
}

func (v *Server) closeListeners() {
	for _, l := range v.listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

// CallerAddress returns where callers are answered.
func (v *Server) CallerAddress() string {
	return v.listeners[0].Addr().String()
}

// OperatorAddress returns where operators are answered.
func (v *Server) OperatorAddress() string {
	return v.listeners[2].Addr().String()
}

// PeerAddress returns where peers are answered.
func (v *Server) PeerAddress() string {
	return v.listeners[1].Addr().String()
}

// Start answers on every listener and begins the instance's work.
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

// Stop ends the instance without cutting a request. When ctx ends it stops
// at once.
func (v *Server) Stop(ctx context.Context) {
	v.Instance.Leave(ctx)
	end, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	_ = v.callers.Shutdown(end)
	done := make(chan struct{})
	go func() {
		v.Instance.Close()
		v.peers.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-end.Done():
	}
	v.Kill()
}

// Kill ends everything at once, as a crash would.
func (v *Server) Kill() {
	_ = v.callers.Close()
	_ = v.operators.Close()
	v.peers.Stop()
	v.client.Close()
}
