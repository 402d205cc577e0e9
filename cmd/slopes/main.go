// Command slopes measures how the costs of an instance grow with the size of the
// deployment, and fits a straight line to the measurements of each cost. It writes the
// lines to docs/slopes.json and updates the table in docs/CAPACITY.md. It has to be
// run in the root of the repository.
//
// Usage:
//
//	slopes [page]
//
// With the argument page it measures nothing and only updates the table from
// docs/slopes.json.
package main

import (
	"fmt"
	"os"

	"lacewingramp.example/lacewingramp/internal/proof/slope"
)

const (
	resultsPath = "docs/slopes.json"
	pagePath    = "docs/CAPACITY.md"
)

func main() {
	if err := run(len(os.Args) > 1 && os.Args[1] == "page"); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(pageOnly bool) error {
	if !pageOnly {
		if err := measure(); err != nil {
			return err
		}
	}
	f, err := os.Open(resultsPath)
	if err != nil {
		return err
	}
	results, err := slope.Read(f)
	_ = f.Close()
	if err != nil {
		return err
	}
	current, err := os.ReadFile(pagePath)
	if err != nil {
		return err
	}
	updated, err := slope.UpdatePage(string(current), results)
	if err != nil {
		return err
	}
	return os.WriteFile(pagePath, []byte(updated), 0o600)
}

func measure() error {
	f, err := os.Create(resultsPath)
	if err != nil {
		return err
	}
	if err := slope.Write(f, slope.Measure()); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
