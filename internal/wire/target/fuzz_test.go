package target_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// FuzzReply guards against replies that panic the decoder, pass with faulty holdings, or change when passed on to a peer.
// The seeds are in testdata/fuzz/FuzzReply.
func FuzzReply(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var reply target.Reply
		if json.Unmarshal(data, &reply) != nil {
			return
		}
		if err := reply.Report.Check(); err != nil {
			t.Fatalf("accepted a faulty report: %v", err)
		}
		again, err := json.Marshal(&reply)
		if err != nil {
			t.Fatalf("accepted a reply that cannot be passed on: %v", err)
		}
		var copied target.Reply
		if err := json.Unmarshal(again, &copied); err != nil {
			t.Fatalf("the passed-on reply does not decode: %v", err)
		}
		if !reflect.DeepEqual(reply, copied) {
			t.Fatalf("passed on %+v, received %+v", reply, copied)
		}
	})
}
