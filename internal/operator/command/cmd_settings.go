package command

import (
	"fmt"
	"text/tabwriter"

	"lacewingramp.example/lacewingramp/platform"
)

// cmdSettings prints the settings that an instance would run with.
type cmdSettings struct {
	output

	Settings string `long:"settings" env:"LACEWINGRAMP_SETTINGS" description:"path of the platform's settings file" required:"true"`
}

// Execute runs the command.
func (c *cmdSettings) Execute([]string) error {
	s, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, r := range []struct {
		name  string
		value any
		about string
	}{
		{"instance", s.Instance, "name of the machine"},
		{"domain", s.Domain, "failure domain"},
		{"region", s.Region, "region of the domain"},
		{"callers", s.Callers, "address for callers"},
		{"lookup", s.Lookup, "address for look-ups"},
		{"ready", s.Ready, "address on which the platform asks whether the instance is ready"},
		{"peer", fmt.Sprintf("%s:%d", s.IP, s.PeerPort), "address for other instances"},
		{"store", s.Store, "address of the platform's store"},
		{"bootstrap", s.Bootstrap, "whether the whole deployment starts for the first time"},
		{"stop", s.Stop, "time that a stop may take"},
		{"lookup-life", s.LookupLife, "longest time for which callers may keep a look-up"},
		{"retry-ratio", s.RetryRatio, "repeats that a request allows, over all instances"},
		{"retry-extra", s.RetryExtra, "repeats allowed besides in each retry-window"},
		{"retry-window", s.RetryWindow, "time over which repeats are counted"},
		{"expose-share", s.ExposeShare, "largest part of a service's requests for a version under test"},
		{"memory", s.Memory, "bytes that the process may use"},
		{"processor", s.Processor, "part of a processor that the process has, 0 if not known"},
		{"bandwidth", s.Bandwidth, "bits a second that the machine's link carries, 0 if not known"},
	} {
		_, _ = fmt.Fprintf(t, "%s\t%v\t%s\n", r.name, r.value, r.about)
	}
	return t.Flush()
}
