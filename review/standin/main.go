// Command standin plays the cases of the review. It starts instances of the project as
// processes on loopback addresses, with stand-ins of the platform's store, the upstreams,
// the clients and the operator around them, and judges what clients and upstreams saw.
//
//	standin CASE ROOT
//
// ROOT is the root of the repository. The record is written to record.txt in the working
// folder. TROUBLE=0 leaves the disruption out. The exit status is 1 if the rule was
// broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(*world) bool{
	"body":    caseBody,
	"upload":  caseUpload,
	"leave":   caseLeave,
	"expect":  caseExpect,
	"popular": casePopular,
	"smuggle": caseSmuggle,
	"drill":   caseDrill,
	"leaving": caseLeaving,
	"foreign": caseForeign,
	"check":   caseCheck,
	"spoil":   caseSpoil,
	"changes": caseChanges,
	"stats":   caseStats,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(118 * time.Second):
		}
		w.log("the case was interrupted or took too long")
		w.close()
		os.Exit(2)
	}()
	broken := false
	func() {
		defer func() {
			if r := recover(); r != nil {
				w.log("could not run: %v", r)
				w.close()
				os.Exit(2)
			}
		}()
		broken = cases[os.Args[1]](w)
	}()
	if broken {
		w.log("RESULT: the rule was broken")
	} else {
		w.log("RESULT: the rule held")
	}
	w.close()
	if broken {
		os.Exit(1)
	}
}
