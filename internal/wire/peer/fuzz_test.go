package peer_test

import (
	"testing"

	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
)

// FuzzMessage guards against a peer's message that crashes an instance, and against one that is accepted in a form that
// this instance would not itself send on.
func FuzzMessage(f *testing.F) {
	f.Fuzz(func(t *testing.T, kind uint8, data []byte) {
		messages := peer.Messages()
		index := int(kind) % len(messages)
		if peer.Decode(data, messages[index]) != nil {
			return
		}
		again, err := peer.Encode(messages[index])
		if err != nil {
			t.Fatalf("an accepted message cannot be encoded: %v", err)
		}
		if err := peer.Decode(again, peer.Messages()[index]); err != nil {
			t.Fatalf("an accepted message is refused after encoding: %v", err)
		}
	})
}
