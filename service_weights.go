package lacewingramp

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// WeightedService is one service with its weight in ServiceWeights. Its share of the
// requests is its weight divided by the sum of all weights.
type WeightedService struct {
	Service string
	Weight  float64
}

// ServiceWeights divides the requests of a route among services by weight. Its text
// form is "recipes:90 recipes-new:10".
type ServiceWeights []WeightedService

// MarshalText formats the services and weights, separated by spaces.
func (s ServiceWeights) MarshalText() ([]byte, error) {
	all := make([]string, 0, len(s))
	for _, w := range s {
		all = append(all, w.Service+":"+strconv.FormatFloat(w.Weight, 'g', -1, 64))
	}
	return []byte(strings.Join(all, " ")), nil
}

// UnmarshalText parses services and weights that are separated by spaces.
func (s *ServiceWeights) UnmarshalText(text []byte) error {
	*s = nil
	for _, f := range strings.Fields(string(text)) {
		name, weight, ok := strings.Cut(f, ":")
		w, err := strconv.ParseFloat(weight, 64)
		if !ok || err != nil || name == "" {
			return errors.New("want services with weights such as recipes:90 recipes-new:10")
		}
		*s = append(*s, WeightedService{Service: name, Weight: w})
	}
	return nil
}

// NameList is a list of names. Its text form separates them by spaces.
type NameList []string

// MarshalText formats the names, separated by spaces.
func (n NameList) MarshalText() ([]byte, error) {
	return []byte(strings.Join(n, " ")), nil
}

// UnmarshalText parses names that are separated by spaces.
func (n *NameList) UnmarshalText(text []byte) error {
	*n = strings.Fields(string(text))
	return nil
}

// Allows reports whether the list contains the name. An empty list allows any name.
func (n NameList) Allows(name string) bool {
	return len(n) == 0 || slices.Contains(n, name)
}

// Bounds limits what callers may send. Header and Body are maximum sizes in bytes.
// ReceiveTimeout is the maximum time to send a header, and IdleTimeout the maximum
// time that a connection may be idle.
type Bounds struct {
	Header         int64    `json:"header"`
	Body           int64    `json:"body"`
	ReceiveTimeout Duration `json:"receive"`
	IdleTimeout    Duration `json:"idle"`
}

// Check returns an error for bounds that would reject every request.
func (b *Bounds) Check() error {
	if b.Header <= 0 || b.Body < 0 || b.ReceiveTimeout <= 0 || b.IdleTimeout <= 0 {
		return fmt.Errorf("invalid bounds %+v: header, receive and idle must be positive, body must not be negative", *b)
	}
	return nil
}
