// Package command implements the command line. Each command is a struct in a file
// of its own. The function commands lists all of them.
//
// # Usage
//
//	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit statuses.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// output holds the writers for a command's standard output and standard error.
type output struct {
	out io.Writer
	err io.Writer
}

// commandSpec describes a command. group is the name of the parent command, empty
// for a top-level command.
type commandSpec struct {
	group     string
	name      string
	summary   string
	commander flags.Commander
}

// group is a parent command that only groups other commands.
type group struct {
	name    string
	summary string
}

var groups = []group{
	{name: "table", summary: "Check, compare, commit and read the table"},
	{name: "key", summary: "Create, revoke and list customers' keys"},
}

// commands returns all commands.
func commands(o output) []commandSpec {
	return []commandSpec{
		{name: "serve", summary: "Run an instance on the platform, configured by its settings file", commander: &cmdServe{output: o}},
		{name: "settings", summary: "Print the settings that an instance on the platform would use", commander: &cmdSettings{output: o}},
		{name: "entry", summary: "Run an instance off the platform, configured by options", commander: &cmdEntry{output: o}},
		{group: "table", name: "check", summary: "Check a table file", commander: &cmdTableCheck{output: o}},
		{group: "table", name: "diff", summary: "Show how a table file differs from the committed table", commander: &cmdTableDiff{output: o}},
		{group: "table", name: "put", summary: "Commit a table file", commander: &cmdTablePut{output: o}},
		{group: "table", name: "get", summary: "Print the committed table", commander: &cmdTableGet{output: o}},
		{group: "table", name: "log", summary: "Print the audit trail of edits", commander: &cmdTableLog{output: o}},
		{group: "table", name: "release", summary: "Release the share of the limits held by a domain that is permanently lost", commander: &cmdTableRelease{output: o}},
		{group: "key", name: "grant", summary: "Create a key for a customer and print it", commander: &cmdKeyGrant{output: o}},
		{group: "key", name: "revoke", summary: "Revoke a key", commander: &cmdKeyRevoke{output: o}},
		{group: "key", name: "list", summary: "List the names, customers and shortened hashes of all keys", commander: &cmdKeyList{output: o}},
		{name: "report", summary: "Print an instance's report", commander: &cmdReport{output: o}},
		{name: "explain", summary: "Print the log lines about a request", commander: &cmdExplain{output: o}},
		{name: "experiment", summary: "Simulate loads under several policies of target selection", commander: &cmdExperiment{output: o}},
		{name: "replay", summary: "Replay a recorded trace and compare the outcomes", commander: &cmdReplay{output: o}},
		{name: "load", summary: "Generate load against a running deployment", commander: &cmdLoad{output: o}},
		{name: "try", summary: "Run a demo deployment in one process and print what it does", commander: &cmdTry{output: o}},
	}
}

// Run executes a command line and returns the exit status.
func Run(args []string, out, errOut io.Writer) int {
	p := flags.NewNamedParser("lacewingramp", flags.HelpFlag|flags.PassDoubleDash)
	if err := register(p, commands(output{out: out, err: errOut})); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	_, err := p.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	var flagsErr *flags.Error
	if !errors.As(err, &flagsErr) {
		_, _ = fmt.Fprintln(errOut, "lacewingramp:", err)
		return exitError
	}
	if flagsErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, flagsErr.Message)
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "lacewingramp:", flagsErr.Message)
	return exitUsage
}

func register(p *flags.Parser, specs []commandSpec) error {
	parents := make(map[string]*flags.Command)
	for _, g := range groups {
		c, err := p.AddCommand(g.name, g.summary, g.summary+".", &struct{}{})
		if err != nil {
			return err
		}
		parents[g.name] = c
	}
	for _, spec := range specs {
		parent := p.Command
		if spec.group != "" {
			parent = parents[spec.group]
		}
		if _, err := parent.AddCommand(spec.name, spec.summary, spec.summary+".", spec.commander); err != nil {
			return err
		}
	}
	return nil
}
