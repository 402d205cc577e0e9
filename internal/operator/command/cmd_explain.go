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

// Execute prints the log lines of the request, followed by the related lines of the
// same instances.
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
	result, err := timeline.Read(c.Args.ID, logs...)
	if err != nil {
		return err
	}
	if len(result.Lines) == 0 {
		return fmt.Errorf("no line of request %s: it succeeded and was not sampled, reached no instance, or its line was dropped", c.Args.ID)
	}
	for _, line := range result.Lines {
		_, _ = fmt.Fprintln(c.out, line)
	}
	if len(result.Related) > 0 {
		_, _ = fmt.Fprintln(c.out, "\nrelated log lines of the same instances:")
	}
	for _, line := range result.Related {
		_, _ = fmt.Fprintln(c.out, line)
	}
	return nil
}
