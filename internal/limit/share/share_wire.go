package share

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
)

// droppedBits is the number of low bits of a float32 that are not sent. The
// remaining value is accurate to half a percent.
const droppedBits = 16

// customerIndex lists the customers with a limit, sorted by name. Instances with
// the same table have the same index, so demand is sent without names.
type customerIndex struct {
	names    []string
	checksum uint32
}

func newCustomerIndex(limits map[string]lacewingramp.Limit) customerIndex {
	var index customerIndex
	for name := range limits {
		index.names = append(index.names, name)
	}
	slices.Sort(index.names)
	var d xxhash.Digest
	d.Reset()
	for _, name := range index.names {
		_, _ = d.WriteString(name)
		_, _ = d.WriteString("\x00")
	}
	index.checksum = uint32(d.Sum64())
	return index
}

// Encode returns demand in the encoding used by heartbeats, which
// lacewingramp.Demand describes.
func (r *RateLimiter) Encode(d Demand) lacewingramp.Demand {
	w := lacewingramp.Demand{NamesChecksum: r.customerIndex.checksum}
	last := -1
	for i, name := range r.customerIndex.names {
		v := toBfloat16(d[name])
		if v == 0 {
			continue
		}
		w.EncodedRates = binary.AppendUvarint(w.EncodedRates, uint64(i-last))
		w.EncodedRates = binary.BigEndian.AppendUint16(w.EncodedRates, v)
		last = i
	}
	return w
}

// Decode returns the demand of a heartbeat. It reports false if the data is invalid
// or if the sender's table has other customers. The sender's demand cannot be
// decoded until both have the same customers.
func (r *RateLimiter) Decode(w lacewingramp.Demand) (Demand, bool) {
	if w.NamesChecksum != r.customerIndex.checksum {
		return nil, false
	}
	d := make(Demand)
	last := -1
	for entries := w.EncodedRates; len(entries) > 0; {
		distance, n := binary.Uvarint(entries)
		if n <= 0 || len(entries) < n+2 || distance == 0 || distance > uint64(len(r.customerIndex.names)-1-last) {
			return nil, false
		}
		last += int(distance)
		v := fromBfloat16(binary.BigEndian.Uint16(entries[n:]))
		if !(v >= 0) || math.IsInf(v, 1) {
			return nil, false
		}
		d[r.customerIndex.names[last]] = v
		entries = entries[n+2:]
	}
	return d, true
}

// toBfloat16 rounds a rate to a bfloat16, the upper bits of a float32.
func toBfloat16(v float64) uint16 {
	const halfUnit = 1 << (droppedBits - 1)
	return uint16((math.Float32bits(float32(v)) + halfUnit) >> droppedBits)
}

func fromBfloat16(v uint16) float64 {
	return float64(math.Float32frombits(uint32(v) << droppedBits))
}
