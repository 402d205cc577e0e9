package usage

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
)

// Names is a sorted list of customers with its fingerprint, which identifies the list to
// other instances.
type Names struct {
	Sorted      []string
	Fingerprint uint64
}

// NewNames returns the names of customers, sorted.
func NewNames(customers []lacewingramp.Customer) Names {
	n := Names{Sorted: make([]string, 0, len(customers))}
	for i := range customers {
		n.Sorted = append(n.Sorted, customers[i].Name)
	}
	slices.Sort(n.Sorted)
	n.Sorted = slices.Compact(n.Sorted)
	d := xxhash.New()
	for _, s := range n.Sorted {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	n.Fingerprint = d.Sum64()
	return n
}

// Encode encodes the counts of a window: the count of each customer as a varint, up to the last
// that is not 0. A run of zeros is a 0 and its length.
func (n Names) Encode(w WindowCounts) lacewingramp.UsageWindow {
	out := lacewingramp.UsageWindow{ID: w.ID, Settled: w.Settled}
	zeros := uint64(0)
	found := 0
	for _, name := range n.Sorted {
		count := w.Counts[name]
		if count == 0 {
			zeros++
			continue
		}
		found++
		if zeros > 0 {
			out.Counts = binary.AppendUvarint(append(out.Counts, 0), zeros)
			zeros = 0
		}
		out.Counts = binary.AppendUvarint(out.Counts, min(count, lacewingramp.MaxUsageCount))
	}
	if found == len(w.Counts) {
		return out
	}
	out.Others = make(map[string]uint64)
	for name, count := range w.Counts {
		if _, ok := slices.BinarySearch(n.Sorted, name); !ok && len(out.Others) < lacewingramp.MaxUsageOthers {
			out.Others[name] = min(count, lacewingramp.MaxUsageCount)
		}
	}
	return out
}

// Decode decodes the counts of a window that refer to these names.
func (n Names) Decode(w lacewingramp.UsageWindow) (WindowCounts, error) {
	out := WindowCounts{ID: w.ID, Settled: w.Settled, Counts: make(map[string]uint64)}
	at := uint64(0)
	for rest := w.Counts; len(rest) > 0; {
		v, size := binary.Uvarint(rest)
		if size <= 0 || v > lacewingramp.MaxUsageCount {
			return out, errCounts
		}
		rest = rest[size:]
		if v == 0 {
			zeros, size := binary.Uvarint(rest)
			if size <= 0 || zeros > uint64(len(n.Sorted)) {
				return out, errCounts
			}
			rest = rest[size:]
			at += zeros
			continue
		}
		if at >= uint64(len(n.Sorted)) {
			return out, errCounts
		}
		out.Counts[n.Sorted[at]] = v
		at++
	}
	for name, v := range w.Others {
		out.Counts[name] += min(v, lacewingramp.MaxUsageCount)
	}
	return out, nil
}

var errCounts = fmt.Errorf("usage counts: more customers than in the table, or bad figures")
