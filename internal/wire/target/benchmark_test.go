package target_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// BenchmarkClient measures round trips of the client over loopback. The processor time includes a server that decodes the
// query and encodes the reply.
func BenchmarkClient(b *testing.B) {
	var wire atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_ = json.NewEncoder(w).Encode(target.Report{Incarnation: 1, Service: "payout", Slots: 2,
				Holdings: []target.Holding{{Version: 7, Shard: 1, Shards: 3}, {Version: 8, Shard: 1, Shards: 3}}})

			return
		}
		var q target.Query
		if json.NewDecoder(r.Body).Decode(&q) != nil {
			w.WriteHeader(http.StatusBadRequest)

			return
		}
		reply := replyTo(&q)
		for range 20 {
			reply.Hits = append(reply.Hits, target.Hit{Key: "key-1", Score: 0.5, Body: "a record's body"})
		}
		_ = json.NewEncoder(w).Encode(reply)
	}))
	server.Listener = countingListener{server.Listener, &wire}
	server.Start()
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	client := target.NewClient(timer.New())
	defer client.Close()
	for _, call := range []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"Query", func(ctx context.Context) error {
			_, err := client.Query(ctx, address, query("one"))

			return err
		}},
		{"Status", func(ctx context.Context) error {
			_, err := client.Status(ctx, address)

			return err
		}},
	} {
		b.Run(call.name, func(b *testing.B) {
			b.ReportAllocs()
			before, bytes := processorTime(), wire.Load()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if err := call.run(context.Background()); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(wire.Load()-bytes)/float64(b.N), "wire-B/op")
		})
	}
}

// countingListener counts the bytes of all connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()

	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))

	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))

	return n, err
}

func processorTime() int64 {
	var usage syscall.Rusage
	// Getrusage fails only for a wrong argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)

	return usage.Utime.Nano() + usage.Stime.Nano()
}
