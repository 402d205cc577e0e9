package share

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewingramp.example/lacewingramp"
)

// halfBits are the lower bits of a float32 that are not sent: what is left is
// within half a percent.
const halfBits = 16

// order is the customers with a limit, by name. Two instances with the same
// table have the same order, and need no names between them.
type order struct {
	names []string
	sum   uint32
}

func newOrder(limits map[string]lacewingramp.Limit) order {
	var o order
	for name := range limits {
		o.names = append(o.names, name)
	}
	slices.Sort(o.names)
	var d xxhash.Digest
	d.Reset()
	for _, name := range o.names {
		_, _ = d.WriteString(name)
		_, _ = d.WriteString("\x00")
	}
	o.sum = uint32(d.Sum64())
	return o
}

// Encode puts demand into the form in which heartbeats carry it.
func (b *Book) Encode(d Demand) lacewingramp.Demand {
	w := lacewingramp.Demand{Names: b.order.sum}
	last := -1
	for i, name := range b.order.names {
		v := half(d[name])
		if v == 0 {
			continue
		}
		w.Rows = binary.AppendUvarint(w.Rows, uint64(i-last))
		w.Rows = binary.BigEndian.AppendUint16(w.Rows, v)
		last = i
	}
	return w
}

// Decode reads the demand of a heartbeat. It reports false where the sender's
// table has other customers: its demand is not known until the tables agree.
func (b *Book) Decode(w lacewingramp.Demand) (Demand, bool) {
	if w.Names != b.order.sum {
		return nil, false
	}
	d := make(Demand)
	last := -1
	for rows := w.Rows; len(rows) > 0; {
		gap, n := binary.Uvarint(rows)
		if n <= 0 || len(rows) < n+2 || gap == 0 || gap > uint64(len(b.order.names)-1-last) {
			return nil, false
		}
		last += int(gap)
		v := whole(binary.BigEndian.Uint16(rows[n:]))
		if !(v >= 0) || math.IsInf(v, 1) {
			return nil, false
		}
		d[b.order.names[last]] = v
		rows = rows[n+2:]
	}
	return d, true
}

// half rounds a rate to the upper bits of a float32.
func half(v float64) uint16 {
	const round = 1 << (halfBits - 1)
	return uint16((math.Float32bits(float32(v)) + round) >> halfBits)
}

func whole(v uint16) float64 {
	return float64(math.Float32frombits(uint32(v) << halfBits))
}
