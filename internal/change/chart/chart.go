// Package chart interprets state charts that are kept in files: states, the
// events that each of them answers to, and the state that follows.
//
// # Usage
//
//	//go:embed life.json
//	var file []byte
//
//	c := chart.MustParse(file)
//	next, ok := c.Next(c.Initial, "ready")
package chart

import (
	"encoding/json"
	"fmt"
)

// State is the name of a state.
type State string

// Event is the name of an event.
type Event string

// Chart is a state chart. A state without events is final.
type Chart struct {
	Initial State                     `json:"initial"`
	States  map[State]map[Event]State `json:"states"`
}

// Parse reads a chart and checks that every state it leads to exists and that
// every state can be reached.
func Parse(file []byte) (*Chart, error) {
	var c Chart
	if err := json.Unmarshal(file, &c); err != nil {
		return nil, err
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	return &c, nil
}

// MustParse is Parse for a file that is part of the program.
func MustParse(file []byte) *Chart {
	c, err := Parse(file)
	if err != nil {
		panic(err)
	}
	return c
}

// Check reports a state that is missing or can not be reached.
func (c *Chart) Check() error {
	seen := map[State]bool{c.Initial: true}
	open := []State{c.Initial}
	for len(open) > 0 {
		s := open[0]
		open = open[1:]
		events, ok := c.States[s]
		if !ok {
			return fmt.Errorf("state chart: no state %q", s)
		}
		for _, next := range events {
			if !seen[next] {
				seen[next] = true
				open = append(open, next)
			}
		}
	}
	for s := range c.States {
		if !seen[s] {
			return fmt.Errorf("state chart: state %q can not be reached", s)
		}
	}
	return nil
}

// Next returns the state that follows on an event, or false where the state
// does not answer to it.
func (c *Chart) Next(s State, e Event) (State, bool) {
	next, ok := c.States[s][e]
	return next, ok
}

// Final reports whether a state has no way out.
func (c *Chart) Final(s State) bool {
	return len(c.States[s]) == 0
}
