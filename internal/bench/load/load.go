// Package load sends requests to entry instances at a given rate and records what came back.
//
// The load is an open loop: arrivals follow a Poisson process that does not wait for answers, and latencies count from
// the arrival that was scheduled, so that a slow system cannot hide its delay by slowing down the load (coordinated
// omission):
//
//	g := load.New(timers, client)
//	result := g.Run(ctx, load.Slice{Classes: classes, Callers: addresses, Length: time.Second, Seed: 7, Prefix: "ours-1"})
//	result[0].Latencies.ValueAtQuantile(99)
//
// The package also switches the faults of the stand-in targets, reads the counters and the processor time of instances, and
// compares what callers were told with the journals of the targets.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// Error is the class of the errors of this package.
var Error = errs.Class("load")

const (
	// maxInFlight bounds the requests of one class that wait for an answer. Arrivals beyond it count as unsent.
	maxInFlight = 2048
	// grace is the time beyond a deadline after which the generator gives up on an answer.
	grace = time.Second
	// unit is the resolution of latencies, and highest the largest one that is told apart.
	unit    = 10 * time.Microsecond
	highest = int64(10 * time.Second / unit)
	digits  = 3
)

// Class is one stream of requests.
type Class struct {
	Service  string
	Contract contract.Service
	// Shards is the number of shards that a request asks.
	Shards int
	// Rate is the mean number of arrivals a second.
	Rate float64
}

// Slice is a short run of several classes against one fleet of instances.
type Slice struct {
	Classes []Class
	Callers []netip.AddrPort
	Length  time.Duration
	// Seed decides the arrivals, so that slices with the same seed have the same ones.
	Seed uint64
	// Prefix starts all RequestIDs and must be unique.
	Prefix string
}

// Generator sends requests. It is safe for concurrent use.
type Generator struct {
	timers *timer.Service
	client *caller.Client
}

// New returns a Generator that sends with client.
func New(timers *timer.Service, client *caller.Client) *Generator {
	return &Generator{timers: timers, client: client}
}

// Run sends the requests of s and returns one result for each class, when all requests have ended.
func (g *Generator) Run(ctx context.Context, s Slice) []*Result {
	results := make([]*Result, len(s.Classes))
	var running sync.WaitGroup
	for i, class := range s.Classes {
		results[i] = NewResult()
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		running.Go(func() { g.stream(ctx, s, class, random, results[i]) })
	}
	running.Wait()

	return results
}

// stream sends the requests of one class.
func (g *Generator) stream(ctx context.Context, s Slice, class Class, random *rand.Rand, result *Result) {
	if class.Rate <= 0 {
		return
	}
	began := g.timers.Now()
	due := began
	free := make(chan struct{}, maxInFlight)
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / class.Rate * float64(time.Second)))
		if due.Sub(began) >= s.Length {
			return
		}
		if wait := due.Sub(g.timers.Now()); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-g.timers.After(wait):
			}
		}
		request := caller.Request{
			RequestID: fmt.Sprintf("%s-%s-%d", s.Prefix, class.Service, n),
			Service:   class.Service,
			Text:      words[random.IntN(len(words))],
			Key:       fmt.Sprintf("lot-%d", random.IntN(100000)),
		}
		address := s.Callers[n%len(s.Callers)]
		scheduled := due
		select {
		case free <- struct{}{}:
		default:
			result.unsent()

			continue
		}
		running.Go(func() {
			defer func() { <-free }()
			g.send(ctx, address, class, request, scheduled, result)
		})
	}
}

var words = []string{"jar", "bowl", "tile", "glaze", "parcel", "loam", "ridge", "kiln"}

func (g *Generator) send(
	ctx context.Context,
	address netip.AddrPort,
	class Class,
	request caller.Request,
	scheduled time.Time,
	result *Result,
) {
	ctx, cancel := g.timers.WithTimeout(ctx, class.Contract.Deadline.Std()+grace)
	defer cancel()
	answer, err := g.client.Query(ctx, address, request)
	took := g.timers.Since(scheduled)
	if err == nil {
		result.answered(class, request, answer, took)

		return
	}
	var refusal *caller.Refusal
	if !errors.As(err, &refusal) {
		refusal = &caller.Refusal{Outcome: target.Unknown, Code: caller.Lost}
	}
	result.refused(class, request, refusal)
}

// Record is what the caller of one request was told.
type Record struct {
	RequestID  string
	Idempotent bool
	// Answered is true for an answer, and Shards holds a bit for each shard that it covers. OneRecord answers cover one
	// unnamed shard.
	Answered bool
	OneShard bool
	Shards   uint64
	// Malformed is true for a coverage that contradicts itself.
	Malformed bool
	Outcome   target.Outcome
}

// Result is what became of the requests of one class. It is safe for concurrent use until Run has returned.
type Result struct {
	mutex sync.Mutex
	// Latencies holds those of answered requests, in units of 10 µs.
	Latencies *hdrhistogram.Histogram
	Sent      int
	Unsent    int
	Whole     int
	Partial   int
	Coverage  float64 // sum over answers
	Worth     float64 // sum over answers
	// Needed is the number of target requests without hedges and retries, for the requests that were not refused before
	// any target was asked.
	Needed   int
	Refusals map[string]int
	Records  []Record
}

// NewResult returns a Result without requests.
func NewResult() *Result {
	return &Result{Latencies: hdrhistogram.New(1, highest, digits), Refusals: make(map[string]int)}
}

// Add adds the requests of other to r.
func (r *Result) Add(other *Result) {
	r.Latencies.Merge(other.Latencies)
	r.Sent += other.Sent
	r.Unsent += other.Unsent
	r.Whole += other.Whole
	r.Partial += other.Partial
	r.Coverage += other.Coverage
	r.Worth += other.Worth
	r.Needed += other.Needed
	for code, n := range other.Refusals {
		r.Refusals[code] += n
	}
	r.Records = append(r.Records, other.Records...)
}

// Quantile returns a latency, q in percent.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latencies.ValueAtQuantile(q)) * unit
}

// Answers returns the number of answered requests.
func (r *Result) Answers() int { return r.Whole + r.Partial }

func (r *Result) unsent() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Unsent++
}

func (r *Result) answered(class Class, request caller.Request, answer caller.Answer, took time.Duration) {
	record := Record{RequestID: request.RequestID, Idempotent: class.Contract.Idempotent, Answered: true}
	c := answer.Coverage
	record.OneShard = class.Contract.Class == contract.OneRecord
	record.Malformed = c.Asked != class.Shards || c.Answered+len(c.Missing) != c.Asked || c.Whole != (c.Answered == c.Asked)
	if !record.OneShard {
		record.Shards = 1<<c.Asked - 1
		for _, shard := range c.Missing {
			record.Shards &^= 1 << shard
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Sent++
	r.Needed += class.Shards
	r.Coverage += c.Fraction()
	r.Worth += class.Contract.Worth
	if c.Whole {
		r.Whole++
	} else {
		r.Partial++
	}
	// The value is within the range of the histogram, which is the only cause of an error.
	_ = r.Latencies.RecordValue(min(max(int64(took/unit), 1), highest))
	r.Records = append(r.Records, record)
}

func (r *Result) refused(class Class, request caller.Request, refusal *caller.Refusal) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Sent++
	r.Refusals[fmt.Sprintf("%s/%s", refusal.Code, refusal.Outcome)]++
	switch refusal.Code {
	case caller.InsufficientCoverage, caller.Lost, caller.NoTarget:
		r.Needed += class.Shards
	}
	r.Records = append(r.Records, Record{
		RequestID: request.RequestID, Idempotent: class.Contract.Idempotent, Outcome: refusal.Outcome,
	})
}
