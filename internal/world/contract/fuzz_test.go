package contract_test

import (
	"encoding/json"
	"testing"

	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// FuzzBase guards against a base file that panics or that is accepted with a configuration that fails its own checks.
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
				t.Fatalf("accepted with faults: %s", faults.Err())
			}
		}
	})
}

// FuzzOverlay guards against an overlay that panics, or that one of Merge and CheckAll accepts and the other does not.
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
		_, one := contract.Merge(base, overlay)
		all := contract.CheckAll(base, map[zone.Zone]json.RawMessage{"Kochi": overlay})
		if (one == nil) != (all == nil) {
			t.Fatalf("Merge: %v, CheckAll: %v", one, all)
		}
	})
}
