package command

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"lacewingramp.example/lacewingramp/internal/entry/edge"
	"lacewingramp.example/lacewingramp/internal/report/meter"
	"lacewingramp.example/lacewingramp/internal/timer/wall"
	"lacewingramp.example/lacewingramp/platform"
)

const (
	// logLines is how many log lines wait for a slow reader. More are dropped
	// and counted.
	logLines = 4096
	// memoryPart is the part of the memory limit that the garbage collector
	// keeps to.
	memoryPart = 0.6
	// lookupIdle is how long a connection for look-ups may stay unused.
	lookupIdle = 30 * time.Second
)

// cmdServe runs one instance on the platform.
type cmdServe struct {
	output

	Settings string `long:"settings" env:"LACEWINGRAMP_SETTINGS" description:"path of the platform's settings file" required:"true"`
	Level    string `long:"log" env:"LACEWINGRAMP_LOG" default:"info" description:"least level of the log: debug, info, warn, error"`
	Metrics  int    `long:"metrics-port" env:"LACEWINGRAMP_METRICS_PORT" default:"9464" description:"port on which the metrics are served, 0 for none"`
}

// Execute runs the command until a signal.
func (c *cmdServe) Execute([]string) error {
	s, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return errors.Wrap(err, "--log")
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory) * memoryPart))
	}
	m := meter.New()
	lines := diode.NewWriter(os.Stdout, logLines, 0, m.Dropped)
	defer func() { _ = lines.Close() }()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(lines).Level(level).With().Timestamp().Str("instance", s.Instance).Logger()
	err = c.serve(s, m, log)
	log.Info().AnErr("error", err).Msg("ended")
	return err
}

// serve opens all listeners and runs the instance.
func (c *cmdServe) serve(s *platform.Settings, m *meter.Meter, log zerolog.Logger) error {
	hung := hangups()
	store := &platform.Store{Address: s.Store, Called: m.StoreCall}
	e := edge.New(edge.Settings{
		Name: s.Instance, Domain: s.Domain, Region: s.Region, Regions: s.Regions,
		Callers: s.Callers, Peer: net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)),
		Bootstrap: s.Bootstrap, Stop: s.Stop, LookupLife: s.LookupLife, Processor: s.Processor, Bandwidth: s.Bandwidth, ExposeShare: s.ExposeShare,
		RetryRatio: s.RetryRatio, RetryExtra: s.RetryExtra, RetryWindow: s.RetryWindow,
	}, edge.Parts{
		Store: store, Reader: platform.Reader{}, Writer: platform.Writer{}, Wire: platform.Wire{},
		Timer: wall.Timer{}, Log: log, Meter: m,
	})
	lookup := platform.LookupHandler(func(l platform.Lookup) platform.Found {
		addresses, life := e.Lookup(l.Host, l.Region)
		return platform.Found{Addresses: addresses, Life: life}
	})
	pages := []page{{s.Ready, platform.ReadyHandler(e.Ready)}, {s.Lookup, lookup}}
	if c.Metrics > 0 {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", m)
		pages = append(pages, page{net.JoinHostPort(s.IP, strconv.Itoa(c.Metrics)), mux})
	}
	for _, p := range pages {
		if err := p.open(log); err != nil {
			return err
		}
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	go c.reload(hung, s, log)
	log.Info().Str("domain", s.Domain).Str("callers", s.Callers).Str("store", s.Store).Msg("started")
	return e.Run(ctx)
}

// page is one address with what it serves.
type page struct {
	address string
	handler http.Handler
}

func (p page) open(log zerolog.Logger) error {
	l, err := net.Listen("tcp4", p.address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: p.handler, IdleTimeout: lookupIdle, ReadHeaderTimeout: lookupIdle}
	go func() {
		if err := server.Serve(l); err != nil {
			log.Error().Err(err).Str("address", p.address).Msg("a listener ended")
		}
	}()
	return nil
}

// hangups returns the hang-up signals of the process, until it ends: one that
// nobody waits for would end it, also in the middle of a stop.
func hangups() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// reload reads the settings again at each hang-up signal. A new address needs
// a new process, so a change of any is only logged.
func (c *cmdServe) reload(hung <-chan os.Signal, old *platform.Settings, log zerolog.Logger) {
	for range hung {
		s, err := platform.ReadSettings(c.Settings)
		if err != nil {
			log.Error().Err(err).Msg("the settings can not be read, the old ones stay in force")
			continue
		}
		log.Info().Bool("moved", s.Callers != old.Callers || s.Store != old.Store).Msg("settings read again")
	}
}
