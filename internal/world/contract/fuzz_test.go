package contract_test

import (
	"encoding/json"
	"testing"

	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// FuzzBase guards against a base file that makes ParseFile or Merge panic, and against Merge accepting a configuration that Check
// finds faults in.
func FuzzBase(f *testing.F) {
	f.Add([]byte(baseText))
	f.Fuzz(func(t *testing.T, text []byte) {
		data, err := contract.ParseFile(text)
		if err != nil {
			return
		}
		c, err := contract.Merge(data, nil)
		if err == nil {
			if faults := c.Check(); faults.Err() != nil {
				t.Fatalf("Merge accepted a configuration with faults: %s", faults.Err())
			}
		}
	})
}

// FuzzOverlay guards against an overlay that makes ParseFile, Merge or CheckAll panic, and against an overlay that only one of
// Merge and CheckAll accepts.
func FuzzOverlay(f *testing.F) {
	base, err := contract.ParseFile([]byte(baseText))
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte("Services: {catalogue: {Deadline: 150ms}, payout: null}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		overlay, err := contract.ParseFile(text)
		if err != nil {
			return
		}
		_, mergeErr := contract.Merge(base, overlay)
		checkErr := contract.CheckAll(base, map[zone.Zone]json.RawMessage{"Kochi": overlay})
		if (mergeErr == nil) != (checkErr == nil) {
			t.Fatalf("Merge: %v, CheckAll: %v", mergeErr, checkErr)
		}
	})
}
