package request_test

import (
	"fmt"
	"io"
	"log"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/standin/platform"
	standin "github.com/hickorynotch/hickorynotch/internal/standin/target"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// requestStep is a step in the processing of a request. Faults are injected when a request reaches a given step.
type requestStep int

const (
	accepted requestStep = iota
	admitted
	pinned
	targetChosen
	connecting
	partlySent
	awaitingReply
	partlyRead
	merging
	writingAnswer
	steps
)

var stepNames = [steps]string{
	"accepted", "admitted", "snapshot pinned", "target picked", "connecting", "request partly sent", "sent and unanswered",
	"reply partly read", "merging", "answer being written",
}

// stepOfStage maps the stages that a target reports to the steps of a request.
var stepOfStage = map[standin.Stage]requestStep{
	standin.Connected: connecting, standin.PartlyRead: partlySent, standin.Running: awaitingReply,
	standin.PartlyReplied: partlyRead,
}

// fault is a kind of fault. inject applies it to the targets in scope, or to the whole fleet if it does not concern targets.
type fault struct {
	name   string
	inject func(f *fleet, scope []int, at requestStep)
	// lastStep is the last step at which the fault can begin, and reason says why it cannot begin later.
	lastStep requestStep
	reason   string
}

const (
	reasonRan     = "the query has run by then"
	reasonReplied = "the target has sent its reply by then"
)

var faults = []fault{
	{name: "target killed", lastStep: writingAnswer, inject: killTargets},
	{name: "target frozen", lastStep: writingAnswer, inject: setFault(standin.Fault{Freeze: true})},
	{name: "target slow", lastStep: writingAnswer, inject: setFault(standin.Fault{SlowFraction: 1, SlowFactor: 60})},
	{name: "target shedding", lastStep: writingAnswer, inject: setFault(standin.Fault{Shed: true})},
	{name: "target draining", lastStep: writingAnswer, inject: setFault(standin.Fault{Drain: true})},
	{name: "target cold", lastStep: writingAnswer, inject: setFault(standin.Fault{Cold: true})},
	{name: "target refusing connections", lastStep: writingAnswer, inject: refuseConnections},
	{name: "connections silently dead", lastStep: writingAnswer, inject: setFault(standin.Fault{SilenceConnections: true})},
	{name: "reset before run", lastStep: partlySent, reason: reasonRan, inject: setFault(standin.Fault{ResetBeforeRun: true})},
	{name: "reset after run", lastStep: awaitingReply, reason: reasonReplied, inject: setFault(standin.Fault{ResetAfterRun: true})},
	{name: "reply truncated", lastStep: awaitingReply, reason: reasonReplied, inject: setFault(standin.Fault{Truncate: true})},
	{
		name: "reply late", lastStep: awaitingReply, reason: reasonReplied,
		inject: setFault(standin.Fault{Late: duration.Duration(deadline / 2)}),
	},
	{name: "reply doubled", lastStep: awaitingReply, reason: reasonReplied, inject: setFault(standin.Fault{Duplicate: true})},
	{
		name: "reply meant for another request", lastStep: awaitingReply, reason: reasonReplied,
		inject: setFault(standin.Fault{Misdirect: true}),
	},
	{name: "load report wrong", lastStep: writingAnswer, inject: setFault(standin.Fault{WrongReport: true})},
	{name: "index version withdrawn", lastStep: writingAnswer, inject: withdrawHoldings},
	{name: "index version replaced", lastStep: writingAnswer, inject: replaceHoldings(2, shards)},
	{name: "shard repartitioned", lastStep: writingAnswer, inject: replaceHoldings(3, 3)},
	{name: "entry instance killed", lastStep: writingAnswer, inject: killEntryInstance},
	{name: "peer partitioned", lastStep: writingAnswer, inject: func(f *fleet, _ []int, _ requestStep) {
		f.network.partitioned.Store(true)
	}},
	{name: "store down", lastStep: writingAnswer, inject: func(f *fleet, _ []int, _ requestStep) {
		f.platform.SetFaults(platform.Fault{Down: true})
	}},
	{name: "store write without reply", lastStep: writingAnswer, inject: func(f *fleet, _ []int, _ requestStep) {
		f.platform.SetFaults(platform.Fault{LoseReply: 1})
	}},
	{name: "lease lapsed", lastStep: writingAnswer, inject: func(f *fleet, _ []int, _ requestStep) {
		f.platform.Store().EndAllLeases()
	}},
}

// possibleCells returns the number of cells of the matrix that run: those whose fault can begin at their step.
func possibleCells() (n int) {
	for _, f := range faults {
		n += int(f.lastStep) + 1
	}

	return n
}

// setFault returns a function that injects a fault of the stand-in at the targets in scope.
func setFault(fault standin.Fault) func(*fleet, []int, requestStep) {
	return func(f *fleet, scope []int, _ requestStep) {
		for _, i := range scope {
			if err := f.targets[i].target.SetFault(fault); err != nil {
				panic(err)
			}
		}
	}
}

// killTargets stops targets. It does not wait for their end, because a goroutine of the target itself may call it.
func killTargets(f *fleet, scope []int, _ requestStep) {
	for _, i := range scope {
		f.targets[i].cancel()
		f.targets[i].target.CloseConnections()
	}
}

// refuseConnections makes targets refuse connections. At steps before connecting, it also closes the open connections, so that the
// queries need new ones.
func refuseConnections(f *fleet, scope []int, at requestStep) {
	setFault(standin.Fault{RefuseConnections: true})(f, scope, at)
	for _, i := range scope {
		if at < connecting {
			f.targets[i].target.CloseConnections()
		}
	}
}

// replaceHoldings replaces the holdings of targets by another version with the given number of shards.
func replaceHoldings(version uint64, shards int) func(*fleet, []int, requestStep) {
	return func(f *fleet, scope []int, _ requestStep) {
		for _, i := range scope {
			f.targets[i].target.SetHoldings(target.Holding{Version: version, Shard: i % shards, Shards: shards})
		}
	}
}

// withdrawHoldings removes all versions from targets.
func withdrawHoldings(f *fleet, scope []int, _ requestStep) {
	for _, i := range scope {
		f.targets[i].target.SetHoldings()
	}
}

// killEntryInstance kills the instance that received the request if all targets are in scope, and otherwise the one that relays
// for it.
func killEntryInstance(f *fleet, scope []int, _ requestStep) {
	if len(scope) == len(layout) {
		f.kill(0)
	} else {
		f.kill(1)
	}
}

// scopes are the sets of targets at which a fault is injected: one replica of each shard, or all targets.
var scopes = [][]int{{0, 1}, {0, 1, 2, 3}}

var classes = []string{"FullPage", "QuickMatch", "OneRecord"}

var seed = func() uint64 {
	if text := os.Getenv("PROOF_SEED"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			panic("PROOF_SEED: " + err.Error())
		}

		return n
	}

	return 1
}()

func TestRequest(t *testing.T) {
	RegisterFailHandler(Fail)
	// net/http logs each unsolicited response, and the fault "reply doubled" produces many.
	log.SetOutput(io.Discard)
	fmt.Printf("PROOF_SEED=%d\n", seed)
	// The timeout only ends tests that hang. It is long, so that tests do not fail on a busy machine.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "proof of the guarantees about requests")
}

// startingFleets has the fleets that were started ahead of use, by the key of their run. Starting a fleet takes longer than most
// runs, so the fleets of the next cells start while a cell runs. stopping counts the fleets that are being stopped.
var (
	startingFleets sync.Map
	stopping       sync.WaitGroup
)

// startFleet starts the fleet for the run with this key in the background, unless it was started before. The result waits for it.
func startFleet(key uint64) func() (*fleet, error) {
	once, known := startingFleets.LoadOrStore(key, sync.OnceValues(func() (*fleet, error) { return newFleet(seed ^ key<<8) }))
	if !known {
		go func() { _, _ = once.(func() (*fleet, error))() }()
	}

	return once.(func() (*fleet, error))
}

var _ = AfterSuite(func() {
	startingFleets.Range(func(_, once any) bool {
		f, _ := once.(func() (*fleet, error))()
		stopping.Go(f.stop)

		return true
	})
	stopping.Wait()
})

// timedFault is a fault with the step at which it begins and the targets that it concerns.
type timedFault struct {
	fault fault
	step  requestStep
	scope []int
}

// maxRequests limits the requests that are sent until one reaches the step at which the fault begins.
const maxRequests = 5

// runRequests sends a request of class under the faults and judges the outcome. With a single fault it sends further requests until
// one reaches the step at which the fault begins.
func runRequests(class string, key uint64, random *rand.Rand, faults ...timedFault) error {
	f, err := startFleet(key)()
	startingFleets.Delete(key)
	defer stopping.Go(f.stop)
	if err != nil {
		return err
	}
	injected := make([]atomic.Bool, len(faults))
	killed, needsNewConnection := false, false
	hook := func(s requestStep) {
		for i, timed := range faults {
			if timed.step == s && !injected[i].Swap(true) {
				timed.fault.inject(f, timed.scope, s)
			}
		}
	}
	for _, timed := range faults {
		killed = killed || timed.fault.name == "entry instance killed" && len(timed.scope) == len(layout)
		needsNewConnection = needsNewConnection || timed.step == connecting
	}
	f.onStep.Store(&hook)
	var outcomes []outcome
	for reached := false; !reached; reached = len(faults) > 1 || injected[0].Load() {
		if len(outcomes) == maxRequests {
			return fmt.Errorf("none of %d requests reached the step at which the fault begins, the last is: %s",
				maxRequests, &outcomes[maxRequests-1])
		}
		if needsNewConnection {
			for _, p := range f.targets {
				p.target.CloseConnections()
			}
			// Within this time, the instances notice that their idle connections were closed. On a busy machine they may not, and
			// the request fails on a closed connection. It is judged like the others, and another request is sent.
			time.Sleep(5 * time.Millisecond)
		}
		outcomes = append(outcomes, f.send(0, newRequest(class, random)))
	}

	return f.judge(killed, outcomes...)
}

// newRequest returns a request of class with random contents.
func newRequest(class string, random *rand.Rand) caller.Request {
	r := caller.Request{RequestID: fmt.Sprintf("r-%d", random.Uint32()), Service: class, Limit: 20}
	if class == "OneRecord" {
		r.Key, r.Limit = standin.Key(random.IntN(standin.Records)), 1
	} else {
		r.Text = fmt.Sprint("jar ", random.Uint32())
	}

	return r
}

var _ = Describe("Matrix", func() {
	const runs = 6 // of a cell, one for each class and scope
	type cell struct {
		fault fault
		at    requestStep
		key   uint64
	}
	cells := make(map[string]cell)
	for _, fault := range faults {
		for at := range steps {
			// A fault cannot begin after its last step, for the reason in fault.reason, so these cells have no entry.
			if at <= fault.lastStep {
				cells[fmt.Sprintf("%s when %s", fault.name, stepNames[at])] = cell{fault: fault, at: at}
			}
		}
	}
	// Ginkgo runs the entries in the order of their names. The keys have the same order, so that the fleets that were started ahead
	// are those of the next entries.
	var entries []TableEntry
	for _, name := range slices.Sorted(maps.Keys(cells)) {
		c := cells[name]
		c.key = uint64(len(entries)) * runs
		entries = append(entries, Entry(name, c))
	}
	DescribeTable("keeps the guarantees 1 to 5 for each class of request under one fault", func(c cell) {
		results := make([]error, runs)
		var running sync.WaitGroup
		for i := range results {
			key := c.key + uint64(i)
			startFleet(key + runs)
			startFleet(key + 2*runs)
			running.Go(func() {
				results[i] = runRequests(classes[i%len(classes)], key, rand.New(rand.NewPCG(seed, key)),
					timedFault{c.fault, c.at, scopes[i/len(classes)]})
			})
		}
		running.Wait()
		for i, err := range results {
			Expect(err).NotTo(HaveOccurred(), "class %s, targets %v", classes[i%len(classes)], scopes[i/len(classes)])
		}
	}, entries)

	It("keeps the guarantees 1 to 5 under random pairs of faults", func() {
		const pairs = 60
		results := make([]error, pairs)
		var running sync.WaitGroup
		semaphore := make(chan struct{}, 12)
		for i := range results {
			running.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				key := 1<<32 | uint64(i)
				random := rand.New(rand.NewPCG(seed, key))
				pair := make([]timedFault, 2)
				name := ""
				for k := range pair {
					fault := faults[random.IntN(len(faults))]
					pair[k] = timedFault{fault, requestStep(random.IntN(int(fault.lastStep) + 1)), scopes[random.IntN(len(scopes))]}
					name += fmt.Sprintf("%s when %s at %v, ", fault.name, stepNames[pair[k].step], pair[k].scope)
				}
				class := classes[random.IntN(len(classes))]
				if err := runRequests(class, key, random, pair...); err != nil {
					results[i] = fmt.Errorf("pair %d: %s%s: %w", i, name, class, err)
				}
			})
		}
		running.Wait()
		for _, err := range results {
			Expect(err).NotTo(HaveOccurred(), "PROOF_SEED=%d", seed)
		}
	})
})
