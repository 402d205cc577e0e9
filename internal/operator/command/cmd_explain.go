package command

import (
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp/internal/trace/timeline"
)

// cmdExplain prints the log lines about a request.
type cmdExplain struct {
	output

	Args struct {
		ID   string   `positional-arg-name:"ID" required:"yes" description:"id of the request"`
		Logs []string `positional-arg-name:"LOG" required:"1" description:"log files"`
	} `positional-args:"yes"`
}

// Execute prints the lines of the request, followed by the related ones.
func (c *cmdExplain) Execute([]string) error {
	var logs []io.Reader
	for _, path := range c.Args.Logs {
		f, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "open log file")
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	t, err := timeline.Read(c.Args.ID, logs...)
	if err != nil {
		return err
	}
	if len(t.Lines) == 0 {
		return fmt.Errorf("no line of request %s: it went well and was not sampled, reached no instance, or its line was left out", c.Args.ID)
	}
	for _, l := range t.Lines {
		_, _ = fmt.Fprintln(c.out, l)
	}
	if len(t.Related) > 0 {
		_, _ = fmt.Fprintln(c.out, "\nrelated log lines of the same instances:")
	}
	for _, l := range t.Related {
		_, _ = fmt.Fprintln(c.out, l)
	}
	return nil
}
