package fleet_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	standin "github.com/hickorynotch/hickorynotch/internal/standin/platform"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
)

// proofCase is a guarantee, a mechanism that it depends on, and scenarios that run with the mechanism off and on.
type proofCase struct {
	promise, mechanism string
	cells              []func(on bool) (violations []string)
}

// The names begin with TestProve, because "make prove" selects the tests by this prefix.

func TestProveHigherRevisionsOnly(t *testing.T) {
	prove(t, proofCase{
		"6: an accepted configuration never reverts", "only higher revisions are adopted",
		[]func(bool) []string{
			func(on bool) []string { return runRevert(on, "store") },
			func(on bool) []string { return runRevert(on, "peer") },
		},
	})
}

func TestProveSpreadByPeers(t *testing.T) {
	prove(t, proofCase{
		"6: an accepted configuration is in force everywhere", "spread by peers during an outage of the store",
		[]func(bool) []string{
			func(on bool) []string { return runStoreOutage(on, "watch") },
			func(on bool) []string { return runStoreOutage(on, "adoption") },
		},
	})
}

func TestProveDrainMark(t *testing.T) {
	prove(t, proofCase{
		"7: a leaving target gets no new work after a few seconds", "the drain mark in the snapshot catalogue",
		[]func(bool) []string{
			func(on bool) []string {
				return runLeaveCell("by its report", func(c *cluster) { c.targets[1].hideDrain = !on },
					clusterFault{inject: func(*cluster) {}})
			},
			func(on bool) []string {
				return runLeaveCell("on the list", func(c *cluster) {
					if !on {
						c.platform.SetFaults(standin.Fault{FreezeList: true})
					}
				}, clusterFault{inject: func(*cluster) {}})
			},
		},
	})
}

func TestProveGracefulStop(t *testing.T) {
	prove(t, proofCase{
		"8: a planned stop interrupts no request in flight", "the drain of a graceful stop",
		[]func(bool) []string{
			func(on bool) []string { return runStop(on, "readiness off") },
			func(on bool) []string { return runStop(on, "waiting") },
		},
	})
}

// raiseRevision switches off the rule that only higher revisions are adopted: a record that differs from the one in force
// gets the next revision. The check identifies records by ApplyID, so it sees which record an instance without the rule would have
// in force.
func raiseRevision(n *simulatedInstance, raw []byte) []byte {
	record, err := configuration.Decode(raw)
	active, ok := n.keeper.Current()
	if err != nil || !ok || record.ApplyID == active.ApplyID {
		return raw
	}
	record.Revision = active.Revision + 1
	changed, err := json.Marshal(record)
	Expect(err).NotTo(HaveOccurred())

	return changed
}

// runRevert offers an older record to the instances, either from a store that lost its latest write or from an outdated peer, and
// returns the violations.
func runRevert(on bool, source string) []string {
	rewrite := unmodified
	if !on {
		rewrite = raiseRevision
	}
	f := newSettledFleet(9, rewrite)
	older := f.storedRecord()
	f.apply("second", `"two"`)
	f.advanceUntil(time.Minute, func() bool { return f.appliesDone() && f.allHaveRevision(2) })
	accepted := decode(f.storedRecord())
	if source == "store" {
		f.overwriteRecord(older)
	} else {
		n := f.nodes[4]
		_ = n.spread.HandlePush(n.ctx, peer.Sender{Name: f.nodes[3].self.Name}, f.rewrite(n, older))
	}
	f.advanceUntil(15*time.Second, func() bool { return false })

	return f.violations(accepted)
}

// runStoreOutage makes the store unavailable as soon as the first instance reaches a step with a new revision, and returns the
// violations.
func runStoreOutage(on bool, step string) []string {
	f := newSettledFleet(9, unmodified)
	f.spreadDisabled.Store(!on)
	var began sync.Once
	f.mu.Lock()
	f.onStep = func(at string, _ *simulatedInstance) {
		if at == step {
			// An instance that reaches the step after the end of the outage must not start another one.
			began.Do(func() { f.platform.SetFaults(standin.Fault{Down: true}) })
		}
	}
	f.mu.Unlock()
	f.apply("second", `"two"`)
	f.advanceUntil(time.Minute, func() bool { return f.allHaveRevision(2) })
	f.platform.SetFaults()
	f.advanceUntil(time.Minute, f.appliesDone)
	accepted := decode(f.storedRecord())

	return f.violations(accepted)
}

// runStop stops an instance with requests in flight. Without the drain, the instance does not wait for them.
func runStop(on bool, step string) []string {
	timeout := stopTimeout
	if !on {
		timeout = time.Nanosecond
	}

	// When the drain times out, the instance waits 1 s of real time for its HTTP server before it closes connections.
	return runStopCell(timeout, step, clusterFault{name: "no fault", inject: func(*cluster) {}, holdTime: 2 * time.Second})
}

// maxRunsWithout limits the runs of a scenario without its mechanism. One of them must show a violation.
const maxRunsWithout = 3

// prove runs each scenario with the mechanism off, which must show a violation, and with it on, which must show none.
func prove(t *testing.T, p proofCase) {
	fails, passes := true, true
	for i, run := range p.cells {
		for _, on := range []bool{false, true} {
			t.Run(fmt.Sprintf("cell %d, mechanism on %v", i, on), func(t *testing.T) {
				RegisterTestingT(t)
				before := cleanup
				cleanup = t.Cleanup
				defer func() { cleanup = before }()
				violations := run(on)
				// Without the mechanism, a violation shows only if routing happens to send requests to the affected target. A
				// target that was slow once on a busy machine may get no requests for a whole run, which then shows no violation.
				for runs := 1; !on && len(violations) == 0 && runs < maxRunsWithout; runs++ {
					violations = run(on)
				}
				t.Logf("%q", violations)
				if on {
					passes = passes && len(violations) == 0
				} else {
					fails = fails && len(violations) > 0
				}
			})
		}
	}
	if !fails || !passes || t.Failed() {
		t.Errorf("fails without the mechanism: %v, passes with it: %v", fails, passes)
	}
	fmt.Printf("PROOF promise=%q mechanism=%q fails-without=%v passes-with=%v cells=%d\n",
		p.promise, p.mechanism, fails, passes && !t.Failed(), len(p.cells))
}
