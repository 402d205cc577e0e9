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

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"lacewingramp.example/lacewingramp/internal/entry/edge"
	"lacewingramp.example/lacewingramp/internal/report/meter"
	"lacewingramp.example/lacewingramp/internal/timer/boot"
	"lacewingramp.example/lacewingramp/internal/timer/wall"
	"lacewingramp.example/lacewingramp/platform"
)

const (
	// logBufferLines is the number of log lines that are buffered while the reader of
	// the standard output is slow. Further lines are dropped and counted.
	logBufferLines = 4096
	// memoryLimitFraction times the process's memory limit is the soft memory limit of
	// the Go runtime. docs/design/bodies.md lists what the process takes beside.
	memoryLimitFraction = 0.34
	// maxHeapFraction times the memory limit of the process is the memory of the Go runtime beyond which requests are
	// refused: garbage has not been collected in time.
	maxHeapFraction = 0.40
)

// cmdServe runs an instance on the platform, which provides its settings file.
type cmdServe struct {
	output

	Settings    string `long:"settings" env:"LACEWINGRAMP_SETTINGS" description:"path of the platform's settings file" required:"true"`
	Level       string `long:"log" env:"LACEWINGRAMP_LOG" default:"info" description:"minimum log level: debug, info, warn, error"`
	MetricsPort int    `long:"metrics-port" env:"LACEWINGRAMP_METRICS_PORT" default:"9464" description:"port of the metrics listener, 0 for none"`
}

// Execute runs the instance until SIGTERM or SIGINT. Log lines go to the standard
// output.
func (c *cmdServe) Execute([]string) error {
	s, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return errors.Wrap(err, "invalid --log")
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory) * memoryLimitFraction))
	}
	m := meter.New()
	logWriter := diode.NewWriter(os.Stdout, logBufferLines, 0, m.LogLinesDropped)
	defer func() { _ = logWriter.Close() }()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(logWriter).Level(level).With().Timestamp().Str("instance", s.Instance).Logger()
	err = c.run(s, m, log)
	log.Info().AnErr("error", err).Msg("ended")
	return err
}

// run starts the listeners for lookups, readiness and metrics and runs the
// instance.
func (c *cmdServe) run(s *platform.Settings, m *meter.Meter, log zerolog.Logger) error {
	hangup := notifyHangup()
	storeClient := &platform.Store{Address: s.Store, OnCall: m.StoreCall}
	relay := ""
	if s.RelayPort > 0 {
		relay = net.JoinHostPort(s.IP, strconv.Itoa(s.RelayPort))
	}
	usageSettings, usageDependencies := usageReports(s, storeClient)
	e := edge.New(edge.Settings{
		Name: s.Instance, Domain: s.Domain, Region: s.Region, Regions: s.Regions,
		CallerAddress: s.CallerAddress, Peer: net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)), Relay: relay,
		Bootstrap: s.Bootstrap, StopTimeout: s.StopTimeout, MaxLookupTTL: s.MaxLookupTTL, CPUs: s.CPUs, Bandwidth: s.Bandwidth, Memory: s.Memory, MaxHeap: int64(float64(s.Memory) * maxHeapFraction), MaxDescriptors: s.MaxDescriptors, MaxCanaryFraction: s.MaxCanaryFraction,
		RetryRatio: s.RetryRatio, RetryExtra: s.RetryExtra, RetryWindow: s.RetryWindow,
		Usage: usageSettings,
	}, edge.Dependencies{
		Store: storeClient, EventDecoder: platform.EventDecoder{}, DocumentEncoder: platform.DocumentEncoder{}, HeaderCodec: platform.HeaderCodec{},
		Timer: wall.Timer{}, Log: log, Meter: m, Usage: usageDependencies,
	})
	lookupHandler := platform.LookupHandler(func(l platform.Lookup) platform.LookupResult {
		addresses, lifetime := e.Lookup(l.Host, l.Region)
		return platform.LookupResult{Addresses: addresses, Lifetime: lifetime}
	})
	if err := e.ServeLookups(s.Lookup, lookupHandler); err != nil {
		return errors.Wrap(err, "serve lookups")
	}
	if err := e.ServeChecks(s.Ready, platform.ReadyHandler(e.Ready)); err != nil {
		return errors.Wrap(err, "serve readiness checks")
	}
	if c.MetricsPort > 0 {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", m)
		if err := e.ServeChecks(net.JoinHostPort(s.IP, strconv.Itoa(c.MetricsPort)), mux); err != nil {
			return errors.Wrap(err, "serve metrics")
		}
	}
	ctx := notifyStop()
	go c.checkOnHangup(hangup, s, log)
	log.Info().Str("domain", s.Domain).Str("callers", s.CallerAddress).Str("store", s.Store).Msg("started")
	return e.Run(ctx)
}

// usageReports returns what usage reports need, nil if the settings do not ask for them.
func usageReports(s *platform.Settings, store *platform.Store) (*edge.UsageSettings, *edge.UsageDependencies) {
	if s.Usage == nil {
		return nil, nil
	}
	settings := &edge.UsageSettings{
		Window: s.Usage.Window, MaxDelay: s.Usage.MaxDelay, Lease: s.Usage.Lease, CallsPerSecond: s.Usage.CallsPerSecond,
	}
	return settings, &edge.UsageDependencies{
		Store: store, Platform: &platform.UsageReports{Address: s.Usage.Address, Instance: s.Instance}, Now: boot.New().Now,
	}
}

// notifyStop returns a context that ends at the first signal to stop. Further ones are ignored for
// the lifetime of the process: they would terminate it before it has stopped gracefully.
func notifyStop() context.Context {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-c
		cancel()
	}()
	return ctx
}

// notifyHangup returns a channel that receives SIGHUP for the lifetime of the
// process. An unhandled SIGHUP would terminate the process, even during a graceful
// stop.
func notifyHangup() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// checkOnHangup reads and checks the settings file on each SIGHUP, without applying it:
// new settings take effect only when the process is restarted. It logs whether the
// address for callers or the address of the store has changed.
func (c *cmdServe) checkOnHangup(hangup <-chan os.Signal, current *platform.Settings, log zerolog.Logger) {
	for range hangup {
		s, err := platform.ReadSettings(c.Settings)
		if err != nil {
			log.Error().Err(err).Msg("failed to read the settings file, keeping the current settings")
			continue
		}
		log.Info().Bool("moved", s.CallerAddress != current.CallerAddress || s.Store != current.Store).Msg("settings file checked, changes take effect at a restart")
	}
}
