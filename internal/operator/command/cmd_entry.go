package command

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"lacewingramp.example/lacewingramp/internal/entry/instance"
	"lacewingramp.example/lacewingramp/internal/entry/server"
	"lacewingramp.example/lacewingramp/internal/peer/cert"
	"lacewingramp.example/lacewingramp/internal/platform/etcd"
	"lacewingramp.example/lacewingramp/internal/timer/wall"
	"lacewingramp.example/lacewingramp/internal/trace/replay"
)

// cmdEntry runs an instance that is configured by options instead of the platform's
// settings file.
type cmdEntry struct {
	output

	Name            string   `long:"name" env:"LACEWINGRAMP_NAME" description:"name of the instance"`
	Domain          string   `long:"domain" env:"LACEWINGRAMP_DOMAIN" description:"failure domain of the instance"`
	Store           string   `long:"store" env:"LACEWINGRAMP_STORE" default:"http://127.0.0.1:2379" description:"base URL of the platform's store"`
	Caller          string   `long:"caller" env:"LACEWINGRAMP_CALLER" default:"127.0.0.1:7001" description:"listen address for callers"`
	Peer            string   `long:"peer" env:"LACEWINGRAMP_PEER" default:"127.0.0.1:7002" description:"listen address for other instances"`
	Operator        string   `long:"operator-listen" env:"LACEWINGRAMP_OPERATOR_LISTEN" default:"127.0.0.1:7003" description:"listen address for operators"`
	CallerAdvertise string   `long:"caller-at" env:"LACEWINGRAMP_CALLER_AT" description:"address advertised to callers, if different from the listen address"`
	PeerAdvertise   string   `long:"peer-at" env:"LACEWINGRAMP_PEER_AT" description:"address advertised to other instances, if different from the listen address"`
	SeedAddresses   []string `long:"seed" env:"LACEWINGRAMP_SEEDS" env-delim:"," description:"address of an instance to fetch the table from at start if the store is down; may be repeated"`
	Level           string   `long:"log" env:"LACEWINGRAMP_LOG" default:"info" description:"minimum log level: debug, info, warn, error"`

	Trace string `long:"trace" env:"LACEWINGRAMP_TRACE" description:"file to record all quota calls in, for the command replay"`

	CallerCert string `long:"caller-cert" env:"LACEWINGRAMP_CALLER_CERT" description:"server certificate for callers, as PEM or a path"`
	CallerKey  string `long:"caller-key" env:"LACEWINGRAMP_CALLER_KEY" description:"private key of the caller certificate, as PEM or a path"`
	PeerCert   string `long:"peer-cert" env:"LACEWINGRAMP_PEER_CERT" description:"certificate for connections between instances, as PEM or a path"`
	PeerKey    string `long:"peer-key" env:"LACEWINGRAMP_PEER_KEY" description:"private key of the peer certificate, as PEM or a path"`
	PeerCA     string `long:"peer-ca" env:"LACEWINGRAMP_PEER_CA" description:"CA of the instances' certificates, as PEM or a path"`
}

// entryConfig holds the parsed values of those options of cmdEntry that need parsing.
type entryConfig struct {
	callerTLS *tls.Config
	peerTLS   *tls.Config
	logLevel  zerolog.Level
}

// validate checks and parses the options. The error lists all invalid ones.
func (c *cmdEntry) validate() (entryConfig, error) {
	var config entryConfig
	var invalid []error
	var err error
	if c.Name == "" {
		invalid = append(invalid, errors.New("--name is required"))
	}
	if c.Domain == "" {
		invalid = append(invalid, errors.New("--domain is required"))
	}
	if u, err := url.Parse(c.Store); err != nil || u.Scheme == "" || u.Host == "" {
		invalid = append(invalid, fmt.Errorf("invalid --store %q: expected a URL such as http://127.0.0.1:2379", c.Store))
	}
	for _, option := range c.addresses() {
		if _, err := netip.ParseAddrPort(option.value); err != nil && option.value != "" {
			invalid = append(invalid, fmt.Errorf("invalid --%s %q: expected an IP address and port", option.name, option.value))
		}
	}
	if config.logLevel, err = zerolog.ParseLevel(c.Level); err != nil {
		invalid = append(invalid, fmt.Errorf("invalid --log %q: expected debug, info, warn or error", c.Level))
	}
	if config.callerTLS, err = cert.CallerConfig(cert.Settings{Cert: c.CallerCert, Key: c.CallerKey}); err != nil {
		invalid = append(invalid, fmt.Errorf("--caller-cert, --caller-key: %w", err))
	}
	if config.peerTLS, err = cert.PeerConfig(cert.Settings{Cert: c.PeerCert, Key: c.PeerKey, CA: c.PeerCA}); err != nil {
		invalid = append(invalid, fmt.Errorf("--peer-cert, --peer-key, --peer-ca: %w", err))
	}
	return config, errors.Join(invalid...)
}

// addressOption is the name of an option and the address that it is set to.
type addressOption struct {
	name  string
	value string
}

func (c *cmdEntry) addresses() []addressOption {
	all := []addressOption{
		{"caller", c.Caller}, {"peer", c.Peer}, {"operator-listen", c.Operator},
		{"caller-at", c.CallerAdvertise}, {"peer-at", c.PeerAdvertise},
	}
	for _, seed := range c.SeedAddresses {
		all = append(all, addressOption{"seed", seed})
	}
	return all
}

// Execute runs the instance until SIGTERM or SIGINT. The first signal starts a
// graceful stop that completes all requests; the second stops immediately.
func (c *cmdEntry) Execute([]string) error {
	config, err := c.validate()
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(config.logLevel).With().Timestamp().Str("instance", c.Name).Logger()
	s, err := server.Open(server.Settings{
		Instance: instance.Settings{
			Name: c.Name, Domain: c.Domain, Caller: c.CallerAdvertise, Peer: c.PeerAdvertise, SeedAddresses: c.SeedAddresses,
		},
		CallerListen: c.Caller, PeerListen: c.Peer, OperatorListen: c.Operator,
		CallerTLS: config.callerTLS, PeerTLS: config.peerTLS,
	}, instance.Dependencies{Store: &etcd.Client{Address: c.Store}, Timer: wall.Timer{}, Log: log})
	if err != nil {
		return err
	}
	if c.Trace != "" {
		f, err := os.Create(c.Trace)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		replay.StartRecording(f, s.Instance.State.Self.Name, s.Instance.State.Quota)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	s.Start()
	log.Info().Str("caller", s.CallerAddress()).Str("peer", s.PeerAddress()).Str("operator", s.OperatorAddress()).Msg("listening")
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-signals
		cancel()
	}()
	s.Stop(ctx)
	return nil
}
