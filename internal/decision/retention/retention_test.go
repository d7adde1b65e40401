package retention_test

import (
	"testing"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/retention"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

var (
	policy = retention.Policy{Unseen: 2400 * time.Millisecond, Return: 2300 * time.Millisecond, LeaseProof: 2500 * time.Millisecond}
	start  = time.Unix(1000, 0)
)

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a chain of instances that take over from one another, each of which keeps a missing target for as long as the first (DRAIN).
func TestTakingOverDoesNotMakeAMissingTargetStay(t *testing.T) {
	var known directory.Absence
	var told directory.Absence
	for n := range 4 {
		confirmedAt := after(float64(n))
		reader := retention.Reader{Policy: policy}
		reader.TakeOver(confirmedAt)
		readAt := after(float64(n) + 0.9)
		reader.Succeed(readAt, readAt)
		absence, keep := reader.Missing(known, readAt)
		if want := readAt.Before(after(2.4)); keep != want {
			t.Errorf("reader %d: kept %t, want %t", n, keep, want)
		}
		// The next one has followed this one.
		told = retention.Told(&told, absence.Expired, confirmedAt, readAt)
		known = retention.Adopt(known, told, time.Time{}, readAt)
	}
}

// Guards against an instance that drops targets whose entries expired in an outage, while they register again (RECOVER).
func TestAnOutageMakesMissingTargetsStayUntilTheyCouldRegister(t *testing.T) {
	reader := retention.Reader{Policy: policy}
	reader.Succeed(after(0), after(0))
	reader.Fail(after(1))
	reader.Succeed(after(9), after(9))
	absence, keep := reader.Missing(directory.Absence{}, after(9))
	if !keep || !absence.Expired {
		t.Errorf("kept %t, expired %t after an outage", keep, absence.Expired)
	}
	// The next leader has not seen it.
	next := retention.Reader{Policy: policy}
	next.TakeOver(after(9))
	next.Succeed(after(10.5), after(10.5))
	known := retention.Told(nil, absence.Expired, after(9), after(9))
	for _, at := range []float64{10.5, 11.2, 11.4} {
		if _, keep := next.Missing(known, after(at)); keep != (at < 11.3) {
			t.Errorf("kept %t by the next leader at %v s", keep, at)
		}
	}
}

// Guards against a leader that alone was cut off from the store for less than its lease lasts, and takes that for an outage (DRAIN).
func TestALeaderThatKeptItsLeaseWasCutOffOrHasSeenAnOutage(t *testing.T) {
	for _, c := range []struct {
		away    float64
		expired bool
	}{{1.4, false}, {2.6, true}} {
		reader := retention.Reader{Policy: policy, Leads: true}
		reader.Succeed(after(0), after(0))
		reader.Fail(after(0.5))
		reader.Succeed(after(c.away), after(c.away))
		absence, _ := reader.Missing(directory.Absence{}, after(c.away))
		if absence.Expired != c.expired || !c.expired && !policy.Until(absence).Equal(after(2.4)) {
			t.Errorf("away for %v s: expired %t, kept until %v", c.away, absence.Expired, policy.Until(absence).Sub(start))
		}
	}
}

// Guards against a failed read that counts as an outage after other instances have read the registry since.
func TestAFailureBeforeOthersHaveReadTheRegistryIsNoOutage(t *testing.T) {
	reader := retention.Reader{Policy: policy}
	reader.Succeed(after(0), after(0))
	reader.Fail(after(1))
	reader.TakeOver(after(100))
	reader.Succeed(after(101), after(101))
	if absence, _ := reader.Missing(directory.Absence{}, after(101)); absence.Expired || !absence.RegisteredAt.Equal(after(100)) {
		t.Errorf("%+v", absence)
	}
}

// Guards against a target that is dropped by the clock although it may have registered since the registry was last read.
func TestATargetThatMayHaveRegisteredAgainIsNotDroppedWithoutARead(t *testing.T) {
	expired := directory.Absence{Missing: true, RegisteredAt: after(0), Expired: true, ReturnedAt: after(5)}
	if _, expires := policy.Expires(expired); expires || !policy.Keeps(expired, after(7), after(9)) || policy.Keeps(expired, after(7.4), after(9)) {
		t.Errorf("%+v", expired)
	}
	unseen := directory.Absence{Missing: true, RegisteredAt: after(0)}
	if at, expires := policy.Expires(unseen); !expires || !at.Equal(after(2.4)) || policy.Keeps(unseen, after(2), after(2.5)) {
		t.Errorf("%+v", unseen)
	}
}
