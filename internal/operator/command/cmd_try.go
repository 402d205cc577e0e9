package command

import (
	"context"

	"lacewingramp.example/lacewingramp/internal/operator/trial"
)

// cmdTry runs the embedded default.
type cmdTry struct {
	output
}

// Execute runs the command.
func (c *cmdTry) Execute([]string) error {
	return trial.Run(context.Background(), c.out)
}
