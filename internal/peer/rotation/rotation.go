// Package rotation selects what one message carries of a list that is too long for it: the
// first entries always, and the others in turn, so that the messages after it make up for
// what this one leaves out.
//
// # Usage
//
//	var r rotation.Rotation
//	selected := rotation.Select(&r, all, 4, 4)
package rotation

import "slices"

// Rotation is the position in a list up to which entries were selected. The zero value
// is its start. A Rotation is not safe for concurrent use.
type Rotation struct {
	last int
}

// Select returns the first entries of all, and as many others as rotated says, those that
// follow the ones that it returned last. It returns all if these are not more.
func Select[T any](r *Rotation, all []T, first, rotated int) []T {
	if len(all) <= first+rotated {
		return all
	}
	selected := slices.Clone(all[:first])
	others := all[first:]
	for range rotated {
		r.last = (r.last + 1) % len(others)
		selected = append(selected, others[r.last])
	}
	return selected
}
