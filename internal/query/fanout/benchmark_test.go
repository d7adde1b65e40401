package fanout_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/policy/budget"
	"github.com/hickorynotch/hickorynotch/internal/policy/hedge"
	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// BenchmarkAnswer measures the cost of the engine per target request, with targets that reply immediately.
func BenchmarkAnswer(b *testing.B) {
	for _, shards := range []int{20, 150} {
		for _, queries := range []int{1, 8} {
			b.Run(fmt.Sprintf("Shards=%d/Queries=%d", shards, queries), func(b *testing.B) { benchmark(b, shards, queries) })
		}
	}
}

func benchmark(b *testing.B, shards, queries int) {
	const limit = 20
	hits := make([][]target.Hit, shards)
	for i := range shards {
		for j := range limit {
			hits[i] = append(hits[i], target.Hit{Key: fmt.Sprintf("%d-%d", i, j), Score: float64(1000 - j*shards - i)})
		}
	}
	targets := newFixture()
	targets.pins[0] = pinOf(7, shards)
	targets.service.Deadline, targets.service.PageSize = duration.Duration(10*time.Second), limit
	engine, timers := targets.engine, timer.New()
	engine.Timers = timers
	engine.Budget, engine.Hedge = budget.New(budget.WithTimers(timers)), hedge.New(hedge.WithTimers(timers))
	engine.Run = func(ctx context.Context, a attempt.Attempt) (target.Reply, error) {
		return target.Reply{
			RequestID: a.Query.RequestID, AttemptID: a.Query.AttemptID, Service: a.Query.Service, Version: a.Query.Version,
			Shard: a.Query.Shard, Shards: a.Query.Shards, Hits: hits[a.Query.Shard],
		}, nil
	}

	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	var group sync.WaitGroup
	for worker := range queries {
		group.Go(func() {
			for range (b.N + worker) / queries {
				if _, err := engine.Answer(context.Background(), caller.Request{Service: "catalogue", Text: "blue"}); err != nil {
					b.Error(err)

					return
				}
			}
		})
	}
	group.Wait()
	b.StopTimer()
	runtime.ReadMemStats(&after)
	requests := float64(b.N) * float64(shards)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/requests, "ns/request")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/requests, "allocs/request")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/requests, "B/request")
}
