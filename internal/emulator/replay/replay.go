// Package replay plays a load pattern against the decisions of the query tier in simulated time.
//
// It is a discrete-event simulation of instances with a share of a processor and a link, replicas with slots, a queue, pauses and
// slow periods, and callers with a deadline and retries. The decisions are the real packages under internal/decision. Each can be
// switched off, which shows how much worth it adds under the load that it is designed for. The worth of an answer is the square of
// the fraction of shards that it covers, and a fraction of that if the answer is late:
//
//	with := replay.Run(p, replay.Policy{}, 1)
//	without := replay.Run(p, replay.Policy{Off: set.Of(replay.Hedging)}, 1)
package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/hickorynotch/hickorynotch/internal/emulator/pattern"
	"github.com/hickorynotch/hickorynotch/internal/value/set"
	"github.com/hickorynotch/hickorynotch/internal/world/region"
)

// Mechanism is a decision that can be switched off.
type Mechanism string

// The mechanisms. Each comment describes the behavior while the mechanism is off.
const (
	// Choice off: each subrequest goes to the nearest replica, regardless of load, failures and response times.
	Choice Mechanism = "Choice"
	// Hedging off: a late subrequest is not sent to a second replica.
	Hedging Mechanism = "Hedging"
	// Coverage off: a query waits for all shards until its deadline.
	Coverage Mechanism = "Coverage"
	// Budget off: hedges and retries are sent without a limit.
	Budget Mechanism = "Budget"
	// Admission off: every query is accepted.
	Admission Mechanism = "Admission"
	// Placement off: the instance that received a query gathers it.
	Placement Mechanism = "Placement"
	// RoundTrips off: the usual times over the distance are assumed instead of measured ones.
	RoundTrips Mechanism = "RoundTrips"
	// Absence off: a replica that has named a time to come back gets requests before.
	Absence Mechanism = "Absence"
	// Leaving off: a replica that has said that it leaves gets requests until it is gone.
	Leaving Mechanism = "Leaving"
	// Reachability off: instances that reach no replica gather queries, and are chosen for that by others.
	Reachability Mechanism = "Reachability"
	// Regions off: queries are sent to replicas and instances in any region.
	Regions Mechanism = "Regions"
)

// Mechanisms lists all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{Choice, Hedging, Coverage, Budget, Admission, Placement, RoundTrips, Absence, Leaving, Reachability, Regions}
}

// Policy selects the mechanisms that are off.
type Policy struct {
	Off set.Set[Mechanism]
}

// Without returns a policy with one mechanism off.
func Without(m Mechanism) Policy { return Policy{Off: set.Of(m)} }

// Result holds the outcome of a replay for callers and targets.
type Result struct {
	// Queries is the number of queries without their retries. The next four fields count them by outcome: answered within the
	// objective, answered later, finally refused, and failed.
	Queries int
	InTime  int
	Late    int
	Refused int
	Failed  int
	// Worth is the mean worth over all queries, between 0 and 1. Coverage is the mean fraction of shards in the answers.
	Worth    float64
	Coverage float64
	// P50 and P99 are percentiles of the response times of answered queries.
	P50 time.Duration
	P99 time.Duration
	// ExtraLoad is the number of extra requests (hedges and retries) for each first request to a shard.
	ExtraLoad float64
	// Overspent is the largest number by which the extra requests to a shard in any window exceed the budget, or zero.
	Overspent float64
	// SentAway is the number of requests to replicas that the instance knew to want none until a later time, and SentLeaving that of
	// requests to replicas that had told the instance that they leave.
	SentAway    int
	SentLeaving int
	// SentOutside is the number of requests and queries that were sent to replicas and instances outside the regions of the queries.
	SentOutside int
	// RegionBytes and ZoneBytes are the bytes transferred between regions and between availability zones of a region.
	RegionBytes float64
	ZoneBytes   float64
	// Samples holds the load over time, one sample for each SamplePeriod.
	Samples []Sample `json:"-"`
}

// SamplePeriod is the time between two samples of a result.
const SamplePeriod = 100 * time.Millisecond

// Sample is the load at one point in time.
type Sample struct {
	At time.Duration
	// Running is the number of queries in flight at the instances. A query that was handed over counts at both of its instances.
	// Waiting is the number of requests in the queues of the replicas. Refused is the number of refusals since the previous sample.
	Running int
	Waiting int
	Refused int
}

// String formats the figures as one line of text.
func (r *Result) String() string {
	return fmt.Sprintf("Worth=%.3f InTime=%d Late=%d Refused=%d Failed=%d Coverage=%.3f P50=%v P99=%v ExtraLoad=%.3f "+
		"Overspent=%.0f SentAway=%d SentLeaving=%d SentOutside=%d RegionBytes=%.0f ZoneBytes=%.0f", r.Worth, r.InTime, r.Late, r.Refused, r.Failed, r.Coverage,
		r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.ExtraLoad, r.Overspent, r.SentAway, r.SentLeaving, r.SentOutside, r.RegionBytes, r.ZoneBytes)
}

const (
	// partProcessorTime is the processor time on a whole core to receive the response of one shard, as measured on the product.
	partProcessorTime = 150 * time.Microsecond
	// lateFactor is the fraction of its worth that an answer keeps after the objective has passed.
	lateFactor = 0.1
	// answerBytes is the size of a merged answer. A query that is handed over is assumed to have the same size.
	answerBytes = 800
)

// event is an action that is scheduled at a point in simulated time.
type event struct {
	when     time.Duration
	sequence int
	action   func()
}

// events is a heap of events.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface. Events at the same time are ordered as they were scheduled, so that a replay is deterministic.
func (e events) Less(i, j int) bool {
	return e[i].when < e[j].when || e[i].when == e[j].when && e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]

	return last
}

// simulation is the state of one replay.
type simulation struct {
	pattern  *pattern.Pattern
	policy   Policy
	random   *rand.Rand
	now      time.Duration
	events   events
	sequence int

	// allowed are the regions of the queries, and scope those that the decisions are told.
	allowed, scope region.Scope
	instances      []*instance
	shards         [][]*replica
	result         Result
	responseTimes  []float64
	totalWorth     float64
	totalCoverage  float64
	answered       int
	requests       []shardRequests
	refusals       int // since the previous sample
}

// shardRequests holds the times at which first requests and extra requests (hedges and retries) were sent to a shard.
type shardRequests struct {
	first, extra []time.Duration
}

// epoch is the point in time at which every replay begins. It converts simulated time to the time.Time that the decisions expect.
var epoch = time.Unix(0, 0)

// Run replays the pattern under the policy. The result is deterministic for a given seed.
func Run(p *pattern.Pattern, policy Policy, seed uint64) Result {
	s := &simulation{
		pattern: p, policy: policy, random: rand.New(rand.NewPCG(seed, 0)), requests: make([]shardRequests, p.Targets.Shards),
	}
	s.allowed = region.Only(p.Queries.Regions...)
	if !policy.Off.Has(Regions) {
		s.scope = s.allowed
	}
	s.build()
	s.schedule(s.interarrivalTime(), s.arrive)
	s.schedule(0, s.sample)
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.when
		next.action()
	}

	return s.summary()
}

// schedule runs action when the given simulated time has passed.
func (s *simulation) schedule(after time.Duration, action func()) {
	s.sequence++
	heap.Push(&s.events, event{when: s.now + max(after, 0), sequence: s.sequence, action: action})
}

// interarrivalTime returns the random time until the next query arrives. It is exponentially distributed.
func (s *simulation) interarrivalTime() time.Duration {
	rate := s.pattern.Queries.ASecond
	for _, b := range s.pattern.Queries.Bursts {
		if s.now >= b.From.Std() && s.now < b.To.Std() {
			rate *= b.Factor
		}
	}

	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

// arrive sends a new query and schedules the next one.
func (s *simulation) arrive() {
	if s.now >= s.pattern.Length.Std() {
		return
	}
	s.result.Queries++
	s.send(&query{sim: s, firstSent: s.now})
	s.schedule(s.interarrivalTime(), s.arrive)
}

// sample records the load and schedules the next sample.
func (s *simulation) sample() {
	if s.now >= s.pattern.Length.Std() {
		return
	}
	current := Sample{At: s.now, Refused: s.refusals}
	s.refusals = 0
	for _, i := range s.instances {
		current.Running += i.active
	}
	for _, replicas := range s.shards {
		for _, r := range replicas {
			current.Waiting += len(r.queue)
		}
	}
	s.result.Samples = append(s.result.Samples, current)
	s.schedule(SamplePeriod, s.sample)
}

// recordAnswer records an answer that reached the caller after the given time and covers the given fraction of the shards.
func (s *simulation) recordAnswer(responseTime time.Duration, covered float64) {
	value := covered * covered
	if responseTime <= s.pattern.Queries.Objective.Std() {
		s.result.InTime++
	} else {
		s.result.Late++
		value *= lateFactor
	}
	s.answered++
	s.totalWorth += value
	s.totalCoverage += covered
	s.responseTimes = append(s.responseTimes, float64(responseTime))
}

// summary computes the figures of the result from the recorded queries and requests.
func (s *simulation) summary() Result {
	r := s.result
	if r.Queries > 0 {
		r.Worth = s.totalWorth / float64(r.Queries)
	}
	if s.answered > 0 {
		r.Coverage = s.totalCoverage / float64(s.answered)
		slices.Sort(s.responseTimes)
		r.P50 = time.Duration(stat.Quantile(0.5, stat.Empirical, s.responseTimes, nil))
		r.P99 = time.Duration(stat.Quantile(0.99, stat.Empirical, s.responseTimes, nil))
	}
	first, extra := 0, 0
	for _, requests := range s.requests {
		first += len(requests.first)
		extra += len(requests.extra)
		r.Overspent = max(r.Overspent, requests.largestExcess(s.pattern.Budget))
	}
	if first > 0 {
		r.ExtraLoad = float64(extra) / float64(first)
	}

	return r
}

// largestExcess returns the largest number by which the extra requests in any window exceed the budget, or zero.
func (s *shardRequests) largestExcess(b pattern.Budget) (largest float64) {
	for i, from := range s.extra {
		extra := 0
		for _, at := range s.extra[i:] {
			if at >= from+b.Window.Std() {
				break
			}
			extra++
		}
		first := 0
		for _, at := range s.first {
			if at >= from && at < from+b.Window.Std() {
				first++
			}
		}
		largest = max(largest, float64(extra)-b.Ratio*float64(first)-b.Allowance)
	}

	return largest
}
