package link

import (
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"
)

// codecName is the content-subtype of the calls.
const codecName = "cbor"

// checker is a message that can check itself for invalid values.
type checker interface {
	Check() error
}

type codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

var cborCodec = newCodec()

func newCodec() codec {
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
		MaxNestedLevels:  16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return codec{enc: enc, dec: dec}
}

// Marshal encodes a message.
func (c codec) Marshal(v any) ([]byte, error) {
	return c.enc.Marshal(v)
}

// Unmarshal decodes a message, and checks it if it is a checker.
func (c codec) Unmarshal(data []byte, v any) error {
	if err := c.dec.Unmarshal(data, v); err != nil {
		return err
	}
	if message, ok := v.(checker); ok {
		return message.Check()
	}
	return nil
}

// Name returns the codec's name, which is part of the content type.
func (codec) Name() string {
	return codecName
}

var _ encoding.Codec = codec{}

// Size returns the encoded size of a message in bytes, without gRPC framing.
func Size(v any) int {
	return len(Encode(v))
}

// Encode returns the encoded message, or nil if it can not be encoded.
func Encode(v any) []byte {
	raw, err := cborCodec.Marshal(v)
	if err != nil {
		return nil
	}
	return raw
}

// Decode decodes a message that Encode returned, and checks it if it has a Check
// method.
func Decode(raw []byte, v any) error {
	return cborCodec.Unmarshal(raw, v)
}
