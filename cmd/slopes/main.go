// Command slopes measures how costs grow with the size of the fleet, and
// writes docs/slopes.json and the table of docs/CAPACITY.md.
//
// Usage:
//
//	slopes [page]
//
// With the word page it only writes the table anew from the file.
package main

import (
	"fmt"
	"os"

	"lacewingramp.example/lacewingramp/internal/proof/slope"
)

const (
	file = "docs/slopes.json"
	page = "docs/CAPACITY.md"
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
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	slopes, err := slope.Read(f)
	_ = f.Close()
	if err != nil {
		return err
	}
	old, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	next, err := slope.Replace(string(old), slopes)
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(next), 0o600)
}

func measure() error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := slope.Write(f, slope.Measure()); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
