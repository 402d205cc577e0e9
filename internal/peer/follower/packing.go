package follower

import (
	"bytes"
	"sync"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"

	"lacewingramp.example/lacewingramp"
)

const (
	// minPackedBytes and maxPackedBytes are the lengths of the values that are packed.
	minPackedBytes = 1 << 10
	maxPackedBytes = 16 << 20
	// packWindowBytes is how far back the compression looks for repetitions.
	packWindowBytes = 1 << 20
)

// compressor and decompressor are shared, as each has large buffers.
var (
	compressor = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil,
			zstd.WithEncoderLevel(zstd.SpeedFastest),
			zstd.WithEncoderConcurrency(1),
			zstd.WithWindowSize(packWindowBytes),
			zstd.WithLowerEncoderMem(true))
	})
	decompressor = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil,
			zstd.WithDecoderConcurrency(1),
			zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(maxPackedBytes))
	})
)

// wireChange is a change as replies hold it. Packed is the compressed value, in place
// of Value.
type wireChange struct {
	lacewingramp.Change
	Packed []byte `cbor:",omitempty"`
}

func pack(value []byte) ([]byte, error) {
	c, err := compressor()
	if err != nil {
		return nil, errors.Wrap(err, "make a compressor")
	}
	return c.EncodeAll(value, nil), nil
}

func unpack(packed []byte) ([]byte, error) {
	d, err := decompressor()
	if err != nil {
		return nil, errors.Wrap(err, "make a decompressor")
	}
	return d.DecodeAll(packed, nil)
}

// unpackChanges replaces the packed values by plain ones, of which there are at most
// maxBytes in all.
func unpackChanges(changes []wireChange, maxBytes int64) error {
	var total int64
	for i := range changes {
		c := &changes[i]
		if c.Packed == nil {
			continue
		}
		value, err := unpack(c.Packed)
		if err != nil {
			return errors.Wrapf(err, "value of %q", c.Key)
		}
		if total += int64(len(value)); total > maxBytes {
			return errReplyTooLong
		}
		c.Value, c.Packed = value, nil
	}
	return nil
}

// packer packs large values, once for all followers: it keeps the latest packed value
// of each key. It is safe for concurrent use.
type packer struct {
	mu     sync.Mutex
	values map[string]packedValue
}

// packedValue is a value of a key. packed is nil if the value does not shrink.
type packedValue struct {
	position lacewingramp.Position
	value    []byte
	packed   []byte
}

// packChanges replaces the large values by packed ones.
func (p *packer) packChanges(changes []wireChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range changes {
		c := &changes[i]
		if packed := p.packed(c.KeyValue); packed != nil {
			c.Value, c.Packed = nil, packed
		}
	}
}

// packed returns the packed value of a key, or nil if the value stays plain.
func (p *packer) packed(kv lacewingramp.KeyValue) []byte {
	kept, ok := p.values[kv.Key]
	if ok && kept.position == kv.Position() && bytes.Equal(kept.value, kv.Value) {
		return kept.packed
	}
	latest := !ok || !kv.Position().Before(kept.position)
	if !isLarge(kv.Value) {
		if latest {
			delete(p.values, kv.Key)
		}
		return nil
	}
	packed, err := pack(kv.Value)
	if err != nil || len(packed) >= len(kv.Value) {
		packed = nil
	}
	if latest {
		p.keep(kv, packed)
	}
	return packed
}

func (p *packer) keep(kv lacewingramp.KeyValue, packed []byte) {
	if p.values == nil {
		p.values = make(map[string]packedValue)
	}
	p.values[kv.Key] = packedValue{position: kv.Position(), value: kv.Value, packed: packed}
}

// retain drops the values that are not among those of a snapshot.
func (p *packer) retain(snapshot []wireChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	positions := make(map[string]lacewingramp.Position, len(p.values))
	for _, c := range snapshot {
		if isLarge(c.Value) {
			positions[c.Key] = c.Position()
		}
	}
	for key, v := range p.values {
		if position, ok := positions[key]; !ok || position != v.position {
			delete(p.values, key)
		}
	}
}

func isLarge(value []byte) bool {
	return len(value) >= minPackedBytes && len(value) <= maxPackedBytes
}
