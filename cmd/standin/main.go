// Command standin runs stand-ins for parts of a deployment, for tests, benchmarks and
// trying the program out: an in-memory store in place of the platform's, or the
// targets of a table.
//
// Usage:
//
//	standin store ADDRESS
//	standin targets TABLE.csv [DOMAIN ...]
package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/sheet"
	"lacewingramp.example/lacewingramp/internal/platform/gateway"
	"lacewingramp.example/lacewingramp/internal/platform/memory"
	"lacewingramp.example/lacewingramp/internal/platform/target"
)

const (
	headerTimeout = 5 * time.Second
	serviceTime   = 5 * time.Millisecond
	minArgs       = 3
)

func main() {
	if err := run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) < minArgs {
		return fmt.Errorf("usage: standin store ADDRESS | standin targets TABLE.csv [DOMAIN ...]")
	}
	switch args[1] {
	case "store":
		return serve(args[2], gateway.New(&memory.Store{}))
	case "targets":
		return targets(args[2], args[3:])
	default:
		return fmt.Errorf("unknown command %q: expected store or targets", args[1])
	}
}

func serve(address string, h http.Handler) error {
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	return s.ListenAndServe()
}

// targets runs stand-ins for all targets of a table, or only for those in the given
// domains, at the addresses in the table. It returns when the first of them fails.
func targets(file string, domains []string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	t, err := sheet.Decode(file, f)
	_ = f.Close()
	if err != nil {
		return err
	}
	failed := make(chan error)
	for _, tgt := range t.Targets {
		if len(domains) > 0 && !slices.Contains(domains, tgt.Domain) {
			continue
		}
		behaviour := target.Behaviour{Time: lacewingramp.Duration(serviceTime)}
		go func() { failed <- serve(tgt.Address, target.New(tgt.Name, tgt.Slots, behaviour)) }()
	}
	return <-failed
}
