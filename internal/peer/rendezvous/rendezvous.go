// Package rendezvous assigns each task to one instance by rendezvous hashing, without
// messages between instances. Instances that know of the same set of instances agree
// on the owner of every task. The owner of a task changes only when it leaves the
// set, or when an instance with a higher hash for the task joins.
//
// # Usage
//
//	if rendezvous.Owner("rollout recipes", names) == self {
//		// This instance owns the task.
//	}
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the name of the instance that owns the task called key, or "" if
// names is empty.
func Owner(key string, names []string) string {
	owner, highest := "", uint64(0)
	for _, n := range names {
		if h := weight(key, n); owner == "" || h > highest || (h == highest && n < owner) {
			owner, highest = n, h
		}
	}
	return owner
}

// Order returns the names in the order in which they would own the task called key, the
// owner first.
func Order(key string, names []string) []string {
	weights := make(map[string]uint64, len(names))
	for _, n := range names {
		weights[n] = weight(key, n)
	}
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return ordered
}

func weight(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
