// Package replay plays a load pattern against the decisions of the query tier in simulated time.
//
// It is a discrete-event model of instances with a share of a processor and a link, of replicas with slots, a queue, pauses and
// slow times, and of callers with a deadline and repetitions. The decisions are the real packages under internal/decision. Each
// can be switched off, which shows what it gains under the load that it answers:
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
)

// Mechanism is a decision that can be switched off.
type Mechanism string

// The mechanisms, with what happens without each.
const (
	// Choice: the nearest replica gets each part, whatever is known of it.
	Choice Mechanism = "Choice"
	// Hedging: a part that is late is awaited.
	Hedging Mechanism = "Hedging"
	// Coverage: a query waits for all parts until its deadline.
	Coverage Mechanism = "Coverage"
	// Budget: hedges and retries are sent without a limit.
	Budget Mechanism = "Budget"
	// Admission: every query is taken.
	Admission Mechanism = "Admission"
	// Placement: the instance that received a query gathers it.
	Placement Mechanism = "Placement"
)

// Mechanisms lists all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{Choice, Hedging, Coverage, Budget, Admission, Placement}
}

// Policy says which mechanisms are off.
type Policy struct {
	Off set.Set[Mechanism]
}

// Without returns a policy with one mechanism off.
func Without(m Mechanism) Policy { return Policy{Off: set.Of(m)} }

// Result is what callers and targets saw.
type Result struct {
	Queries   int
	InTime    int
	Late      int
	Refused   int
	Failed    int
	Worth     float64
	Coverage  float64
	P50       time.Duration
	P99       time.Duration
	ExtraLoad float64
	// Overspent is the largest number of extra requests for a shard in a window above what the budget allows.
	Overspent   float64
	RegionBytes float64
	ZoneBytes   float64
	// Samples show the load over time, one in each SamplePeriod.
	Samples []Sample `json:"-"`
}

// SamplePeriod is the time between two samples of a result.
const SamplePeriod = 100 * time.Millisecond

// Sample is the load at a moment.
type Sample struct {
	At time.Duration
	// Running is the number of queries at the instances, Waiting that of requests in the queues of the replicas, and Refused that
	// of refusals since the last sample.
	Running int
	Waiting int
	Refused int
}

// String returns the figures in one line.
func (r *Result) String() string {
	return fmt.Sprintf("Worth=%.3f InTime=%d Late=%d Refused=%d Failed=%d Coverage=%.3f P50=%v P99=%v ExtraLoad=%.3f "+
		"Overspent=%.0f RegionBytes=%.0f ZoneBytes=%.0f", r.Worth, r.InTime, r.Late, r.Refused, r.Failed, r.Coverage,
		r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.ExtraLoad, r.Overspent, r.RegionBytes, r.ZoneBytes)
}

const (
	// partWork is the processor time of a part on a whole core, as measured on the product.
	partWork = 150 * time.Microsecond
	// lateFactor is the part of its worth that an answer keeps after the objective.
	lateFactor = 0.1
	// answerBytes is the size of a merged answer.
	answerBytes = 800
)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (e events) Len() int { return len(e) }

// Less orders events by time, and equal ones as they were scheduled.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
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
	pattern *pattern.Pattern
	policy  Policy
	random  *rand.Rand
	now     time.Duration
	events  events
	order   int

	instances []*instance
	shards    [][]*replica
	result    Result
	times     []float64
	worth     float64
	coverage  float64
	answered  int
	requests  []spending
	refusals  int // since the last sample
}

// spending is when a shard got first and extra requests.
type spending struct {
	first, extra []time.Duration
}

// epoch is the time of day at which a replay begins. Decisions take times and not durations.
var epoch = time.Unix(0, 0)

// Run replays the pattern under the policy. Equal seeds give equal results.
func Run(p *pattern.Pattern, policy Policy, seed uint64) Result {
	s := &simulation{
		pattern: p, policy: policy, random: rand.New(rand.NewPCG(seed, 0)), requests: make([]spending, p.Targets.Shards),
	}
	s.build()
	s.schedule(s.gap(), s.arrive)
	s.schedule(0, s.sample)
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}

	return s.summary()
}

func (s *simulation) schedule(after time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now + max(after, 0), order: s.order, do: do})
}

// gap returns the time until the next query.
func (s *simulation) gap() time.Duration {
	rate := s.pattern.Queries.ASecond
	for _, b := range s.pattern.Queries.Bursts {
		if s.now >= b.From.Std() && s.now < b.To.Std() {
			rate *= b.Factor
		}
	}

	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

// arrive sends a query and schedules the next one.
func (s *simulation) arrive() {
	if s.now >= s.pattern.Length.Std() {
		return
	}
	s.result.Queries++
	s.send(&query{sim: s, sent: s.now})
	s.schedule(s.gap(), s.arrive)
}

// sample notes the load, and schedules the next sample.
func (s *simulation) sample() {
	if s.now >= s.pattern.Length.Std() {
		return
	}
	now := Sample{At: s.now, Refused: s.refusals}
	s.refusals = 0
	for _, i := range s.instances {
		now.Running += i.active
	}
	for _, replicas := range s.shards {
		for _, r := range replicas {
			now.Waiting += len(r.waiting)
		}
	}
	s.result.Samples = append(s.result.Samples, now)
	s.schedule(SamplePeriod, s.sample)
}

// credit notes an answer.
func (s *simulation) credit(took time.Duration, share float64) {
	value := share * share
	if took <= s.pattern.Queries.Objective.Std() {
		s.result.InTime++
	} else {
		s.result.Late++
		value *= lateFactor
	}
	s.answered++
	s.worth += value
	s.coverage += share
	s.times = append(s.times, float64(took))
}

func (s *simulation) summary() Result {
	r := s.result
	if r.Queries > 0 {
		r.Worth = s.worth / float64(r.Queries)
	}
	if s.answered > 0 {
		r.Coverage = s.coverage / float64(s.answered)
		slices.Sort(s.times)
		r.P50 = time.Duration(stat.Quantile(0.5, stat.Empirical, s.times, nil))
		r.P99 = time.Duration(stat.Quantile(0.99, stat.Empirical, s.times, nil))
	}
	first, extra := 0, 0
	for _, of := range s.requests {
		first += len(of.first)
		extra += len(of.extra)
		r.Overspent = max(r.Overspent, of.overspent(s.pattern.Budget))
	}
	if first > 0 {
		r.ExtraLoad = float64(extra) / float64(first)
	}

	return r
}

// overspent returns by how many the extra requests of a window exceed the budget at most.
func (s *spending) overspent(b pattern.Budget) (most float64) {
	for i, from := range s.extra {
		n := 0
		for _, at := range s.extra[i:] {
			if at >= from+b.Window.Std() {
				break
			}
			n++
		}
		first := 0
		for _, at := range s.first {
			if at >= from && at < from+b.Window.Std() {
				first++
			}
		}
		most = max(most, float64(n)-b.Ratio*float64(first)-b.Allowance)
	}

	return most
}
