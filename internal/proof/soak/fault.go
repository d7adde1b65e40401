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

func randomElement[E any](r *soakRun, elements []E) E { return elements[r.random.IntN(len(elements))] }

// randomDuration returns a random duration between low and high milliseconds.
func (r *soakRun) randomDuration(low, high int) time.Duration {
	return time.Duration(low+r.random.IntN(high-low)) * time.Millisecond
}

// runRandomEvent injects one random fault, or makes one of the changes that operators make. A list entry that occurs more than once
// is chosen more often.
func (r *soakRun) runRandomEvent() {
	events := []func(){
		r.changeConfiguration, r.changeConfiguration, r.revertConfiguration, r.switchIndex,
		r.terminateInstance, r.terminateInstance, r.reloadInstance, r.killInstance, r.pauseInstance,
		r.injectStoreFault, r.injectStoreLinkFault, r.injectPeerLinkFault, r.injectPeerLinkFault,
		r.injectTargetFault, r.injectTargetFault, r.injectTargetFault, r.injectTargetFault, r.injectTargetLinkFault,
		r.reuseTargetAddress, r.reuseTargetAddress, r.reuseTargetAddress, r.drainTarget, r.discardStoreHistory, r.killAllButOne,
		r.cutTargets,
	}
	if r.settings.Restores {
		events = append(events, r.restoreStore, r.restoreStore, r.restoreStore)
	}
	randomElement(r, events)()
	r.storeCopies = append(r.storeCopies, r.env.platform.Store().Copy())
}

// noteDisturbance records a fault of the store or of an instance that lasts for d.
func (r *soakRun) noteDisturbance(d time.Duration) {
	if until := time.Now().Add(d + disturbanceWindow); until.After(r.disturbedUntil) {
		r.disturbedUntil = until
	}
}

func (r *soakRun) changeConfiguration() {
	r.env.advanceConfiguration()
	r.logf("write configuration %d", r.env.configuration)
}

// switchIndex writes a configuration that routes pages to the shards of the other index.
func (r *soakRun) switchIndex() {
	r.env.index = 1 - r.env.index
	r.env.advanceConfiguration()
	r.logf("write configuration %d, which routes pages to index %d", r.env.configuration, r.env.index)
}

// revertConfiguration writes the previous configuration over the newest one, as a delayed write of an operator's tool does, and
// the newest one again after a short time.
func (r *soakRun) revertConfiguration() {
	if r.env.configuration < 2 {
		return
	}
	d := r.randomDuration(200, 900)
	r.logf("write configuration %d again for %v", r.env.configuration-1, d)
	r.env.restorePrevious()
	time.AfterFunc(d, r.env.restoreNewest)
}

func (r *soakRun) terminateInstance() {
	i := randomElement(r, r.instances)
	r.logf("terminate the instance of %s", i.settingsPath)
	r.noteDisturbance(stopTimeout)
	i.terminate()
}

func (r *soakRun) reloadInstance() {
	i := randomElement(r, r.instances)
	r.logf("reload the settings %s", i.settingsPath)
	i.signal(syscall.SIGHUP)
}

func (r *soakRun) killInstance() {
	i := randomElement(r, r.instances)
	r.noteDisturbance(0)
	r.logf("kill the instance of %s", i.settingsPath)
	i.signal(syscall.SIGKILL)
}

// killAllButOne kills all instances but one at once, in half of the cases right after a new configuration.
func (r *soakRun) killAllButOne() {
	r.noteDisturbance(0)
	if r.random.IntN(2) == 0 {
		r.env.advanceConfiguration()
	}
	r.logf("kill all instances but one, newest configuration %d", r.env.configuration)
	spared := r.random.IntN(len(r.instances))
	for n, i := range r.instances {
		if n != spared {
			i.signal(syscall.SIGKILL)
		}
	}
}

func (r *soakRun) pauseInstance() {
	i, d := randomElement(r, r.instances), r.randomDuration(300, 4000)
	r.logf("pause the instance of %s for %v", i.settingsPath, d)
	r.noteDisturbance(d)
	i.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { i.signal(syscall.SIGCONT) })
}

const (
	// maxCopyAge is the maximum age of the copies that the store comes back from, in events.
	maxCopyAge = 6
	// entryExpiry is the time after which the entry of a target expires that does not write it again.
	entryExpiry = 2 * time.Second
)

// storeFaults are faults of the store that affect all instances.
var storeFaults = []struct {
	name  string
	fault platform.Fault
}{
	{"refuses all calls", platform.Fault{Busy: true}},
	{"does not answer", platform.Fault{Silent: true}},
	{"answers 1 s late", platform.Fault{Slow: duration.Duration(time.Second)}},
	{"applies writes but loses the replies", platform.Fault{LoseReply: math.MaxInt}},
	{"applies one write 1 s late", platform.Fault{DelayWrite: 1, DelayAfter: duration.Duration(time.Second)}},
	{"is overloaded", platform.Fault{Overload: 2}},
	{"does not notify watches of changes", platform.Fault{SilentWatch: true}},
}

func (r *soakRun) injectStoreFault() {
	f, d := randomElement(r, storeFaults), r.randomDuration(500, 4000)
	r.logf("the store %s for %v", f.name, d)
	r.noteDisturbance(d)
	r.env.platform.SetFaults(f.fault)
	time.AfterFunc(d, func() { r.env.platform.SetFaults() })
}

// discardStoreHistory makes the store forget its past changes, which ends the watches that began before.
func (r *soakRun) discardStoreHistory() {
	r.noteDisturbance(0)
	r.logf("the store discards its history")
	r.env.platform.Store().Compact()
}

// restoreStore makes the store come back from a copy that is some events old, after a moment in which it is away. The operator and the
// targets write again what they wrote since, and the entries of targets that were removed since expire after some time.
func (r *soakRun) restoreStore() {
	if len(r.storeCopies) == 0 {
		return
	}
	age := min(1+r.random.IntN(maxCopyAge), len(r.storeCopies))
	away := r.randomDuration(0, 400)
	r.logf("the store is away for %v and comes back from a copy that is %d events old", away, age)
	r.noteDisturbance(away)
	store := r.env.platform.Store()
	r.env.platform.SetFaults(platform.Fault{Busy: true})
	time.Sleep(away)
	store.Restore(r.storeCopies[len(r.storeCopies)-age])
	r.env.platform.SetFaults()
	r.env.restoreNewest()
	var expired []string
	for _, b := range r.env.targets {
		if b.removed {
			expired = append(expired, operator.EntryKey(b.replica.ID))

			continue
		}
		r.env.registerTarget(b)
	}
	time.AfterFunc(entryExpiry, func() {
		for _, key := range expired {
			store.Delete(key)
		}
	})
}

func (r *soakRun) injectStoreLinkFault() {
	i, mode, d := randomElement(r, r.instances), randomElement(r, []Mode{Silence, Reset, OneWay, Delay}), r.randomDuration(500, 4000)
	r.logf("link between %s and the store: %s for %v", i.settingsPath, mode, d)
	i.noteDisturbance()
	r.noteDisturbance(d)
	i.storeProxy.setMode(mode)
	time.AfterFunc(d, func() { i.storeProxy.setMode(Pass) })
}

// randomTarget returns a random target. Half of the time it chooses among those of the service "records", which the routes "read"
// and "write" send single requests to.
func (r *soakRun) randomTarget() *backend {
	if r.random.IntN(2) == 0 {
		return randomElement(r, r.env.targets)
	}

	return randomElement(r, r.env.targetsOf("records"))
}

// reuseTargetAddress makes the address of a target lead to a target of another service for a while. The entry in the store does not
// change, as when an address is reused before the entry of its last owner has expired.
func (r *soakRun) reuseTargetAddress() {
	b, other, d := r.randomTarget(), randomElement(r, r.env.targets), r.randomDuration(500, 3000)
	for other.replica.Service == b.replica.Service {
		other = randomElement(r, r.env.targets)
	}
	if b.removed || other.removed {
		return
	}
	r.logf("the address of target %s %s leads to %s %s for %v", b.replica.Service, b.replica.ID, other.replica.Service,
		other.replica.ID, d)
	b.proxy.retarget(other.address)
	time.AfterFunc(d, func() {
		if !b.removed {
			b.proxy.retarget(b.address)
		}
	})
}

func (r *soakRun) injectPeerLinkFault() {
	i, mode, d := randomElement(r, r.instances), randomElement(r, []Mode{Silence, Reset, OneWay, Delay}), r.randomDuration(500, 4000)
	r.logf("link from the peers to %s: %s for %v", i.settingsPath, mode, d)
	r.noteDisturbance(d)
	i.peerProxy.setMode(mode)
	time.AfterFunc(d, func() { i.peerProxy.setMode(Pass) })
}

func (r *soakRun) injectTargetFault() {
	b := r.randomTarget()
	f := randomElement(r, []replica.Fault{
		replica.LoseAnswers, replica.Hang, replica.Shed, replica.ShedFor, replica.Fail, replica.Twice, replica.Cross,
	})
	d := r.randomDuration(500, 3000)
	r.logf("target %s %s: %s for %v", b.replica.Service, b.replica.ID, f, d)
	b.replica.SetFault(f)
	time.AfterFunc(d, func() { b.replica.SetFault(replica.None) })
}

func (r *soakRun) injectTargetLinkFault() {
	b, mode, d := r.randomTarget(), randomElement(r, []Mode{Silence, Reset, OneWay, Delay}), r.randomDuration(300, 3000)
	r.logf("link to target %s %s: %s for %v", b.replica.Service, b.replica.ID, mode, d)
	b.proxy.setMode(mode)
	time.AfterFunc(d, func() { b.proxy.setMode(Pass) })
}

// cutTargets cuts all instances off from all targets: their connections are silent or reset, or live on, and new ones are refused.
func (r *soakRun) cutTargets() {
	how, d := randomElement(r, []Mode{Silence, Reset, Pass}), r.randomDuration(300, 4000)
	r.logf("all targets are cut off, open connections: %s for %v", how, d)
	r.noteDisturbance(d)
	for _, b := range r.env.targets {
		// An error of a listener that is closed cannot occur.
		_ = b.proxy.setCut(true)
		if how != Pass {
			b.proxy.setMode(how)
		}
	}
	time.AfterFunc(d, r.healTargets)
}

// healTargets ends what cutTargets has begun.
func (r *soakRun) healTargets() {
	for _, b := range r.env.allTargets() {
		b.proxy.setMode(Pass)
		err := b.proxy.setCut(false)
		// The port may stay in use for a moment after it was closed.
		for tries := 0; err != nil && tries < listenTries; tries++ {
			time.Sleep(listenRetryDelay)
			err = b.proxy.setCut(false)
		}
		if err != nil {
			r.checker.report("a target that was cut off could not be reached again: %v", err)
		}
	}
}

// drainTarget starts a replacement for a target, and then marks the target as draining. completeDrains later gives its address to
// another target.
func (r *soakRun) drainTarget() {
	b := randomElement(r, r.env.targets)
	if b.draining || b.removed {
		return
	}
	if err := r.env.startTarget(b.replica.Service, b.zone); err != nil {
		r.checker.report("could not start a replacement target: %v", err)

		return
	}
	r.logf("target %s %s starts to drain", b.replica.Service, b.replica.ID)
	b.draining = true
	r.env.registerTarget(b)
	r.drainStarted[b] = time.Now()
}

// completeDrains checks that targets which announced their drain some time ago have run no requests since the drain timeout, unless
// a fault may have delayed the announcement. It then deletes their entries and makes their addresses lead to other targets.
func (r *soakRun) completeDrains() {
	for b, started := range r.drainStarted {
		if time.Since(started) < 2*drainTimeout {
			continue
		}
		delete(r.drainStarted, b)
		if last := b.replica.LastRun(); r.disturbedUntil.Before(started) && last.Sub(started) > drainTimeout+drainSlack {
			r.checker.report("%s ran a request %v after it had announced its drain", b.replica.ID, last.Sub(started))
		}
		b.removed = true
		r.env.platform.Store().Delete(operator.EntryKey(b.replica.ID))
		other := randomElement(r, r.env.targets)
		b.proxy.retarget(other.address)
		r.logf("target %s %s is removed, its address leads to %s", b.replica.Service, b.replica.ID, other.replica.ID)
	}
}
