// Package duty says which instance does what one has to do, without a message:
// all that know the same instances name the same one, and a duty moves only when
// its instance goes or one comes that is before it.
//
// # Usage
//
//	if duty.Owner("rollout recipes", names) == self {
//		// It is this instance's.
//	}
package duty

import "github.com/cespare/xxhash/v2"

// Owner returns the instance that has a duty, by rendezvous hashing, or nothing
// where there is none.
func Owner(key string, names []string) string {
	best, most := "", uint64(0)
	for _, n := range names {
		if h := weight(key, n); best == "" || h > most || (h == most && n < best) {
			best, most = n, h
		}
	}
	return best
}

func weight(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
