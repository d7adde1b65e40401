package control_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

// A replay loses one leader after the other around a change of the registry, at seeded moments, on a fleet whose time is simulated.

// loss is how an instance is lost for some time.
type loss int

const (
	killed loss = iota
	stopped
	cutOff
	frozen
	losses
)

func (l loss) String() string { return [losses]string{"kill", "stop", "cut", "freeze"}[l] }

type replay struct {
	*followingFleet
	rng   *rand.Rand
	began time.Time

	events sync.Mutex
	// disturbed are the instances that have been lost at least once.
	disturbed map[string]bool
	story     []string
}

// leaveTime is how long a target goes on after its entry was removed.
const leaveTime = drainBound

func at(id string, port uint16) *directory.Target {
	return target(id, func(t *directory.Target) { t.Address = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port) })
}

// play runs f on a settled fleet in simulated time.
func play(t *testing.T, seed uint64, f func(r *replay)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan struct{})
		r := &replay{
			followingFleet: startFollowingFleet(func(stop func()) {
				go func() {
					<-ended
					stop()
				}()
			}),
			rng: rand.New(rand.NewPCG(seed, 0)), disturbed: make(map[string]bool),
		}
		r.cutsRegistry = true
		r.registry.set(nil, at("a", 1), at("b", 2), at("x", 3))
		for _, name := range names(8) {
			r.start(name)
		}
		// All have served for a while, so that none keeps targets because it has just started.
		time.Sleep(8 * time.Second)
		r.began = time.Now()
		f(r)
		// Those that were lost come back before all stop.
		time.Sleep(time.Minute)
		close(ended)
		time.Sleep(time.Minute)
	})
}

func (r *replay) note(format string, args ...any) {
	r.events.Lock()
	defer r.events.Unlock()
	r.story = append(r.story, fmt.Sprintf("%.2f s: ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// told returns what was noted so far.
func (r *replay) told() []string {
	r.events.Lock()
	defer r.events.Unlock()

	return slices.Clone(r.story)
}

// storedLeader returns the instance that the leader's key names, empty if there is none.
func (r *replay) storedLeader() string {
	entry, _, err := r.store.KeyValueStore().Get(context.Background(), leaderKey)
	var leader struct{ Name string }
	if err != nil || entry.Deleted || json.Unmarshal(entry.Value, &leader) != nil {
		return ""
	}

	return leader.Name
}

// instance returns an instance that runs, nil if it has been lost.
func (r *replay) instance(name string) *followingInstance {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.instances[name]
}

// untouched returns the instances that have not been lost so far.
func (r *replay) untouched() (list []*followingInstance) {
	for _, i := range r.all() {
		r.events.Lock()
		if !r.disturbed[i.name] {
			list = append(list, i)
		}
		r.events.Unlock()
	}

	return list
}

// between returns a duration between two bounds.
func (r *replay) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.rng.Int64N(int64(high-low)))
}

// lose loses an instance, and brings it back after a while.
func (r *replay) lose(name string, how loss) {
	i := r.instance(name)
	r.events.Lock()
	r.disturbed[name] = true
	r.events.Unlock()
	r.note("%s of %s", how, name)
	back := r.between(300*time.Millisecond, 4*time.Second)
	switch how {
	case killed:
		r.kill(name)
	case stopped:
		i.stop()
		r.mu.Lock()
		delete(r.instances, name)
		delete(r.byAddress, i.self.Peer)
		r.mu.Unlock()
	case cutOff:
		i.storeCut.Store(true)
		time.AfterFunc(back, func() { i.storeCut.Store(false) })
	case frozen:
		i.frozen.Store(true)
		time.AfterFunc(back, func() { i.frozen.Store(false) })
	}
	if how == killed || how == stopped {
		time.AfterFunc(back, func() { r.startWith(name, func(i *followingInstance) { i.restarted = true }) })
	}
}

// loseLeaders loses n leaders, one after the other. Each but the first is lost soon after it has begun.
func (r *replay) loseLeaders(n int, how func() loss) {
	last := ""
	for range n {
		name := ""
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if name = r.storedLeader(); name != "" && name != last && r.instance(name) != nil {
				break
			}
		}
		if last != "" {
			time.Sleep(r.between(0, 1200*time.Millisecond))
		}
		if r.instance(name) == nil {
			return
		}
		r.lose(name, how())
		last = name
	}
}

// watch calls f for each instance that has not been lost so far, each 10 ms for a time.
func (r *replay) watch(d time.Duration, f func(i *followingInstance)) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, i := range r.untouched() {
			f(i)
		}
	}
}

// lossKinds are how the leaders of a replay are lost: all in one way, or each in one that rng draws.
func lossKinds(rng *rand.Rand) map[string]func() loss {
	kinds := map[string]func() loss{"mixed": func() loss { return loss(rng.IntN(int(losses))) }}
	for how := range losses {
		kinds[how.String()] = func() loss { return how }
	}

	return kinds
}

// replaySeeds returns the number of seeds, of which REPLAY_SEEDS sets more.
func replaySeeds(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("REPLAY_SEEDS")
	if text == "" {
		return 8
	}
	seeds, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("REPLAY_SEEDS: %v", err)
	}

	return seeds
}

// Guards against leaders that keep a target anew which an earlier one kept, so that it is used after it has left (DRAIN).
func TestATargetThatHasLeftIsNotUsedHoweverManyLeadersAreLost(t *testing.T) {
	for kind := range lossKinds(nil) {
		for n := 1; n <= 4; n++ {
			t.Run(fmt.Sprintf("%s/%d", kind, n), func(t *testing.T) {
				for seed := range replaySeeds(t) {
					late := time.Duration(0)
					var story []string
					play(t, seed, func(r *replay) {
						how := lossKinds(r.rng)[kind]
						removedAt := time.Now().Add(r.between(500*time.Millisecond, 4*time.Second))
						firstLoss := removedAt.Add(r.between(-500*time.Millisecond, 300*time.Millisecond))
						time.AfterFunc(time.Until(removedAt), func() { r.registry.set(nil, at("a", 1), at("b", 2)) })
						time.AfterFunc(time.Until(firstLoss), func() { r.loseLeaders(n, how) })
						time.Sleep(time.Until(removedAt.Add(leaveTime)))
						r.note("x has left")
						r.watch(8*time.Second, func(i *followingInstance) {
							if _, ok := i.targets().Target("x"); ok && late < time.Since(removedAt) {
								late = time.Since(removedAt)
								r.note("%s uses x", i.name)
							}
						})
						story = r.told()
					})
					if late > 0 {
						t.Errorf("seed %d: x used for %v after its entry was removed: %v", seed, late, story)
					}
				}
			})
		}
	}
}

// Guards against leaders that drop targets whose entries expired while the store was away, and which are about to register again (RECOVER).
func TestATargetWhoseEntryExpiredInAnOutageStaysInUseHoweverManyLeadersAreLost(t *testing.T) {
	for kind := range lossKinds(nil) {
		for n := 1; n <= 4; n++ {
			t.Run(fmt.Sprintf("%s/%d", kind, n), func(t *testing.T) {
				for seed := range replaySeeds(t) {
					var story []string
					lost := false
					play(t, seed, func(r *replay) {
						how := lossKinds(r.rng)[kind]
						away := r.between(2500*time.Millisecond, 5*time.Second)
						returnedAt := time.Now().Add(away)
						r.store.SetUnavailable(true)
						r.registry.set(errors.New("store unavailable"))
						time.AfterFunc(r.between(0, away+500*time.Millisecond), func() { r.loseLeaders(n, how) })
						time.AfterFunc(away, func() {
							r.note("the store is back, without x and b")
							r.registry.set(nil, at("a", 1))
							r.store.SetUnavailable(false)
						})
						time.AfterFunc(away+r.between(300*time.Millisecond, 2*time.Second), func() {
							r.registry.set(nil, at("a", 1), at("b", 2), at("x", 3))
							r.note("x and b are registered")
						})
						r.watch(time.Until(returnedAt)+8*time.Second, func(i *followingInstance) {
							if i.targets().Len() < 3 && !lost {
								lost = true
								r.note("%s has %d targets", i.name, i.targets().Len())
							}
						})
						story = r.told()
					})
					if lost {
						t.Errorf("seed %d: %v", seed, story)
					}
				}
			})
		}
	}
}

// expectWithin checks that all instances that have not been lost are in a state from a time after the begin on.
func (r *replay) expectWithin(t *testing.T, bound, d time.Duration, what string, ok func(i *followingInstance) bool) {
	t.Helper()
	time.Sleep(bound)
	reported := false
	r.watch(d, func(i *followingInstance) {
		if !reported && !ok(i) {
			reported = true
			t.Errorf("%s: not so %.2f s after the begin: %s", i.name, time.Since(r.began).Seconds(), what)
		}
	})
}

func lacks(id string) func(i *followingInstance) bool {
	return func(i *followingInstance) bool {
		_, ok := i.targets().Target(id)

		return !ok
	}
}

// Guards against followers that go on using a target that has left because the store rejects to delete it from the mirror (DRAIN).
func TestATargetWhoseDeletionTheStoreRejectsIsNotUsedUnderThisLeaderOrTheNext(t *testing.T) {
	play(t, 0, func(r *replay) {
		for _, i := range r.all() {
			i.commitError.Store(&commitError{
				keys: func(key string) bool { return key == mirrorKeys+"x" }, deletes: true, err: rejected,
			})
		}
		r.registry.set(nil, at("a", 1), at("b", 2))
		r.expectWithin(t, leaveTime, 2*time.Second, "lacks x", lacks("x"))
		r.lose(r.storedLeader(), killed)
		r.expectWithin(t, 0, 8*time.Second, "lacks x after a change of leader", lacks("x"))
	})
}

// Guards against a leader that takes its own loss of contact, after which others have read the registry, for an outage, and keeps what has left.
func TestALeaderThatWasCutOffKeepsNoTargetWhenItLeadsAgain(t *testing.T) {
	for seed := range replaySeeds(t) {
		play(t, seed, func(r *replay) {
			first := r.storedLeader()
			cut := r.instance(first)
			r.events.Lock()
			r.disturbed[first] = true
			r.events.Unlock()
			cut.storeCut.Store(true)
			time.Sleep(4 * time.Second)
			cut.storeCut.Store(false)
			time.Sleep(6 * time.Second)
			// The entry is removed while there is no leader, and only the first one is left to lead.
			r.registry.set(nil, at("a", 1), at("b", 2))
			r.lose(r.storedLeader(), killed)
			r.expectWithin(t, leaveTime, 5*time.Second, "lacks x", lacks("x"))
		})
	}
}

// Guards against a leader that passes on the mirror of an older copy of the store before it has corrected it (DRAIN).
func TestATargetThatDrainsIsNotReadyAgainWhileTheLeaderCorrectsARestoredMirror(t *testing.T) {
	play(t, 0, func(r *replay) {
		backup := r.store.Copy()
		drains := at("x", 3)
		drains.Draining = true
		r.registry.set(nil, at("a", 1), at("b", 2), drains)
		time.Sleep(3 * time.Second)
		r.instance(r.storedLeader()).slowReplies.Store(true)
		r.store.Restore(backup)
		r.registry.restore(at("a", 1), at("b", 2), drains)
		r.expectWithin(t, 0, 5*time.Second, "x drains", func(i *followingInstance) bool {
			x, ok := i.targets().Target("x")

			return ok && x.Draining
		})
	})
}
