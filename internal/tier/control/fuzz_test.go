package control

import (
	"testing"

	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

// FuzzOwnValueIsRejectedOrValid feeds the decoders of the keys that instances write with whatever may be stored there.
func FuzzOwnValueIsRejectedOrValid(f *testing.F) {
	f.Add([]byte(`{"Name":"a","Peer":"10.0.0.1:1","AvailabilityZone":"z","Processor":0.4,"LinkBits":1e9}`))
	f.Add([]byte(`{"Name":"a","Synced":true,"Peer":"10.0.0.1:1"}`))
	f.Add([]byte(`{"Service":"s","Address":"10.0.0.1:1","AvailabilityZone":"z","Slots":2,"Warmup":-1}`))
	f.Add([]byte(`{"Fingerprint":"000102030405060708090a0b0c0d0e0f","Crashes":[{"Process":"p","Alone":true}],"Blocks":1,"Left":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e := &Entry{Key: leaderKey, Value: data}
		if i, ok := decodeEntry[Instance](nil, e); ok && (i.Name == "" || i.Processor <= 0) {
			t.Fatalf("accepted instance %+v", i)
		}
		if r, ok := decodeEntry[suspect.Record](nil, e); ok && r.Check() != nil {
			t.Fatalf("accepted record %+v", r)
		}
		if l, ok := decodeEntry[leader](nil, e); ok && l.Name == "" {
			t.Fatalf("accepted leader %+v", l)
		}
		if m, ok := decodeEntry[mirrored](nil, e); ok && (m.Service == "" || m.Slots <= 0) {
			t.Fatalf("accepted target %+v", m)
		}
	})
}
