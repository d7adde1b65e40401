// Package admission decides, before any target is contacted, whether a request may run.
//
// Under overload it refuses the requests of lowest worth first, and it serves the queues of callers in weighted fair order, so
// that no caller's flood delays another:
//
//	controller := admission.New(timers)
//	done, err := controller.Admit(ctx, "catalogue", service)
//	if err != nil {
//		return err // a *caller.Refusal with outcome NotRun
//	}
//	answer, err := run(ctx)
//	done(admission.Result{Answered: err == nil})
//
// Overload is measured where it arises: the owners of targets report the delay in their queues to Observe and the refusals of
// targets to ObserveRefusal. Services that have replicas in common share a worth threshold, because refusing a request helps
// only those that use the same targets. The wait in this package's own queue drives one more threshold over all services.
package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

const (
	// defaultRunning is fifteen times the 33 requests that an instance of the expected size has in flight (196 a second for
	// 170 ms).
	defaultRunning = 512
	// defaultQueue bounds the queue of one caller to what an instance of the expected size receives in two thirds of a second.
	defaultQueue = 128
	// defaultCallers is the largest number of callers with requests in the queue.
	defaultCallers = 512
	// minimumShare is the share of refused traffic that is let through. It is slightly above the guaranteed 1%, so that
	// rounding of the sum does not fall below it.
	minimumShare = 0.0101
	// retryAfter is the middle of the hint to refused callers. The hint varies by half of it, so that they do not return
	// in step.
	retryAfter = time.Second
)

// windowFactor is the number of target requests in flight for each slot of the targets, over all instances. Most
// requests in flight wait for their last shards and leave other slots free, so that 6 for each slot answered 93% of the worth
// that the slots allow, and 8 answered 95%. With 8, the wait for a slot is seven service times at most on average, and a request
// that finds the window full is refused before the queues at the owners outgrow the deadline.
const windowFactor = 8

// Result is what became of an admitted request.
type Result struct {
	// Answered is true when the caller got an answer. Only then does the duration count as the time that the service needs.
	Answered bool
}

// Stats is the state of a Controller and the number of its decisions since it started.
type Stats struct {
	Running, Queued, Callers int
	Admitted                 uint64
	// LetThrough counts the admitted requests that the threshold would have refused.
	LetThrough uint64
	// Shed counts refusals by a worth threshold, QueueFull those by a bound of the queue, and TooLate those by the deadline.
	Shed, QueueFull, TooLate uint64
}

// Controller admits requests. It is safe for concurrent use.
type Controller struct {
	timers     *timer.Service
	log        *event.Log
	random     *rand.Rand
	maxRunning int
	maxQueue   int
	instances  func() int

	mu       sync.Mutex
	running  int
	queue    fairQueue
	services map[string]*service
	// own is the threshold for the wait in queue.
	own   *threshold
	stats Stats
	// pending is logged once mu is released, because the log may block.
	pending []func()
}

// Option configures a Controller.
type Option func(*Controller)

// WithRunning sets the number of requests that run at a time.
func WithRunning(n int) Option {
	return func(c *Controller) { c.maxRunning = n }
}

// WithQueue sets the number of requests of one caller that wait.
func WithQueue(n int) Option {
	return func(c *Controller) { c.maxQueue = n }
}

// WithCallers sets the number of callers whose requests wait at a time.
func WithCallers(n int) Option {
	return func(c *Controller) { c.queue.maxCallers = n }
}

// WithWeight sets the weight of a caller in the fair queue, which must be positive. The default is 1.
func WithWeight(name string, weight float64) Option {
	return func(c *Controller) { c.queue.weights[name] = weight }
}

// WithSeed sets the seed of the random numbers. The default is 1; a process should pass a seed that it prints.
func WithSeed(seed uint64) Option {
	return func(c *Controller) { c.random = newRandom(seed) }
}

// WithLog makes the controller log the beginning and the end of overload.
func WithLog(log *event.Log) Option {
	return func(c *Controller) { c.log = log }
}

// WithInstances bounds the target requests in flight to windowFactor for each slot of the targets, divided by the number of live
// instances that instances returns. At least one request is admitted at a time. The default is no bound.
func WithInstances(instances func() int) Option {
	return func(c *Controller) { c.instances = instances }
}

// New returns a Controller that takes the time from timers.
func New(timers *timer.Service, options ...Option) *Controller {
	c := &Controller{
		timers:     timers,
		random:     newRandom(1),
		maxRunning: defaultRunning,
		maxQueue:   defaultQueue,
		queue:      fairQueue{maxCallers: defaultCallers, weights: map[string]float64{}, callers: map[string]*callerQueue{}},
		services:   map[string]*service{},
	}
	for _, option := range options {
		option(c)
	}
	c.own = &threshold{began: timers.Now()}

	return c
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}

// Admit waits until a request of service may run, or refuses it. The caller of Admit calls done once when the request has ended.
// The error is a *caller.Refusal with code Overloaded or TooLate and outcome NotRun. The wait ends when too little time remains
// of the deadline of ctx, which must come from the controller's timers, or of that of s.
func (c *Controller) Admit(ctx context.Context, name string, s contract.Service) (done func(Result), err error) {
	c.mu.Lock()
	now := c.timers.Now()
	known := c.service(name, s, now)
	w := &waiter{
		service: known,
		caller:  s.Caller,
		worth:   s.Worth,
		cost:    costOf(s),
		arrived: now,
		latest:  latestStart(ctx, s, known, now),
		result:  make(chan error, 1),
	}
	if err := c.enter(ctx, w, now); err != nil {
		c.unlock()

		return nil, err
	}
	if !w.queued {
		c.unlock()

		return c.done(w, now), nil
	}
	stop := c.timers.AfterFunc(w.latest.Sub(now), func() { c.giveUp(w, "no time remained while the request waited") })
	c.unlock()
	defer stop()

	select {
	case err = <-w.result:
	case <-ctx.Done():
		c.giveUp(w, "the request was cancelled while it waited")
		if err = <-w.result; err == nil {
			err = c.returnGrant(w)
		}
	}
	if err != nil {
		return nil, err
	}

	return c.done(w, c.timers.Now()), nil
}

// Observe takes note of the delay that a target request of the service had in the queue of the target's owner.
func (c *Controller) Observe(name string, delay time.Duration) {
	c.mu.Lock()
	defer c.unlock()
	if s, ok := c.services[name]; ok {
		c.observe(s.shared, float64(delay)/float64(s.delayTarget()))
	}
}

// ObserveRefusal takes note of a target that refused a request of the service because of its load.
func (c *Controller) ObserveRefusal(name string) {
	c.mu.Lock()
	defer c.unlock()
	if s, ok := c.services[name]; ok {
		c.observe(s.shared, refusalPressure)
	}
}

// ObserveShards takes note of the number of target requests that a request of the service needs.
func (c *Controller) ObserveShards(name string, shards int) {
	c.mu.Lock()
	defer c.unlock()
	if s, ok := c.services[name]; ok {
		s.cost = float64(shards)
	}
}

// Overloaded reports whether a worth threshold is in force for the service, or its window of requests in flight was full within
// the last second.
func (c *Controller) Overloaded(name string) bool {
	c.mu.Lock()
	defer c.unlock()
	s, ok := c.services[name]
	if !ok {
		return false
	}
	now := c.timers.Now()
	c.roll(s.shared, now)
	c.roll(c.own, now)

	return s.shared.level > 0 || c.own.level > 0 || !s.shared.full.IsZero() && now.Sub(s.shared.full) < fullTime
}

// Threshold returns the worth from which on requests of the service's targets are all admitted. Requests of the next lower worth
// are admitted in part. It is 0 without overload and +Inf if even requests of the highest worth are refused in part.
func (c *Controller) Threshold(name string) float64 {
	c.mu.Lock()
	defer c.unlock()
	s, ok := c.services[name]
	if !ok {
		return 0
	}
	now := c.timers.Now()
	c.roll(s.shared, now)
	c.roll(c.own, now)

	return max(s.shared.worth(), c.own.worth())
}

// Stats returns the current state.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.Running, stats.Queued, stats.Callers = c.running, c.queue.length, len(c.queue.callers)

	return stats
}

// enter grants w, queues it or returns a refusal.
func (c *Controller) enter(ctx context.Context, w *waiter, now time.Time) error {
	switch {
	case isDone(ctx):
		return c.refusal(w, caller.TooLate, "the request was cancelled")
	case !now.Before(w.latest):
		return c.refusal(w, caller.TooLate, "too little time remains")
	case !c.pass(w, now):
		c.stats.Shed++

		return c.refusal(w, caller.Overloaded, fmt.Sprintf("worth %g is below the threshold", w.worth))
	case !w.protected && c.isFull(w):
		c.stats.Shed++

		return c.refusal(w, caller.Overloaded, "the targets have as many requests in flight as they can answer in time")
	case c.running < c.maxRunning && c.queue.length == 0:
		c.grant(w, now)

		return nil
	}
	evicted, ok := c.queue.push(w, c.maxQueue)
	if evicted != nil {
		c.overflow(evicted)
		evicted.result <- c.refusal(evicted, caller.Overloaded, "a request of higher worth took its place in the queue")
	}
	if !ok {
		c.overflow(w)

		return c.refusal(w, caller.Overloaded, "the queue is full")
	}

	return nil
}

// pass reports whether the thresholds admit w. Shares are summed up for each service instead of drawn, so that the share that is
// let through is exact over any run of requests.
func (c *Controller) pass(w *waiter, now time.Time) bool {
	c.roll(w.service.shared, now)
	c.roll(c.own, now)
	share := min(w.service.shared.share(w.worth), c.own.share(w.worth))
	w.protected = share < minimumShare
	w.service.credit += max(share, minimumShare)
	if w.service.credit < 1 {
		return false
	}
	w.service.credit--

	return true
}

// isFull reports whether w finds the window of its targets full, and takes note of the pressure.
func (c *Controller) isFull(w *waiter) bool {
	if c.instances == nil {
		return false
	}
	t := w.service.shared
	used := t.inFlight()
	window := windowFactor * float64(t.slots) / float64(max(1, c.instances())) * t.windowShare(w.worth)
	if used == 0 || used+w.service.cost <= window {
		return false
	}
	t.full = c.timers.Now()
	c.observe(t, refusalPressure)

	return true
}

func (c *Controller) grant(w *waiter, now time.Time) {
	c.running++
	w.taken = w.service.cost
	w.service.inFlight += w.taken
	c.stats.Admitted++
	if w.protected {
		c.stats.LetThrough++
	}
	c.observe(c.own, float64(now.Sub(w.arrived))/float64(w.service.delayTarget()))
}

func (c *Controller) overflow(*waiter) {
	c.stats.QueueFull++
	c.observe(c.own, refusalPressure)
}

func (c *Controller) done(w *waiter, began time.Time) func(Result) {
	var once sync.Once

	return func(r Result) {
		once.Do(func() { c.release(w, r, began) })
	}
}

// release ends a granted request and grants those that may run next.
func (c *Controller) release(w *waiter, r Result, began time.Time) {
	c.mu.Lock()
	defer c.unlock()
	now := c.timers.Now()
	if r.Answered {
		w.service.took(now.Sub(began))
	}
	c.running--
	w.service.inFlight -= w.taken
	for c.running < c.maxRunning && c.queue.length > 0 {
		next := c.queue.pop()
		if !now.Before(next.latest) {
			c.expire(next, "no time remained while the request waited")

			continue
		}
		c.grant(next, now)
		next.result <- nil
	}
}

// giveUp refuses w if it is still in the queue.
func (c *Controller) giveUp(w *waiter, message string) {
	c.mu.Lock()
	defer c.unlock()
	if w.queued {
		c.queue.remove(w)
		c.expire(w, message)
	}
}

// expire refuses w, which has left the queue without running. Its wait counts as that of a request that ran.
func (c *Controller) expire(w *waiter, message string) {
	c.observe(c.own, float64(c.timers.Since(w.arrived))/float64(w.service.delayTarget()))
	w.result <- c.refusal(w, caller.TooLate, message)
}

// returnGrant ends a request that was granted in the moment in which it was cancelled.
func (c *Controller) returnGrant(w *waiter) error {
	c.release(w, Result{}, w.arrived)
	c.mu.Lock()
	defer c.unlock()

	return c.refusal(w, caller.TooLate, "the request was cancelled while it waited")
}

func (c *Controller) refusal(w *waiter, code caller.Code, message string) error {
	refusal := &caller.Refusal{Service: w.service.name, Outcome: target.NotRun, Code: code, Message: message}
	if code == caller.TooLate {
		c.stats.TooLate++

		return refusal
	}

	return refusal.After(retryAfter/2 + time.Duration(c.random.Int64N(int64(retryAfter))))
}

func (c *Controller) observe(t *threshold, pressure float64) {
	c.roll(t, c.timers.Now())
	t.add(pressure)
}

// roll brings t up to now and prepares the log events of a beginning or end of overload.
func (c *Controller) roll(t *threshold, now time.Time) {
	before := t.level
	t.roll(now)
	if c.log == nil || (before > 0) == (t.level > 0) {
		return
	}
	what, names, worth := event.OverloadBegan, t.names(), t.worth()
	if t.level == 0 {
		what = event.OverloadEnded
	}
	c.pending = append(c.pending, func() { c.log.Log(what, "Services", names, "Worth", worth) })
}

// unlock releases mu and writes what was to be logged.
func (c *Controller) unlock() {
	pending := c.pending
	c.pending = nil
	c.mu.Unlock()
	for _, log := range pending {
		log()
	}
}

// isDone reports whether ctx has ended. Err is not called for it, because that of clockwork's fake contexts blocks until then.
func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

// latestStart returns the time after which a request is not worth starting.
func latestStart(ctx context.Context, s contract.Service, known *service, now time.Time) time.Time {
	deadline := now.Add(s.Deadline.Std())
	if own, ok := ctx.Deadline(); ok && own.Before(deadline) {
		deadline = own
	}

	return deadline.Add(-known.needed())
}

// costOf returns the number of targets that a request may use, which is its share of the callers' fair queue.
func costOf(s contract.Service) float64 {
	if s.Class == contract.OneRecord {
		return 1
	}

	return float64(max(1, len(s.Replicas)))
}
