package control_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"os"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/memory"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

// The model check runs the leadership of several instances on one store in memory. Each call of an instance to the store waits until the model
// lets it go on, and each instance has a clock of its own, so that an order of the steps below is a whole run. All orders up to a number of steps
// are played; those that lead to a state that was seen before are not continued.

// step is one step of a run.
type step struct {
	kind     stepKind
	instance int
}

type stepKind byte

const (
	// campaign makes an instance that does not lead try to.
	campaign stepKind = iota
	// answer makes the store execute the call of an instance, which gets the reply.
	answer
	// lose makes the call of an instance fail, although the store will execute it at the step land.
	lose
	land
	// tick is the next tick of a leader. A leader without one is paused.
	tick
	// endLease ends the lease of an instance, as if it had not renewed it in time.
	endLease
	// change changes the registry of targets.
	change
	// discard makes the store discard the history of its changes.
	discard
	stepKinds
)

var stepNames = [stepKinds]string{"campaign", "answer", "lose", "land", "tick", "endLease", "change", "discard"}

func (s step) String() string { return fmt.Sprintf("%s %d", stepNames[s.kind], s.instance) }

// limits are how often steps of a kind may occur, 0 for any number.
type limits [stepKinds]int

// model is what is played.
type model struct {
	name string
	// leaders is the number of instances that may lead. With reader, one more reads the mirror from the store.
	leaders int
	reader  bool
	// depth is the maximum number of steps.
	depth  int
	limits limits
	// readSteps makes each read of an instance that may lead a step. Otherwise the store answers all but that of the registry at once, so that
	// longer runs can be played.
	readSteps bool
	// unfenced leaves out the precondition of writes to the mirror. keepKey keeps a leader from writing its key again, although it is told
	// that it has.
	unfenced, keepKey bool
}

// call is a call to the store that waits.
type call struct {
	name string
	// execute executes the call and describes its result. reply, which is sent true if the caller gets the result, ends the call.
	execute func() string
	reply   chan bool
	// mayLose is set for writes.
	mayLose bool
}

func (c *call) isRead() bool { return c.name == "get" || strings.HasPrefix(c.name, "list ") }

// modelInstance is an instance of a run.
type modelInstance struct {
	clock      *clockwork.FakeClock
	fleet      *control.Fleet
	leadership *control.Leadership
	// waiting is the call that waits, nil if there is none.
	waiting *call
	// running is set while the instance campaigns or leads. terms counts how often it has.
	running bool
	terms   int
	lease   control.Lease
	// seen is a hash of all that the instance was told, on which its state depends.
	seen [sha256.Size]byte
	// version is the newest version of the target that a reader has seen.
	version int
}

func (i *modelInstance) see(format string, args ...any) {
	i.seen = sha256.Sum256(fmt.Appendf(i.seen[:], format, args...))
}

// run is a run of a model.
type run struct {
	model
	store     *memory.Store
	kv        control.KeyValueStore
	instances []*modelInstance
	done      [stepKinds]int
	// registered is the version of the target in the registry.
	registered int
	// late is the call that the store has not executed yet although its caller has given up.
	late *call
	// writer is the instance and the term that last wrote the leader's key, and mirrored the version in the mirror.
	writer    string
	mirrored  int
	violation string
}

var errLost = errors.New("no reply")

// wait passes a call to the model, and returns its result.
func wait[T any](ctx context.Context, i *modelInstance, name string, mayLose bool, execute func() (T, error)) (result T, err error) {
	c := &call{name: name, mayLose: mayLose, reply: make(chan bool)}
	var executed T
	var failure error
	c.execute = func() string {
		executed, failure = execute()
		if _, ok := any(executed).(control.Listed); ok {
			// It depends on the version in the registry alone.
			return ""
		}

		return termID.ReplaceAllString(fmt.Sprintf("%s %v", any(executed), failure), "")
	}
	i.waiting = c
	select {
	case told := <-c.reply:
		if !told {
			return result, errLost
		}

		return executed, failure
	case <-ctx.Done():
		return result, ctx.Err()
	}
}

const leaderKey = "hickorynotch/leader"

// commit executes a transaction of an instance, and checks it.
func (r *run) commit(ctx context.Context, writer string, t control.Transaction) (uint64, error) {
	key, mirror := false, false
	for _, p := range t.Puts {
		key = key || p.Key == leaderKey
		mirror = mirror || strings.HasPrefix(p.Key, mirrorKeys)
	}
	switch {
	case mirror && r.unfenced:
		t.Expect = nil
	case key && r.keepKey && writer == r.writer && t.Expect[leaderKey] != 0:
		return t.Expect[leaderKey], nil
	}
	revision, err := r.kv.Commit(context.WithoutCancel(ctx), t)
	if err != nil {
		return revision, err
	}
	if key {
		r.writer = writer
	}
	if mirror && writer != r.writer {
		r.violation = fmt.Sprintf("%s wrote the mirror after %s had begun", writer, r.writer)
	}

	return revision, nil
}

// storeOf returns the store as an instance reaches it.
func (r *run) storeOf(n int, i *modelInstance) control.KeyValueStore {
	type entries struct {
		list     []control.Entry
		revision uint64
	}

	return control.KeyValueStore{
		Generation: r.kv.Generation,
		Get: func(ctx context.Context, key string) (control.Entry, uint64, error) {
			e, err := wait(ctx, i, "get", false, func() (control.Entry, error) {
				e, _, err := r.kv.Get(context.WithoutCancel(ctx), key)

				return e, err
			})

			return e, e.Revision, err
		},
		List: func(ctx context.Context, prefix string) ([]control.Entry, uint64, error) {
			e, err := wait(ctx, i, "list "+prefix, false, func() (entries, error) {
				list, revision, err := r.kv.List(context.WithoutCancel(ctx), prefix)

				return entries{list, revision}, err
			})

			return e.list, e.revision, err
		},
		Wait: func(ctx context.Context, prefix string, after uint64, _ time.Duration) ([]control.Entry, uint64, error) {
			e, err := wait(ctx, i, "wait", false, func() (entries, error) {
				list, revision, err := r.kv.Wait(context.WithoutCancel(ctx), prefix, after, 0)

				return entries{list, revision}, err
			})

			return e.list, e.revision, err
		},
		Commit: func(ctx context.Context, t control.Transaction) (uint64, error) {
			writer := fmt.Sprintf("instance %d in its term %d", n, i.terms)

			return wait(ctx, i, "commit", true, func() (uint64, error) { return r.commit(ctx, writer, t) })
		},
		Grant: func(ctx context.Context, ttl time.Duration) (control.Lease, time.Duration, error) {
			lease, granted, err := r.kv.Grant(ctx, ttl)
			i.lease = lease

			return lease, granted, err
		},
		Renew: r.kv.Renew,
		End: func(ctx context.Context, lease control.Lease) error {
			_, err := wait(ctx, i, "end", true, func() (struct{}, error) { return struct{}{}, r.kv.End(context.WithoutCancel(ctx), lease) })

			return err
		},
	}
}

// begin starts the instances of a run. They stop when ctx ends.
func (m *model) begin(ctx context.Context) *run {
	r := &run{model: *m, registered: 1}
	r.store = memory.New(timer.New(timer.WithClock(clockwork.NewFakeClock())))
	r.kv = r.store.KeyValueStore()
	for n := range m.leaders {
		i := &modelInstance{clock: clockwork.NewFakeClock()}
		timers := timer.New(timer.WithClock(i.clock))
		store := r.storeOf(n, i)
		i.fleet = control.NewFleet(store, control.Instance{Name: fmt.Sprint(n)}, timers)
		source := control.TargetSource{List: func(ctx context.Context) (control.Listed, error) {
			return wait(ctx, i, "registry", false, func() (control.Listed, error) {
				return control.Listed{Targets: []*directory.Target{
					target("t", func(t *directory.Target) { t.Slots = r.registered }),
				}}, nil
			})
		}}
		targets := control.NewTargets(source, timers, func(*directory.Directory) {})
		i.leadership = control.NewLeadership(i.fleet, targets, store, timers, time.Second, nil)
		r.instances = append(r.instances, i)
	}
	if m.reader {
		i := &modelInstance{clock: clockwork.NewFakeClock()}
		i.fleet = control.NewFleet(r.storeOf(m.leaders, i), control.Instance{Name: "reader"}, timer.New(timer.WithClock(i.clock)),
			control.OnView(func(v control.View) { r.checkView(i, v) }))
		r.instances = append(r.instances, i)
		go func() { _ = i.fleet.Run(ctx) }()
	}
	r.settle()

	return r
}

// version returns the version of the target in a directory, 0 if there is none.
func version(d *directory.Directory) int {
	if t, ok := d.Target("t"); ok {
		return t.Slots
	}

	return 0
}

// checkView checks that the view of a reader does not go back.
func (r *run) checkView(i *modelInstance, v control.View) {
	seen := version(v.Mirror)
	if seen < i.version {
		r.violation = fmt.Sprintf("a reader has version %d after %d", seen, i.version)
	}
	i.version = seen
}

// checkMirror checks that the mirror does not go back.
func (r *run) checkMirror() {
	entries, _, _ := r.kv.List(context.Background(), mirrorKeys)
	stored := 0
	for _, e := range entries {
		_, _ = fmt.Sscanf(string(e.Value[strings.Index(string(e.Value), `"Slots":`):]), `"Slots":%d`, &stored)
	}
	if stored < r.mirrored {
		r.violation = fmt.Sprintf("the mirror has version %d after %d", stored, r.mirrored)
	}
	r.mirrored = stored
}

// settle waits until all instances wait for a step. A reader waits for calls alone.
func (r *run) settle() {
	synctest.Wait()
	for n, i := range r.instances {
		for !r.readSteps && i.leadership != nil && i.waiting != nil && i.waiting.isRead() {
			r.answer(n)
			synctest.Wait()
		}
		for i.leadership == nil && i.waiting == nil {
			i.clock.Advance(100 * time.Millisecond)
			synctest.Wait()
		}
	}
	r.checkMirror()
}

// next returns the steps that are possible.
func (r *run) next() (steps []step) {
	add := func(kind stepKind, instance int) {
		if limit := r.limits[kind]; limit == 0 || r.done[kind] < limit {
			steps = append(steps, step{kind, instance})
		}
	}
	for n, i := range r.instances {
		switch {
		case i.waiting != nil && (i.waiting.name != "wait" || r.hasNews(i)):
			add(answer, n)
			if i.waiting.mayLose && r.late == nil {
				add(lose, n)
			}
		case i.leadership != nil && !i.running && (n == 0 || r.instances[n-1].terms > 0):
			// The instances are alike, so that they may begin in turn.
			add(campaign, n)
		case i.leadership != nil && i.waiting == nil:
			add(tick, n)
		}
		if i.lease != 0 {
			add(endLease, n)
		}
	}
	if r.late != nil {
		add(land, 0)
	}
	add(change, 0)
	if r.reader {
		add(discard, 0)
	}

	return steps
}

// hasNews reports whether the long poll of a reader would return something.
func (r *run) hasNews(i *modelInstance) bool {
	_, revision, _ := r.kv.List(context.Background(), "hickorynotch/")

	return revision > i.fleet.PollRevision()
}

// take takes a step.
func (r *run) take(ctx context.Context, s step) {
	r.done[s.kind]++
	i := r.instances[s.instance]
	switch s.kind {
	case campaign:
		i.see("campaign")
		i.running = true
		i.terms++
		i.fleet.ShowNoLeader()
		go func() {
			_ = i.leadership.Lead(ctx)
			i.running = false
		}()
	case answer:
		r.answer(s.instance)
	case lose:
		i.see("lost %s", i.waiting.name)
		r.late, i.waiting = i.waiting, nil
		r.late.reply <- false
	case land:
		r.late.execute()
		r.late = nil
	case tick:
		i.see("tick")
		i.clock.Advance(control.LeaderInterval)
	case endLease:
		_ = r.kv.End(ctx, i.lease)
		i.lease = 0
	case change:
		r.registered++
	case discard:
		r.store.Compact()
	}
	r.settle()
}

// answer executes the call of an instance and replies to it.
func (r *run) answer(instance int) {
	i := r.instances[instance]
	c := i.waiting
	i.waiting = nil
	i.see("%s %s %d", c.name, c.execute(), r.registered)
	c.reply <- true
}

// termID matches the part of the leader's key that differs between runs.
var termID = regexp.MustCompile(`"Term":\d+`)

// state returns a hash of the state.
func (r *run) state() [sha256.Size]byte {
	entries, revision, _ := r.kv.List(context.Background(), "")
	text := fmt.Appendf(nil, "%d %d %v %s %d;", revision, r.registered, r.done, r.writer, r.mirrored)
	for _, e := range entries {
		text = fmt.Appendf(text, "%s %s %d;", e.Key, termID.ReplaceAll(e.Value, nil), e.Revision)
	}
	if r.late != nil {
		text = append(text, r.late.name...)
	}
	for _, i := range r.instances {
		waiting := ""
		if i.waiting != nil {
			waiting = i.waiting.name
		}
		text = fmt.Appendf(text, "%x %t %s %d %d;", i.seen, i.running, waiting, i.lease, i.version)
	}

	return sha256.Sum256(text)
}

// play plays a run, and returns the state at its end, the steps that are possible then, and a violation of what must hold.
func (m *model) play(t *testing.T, steps []step) (state [sha256.Size]byte, next []step, violation string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := m.begin(ctx)
		for _, s := range steps {
			r.take(ctx, s)
		}
		state, next, violation = r.state(), r.next(), r.violation
		cancel()
		for _, i := range r.instances {
			// A leader that stops still ends its lease.
			synctest.Wait()
			i.clock.Advance(time.Minute)
		}
	})

	return state, next, violation
}

// maxWorkers is the number of runs that are played at the same time, few enough to leave other tests their time.
const maxWorkers = 2

// check plays all runs of a model, the shortest first. It returns the number of states, and the first run that violates what must hold.
func (m *model) check(t *testing.T) (states int, violating []step, violation string) {
	t.Helper()
	var mu sync.Mutex
	seen := make(map[[sha256.Size]byte]bool)
	frontier := [][]step{nil}
	for depth := 0; depth <= m.depth && len(frontier) > 0 && violation == ""; depth++ {
		var following [][]step
		workers := min(runtime.GOMAXPROCS(0), maxWorkers)
		t.Run(fmt.Sprintf("steps=%d", depth), func(t *testing.T) {
			for w := range workers {
				t.Run("", func(t *testing.T) {
					t.Parallel()
					for k := w; k < len(frontier); k += workers {
						state, next, broken := m.play(t, frontier[k])
						mu.Lock()
						if broken != "" && violation == "" {
							violating, violation = frontier[k], broken
						}
						if !seen[state] {
							seen[state] = true
							for _, s := range next {
								following = append(following, append(frontier[k][:depth:depth], s))
							}
						}
						mu.Unlock()
					}
				})
			}
		})
		frontier = following
	}

	return len(seen), violating, violation
}

// stepsAtMost returns the number of steps of a run, and those that MODEL_STEPS adds to it.
func stepsAtMost(t *testing.T, steps int) int {
	t.Helper()
	text := os.Getenv("MODEL_STEPS")
	if text == "" {
		return steps
	}
	more, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("MODEL_STEPS: %v", err)
	}

	return steps + more
}

func TestNoOrderOfStepsMakesTheMirrorGoBack(t *testing.T) {
	models := []*model{
		{name: "two leaders", leaders: 2, depth: 12, limits: limits{campaign: 2, lose: 1, tick: 1, endLease: 1, change: 1}},
		{name: "the writes of one leader", leaders: 1, depth: 16, limits: limits{campaign: 1, lose: 1, tick: 2, endLease: 1, change: 2}},
		{name: "a leader and a reader", leaders: 1, reader: true, depth: 10, limits: limits{campaign: 1, lose: 1, tick: 1, endLease: 1, change: 1, discard: 1}},
		{name: "two leaders, with reads as steps", leaders: 2, readSteps: true, depth: 8, limits: limits{campaign: 3, lose: 1, tick: 2, endLease: 1, change: 1}},
	}
	for _, m := range models {
		m.depth = stepsAtMost(t, m.depth)
		states, run, violation := m.check(t)
		t.Logf("%s: %d states in runs of up to %d steps", m.name, states, m.depth)
		if violation != "" {
			t.Errorf("%s: %s: %v", m.name, violation, run)
		}
	}
}

// Guards against a model that would not notice what it is there to find.
func TestWithoutAFenceSomeOrderOfStepsMakesTheMirrorGoBack(t *testing.T) {
	models := []*model{
		{name: "writes without a precondition", unfenced: true, leaders: 2, depth: 8, limits: limits{campaign: 2, endLease: 1}},
		{
			name: "a leader that does not write its key again", keepKey: true, leaders: 1, depth: 15,
			limits: limits{campaign: 1, lose: 1, tick: 2, change: 2},
		},
	}
	for _, m := range models {
		_, run, violation := m.check(t)
		t.Logf("%s: %s: %v", m.name, violation, run)
		if violation == "" {
			t.Errorf("%s: found nothing", m.name)
		}
	}
}
