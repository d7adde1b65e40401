package soak

import (
	"math"
	"syscall"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/standin/operator"
	"github.com/hickorynotch/hickorynotch/internal/standin/platform"
	"github.com/hickorynotch/hickorynotch/internal/standin/replica"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
)

// pick returns a random element.
func pick[T any](r *run, of []T) T { return of[r.random.IntN(len(of))] }

// within returns a random time of the given range in milliseconds.
func (r *run) within(low, high int) time.Duration {
	return time.Duration(low+r.random.IntN(high-low)) * time.Millisecond
}

// step harms the system in one way, or changes it as operators do.
func (r *run) step() {
	steps := []func(){
		r.configure, r.configure, r.revert, r.reshard, r.terminate, r.terminate, r.reload, r.kill, r.pauseInstance, r.storeFault, r.cutStore,
		r.cutPeer, r.cutPeer,
		r.targetFault, r.targetFault, r.targetFault, r.targetFault, r.targetPath, r.takeOver, r.takeOver, r.takeOver, r.drain, r.forget,
		r.herd,
	}
	pick(r, steps)()
}

// harm notes that the store or an instance is harmed for some time.
func (r *run) harm(d time.Duration) {
	if until := time.Now().Add(d + reach); until.After(r.unsettled) {
		r.unsettled = until
	}
}

func (r *run) configure() {
	r.world.configure()
	r.print("configuration %d", r.world.configuration)
}

func (r *run) reshard() {
	r.world.index = 1 - r.world.index
	r.world.configure()
	r.print("configuration %d, index %d", r.world.configuration, r.world.index)
}

// revert writes an older configuration over the newest one, as an operator's tool does whose write was held up, and soon the
// newest one again.
func (r *run) revert() {
	if r.world.configuration < 2 {
		return
	}
	d := r.within(200, 900)
	r.print("configuration %d once more, for %v", r.world.configuration-1, d)
	r.world.revert()
	time.AfterFunc(d, r.world.restore)
}

func (r *run) terminate() {
	i := pick(r, r.instances)
	r.print("terminate %s", i.settings)
	r.harm(stopTimeout)
	i.terminate()
}

func (r *run) reload() {
	i := pick(r, r.instances)
	r.print("reload %s", i.settings)
	i.signal(syscall.SIGHUP)
}

func (r *run) kill() {
	i := pick(r, r.instances)
	r.harm(0)
	r.print("kill %s", i.settings)
	i.signal(syscall.SIGKILL)
}

// herd kills several instances at once, sometimes right after a change.
func (r *run) herd() {
	r.harm(0)
	if r.random.IntN(2) == 0 {
		r.world.configure()
	}
	r.print("kill all but one, configuration %d", r.world.configuration)
	spared := r.random.IntN(len(r.instances))
	for n, i := range r.instances {
		if n != spared {
			i.signal(syscall.SIGKILL)
		}
	}
}

func (r *run) pauseInstance() {
	i, d := pick(r, r.instances), r.within(300, 4000)
	r.print("pause %s for %v", i.settings, d)
	r.harm(d)
	i.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { i.signal(syscall.SIGCONT) })
}

// storeFaults are the ways in which the store misbehaves to all instances.
var storeFaults = []struct {
	name  string
	fault platform.Fault
}{
	{"refuses every call", platform.Fault{Busy: true}},
	{"answers nothing", platform.Fault{Silent: true}},
	{"is slow", platform.Fault{Slow: duration.Duration(time.Second)}},
	{"loses the answers of writes", platform.Fault{LoseReply: math.MaxInt}},
	{"makes a write late", platform.Fault{DelayWrite: 1, DelayAfter: duration.Duration(time.Second)}},
	{"takes few calls", platform.Fault{Overload: 2}},
	{"tells waits of no changes", platform.Fault{SilentWatch: true}},
}

func (r *run) storeFault() {
	f, d := pick(r, storeFaults), r.within(500, 4000)
	r.print("the store %s for %v", f.name, d)
	r.harm(d)
	r.world.platform.SetFaults(f.fault)
	time.AfterFunc(d, func() { r.world.platform.SetFaults() })
}

func (r *run) forget() {
	r.harm(0)
	r.print("the store forgets its history")
	r.world.platform.Store().Forget()
}

func (r *run) cutStore() {
	i, mode, d := pick(r, r.instances), pick(r, []Mode{Silence, Reset, OneWay, Delay}), r.within(500, 4000)
	r.print("store of %s: %s for %v", i.settings, mode, d)
	i.harm()
	r.harm(d)
	i.store.set(mode)
	time.AfterFunc(d, func() { i.store.set(Pass) })
}

// target returns a random target, each other time one that a request for one target goes to.
func (r *run) target() *member {
	if r.random.IntN(2) == 0 {
		return pick(r, r.world.targets)
	}

	return pick(r, r.world.of("records"))
}

// takeOver lets another service take the address of a target whose entry stays as it was.
func (r *run) takeOver() {
	m, other, d := r.target(), pick(r, r.world.targets), r.within(500, 3000)
	for other.replica.Service == m.replica.Service {
		other = pick(r, r.world.targets)
	}
	if m.gone || other.gone {
		return
	}
	r.print("the address of target %s %s leads to %s %s for %v", m.replica.Service, m.replica.ID, other.replica.Service,
		other.replica.ID, d)
	m.proxy.retarget(other.address)
	time.AfterFunc(d, func() {
		if !m.gone {
			m.proxy.retarget(m.address)
		}
	})
}

func (r *run) cutPeer() {
	i, mode, d := pick(r, r.instances), pick(r, []Mode{Silence, Reset, OneWay, Delay}), r.within(500, 4000)
	r.print("way of the peers to %s: %s for %v", i.settings, mode, d)
	r.harm(d)
	i.peers.set(mode)
	time.AfterFunc(d, func() { i.peers.set(Pass) })
}

func (r *run) targetFault() {
	m := r.target()
	f := pick(r, []replica.Fault{replica.LoseAnswers, replica.Hang, replica.Shed, replica.Fail, replica.Twice, replica.Cross})
	d := r.within(500, 3000)
	r.print("target %s %s: %s for %v", m.replica.Service, m.replica.ID, f, d)
	m.replica.SetFault(f)
	time.AfterFunc(d, func() { m.replica.SetFault(replica.None) })
}

func (r *run) targetPath() {
	m, mode, d := r.target(), pick(r, []Mode{Silence, Reset, OneWay, Delay}), r.within(300, 3000)
	r.print("path of target %s %s: %s for %v", m.replica.Service, m.replica.ID, mode, d)
	m.proxy.set(mode)
	time.AfterFunc(d, func() { m.proxy.set(Pass) })
}

// drain lets a target leave. A new one of its service starts first, and later another service takes its address.
func (r *run) drain() {
	m := pick(r, r.world.targets)
	if m.draining || m.gone {
		return
	}
	if err := r.world.add(m.replica.Service, m.zone); err != nil {
		r.judge.breaks("the soak could not start a target: %v", err)

		return
	}
	r.print("target %s %s drains", m.replica.Service, m.replica.ID)
	m.draining = true
	r.world.register(m)
	r.drained[m] = time.Now()
}

// checkDrained looks for requests at targets that should get none any more, and then removes these.
func (r *run) checkDrained() {
	for m, at := range r.drained {
		if time.Since(at) < 2*drainBound {
			continue
		}
		delete(r.drained, m)
		if last := m.replica.LastRun(); r.unsettled.Before(at) && last.Sub(at) > drainBound+drainSlack {
			r.judge.breaks("%s ran a request %v after it had said that it leaves", m.replica.ID, last.Sub(at))
		}
		m.gone = true
		r.world.platform.Store().Delete(operator.EntryKey(m.replica.ID))
		other := pick(r, r.world.targets)
		m.proxy.retarget(other.address)
		r.print("target %s %s is gone, its address leads to %s", m.replica.Service, m.replica.ID, other.replica.ID)
	}
}
