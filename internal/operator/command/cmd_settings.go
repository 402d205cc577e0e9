package command

import (
	"fmt"
	"text/tabwriter"

	"lacewingramp.example/lacewingramp/platform"
)

// cmdSettings prints the settings that an instance on the platform would use.
type cmdSettings struct {
	output

	Settings string `long:"settings" env:"LACEWINGRAMP_SETTINGS" description:"path of the platform's settings file" required:"true"`
}

// Execute reads the settings file and prints the name, value and meaning of each
// setting.
func (c *cmdSettings) Execute([]string) error {
	s, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	usage := "off"
	if s.Usage != nil {
		usage = fmt.Sprintf("%s every %s, lease %s, within %s", s.Usage.Address, s.Usage.Window, s.Usage.Lease, s.Usage.MaxDelay)
	}
	t := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, setting := range []struct {
		name        string
		value       any
		description string
	}{
		{"instance", s.Instance, "name of the instance (the machine's name)"},
		{"domain", s.Domain, "failure domain"},
		{"region", s.Region, "region of the domain"},
		{"callers", s.CallerAddress, "listen address for callers"},
		{"lookup", s.Lookup, "listen address for lookups"},
		{"ready", s.Ready, "listen address for the platform's readiness checks"},
		{"peer", fmt.Sprintf("%s:%d", s.IP, s.PeerPort), "listen address for other instances"},
		{"relay-port", s.RelayPort, "port for requests that other instances relay, 0 for none"},
		{"store", s.Store, "address of the platform's store"},
		{"bootstrap", s.Bootstrap, "whether the deployment starts for the first time"},
		{"stop", s.StopTimeout, "maximum duration of a graceful stop"},
		{"lookup-life", s.MaxLookupTTL, "maximum time for which callers may cache the response to a lookup"},
		{"retry-ratio", s.RetryRatio, "retries allowed per request on average, fleet-wide"},
		{"retry-extra", s.RetryExtra, "additional retries allowed per retry-window, fleet-wide"},
		{"retry-window", s.RetryWindow, "window in which requests and retries are counted"},
		{"expose-share", s.MaxCanaryFraction, "maximum fraction of a service's requests that a version under test receives"},
		{"usage-reports", usage, "where and how often usage is reported to the platform"},
		{"memory", s.Memory, "memory limit of the process in bytes"},
		{"processor", s.CPUs, "CPU limit of the process in CPUs, 0 if unknown"},
		{"bandwidth", s.Bandwidth, "bandwidth of the machine's network link in bit/s, 0 if unknown"},
	} {
		_, _ = fmt.Fprintf(t, "%s\t%v\t%s\n", setting.name, setting.value, setting.description)
	}
	return t.Flush()
}
