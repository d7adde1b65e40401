// Package admission decides, before any target is contacted, whether a request may run.
//
// Under overload it refuses the requests of lowest worth first. Requests that wait are queued for each caller, and the queues
// are served by weighted fair queueing, so that a burst of one caller does not delay the requests of the others:
//
//	controller := admission.New(timers)
//	done, err := controller.Admit(ctx, "catalogue", service)
//	if err != nil {
//		return err // a *caller.Refusal with outcome NotRun
//	}
//	answer, err := run(ctx)
//	done(admission.Result{Answered: err == nil})
//
// Overload is measured at the targets: the owners of targets report the delay in their queues to Observe and the refusals of
// targets to ObserveRefusal. Services that have replicas in common share a worth threshold, because refusing a request reduces
// the load only of the targets that it would have used. One more threshold, over all services, follows the wait in the queue
// of the Controller itself.
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
	// defaultMaxRunning is fifteen times the 33 requests that an instance of the expected size has in flight (196 a second for
	// 170 ms).
	defaultMaxRunning = 512
	// defaultMaxQueue is the largest number of queued requests of one caller. An instance of the expected size receives that
	// many in two thirds of a second.
	defaultMaxQueue = 128
	// defaultMaxCallers is the largest number of callers with requests in the queue.
	defaultMaxCallers = 512
	// minAdmittedShare is the share of the requests of each service that is admitted however high the threshold is. It is
	// slightly above the guaranteed 1%, so that rounding errors of the sum do not bring it below 1%.
	minAdmittedShare = 0.0101
	// retryAfter is the mean of the retry delay that a refusal suggests to the caller. The delay varies by up to half of the
	// mean, so that refused callers do not all retry at the same time.
	retryAfter = time.Second
)

// inFlightPerSlot sets the size of the window of requests in flight: the largest number of target requests in flight for each
// slot of the targets, over all instances. Most requests in flight wait for their last shards and leave other slots free: 6 for
// each slot answered 93% of the worth that the slots allow, and 8 answered 95%. With 8, the wait for a slot is on average at
// most seven service times, and a request that would exceed the window is refused before the delay in the queues of the owners
// exceeds the deadline.
const inFlightPerSlot = 8

// Result is the outcome of an admitted request.
type Result struct {
	// Answered is true when the caller got an answer. Only the durations of answered requests enter the average response time
	// of the service.
	Answered bool
}

// Stats is the state of a Controller and the number of its decisions since it started.
type Stats struct {
	Running, Queued, Callers int
	Admitted                 uint64
	// LetThrough counts the requests that were admitted as part of the guaranteed minimum share (1%).
	LetThrough uint64
	// Shed counts refusals by a worth threshold or a full window of requests in flight, QueueFull those by a bound of the queue,
	// and TooLate those of requests that were cancelled or could not end before their deadline.
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
	// queueThreshold follows the wait in the queue and applies to all services.
	queueThreshold *threshold
	stats          Stats
	// pendingLogs are called once mu is released, because writing to the log may block.
	pendingLogs []func()
}

// Option configures a Controller.
type Option func(*Controller)

// WithRunning sets the largest number of requests that run at a time.
func WithRunning(n int) Option {
	return func(c *Controller) { c.maxRunning = n }
}

// WithQueue sets the largest number of queued requests of one caller.
func WithQueue(n int) Option {
	return func(c *Controller) { c.maxQueue = n }
}

// WithCallers sets the largest number of callers that have requests in the queue.
func WithCallers(n int) Option {
	return func(c *Controller) { c.queue.maxCallers = n }
}

// WithWeight sets the weight of a caller in the fair queue, which must be positive. The default is 1.
func WithWeight(name string, weight float64) Option {
	return func(c *Controller) { c.queue.weights[name] = weight }
}

// WithSeed sets the seed of the random numbers. The default is 1. A process should pass a seed that it logs, so that a run can
// be repeated.
func WithSeed(seed uint64) Option {
	return func(c *Controller) { c.random = newRandom(seed) }
}

// WithLog makes the controller log the beginning and the end of overload.
func WithLog(log *event.Log) Option {
	return func(c *Controller) { c.log = log }
}

// WithInstances bounds the target requests in flight to inFlightPerSlot for each slot of the targets, divided by the number of
// live instances that instances returns. At least one request is admitted at a time. The default is no bound.
func WithInstances(instances func() int) Option {
	return func(c *Controller) { c.instances = instances }
}

// New returns a Controller that uses timers as its clock.
func New(timers *timer.Service, options ...Option) *Controller {
	c := &Controller{
		timers:     timers,
		random:     newRandom(1),
		maxRunning: defaultMaxRunning,
		maxQueue:   defaultMaxQueue,
		queue:      fairQueue{maxCallers: defaultMaxCallers, weights: map[string]float64{}, callers: map[string]*callerQueue{}},
		services:   map[string]*service{},
	}
	for _, option := range options {
		option(c)
	}
	c.queueThreshold = &threshold{windowStart: timers.Now()}

	return c
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}

// Admit waits until a request of the service called name, with contract s, may run, or refuses it. The caller of Admit calls
// done once when the request has ended. The error is a *caller.Refusal with code Overloaded or TooLate and outcome NotRun. The
// wait ends when the time left until the deadline of ctx or that of s is too short to run the request. A deadline of ctx must
// have been set with the controller's timers.
func (c *Controller) Admit(ctx context.Context, name string, s contract.Service) (done func(Result), err error) {
	c.mu.Lock()
	now := c.timers.Now()
	state := c.service(name, s, now)
	w := &waiter{
		service:     state,
		caller:      s.Caller,
		worth:       s.Worth,
		cost:        costOf(s),
		arrived:     now,
		latestStart: latestStart(ctx, s, state, now),
		result:      make(chan error, 1),
	}
	if err := c.enter(ctx, w, now); err != nil {
		c.unlock()

		return nil, err
	}
	if !w.queued {
		c.unlock()

		return c.doneFunc(w, now), nil
	}
	stop := c.timers.AfterFunc(w.latestStart.Sub(now), func() { c.giveUp(w, "no time remained while the request waited") })
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

	return c.doneFunc(w, c.timers.Now()), nil
}

// Observe records the time that a target request of the service spent in the queue of the target's owner.
func (c *Controller) Observe(name string, delay time.Duration) {
	c.mu.Lock()
	defer c.unlock()
	if s, ok := c.services[name]; ok {
		c.observe(s.targetThreshold, float64(delay)/float64(s.delayTarget()))
	}
}

// ObserveRefusal records that a target refused a request of the service because of its load.
func (c *Controller) ObserveRefusal(name string) {
	c.mu.Lock()
	defer c.unlock()
	if s, ok := c.services[name]; ok {
		c.observe(s.targetThreshold, refusalPressure)
	}
}

// ObserveShards records the number of target requests that a request of the service needs.
func (c *Controller) ObserveShards(name string, shards int) {
	c.mu.Lock()
	defer c.unlock()
	if s, ok := c.services[name]; ok {
		s.cost = float64(shards)
	}
}

// Overloaded reports whether a worth threshold above 0 applies to the service, or its window of target requests in flight was
// full within the last second.
func (c *Controller) Overloaded(name string) bool {
	c.mu.Lock()
	defer c.unlock()
	s, ok := c.services[name]
	if !ok {
		return false
	}
	now := c.timers.Now()
	c.roll(s.targetThreshold, now)
	c.roll(c.queueThreshold, now)

	return s.targetThreshold.level > 0 || c.queueThreshold.level > 0 ||
		!s.targetThreshold.lastFull.IsZero() && now.Sub(s.targetThreshold.lastFull) < fullHoldTime
}

// Threshold returns the lowest worth at which all requests to the service's targets are admitted. Of the requests of the next
// lower worth, a share is admitted. The threshold is 0 without overload, and +Inf if requests of the highest worth are refused
// as well.
func (c *Controller) Threshold(name string) float64 {
	c.mu.Lock()
	defer c.unlock()
	s, ok := c.services[name]
	if !ok {
		return 0
	}
	now := c.timers.Now()
	c.roll(s.targetThreshold, now)
	c.roll(c.queueThreshold, now)

	return max(s.targetThreshold.worth(), c.queueThreshold.worth())
}

// Stats returns the current state.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.Running, stats.Queued, stats.Callers = c.running, c.queue.length, len(c.queue.callers)

	return stats
}

// enter admits w, queues it or returns a refusal. c.mu must be held.
func (c *Controller) enter(ctx context.Context, w *waiter, now time.Time) error {
	switch {
	case isDone(ctx):
		return c.refusal(w, caller.TooLate, "the request was cancelled")
	case !now.Before(w.latestStart):
		return c.refusal(w, caller.TooLate, "too little time remains")
	case !c.passThresholds(w, now):
		c.stats.Shed++

		return c.refusal(w, caller.Overloaded, fmt.Sprintf("worth %g is below the threshold", w.worth))
	case !w.protected && c.windowFull(w):
		c.stats.Shed++

		return c.refusal(w, caller.Overloaded, "the targets have as many requests in flight as they can answer in time")
	case c.running < c.maxRunning && c.queue.length == 0:
		c.grant(w, now)

		return nil
	}
	evicted, ok := c.queue.push(w, c.maxQueue)
	if evicted != nil {
		c.recordOverflow(evicted)
		evicted.result <- c.refusal(evicted, caller.Overloaded, "a request of higher worth took its place in the queue")
	}
	if !ok {
		c.recordOverflow(w)

		return c.refusal(w, caller.Overloaded, "the queue is full")
	}

	return nil
}

// passThresholds reports whether the thresholds admit w. The admitted share of each request is added to the credit of its
// service, and a request is admitted when the credit reaches 1. Unlike a random draw, this makes the share exact over any
// sequence of requests.
func (c *Controller) passThresholds(w *waiter, now time.Time) bool {
	c.roll(w.service.targetThreshold, now)
	c.roll(c.queueThreshold, now)
	share := min(w.service.targetThreshold.share(w.worth), c.queueThreshold.share(w.worth))
	w.protected = share < minAdmittedShare
	w.service.credit += max(share, minAdmittedShare)
	if w.service.credit < 1 {
		return false
	}
	w.service.credit--

	return true
}

// windowFull reports whether w would exceed the window of requests in flight to its targets, and records the pressure if so.
func (c *Controller) windowFull(w *waiter) bool {
	if c.instances == nil {
		return false
	}
	t := w.service.targetThreshold
	used := t.inFlight()
	window := inFlightPerSlot * float64(t.slots) / float64(max(1, c.instances())) * t.windowShare(w.worth)
	if used == 0 || used+w.service.cost <= window {
		return false
	}
	t.lastFull = c.timers.Now()
	c.observe(t, refusalPressure)

	return true
}

func (c *Controller) grant(w *waiter, now time.Time) {
	c.running++
	w.chargedCost = w.service.cost
	w.service.inFlight += w.chargedCost
	c.stats.Admitted++
	if w.protected {
		c.stats.LetThrough++
	}
	c.observe(c.queueThreshold, float64(now.Sub(w.arrived))/float64(w.service.delayTarget()))
}

func (c *Controller) recordOverflow(*waiter) {
	c.stats.QueueFull++
	c.observe(c.queueThreshold, refusalPressure)
}

func (c *Controller) doneFunc(w *waiter, began time.Time) func(Result) {
	var once sync.Once

	return func(r Result) {
		once.Do(func() { c.release(w, r, began) })
	}
}

// release ends an admitted request and admits queued requests while there is room.
func (c *Controller) release(w *waiter, r Result, began time.Time) {
	c.mu.Lock()
	defer c.unlock()
	now := c.timers.Now()
	if r.Answered {
		w.service.observeDuration(now.Sub(began))
	}
	c.running--
	w.service.inFlight -= w.chargedCost
	for c.running < c.maxRunning && c.queue.length > 0 {
		next := c.queue.pop()
		if !now.Before(next.latestStart) {
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

// expire refuses w, which was removed from the queue without running. Its wait is recorded like that of a request that ran.
func (c *Controller) expire(w *waiter, message string) {
	c.observe(c.queueThreshold, float64(c.timers.Since(w.arrived))/float64(w.service.delayTarget()))
	w.result <- c.refusal(w, caller.TooLate, message)
}

// returnGrant ends a request that was admitted at the time at which it was cancelled, and returns the refusal.
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

// roll adjusts the level of t up to now. If an overload begins or ends, it adds the log event to c.pendingLogs.
func (c *Controller) roll(t *threshold, now time.Time) {
	before := t.level
	t.roll(now)
	if c.log == nil || (before > 0) == (t.level > 0) {
		return
	}
	overloadEvent, names, worth := event.OverloadBegan, t.serviceNames(), t.worth()
	if t.level == 0 {
		overloadEvent = event.OverloadEnded
	}
	c.pendingLogs = append(c.pendingLogs, func() { c.log.Log(overloadEvent, "Services", names, "Worth", worth) })
}

// unlock releases mu and then writes the pending log events.
func (c *Controller) unlock() {
	pending := c.pendingLogs
	c.pendingLogs = nil
	c.mu.Unlock()
	for _, log := range pending {
		log()
	}
}

// isDone reports whether ctx is done. It does not call ctx.Err, because Err of clockwork's fake contexts blocks until they are
// done.
func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

// latestStart returns the time after which a request would probably not end before its deadline.
func latestStart(ctx context.Context, s contract.Service, state *service, now time.Time) time.Time {
	deadline := now.Add(s.Deadline.Std())
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}

	return deadline.Add(-state.expectedDuration())
}

// costOf returns the number of targets that a request may use. The fair queue charges it to the caller.
func costOf(s contract.Service) float64 {
	if s.Class == contract.OneRecord {
		return 1
	}

	return float64(max(1, len(s.Replicas)))
}
