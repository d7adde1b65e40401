package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

func processorTime() int64 {
	var usage syscall.Rusage
	// Getrusage fails only for a wrong argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)

	return usage.Utime.Nano() + usage.Stime.Nano()
}

// BenchmarkRelay measures a relay over loopback. The processor time is that of both ends.
func BenchmarkRelay(b *testing.B) {
	for _, hits := range []int{1, 20} {
		b.Run(fmt.Sprintf("Hits=%d", hits), func(b *testing.B) { benchmarkRelay(b, hits) })
	}
}

func benchmarkRelay(b *testing.B, hits int) {
	server := peer.NewServer(peer.WithRelay(func(_ context.Context, _ peer.Sender, a attempt.Attempt) (target.Reply, error) {
		reply := replyTo(a.Query)
		for i := range hits - 1 {
			reply.Hits = append(reply.Hits, target.Hit{Key: fmt.Sprintf("key-%d", i), Score: 0.5, Body: "a record's body"})
		}

		return reply, nil
	}))
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	client := peer.NewClient(timer.New(), peer.WithSender(peer.Sender{Name: "one", AvailabilityZone: "Kochi"}))
	address := netip.MustParseAddrPort(listener.Addr().String())

	b.ReportAllocs()
	before := processorTime()
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if _, err := client.Relay(ctx, address, newAttempt()); err != nil {
				b.Error(err)
			}
		}
	})
	b.StopTimer()
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
	client.Close()
	cancel()
	if err := <-ended; err != nil {
		b.Error(err)
	}
}
