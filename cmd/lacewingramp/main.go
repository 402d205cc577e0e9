// Command lacewingramp steers requests from callers to targets across regions.
package main

import (
	"os"

	"lacewingramp.example/lacewingramp/internal/operator/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
