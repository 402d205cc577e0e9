package lacewingramp

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Portion is one service's part of a route. Weights count in relation to the
// sum of a Split.
type Portion struct {
	Service string
	Weight  float64
}

// Split divides a route among services. It is written as text such as
// "recipes:90 recipes-new:10".
type Split []Portion

// MarshalText returns the portions with a space between them.
func (s Split) MarshalText() ([]byte, error) {
	all := make([]string, 0, len(s))
	for _, p := range s {
		all = append(all, p.Service+":"+strconv.FormatFloat(p.Weight, 'g', -1, 64))
	}
	return []byte(strings.Join(all, " ")), nil
}

// UnmarshalText reads portions with a space between them.
func (s *Split) UnmarshalText(text []byte) error {
	*s = nil
	for _, f := range strings.Fields(string(text)) {
		name, weight, ok := strings.Cut(f, ":")
		w, err := strconv.ParseFloat(weight, 64)
		if !ok || err != nil || name == "" {
			return errors.New("want services with weights such as recipes:90 recipes-new:10")
		}
		*s = append(*s, Portion{Service: name, Weight: w})
	}
	return nil
}

// Names is a list of names that is written with spaces between them.
type Names []string

// MarshalText returns the names with a space between them.
func (n Names) MarshalText() ([]byte, error) {
	return []byte(strings.Join(n, " ")), nil
}

// UnmarshalText reads names with spaces between them.
func (n *Names) UnmarshalText(text []byte) error {
	*n = strings.Fields(string(text))
	return nil
}

// Allow reports whether a name is in the list. An empty list allows all.
func (n Names) Allow(name string) bool {
	return len(n) == 0 || slices.Contains(n, name)
}

// Bounds limits what callers may send: Header and Body in bytes, Receive is
// how long they may take to send a header and Idle how long a connection may
// stay unused.
type Bounds struct {
	Header  int64    `json:"header"`
	Body    int64    `json:"body"`
	Receive Duration `json:"receive"`
	Idle    Duration `json:"idle"`
}

// Check reports bounds under which no request could be received.
func (b *Bounds) Check() error {
	if b.Header <= 0 || b.Body < 0 || b.Receive <= 0 || b.Idle <= 0 {
		return fmt.Errorf("bounds %+v: want sizes and times over 0", *b)
	}
	return nil
}
