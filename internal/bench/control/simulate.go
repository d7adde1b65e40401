package control

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/fleet/membership"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
)

const (
	// calmLimit bounds the simulated wait for the news of the joins to run out. 450 instances that start together have
	// 27 messages for each of 450 joins, 8 joins to a message.
	calmLimit = 30 * time.Minute
	// quietMessage is above the mean size of a message without news, about 130 bytes, and below that with two.
	quietMessage = 200
	// window is the simulated time over which loads are measured, the period of the exchanges of tables.
	window     = membership.SyncPeriod
	changes    = 15
	kills      = 4
	replaced   = 4
	cutTime    = 2 * time.Minute
	aDay       = 24 * time.Hour
	dayChanges = 770
	dayStops   = 220
	dayKills   = 12
	// simulatedLimit bounds the simulated wait for a change, a detection or an agreement.
	simulatedLimit = 10 * time.Minute
	// The limits of the expected size.
	expectedSize     = 450
	expectedReplicas = 3200
	inForceLimit     = 14 * time.Second
	byteLimit        = 8 * 1024
	memoryLimit      = 64 << 20
)

// SimulateOptions says what Simulate measures.
type SimulateOptions struct {
	Sizes []int
	Seed  uint64
}

// Simulated is what was measured at one size. All times are simulated. Loads count bytes sent and received by one
// instance, without framing; records of the configuration are counted apart.
type Simulated struct {
	Instances   int
	JoinTime    duration.Duration
	JoinBytes   float64 // for each instance, from an empty fleet
	HeapBytes   float64 // for each instance
	Bytes       float64 // a second, idle
	Messages    float64 // a second, idle
	Cores       float64 // processor time of membership for each simulated second, idle
	InForce     spread
	InForceCut  spread // one zone without the store
	RecordsSent float64
	// InForceZone is with one zone cut off from the other zones but not from the store.
	InForceZone spread
	// RegionInForce is the time in the region with the store, RegionHealed that at all instances from the end of a cut of
	// cutTime between all regions, and RegionAgreed that until all know each other.
	RegionInForce, RegionHealed, RegionAgreed duration.Duration
	RegionPeakBytes                           float64 // a second, the busiest second after the end of the cut
	DetectFirst, DetectAll                    spread
	KillBytes                                 float64 // for each instance and kill, above idle
	ReplaceBytes, ReplaceMessages             float64 // for each instance and replacement, above idle
	DayBytes                                  float64 // a second, of the replacements and kills of a day
	ZoneDetectAll                             duration.Duration
	ZonePeakBytes                             float64 // a second, the busiest second after the loss of a zone
	// FalseFailures counts members failed by an instance that reached them, before the first cut. HealedFailures counts
	// those from the first cut on, when news of failures during a cut arrives after its end.
	FalseFailures, HealedFailures int
	Took                          duration.Duration // wall-clock time of the simulation
}

// SimulateReport is the result of Simulate.
type SimulateReport struct {
	Kind  string
	Seed  uint64
	Sizes []Simulated
	// RecordBytes is the size of a configuration with 3,200 replicas as it stands in the store, and SentBytes that in a
	// message between instances.
	RecordBytes, SentBytes int
	Verdicts               []Verdict
}

// Simulate measures fleets of the given sizes one after the other.
func Simulate(ctx context.Context, o SimulateOptions) (report SimulateReport, err error) {
	defer func() { err = Error.Wrap(err) }()

	report = SimulateReport{Kind: "Simulated", Seed: o.Seed}
	base, err := newBase(simulatedZones(), expectedReplicas, scattered, 1)
	if err != nil {
		return report, err
	}
	report.RecordBytes, report.SentBytes = len(base), peer.RecordSize(base)
	for _, size := range o.Sizes {
		m := measurement{}
		if err := m.measure(ctx, size, o.Seed); err != nil {
			return report, fmt.Errorf("%d instances: %w", size, err)
		}
		report.Sizes = append(report.Sizes, m.Simulated)
	}
	report.judge()

	return report, nil
}

// scattered returns addresses without an order that a compression could use.
func scattered(i int) netip.AddrPort {
	random := rand.New(rand.NewPCG(uint64(i), 0))

	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), byte(random.Uint32())}), uint16(20000+random.IntN(10000)))
}

// measurement runs one fleet through all cases.
type measurement struct {
	*simulation
	Simulated
}

func (m *measurement) measure(ctx context.Context, size int, seed uint64) error {
	began := time.Now()
	heap, _ := memory()
	m.simulation = newSimulation(size, seed)
	m.Instances = size
	for _, part := range []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"join", m.join},
		{"idle", m.idle},
		{"changes", m.changes},
		{"kills", m.kill},
		{"replacements", m.replace},
		{"zone cut off", m.cutZone},
		{"regions cut", m.cutRegions},
		{"zone lost", m.loseZone},
	} {
		if err := part.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
		switch part.name {
		case "idle":
			after, _ := memory()
			m.HeapBytes = (float64(after) - float64(heap)) / float64(size)
		case "replacements":
			m.FalseFailures = m.falseFailures()
		}
	}
	m.HealedFailures = m.falseFailures() - m.FalseFailures
	m.Took = duration.Duration(time.Since(began))

	return ctx.Err()
}

// await runs the fleet until done and fails when that takes too long.
func (m *measurement) await(ctx context.Context, what string, done func() bool) (time.Duration, error) {
	took, ok := m.run(ctx, simulatedLimit, done)
	if !ok {
		return took, fmt.Errorf("not %s after %v of simulated time", what, took)
	}

	return took, ctx.Err()
}

func (m *measurement) perInstance(total uint64) float64 {
	return float64(total) / float64(m.Instances)
}

func (m *measurement) join(ctx context.Context) error {
	took, err := m.await(ctx, "joined", agreed(m.nodes))
	m.JoinTime, m.JoinBytes = duration.Duration(took), m.perInstance(m.load().bytes)
	for waited := time.Duration(0); waited < calmLimit; waited += window {
		before := m.load()
		m.run(ctx, window, never)
		after := m.load()
		if after.bytes-before.bytes < quietMessage*(after.messages-before.messages) {
			break
		}
	}

	return err
}

func (m *measurement) idle(ctx context.Context) error {
	before, processor := m.load(), processorTime()
	m.run(ctx, window, never)
	after := m.load()
	m.Bytes = m.perInstance(after.bytes-before.bytes) / window.Seconds()
	m.Messages = m.perInstance(after.messages-before.messages) / window.Seconds()
	m.Cores = (processorTime() - processor).Seconds() / window.Seconds() / float64(m.Instances)

	return nil
}

// change applies a change and returns the time until it is in force at nodes.
func (m *measurement) change(ctx context.Context, nodes []*simulatedNode) (time.Duration, error) {
	if err := m.apply(); err != nil {
		return 0, err
	}

	return m.await(ctx, "in force", m.inForce(nodes))
}

func (m *measurement) changes(ctx context.Context) error {
	for _, c := range []struct {
		noStore func(*simulatedNode) bool
		result  *spread
	}{
		{m.noStore, &m.InForce},
		{func(n *simulatedNode) bool { return n.zone == 0 }, &m.InForceCut},
	} {
		m.noStore = c.noStore
		records := m.pushes.Load() + m.asked.Load()
		var times []time.Duration
		for range changes {
			took, err := m.change(ctx, m.nodes)
			if err != nil {
				return err
			}
			times = append(times, took)
			m.run(ctx, 2*time.Second+time.Duration(len(times))*pushRound, never)
		}
		*c.result = spreadOf(times)
		if m.RecordsSent == 0 {
			m.RecordsSent = float64(m.pushes.Load()+m.asked.Load()-records) / changes / float64(m.Instances)
		}
	}
	m.heal()

	return nil
}

func (m *measurement) kill(ctx context.Context) error {
	var first, all []time.Duration
	before := m.load()
	var passed time.Duration
	for i := range kills {
		victim := m.nodes[(i+1)*m.Instances/(kills+1)]
		victim.down = true
		rest := m.running(nil)
		noticed := func() bool {
			for _, n := range rest {
				if !uses(n, victim) {
					return true
				}
			}

			return false
		}
		early, err := m.await(ctx, "detected", noticed)
		if err != nil {
			return err
		}
		late, err := m.await(ctx, "detected everywhere", gone(rest, victim))
		if err != nil {
			return err
		}
		first, all = append(first, early), append(all, early+late)
		m.run(ctx, window, never)
		// The killed instance starts again under another name.
		m.start(victim.zone)
		joined, err := m.await(ctx, "joined", agreed(m.running(nil)))
		if err != nil {
			return err
		}
		m.run(ctx, window, never)
		passed += early + late + joined + 2*window
	}
	m.DetectFirst, m.DetectAll = spreadOf(first), spreadOf(all)
	m.KillBytes = (m.perInstance(m.load().bytes-before.bytes) - m.Bytes*passed.Seconds()) / kills

	return nil
}

func (m *measurement) replace(ctx context.Context) error {
	before := m.load()
	var passed time.Duration
	for i := range replaced {
		victim := m.running(nil)[i*7%m.Instances]
		victim.members.Leave(ctx)
		m.run(ctx, time.Second, never)
		victim.down = true
		m.start(victim.zone)
		m.run(ctx, window, never)
		passed += time.Second + window
	}
	after := m.load()
	m.ReplaceBytes = (m.perInstance(after.bytes-before.bytes) - m.Bytes*passed.Seconds()) / replaced
	m.ReplaceMessages = (m.perInstance(after.messages-before.messages) - m.Messages*passed.Seconds()) / replaced
	m.DayBytes = (m.ReplaceBytes*dayStops + m.KillBytes*dayKills) / aDay.Seconds()
	_, err := m.await(ctx, "agreed", agreed(m.running(nil)))

	return err
}

func (m *measurement) cutZone(ctx context.Context) error {
	var times []time.Duration
	m.cut = func(a, b *simulatedNode) bool { return (a.zone == 0) != (b.zone == 0) }
	for range kills {
		took, err := m.change(ctx, m.running(nil))
		if err != nil {
			return err
		}
		times = append(times, took)
		m.run(ctx, 5*time.Second, never)
	}
	m.InForceZone = spreadOf(times)
	m.heal()
	_, err := m.await(ctx, "agreed", agreed(m.running(nil)))

	return err
}

// busiest runs the fleet for d and returns the bytes of the busiest second for each running instance.
func (m *measurement) busiest(ctx context.Context, d time.Duration) (most float64) {
	instances := float64(len(m.running(nil)))
	before := m.load().bytes
	for range int(d / time.Second) {
		m.run(ctx, time.Second, never)
		after := m.load().bytes
		most = max(most, float64(after-before)/instances)
		before = after
	}

	return most
}

func (m *measurement) cutRegions(ctx context.Context) error {
	m.cut = func(a, b *simulatedNode) bool { return a.region() != b.region() }
	m.noStore = func(n *simulatedNode) bool { return n.region() != 0 }
	near := m.running(func(n *simulatedNode) bool { return n.region() == 0 })
	took, err := m.change(ctx, near)
	if err != nil {
		return err
	}
	m.RegionInForce = duration.Duration(took)
	m.run(ctx, cutTime-took, never)
	// After the cut, the watches of the other regions wait up to 30 s before they call the store again, so the peers are
	// the only source here.
	m.heal()
	all := m.running(nil)
	force, joined := m.inForce(all), agreed(all)
	var healed time.Duration
	before := m.load().bytes
	for second := time.Duration(0); !joined(); second += time.Second {
		if second > simulatedLimit {
			return fmt.Errorf("not agreed after %v of simulated time", second)
		}
		m.run(ctx, time.Second, func() bool {
			if healed == 0 && force() {
				healed = second + time.Second
			}

			return false
		})
		m.RegionAgreed = duration.Duration(second + time.Second)
		after := m.load().bytes
		m.RegionPeakBytes = max(m.RegionPeakBytes, float64(after-before)/float64(len(all)))
		before = after
	}
	if healed == 0 {
		more, err := m.await(ctx, "in force", force)
		if err != nil {
			return err
		}
		healed = m.RegionAgreed.Std() + more
	}
	m.RegionHealed = duration.Duration(healed)
	m.run(ctx, window, never)

	return nil
}

func (m *measurement) loseZone(ctx context.Context) error {
	lost := m.running(func(n *simulatedNode) bool { return n.zone == 0 })
	for _, n := range lost {
		n.down = true
	}
	const seconds = 20 * time.Second
	rest := m.running(nil)
	done := agreed(rest)
	var took time.Duration
	before := m.load().bytes
	for took < simulatedLimit && !done() {
		m.run(ctx, time.Second, never)
		took += time.Second
		after := m.load().bytes
		m.ZonePeakBytes = max(m.ZonePeakBytes, float64(after-before)/float64(len(rest)))
		before = after
	}
	m.ZoneDetectAll = duration.Duration(took)
	m.ZonePeakBytes = max(m.ZonePeakBytes, m.busiest(ctx, seconds))

	return nil
}

func (r *SimulateReport) judge() {
	for _, s := range r.Sizes {
		if s.Instances != expectedSize {
			continue
		}
		worst := max(s.InForce.Max, s.InForceCut.Max, s.InForceZone.Max).Std()
		records := 2 * s.RecordsSent * float64(r.SentBytes) * dayChanges / aDay.Seconds()
		total := s.Bytes + s.DayBytes + records
		r.Verdicts = append(r.Verdicts,
			Verdict{
				Target:   fmt.Sprintf("in force within %v at %d instances, also with a zone cut off", inForceLimit, expectedSize),
				Measured: worst.String(), Met: worst <= inForceLimit,
			},
			Verdict{
				Target: fmt.Sprintf("at most %d B/s of control for each instance", byteLimit),
				Measured: fmt.Sprintf("%.0f B/s: idle %.0f, replacements and failures %.1f, records %.0f",
					total, s.Bytes, s.DayBytes, records),
				Met: total <= byteLimit,
			},
			Verdict{
				Target:   fmt.Sprintf("at most %d MB of control for each instance (tables alone)", memoryLimit>>20),
				Measured: fmt.Sprintf("%.0f KB", s.HeapBytes/1024), Met: s.HeapBytes <= memoryLimit,
			})
	}
}

// Print writes the report as tables for people.
func (r *SimulateReport) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "Simulated fleets (simulated time, in-memory calls, bytes without framing), seed %d\n", r.Seed)
	_, _ = fmt.Fprintf(table, "%d regions with %d availability zones; a configuration with %d replicas has %d bytes, %d when sent\n",
		simulatedRegions, simulatedRegions*simulatedZonesInRegion, expectedReplicas, r.RecordBytes, r.SentBytes)
	row := func(name string, value func(s Simulated) string) {
		_, _ = fmt.Fprintf(table, "%s\t", name)
		for _, s := range r.Sizes {
			_, _ = fmt.Fprintf(table, "%s\t", value(s))
		}
		_, _ = fmt.Fprintln(table)
	}
	number := func(format string, value func(s Simulated) float64) func(Simulated) string {
		return func(s Simulated) string { return fmt.Sprintf(format, value(s)) }
	}
	row("instances", func(s Simulated) string { return fmt.Sprint(s.Instances) })
	row("join, from empty", func(s Simulated) string { return round(s.JoinTime).String() })
	row("join, KB for each instance", number("%.1f", func(s Simulated) float64 { return s.JoinBytes / 1024 }))
	row("heap, KB for each instance", number("%.0f", func(s Simulated) float64 { return s.HeapBytes / 1024 }))
	row("idle, B/s sent and received", number("%.0f", func(s Simulated) float64 { return s.Bytes }))
	row("idle, messages/s sent and received", number("%.2f", func(s Simulated) float64 { return s.Messages }))
	row("idle, % of a core", number("%.4f", func(s Simulated) float64 { return 100 * s.Cores }))
	row("in force, p50 / p99 / max", func(s Simulated) string { return s.InForce.String() })
	row("records sent for each change and instance", number("%.2f", func(s Simulated) float64 { return s.RecordsSent }))
	row("in force, one zone without the store", func(s Simulated) string { return s.InForceCut.String() })
	row("in force, one zone cut off from the others", func(s Simulated) string { return s.InForceZone.String() })
	row("regions cut for 2m: in force in the store's region", func(s Simulated) string { return round(s.RegionInForce).String() })
	row("regions healed: in force everywhere", func(s Simulated) string { return round(s.RegionHealed).String() })
	row("regions healed: all know each other", func(s Simulated) string { return round(s.RegionAgreed).String() })
	row("regions healed: busiest second, B/s", number("%.0f", func(s Simulated) float64 { return s.RegionPeakBytes }))
	row("killed: first detects, p50 / p99 / max", func(s Simulated) string { return s.DetectFirst.String() })
	row("killed: all detect, p50 / p99 / max", func(s Simulated) string { return s.DetectAll.String() })
	row("killed and restarted: bytes for each instance", number("%.0f", func(s Simulated) float64 { return s.KillBytes }))
	row("replaced: bytes for each instance", number("%.0f", func(s Simulated) float64 { return s.ReplaceBytes }))
	row("220 replaced and 12 killed a day, B/s", number("%.2f", func(s Simulated) float64 { return s.DayBytes }))
	row("zone lost: all detect all", func(s Simulated) string { return round(s.ZoneDetectAll).String() })
	row("zone lost: busiest second, B/s", number("%.0f", func(s Simulated) float64 { return s.ZonePeakBytes }))
	row("failures of live members before the first cut", func(s Simulated) string { return fmt.Sprint(s.FalseFailures) })
	row("failures of live members after a cut", func(s Simulated) string { return fmt.Sprint(s.HealedFailures) })
	row("wall-clock time of the simulation", func(s Simulated) string { return round(s.Took).String() })
	_ = table.Flush()
	_, _ = fmt.Fprint(w, titled("Limits of the expected size"))
	for _, v := range r.Verdicts {
		_, _ = fmt.Fprintln(w, v)
	}
}
