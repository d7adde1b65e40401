package polling

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/world/snapshot"
)

// BenchmarkRound measures what a round does with 3,200 targets beside its polls and calls.
func BenchmarkRound(b *testing.B) {
	gomega.RegisterTestingT(b)
	f := newFleet(9, 3200)
	n := f.nodes[0]
	catalog := snapshot.New()
	for b.Loop() {
		n.contact(context.Background(), false)
		n.mine()
		n.table.repeat(catalog.Learn)
	}
}
