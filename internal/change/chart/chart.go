// Package chart implements state machines that are defined in JSON files. A file
// lists the states and, for each state, the events that it accepts with the state
// that each leads to.
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

// Chart is the definition of a state machine. A state that accepts no events is
// final.
type Chart struct {
	Initial State                     `json:"initial"`
	States  map[State]map[Event]State `json:"states"`
}

// Parse decodes a chart and checks it with Check.
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

// MustParse is like Parse but panics on an error. It is meant for files that are
// embedded in the program.
func MustParse(file []byte) *Chart {
	c, err := Parse(file)
	if err != nil {
		panic(err)
	}
	return c
}

// Check returns an error if an event leads to a state that is not defined, or if
// a state can not be reached from the initial state.
func (c *Chart) Check() error {
	reached := map[State]bool{c.Initial: true}
	pending := []State{c.Initial}
	for len(pending) > 0 {
		s := pending[0]
		pending = pending[1:]
		events, ok := c.States[s]
		if !ok {
			return fmt.Errorf("state chart: state %q is not defined", s)
		}
		for _, next := range events {
			if !reached[next] {
				reached[next] = true
				pending = append(pending, next)
			}
		}
	}
	for s := range c.States {
		if !reached[s] {
			return fmt.Errorf("state chart: state %q can not be reached from the initial state", s)
		}
	}
	return nil
}

// Next returns the state that event e leads to in state s, or false if s does not
// accept the event.
func (c *Chart) Next(s State, e Event) (State, bool) {
	next, ok := c.States[s][e]
	return next, ok
}

// Final reports whether a state accepts no events.
func (c *Chart) Final(s State) bool {
	return len(c.States[s]) == 0
}
