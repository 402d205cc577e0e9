// Package command is the command line: one file and one small struct per
// command, collected in one list.
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

// output is where commands write.
type output struct {
	out io.Writer
	err io.Writer
}

// entry is one command of the list. Group is the word before its name, or
// empty.
type entry struct {
	group string
	name  string
	about string
	data  flags.Commander
}

// group is a word that commands stand below.
type group struct {
	name  string
	about string
}

var groups = []group{
	{name: "table", about: "Check, compare, commit and read the table"},
	{name: "key", about: "Grant, revoke and list customers' keys"},
}

// commands lists every command.
func commands(o output) []entry {
	return []entry{
		{name: "serve", about: "Run one instance on the platform", data: &cmdServe{output: o}},
		{name: "settings", about: "Print the settings of an instance on the platform", data: &cmdSettings{output: o}},
		{name: "entry", about: "Run one entry instance", data: &cmdEntry{output: o}},
		{group: "table", name: "check", about: "Check a table file", data: &cmdTableCheck{output: o}},
		{group: "table", name: "diff", about: "Show what a table file would change", data: &cmdTableDiff{output: o}},
		{group: "table", name: "put", about: "Commit a table file", data: &cmdTablePut{output: o}},
		{group: "table", name: "get", about: "Print the table in force", data: &cmdTableGet{output: o}},
		{group: "table", name: "log", about: "Print the audit trail of edits", data: &cmdTableLog{output: o}},
		{group: "table", name: "release", about: "Free the limits of a domain that is lost for good", data: &cmdTableRelease{output: o}},
		{group: "key", name: "grant", about: "Grant a customer a key and print it once", data: &cmdKeyGrant{output: o}},
		{group: "key", name: "revoke", about: "Revoke a key", data: &cmdKeyRevoke{output: o}},
		{group: "key", name: "list", about: "List keys by name, never their text", data: &cmdKeyList{output: o}},
		{name: "report", about: "Print an instance's report", data: &cmdReport{output: o}},
		{name: "explain", about: "Print what the logs say of a request", data: &cmdExplain{output: o}},
		{name: "experiment", about: "Play emulated loads with several choices of target", data: &cmdExperiment{output: o}},
		{name: "replay", about: "Replay a recorded trace against its stated outcomes", data: &cmdReplay{output: o}},
		{name: "load", about: "Drive callers against a running deployment", data: &cmdLoad{output: o}},
		{name: "try", about: "Run the embedded default and show what it does", data: &cmdTry{output: o}},
	}
}

// Run runs a command line and returns the exit status.
func Run(args []string, out, errOut io.Writer) int {
	p := flags.NewNamedParser("lacewingramp", flags.HelpFlag|flags.PassDoubleDash)
	if err := add(p, commands(output{out: out, err: errOut})); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	_, err := p.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	var f *flags.Error
	if !errors.As(err, &f) {
		_, _ = fmt.Fprintln(errOut, "lacewingramp:", err)
		return exitError
	}
	if f.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, f.Message)
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "lacewingramp:", f.Message)
	return exitUsage
}

func add(p *flags.Parser, all []entry) error {
	parents := make(map[string]*flags.Command)
	for _, g := range groups {
		c, err := p.AddCommand(g.name, g.about, g.about+".", &struct{}{})
		if err != nil {
			return err
		}
		parents[g.name] = c
	}
	for _, e := range all {
		parent := p.Command
		if e.group != "" {
			parent = parents[e.group]
		}
		if _, err := parent.AddCommand(e.name, e.about, e.about+".", e.data); err != nil {
			return err
		}
	}
	return nil
}
