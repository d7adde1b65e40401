package peer

import (
	"bytes"
	"compress/flate"
	"io"
)

// pack compresses a raw record for the wire. Each change of a configuration reaches an instance about three times, so with
// 3,200 replicas uncompressed records alone would exceed the control plane's bytes a second.
func pack(raw []byte) ([]byte, error) {
	if len(raw) > MaxRecordBytes {
		return nil, malformed.New("Record: %d bytes, at most %d are accepted", len(raw), MaxRecordBytes)
	}
	if len(raw) == 0 {
		return nil, nil
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}

	return packed.Bytes(), nil
}

// unpack returns the raw record. It stops at MaxRecordBytes, because a small message can expand a thousandfold.
func unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	r := flate.NewReader(bytes.NewReader(packed))
	raw, err := io.ReadAll(io.LimitReader(r, MaxRecordBytes+1))
	if err != nil {
		return nil, malformed.New("Record: %w", err)
	}
	if len(raw) > MaxRecordBytes {
		return nil, malformed.New("Record: expands to over %d bytes", MaxRecordBytes)
	}

	return raw, r.Close()
}

// RecordSize returns the number of bytes that raw takes in a message, and 0 for a record that cannot be sent.
func RecordSize(raw []byte) int {
	packed, err := pack(raw)
	if err != nil {
		return 0
	}

	return len(packed)
}
