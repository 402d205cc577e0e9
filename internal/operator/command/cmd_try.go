package command

import (
	"context"

	"lacewingramp.example/lacewingramp/internal/operator/trial"
)

// cmdTry runs a demo deployment in one process.
type cmdTry struct {
	output
}

// Execute runs the demo and prints what it does.
func (c *cmdTry) Execute([]string) error {
	return trial.Run(context.Background(), c.out)
}
