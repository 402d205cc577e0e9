package command

import (
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp/internal/trace/story"
)

// cmdExplain prints what the logs say of a request.
type cmdExplain struct {
	output

	Arguments struct {
		ID   string   `positional-arg-name:"ID" required:"yes" description:"id of the request"`
		Logs []string `positional-arg-name:"LOG" required:"1" description:"files of log lines"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (c *cmdExplain) Execute([]string) error {
	var logs []io.Reader
	for _, path := range c.Arguments.Logs {
		f, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "open a log")
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	s, err := story.Read(c.Arguments.ID, logs...)
	if err != nil {
		return err
	}
	if len(s.Lines) == 0 {
		return fmt.Errorf("no line of request %s: it went well and was not sampled, reached no instance, or its line was left out", c.Arguments.ID)
	}
	for _, l := range s.Lines {
		_, _ = fmt.Fprintln(c.out, l)
	}
	if len(s.Around) > 0 {
		_, _ = fmt.Fprintln(c.out, "\naround it, at the same instances:")
	}
	for _, l := range s.Around {
		_, _ = fmt.Fprintln(c.out, l)
	}
	return nil
}
