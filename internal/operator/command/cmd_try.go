package command

import (
	"context"

	"lacewingramp.example/lacewingramp/internal/operator/trial"
)

// cmdTry runs a demonstration of a deployment in one process.
type cmdTry struct {
	output
}

// Execute runs the demonstration and prints what it does.
func (c *cmdTry) Execute([]string) error {
	return trial.Run(context.Background(), c.out)
}
