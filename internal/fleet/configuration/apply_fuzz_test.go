package configuration_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
)

// FuzzDecodeRecord guards against a record that an instance accepts but cannot pass on unchanged to its peers. Its seeds
// are in testdata/fuzz/FuzzDecodeRecord.
func FuzzDecodeRecord(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := configuration.Decode(data)
		if err != nil {
			return
		}
		first, err := json.Marshal(record)
		if err != nil {
			t.Fatalf("a decoded record does not encode: %v", err)
		}
		again, err := configuration.Decode(first)
		if err != nil {
			t.Fatalf("an encoded record does not decode: %v\n%s", err, first)
		}
		second, err := json.Marshal(again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("a record changed on the way: %v\n%s\n%s", err, first, second)
		}
	})
}
