package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	standin "github.com/hickorynotch/hickorynotch/internal/standin/platform"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

const (
	// idleTime covers two reads of the second instance of each zone. calmTime lets the news of the joins run out before.
	idleTime = 10 * time.Second
	calmTime = 3 * time.Second
	// liveLimit bounds one wait for a revision. It is the limit of the expected size.
	liveLimit = 14 * time.Second
	slowStore = 500 * time.Millisecond
	// changesCounted are the changes whose bytes are counted, and changeTime is the pause after each for late reads of it.
	changesCounted = 3
	changeTime     = 2 * time.Second
	// shortPause is the longest pause between changes while the store is not slow.
	shortPause = 200 * time.Millisecond
	// inForceTarget is the time within which a change is in force at every one of inForceSize instances.
	inForceTarget = 2 * time.Second
	inForceSize   = 8
	// The growth of store calls is judged between these sizes.
	smallFleet, largeFleet = 8, 32
)

// LiveOptions says what Live measures.
type LiveOptions struct {
	Sizes []int
	// Replicas are the numbers of replicas in the configuration and on the platform's list, the second variable of the
	// idle fleets. All but one are of a zone without instances, so that the status poll does not hide what is measured.
	Replicas []int
	// Applies is the number of changes for each size and state of the store.
	Applies int
	Seed    uint64
}

// Idle is what a fleet uses when nothing happens.
type Idle struct {
	Instances int
	Replicas  int
	Window    duration.Duration
	// StoreCalls and ListCalls are those of the whole fleet; a watch that waits is one call when it begins.
	StoreCalls, ListCalls uint64
	StoreCallsASecond     float64
	ListCallsASecond      float64
	// The following are for each instance. Bytes are those of TCP streams, without headers.
	PeerBytesSentASecond         float64
	PeerBytesReceivedASecond     float64
	PlatformBytesSentASecond     float64
	PlatformBytesReceivedASecond float64
	// TargetBytesASecond is that of status polls in both directions.
	TargetBytesASecond float64
	// PollsASecond is the number of status polls at one of Targets targets.
	Targets      int
	PollsASecond float64
	// Cores includes the garbage collector and the stand-in platform.
	Cores     float64
	HeapBytes float64
	// StackBytes is the memory of goroutine stacks.
	StackBytes float64
	// MostStoreBytesASecond is the size of the store's values that one instance received, the highest of the fleet, and
	// ChangeBytes what all instances received for each change, above the idle load.
	MostStoreBytesASecond float64
	ChangeBytes           float64
}

// InForce is the time from accepted to in force at every instance, in one state of the store.
type InForce struct {
	Instances int
	Store     string
	Time      spread
	// StoreCallsAChange is for the whole fleet.
	StoreCallsAChange float64
}

// LiveReport is the result of Live.
type LiveReport struct {
	Kind     string
	Seed     uint64
	Cores    int
	Idle     []Idle
	InForce  []InForce
	Verdicts []Verdict
}

// Live measures fleets of the given sizes. The idle fleets run one after the other, so that processor time and memory
// belong to one size; the changes run at all sizes at once, because they wait most of the time.
func Live(ctx context.Context, o LiveOptions) (report LiveReport, err error) {
	defer func() { err = Error.Wrap(err) }()

	report = LiveReport{Kind: "Live", Seed: o.Seed, Cores: runtime.NumCPU()}
	for _, replicas := range o.Replicas {
		for _, size := range o.Sizes {
			idle, err := measureIdle(ctx, size, replicas, o.Seed)
			if err != nil {
				return report, err
			}
			report.Idle = append(report.Idle, idle)
		}
	}
	results := make([][]InForce, len(o.Sizes))
	faults := make([]error, len(o.Sizes))
	var running sync.WaitGroup
	for i, size := range o.Sizes {
		running.Go(func() { results[i], faults[i] = measureInForce(ctx, size, o) })
	}
	running.Wait()
	for _, result := range results {
		report.InForce = append(report.InForce, result...)
	}
	report.judge()

	return report, errors.Join(faults...)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage fails only for a wrong argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func memory() (heap, stack uint64) {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)

	return m.HeapAlloc, m.StackInuse
}

func measureIdle(ctx context.Context, size, replicas int, seed uint64) (idle Idle, err error) {
	heap, stack := memory()
	f, err := startLive(ctx, size, seed)
	if err != nil {
		return Idle{}, err
	}
	defer f.close()
	if err := f.listTargets(replicas); err != nil {
		return Idle{}, err
	}
	operator := newOperator(f)
	operator.replicas, operator.targets = replicas, f.targets.addresses
	if _, err := operator.apply(ctx); err != nil {
		return Idle{}, err
	}
	if err := f.settle(ctx); err != nil {
		return Idle{}, err
	}
	if err := sleep(ctx, calmTime); err != nil {
		return Idle{}, err
	}
	calls, sent, processor, began := f.platform.Calls(), f.peerBytes(), processorTime(), time.Now()
	values := f.storeBytes()
	fromStore, toStore := f.store.written.Load(), f.store.read.Load()
	polls, polled := f.targets.polls.Load(), f.targets.traffic.written.Load()+f.targets.traffic.read.Load()
	if err := sleep(ctx, idleTime); err != nil {
		return Idle{}, err
	}
	window := time.Since(began)
	after := f.platform.Calls()
	each := func(count uint64) float64 { return float64(count) / window.Seconds() / float64(size) }
	idle = Idle{
		Instances:                    size,
		Replicas:                     replicas,
		Window:                       duration.Duration(window),
		StoreCalls:                   storeCalls(after) - storeCalls(calls),
		ListCalls:                    after.List - calls.List,
		PeerBytesSentASecond:         each(f.peerBytes() - sent),
		PlatformBytesSentASecond:     each(f.store.read.Load() - toStore),
		PlatformBytesReceivedASecond: each(f.store.written.Load() - fromStore),
		TargetBytesASecond:           each(f.targets.traffic.written.Load() + f.targets.traffic.read.Load() - polled),
		Targets:                      liveReplicas,
		PollsASecond:                 float64(f.targets.polls.Load()-polls) / window.Seconds() / liveReplicas,
		Cores:                        (processorTime() - processor).Seconds() / window.Seconds() / float64(size),
	}
	most, all := mostAndSum(values, f.storeBytes())
	idle.MostStoreBytesASecond = float64(most) / window.Seconds()
	idle.PeerBytesReceivedASecond = idle.PeerBytesSentASecond
	idle.StoreCallsASecond = float64(idle.StoreCalls) / window.Seconds()
	idle.ListCallsASecond = float64(idle.ListCalls) / window.Seconds()
	heapAfter, stackAfter := memory()
	idle.HeapBytes = (float64(heapAfter) - float64(heap)) / float64(size)
	idle.StackBytes = (float64(stackAfter) - float64(stack)) / float64(size)

	values, began = f.storeBytes(), time.Now()
	for range changesCounted {
		if _, err := operator.apply(ctx); err != nil {
			return Idle{}, err
		}
		if err := sleep(ctx, changeTime); err != nil {
			return Idle{}, err
		}
	}
	background := time.Since(began).Seconds() * float64(all) / window.Seconds()
	_, all = mostAndSum(values, f.storeBytes())
	idle.ChangeBytes = (float64(all) - background) / changesCounted

	return idle, nil
}

// mostAndSum returns the highest growth of a count and that of all.
func mostAndSum(before, after []uint64) (most, sum uint64) {
	for i := range before {
		most = max(most, after[i]-before[i])
		sum += after[i] - before[i]
	}

	return most, sum
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func storeCalls(c standin.Calls) uint64 {
	return c.Read + c.Watch + c.Commit + c.GrantLease + c.RenewLease + c.EndLease
}

// operator applies changes. It is in no availability zone, so faults for zones do not reach it.
type operator struct {
	fleet   *liveFleet
	applier *configuration.Applier
	applied int
	// targets are the replicas for the zones of the instances, and replicas is the number of those for otherZone alone.
	targets  []netip.AddrPort
	replicas int
}

func newOperator(f *liveFleet) *operator {
	timers := timer.New()

	return &operator{
		fleet: f,
		applier: configuration.NewApplier(timers,
			configuration.WithApplierStore(platform.NewClient(f.platform.Store().KeyValueStore(), control.TargetSource{}, timers))),
		targets:  []netip.AddrPort{absent(0)},
		replicas: 1,
	}
}

// apply applies another configuration and returns the time from accepted to in force at every instance.
func (o *operator) apply(ctx context.Context) (took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, liveLimit)
	defer cancel()
	o.applied++
	all := append(slices.Clone(liveZones), otherZone)
	base, err := newBase(all, len(o.targets), func(i int) netip.AddrPort { return o.targets[i] }, o.applied)
	if err != nil {
		return 0, err
	}
	overlay, err := newBase(all, o.replicas, absent, o.applied)
	if err != nil {
		return 0, err
	}
	o.applier.Check = contract.CheckAll
	result, err := o.applier.Apply(ctx, configuration.Change{
		ApplyID: fmt.Sprintf("bench-%d", o.applied), Operator: "bench", Base: base,
		Overlays: map[zone.Zone]json.RawMessage{otherZone: overlay},
	})
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	last, err := o.fleet.inForce(ctx, result.Accepted.Revision)

	// The store tells the instances while it still answers the operator.
	return max(0, last.Sub(accepted)), err
}

func measureInForce(ctx context.Context, size int, o LiveOptions) (results []InForce, err error) {
	f, err := startLive(ctx, size, o.Seed)
	if err != nil {
		return nil, err
	}
	defer f.close()
	operator := newOperator(f)
	if _, err := operator.apply(ctx); err != nil {
		return nil, err
	}
	if err := f.settle(ctx); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(o.Seed, uint64(size)))
	for _, state := range []struct {
		name   string
		faults []standin.Fault
		pause  time.Duration
	}{
		{"up", nil, shortPause},
		// Changes at random times meet a slow store in all its states.
		{"slow", []standin.Fault{{AvailabilityZones: liveZones, Slow: duration.Duration(slowStore)}}, slowStore},
		{"down but one zone", []standin.Fault{{AvailabilityZones: liveZones[1:], Down: true}}, shortPause},
	} {
		f.platform.SetFaults(state.faults...)
		calls := f.platform.Calls()
		times := make([]time.Duration, 0, o.Applies)
		for range o.Applies {
			if err := sleep(ctx, time.Duration(random.Int64N(int64(state.pause)))); err != nil {
				return results, err
			}
			took, err := operator.apply(ctx)
			if err != nil {
				return results, fmt.Errorf("%d instances, store %s: %w", size, state.name, err)
			}
			times = append(times, took)
		}
		results = append(results, InForce{
			Instances: size, Store: state.name, Time: spreadOf(times),
			StoreCallsAChange: float64(storeCalls(f.platform.Calls())-storeCalls(calls)) / float64(o.Applies),
		})
	}

	return results, nil
}

// judge compares the report with the targets.
func (r *LiveReport) judge() {
	for _, f := range r.InForce {
		if f.Instances == inForceSize {
			r.Verdicts = append(r.Verdicts, Verdict{
				Target:   fmt.Sprintf("in force within %v at %d instances, store %s (99th percentile)", inForceTarget, inForceSize, f.Store),
				Measured: round(f.Time.P99).String(),
				Met:      f.Time.P99.Std() < inForceTarget,
			})
		}
	}
	idle := make(map[int]Idle)
	for _, i := range r.Idle {
		if i.Replicas == r.Idle[0].Replicas {
			idle[i.Instances] = i
		}
	}
	small, ok := idle[smallFleet]
	large, also := idle[largeFleet]
	if !ok || !also {
		return
	}
	for _, calls := range []struct {
		name         string
		small, large uint64
	}{
		{"store calls", small.StoreCalls, large.StoreCalls},
		{"list calls", small.ListCalls, large.ListCalls},
	} {
		r.Verdicts = append(r.Verdicts, Verdict{
			Target: fmt.Sprintf("%s grow with availability zones, not with instances (%d to %d instances in %d zones)",
				calls.name, smallFleet, largeFleet, len(liveZones)),
			Measured: fmt.Sprintf("%d to %d in %v", calls.small, calls.large, round(small.Window)),
			// A window may catch one call more of each zone's watch and of its reads.
			Met: calls.large <= calls.small+2*uint64(len(liveZones)),
		})
	}
}

// Print writes the report as tables for people.
func (r *LiveReport) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "Live instances over loopback, seed %d, %d cores\n", r.Seed, r.Cores)
	_, _ = fmt.Fprint(table, titled("Idle fleet, for each instance unless stated"))
	_, _ = fmt.Fprintln(table, "replicas\tinstances\tstore calls/s (fleet)\tlist calls/s (fleet)\tpeer B/s sent\tpeer B/s received\t"+
		"platform B/s sent\tplatform B/s received\tpoll B/s\tpolls/s at a target\t% of a core\theap KB\tstack KB\t"+
		"store B/s (highest)\tstore KB for each change (fleet)\t")
	for _, i := range r.Idle {
		_, _ = fmt.Fprintf(table, "%d\t%d\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\t%.1f\t\n",
			i.Replicas, i.Instances, i.StoreCallsASecond, i.ListCallsASecond, i.PeerBytesSentASecond, i.PeerBytesReceivedASecond,
			i.PlatformBytesSentASecond, i.PlatformBytesReceivedASecond, i.TargetBytesASecond, i.PollsASecond, 100*i.Cores,
			i.HeapBytes/1024, i.StackBytes/1024, i.MostStoreBytesASecond, i.ChangeBytes/1024)
	}
	_, _ = fmt.Fprint(table, titled("Time from accepted to in force at every instance"))
	_, _ = fmt.Fprintln(table, "instances\tstore\tapplies\tp50 / p99 / max\tstore calls for each change (fleet)\t")
	for _, f := range r.InForce {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%d\t%v\t%.1f\t\n", f.Instances, f.Store, f.Time.Samples, f.Time, f.StoreCallsAChange)
	}
	_ = table.Flush()
	_, _ = fmt.Fprint(w, titled("Targets"))
	for _, v := range r.Verdicts {
		_, _ = fmt.Fprintln(w, v)
	}
}
