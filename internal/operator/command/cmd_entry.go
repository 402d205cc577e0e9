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

// cmdEntry runs one entry instance.
type cmdEntry struct {
	output

	Name     string   `long:"name" env:"LACEWINGRAMP_NAME" description:"name of the instance"`
	Domain   string   `long:"domain" env:"LACEWINGRAMP_DOMAIN" description:"failure domain of the instance"`
	Store    string   `long:"store" env:"LACEWINGRAMP_STORE" default:"http://127.0.0.1:2379" description:"base URL of the platform's store"`
	Caller   string   `long:"caller" env:"LACEWINGRAMP_CALLER" default:"127.0.0.1:7001" description:"address for callers"`
	Peer     string   `long:"peer" env:"LACEWINGRAMP_PEER" default:"127.0.0.1:7002" description:"address for other instances"`
	Operator string   `long:"operator-listen" env:"LACEWINGRAMP_OPERATOR_LISTEN" default:"127.0.0.1:7003" description:"address for operators"`
	CallerAt string   `long:"caller-at" env:"LACEWINGRAMP_CALLER_AT" description:"address told to callers, if not that of the listener"`
	PeerAt   string   `long:"peer-at" env:"LACEWINGRAMP_PEER_AT" description:"address told to other instances, if not that of the listener"`
	Seeds    []string `long:"seed" env:"LACEWINGRAMP_SEEDS" env-delim:"," description:"address of an instance to start from when the store is down; may be repeated"`
	Level    string   `long:"log" env:"LACEWINGRAMP_LOG" default:"info" description:"least level of the log: debug, info, warn, error"`

	Trace string `long:"trace" env:"LACEWINGRAMP_TRACE" description:"file to record every call of the quota to, for replay"`

	CallerCert string `long:"caller-cert" env:"LACEWINGRAMP_CALLER_CERT" description:"certificate for callers, as PEM or a path"`
	CallerKey  string `long:"caller-key" env:"LACEWINGRAMP_CALLER_KEY" description:"its key, as PEM or a path"`
	PeerCert   string `long:"peer-cert" env:"LACEWINGRAMP_PEER_CERT" description:"certificate between instances, as PEM or a path"`
	PeerKey    string `long:"peer-key" env:"LACEWINGRAMP_PEER_KEY" description:"its key, as PEM or a path"`
	PeerCA     string `long:"peer-ca" env:"LACEWINGRAMP_PEER_CA" description:"authority of the instances' certificates, as PEM or a path"`
}

// checked is the settings of an entry instance once they have been checked.
type checked struct {
	caller *tls.Config
	peer   *tls.Config
	level  zerolog.Level
}

// check returns every fault of the settings at once.
func (c *cmdEntry) check() (checked, error) {
	var out checked
	var faults []error
	var err error
	if c.Name == "" {
		faults = append(faults, errors.New("--name is missing"))
	}
	if c.Domain == "" {
		faults = append(faults, errors.New("--domain is missing"))
	}
	if u, err := url.Parse(c.Store); err != nil || u.Scheme == "" || u.Host == "" {
		faults = append(faults, fmt.Errorf("--store %q: want a URL such as http://127.0.0.1:2379", c.Store))
	}
	for _, a := range c.addresses() {
		if _, err := netip.ParseAddrPort(a.value); err != nil && a.value != "" {
			faults = append(faults, fmt.Errorf("--%s %q: want an IP number with a port", a.name, a.value))
		}
	}
	if out.level, err = zerolog.ParseLevel(c.Level); err != nil {
		faults = append(faults, fmt.Errorf("--log %q: want debug, info, warn or error", c.Level))
	}
	if out.caller, err = cert.Callers(cert.Settings{Cert: c.CallerCert, Key: c.CallerKey}); err != nil {
		faults = append(faults, fmt.Errorf("--caller-cert, --caller-key: %w", err))
	}
	if out.peer, err = cert.Peers(cert.Settings{Cert: c.PeerCert, Key: c.PeerKey, CA: c.PeerCA}); err != nil {
		faults = append(faults, fmt.Errorf("--peer-cert, --peer-key, --peer-ca: %w", err))
	}
	return out, errors.Join(faults...)
}

// setting is an option with its value.
type setting struct {
	name  string
	value string
}

func (c *cmdEntry) addresses() []setting {
	all := []setting{
		{"caller", c.Caller}, {"peer", c.Peer}, {"operator-listen", c.Operator},
		{"caller-at", c.CallerAt}, {"peer-at", c.PeerAt},
	}
	for _, s := range c.Seeds {
		all = append(all, setting{"seed", s})
	}
	return all
}

// Execute runs the command until a signal. The first asks for a stop that
// cuts no request, the second ends the process at once.
func (c *cmdEntry) Execute([]string) error {
	ok, err := c.check()
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(ok.level).With().Timestamp().Str("instance", c.Name).Logger()
	s, err := server.Open(server.Settings{
		Instance: instance.Settings{
			Name: c.Name, Domain: c.Domain, Caller: c.CallerAt, Peer: c.PeerAt, Seeds: c.Seeds,
		},
		CallerListen: c.Caller, PeerListen: c.Peer, OperatorListen: c.Operator,
		CallerTLS: ok.caller, PeerTLS: ok.peer,
	}, instance.Parts{Store: &etcd.Client{Address: c.Store}, Timer: wall.Timer{}, Log: log})
	if err != nil {
		return err
	}
	if c.Trace != "" {
		f, err := os.Create(c.Trace)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		replay.Record(f, s.Instance.State.Self.Name, s.Instance.State.Quota)
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
