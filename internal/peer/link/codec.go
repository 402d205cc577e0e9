package link

import (
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"
)

const codecName = "cbor"

type checker interface {
	Check() error
}

type codec struct {
	out cbor.EncMode
	in  cbor.DecMode
}

var theCodec = newCodec()

func newCodec() codec {
	out, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	in, err := cbor.DecOptions{
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
		MaxNestedLevels:  16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return codec{out: out, in: in}
}

// Marshal encodes a message.
func (c codec) Marshal(v any) ([]byte, error) {
	return c.out.Marshal(v)
}

// Unmarshal decodes a message and lets it check itself.
func (c codec) Unmarshal(data []byte, v any) error {
	if err := c.in.Unmarshal(data, v); err != nil {
		return err
	}
	if k, ok := v.(checker); ok {
		return k.Check()
	}
	return nil
}

// Name returns the codec's name on the wire.
func (codec) Name() string {
	return codecName
}

var _ encoding.Codec = codec{}

// Size returns how many bytes a message takes on the wire, less framing.
func Size(v any) int {
	return len(Encode(v))
}

// Encode returns a message as it goes on the wire, or nothing where it can
// not be encoded.
func Encode(v any) []byte {
	raw, err := theCodec.Marshal(v)
	if err != nil {
		return nil
	}
	return raw
}

// Decode reads a message that Encode has written, and lets it check itself.
func Decode(raw []byte, v any) error {
	return theCodec.Unmarshal(raw, v)
}
