package peer

import (
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
)

var encodeMode, decodeMode = modes()

func modes() (cbor.EncMode, cbor.DecMode) {
	encode, err := cbor.EncOptions{
		Sort: cbor.SortNone,
		Time: cbor.TimeRFC3339Nano,
	}.EncMode()
	if err != nil {
		panic(err)
	}
	decode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		// Zone names are checked by Check, whose errors name the field; those of UnmarshalText would not.
		TextUnmarshaler: cbor.TextUnmarshalerNone,
	}.DecMode()
	if err != nil {
		panic(err)
	}

	return encode, decode
}

// checked is a message that finds its own faults.
type checked interface {
	Check() error
}

// encoded is a message that is already in CBOR.
type encoded []byte

// encoding is the drpc.Encoding of messages. Errors of Unmarshal carry code, if it is not zero, so that the other
// side can tell a message that was refused from a call that failed.
type encoding struct {
	code uint64
}

var _ drpc.Encoding = encoding{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(message drpc.Message) ([]byte, error) {
	if data, ok := message.(encoded); ok {
		return data, nil
	}
	data, err := encodeMode.Marshal(message)
	if err != nil {
		return nil, malformed.Wrap(err)
	}
	if len(data) > MaxMessageBytes {
		return nil, malformed.New("%d bytes, at most %d are sent", len(data), MaxMessageBytes)
	}

	return data, nil
}

// Unmarshal implements drpc.Encoding. It checks what it decoded.
func (e encoding) Unmarshal(data []byte, message drpc.Message) (err error) {
	defer func() { err = drpcerr.WithCode(malformed.Wrap(err), e.code) }()

	if len(data) > MaxMessageBytes {
		return malformed.New("%d bytes, at most %d are accepted", len(data), MaxMessageBytes)
	}
	if err := decodeMode.Unmarshal(data, message); err != nil {
		return err
	}
	if m, ok := message.(checked); ok {
		return m.Check()
	}

	return nil
}

// Size returns the number of bytes of message on the wire, without the framing of drpc, and 0 for one that cannot be sent.
func Size(message any) int {
	data, err := encoding{}.Marshal(message)
	if err != nil {
		return 0
	}

	return len(data)
}
