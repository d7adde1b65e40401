// Package reachability decides whether an instance has lost connectivity to all targets.
//
// A partition between an instance and the targets looks like the failure of each target by itself: connections hang, are reset, or live on
// while new ones are refused. Targets also crash, pause and hang, many at a time, and must not be mistaken for a partition. So failures and
// silence only raise the suspicion. The instance then opens connections to several other targets, those first that it has heard of last,
// and has lost connectivity if none of them can be opened:
//
//	m.Failed("a", reachability.Refused, began, now)
//	m.Failed("b", reachability.Refused, began, now) // the second failure in a row
//	n, _ := m.Probes(now, len(targets))              // 3
//	m.Probed(reachability.Round{Refused: 3}, now)
//	m.State()                                        // NoNewConnections
//
// While connectivity is lost, it probes two targets at a time until one accepts a connection again. A Monitor is not safe for concurrent use.
package reachability

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Silence is the time without any sign of a target, while one is overdue with its response, after which connectivity is checked. It exceeds the
	// round trip between regions several times.
	Silence = 150 * time.Millisecond
	// ProbeTimeout is the time limit of a probe. A target accepts a connection from another region in 30 ms.
	ProbeTimeout = 150 * time.Millisecond
	// probeInterval is the time between two rounds of probes, and confirmInterval that between two rounds that confirm one suspicion.
	probeInterval   = 250 * time.Millisecond
	confirmInterval = 200 * time.Millisecond
	// confirmingRounds is the number of rounds that confirm that no target accepts a connection while open ones still work: after a crash of
	// most targets, one round may meet crashed ones only.
	confirmingRounds = 2
	// ageStep is the resolution of the time since a target was heard, by which targets are chosen for probes.
	ageStep = 100 * time.Millisecond
	// suspectedTargets is the number of different targets that must fail, without a connection to any being opened, to raise the suspicion.
	suspectedTargets = 2
	// repeatedFailures is the number of failures of one target alone that raise it, at most once in repeatedInterval: the requests of an
	// instance may all be for one target.
	repeatedFailures = 2
	repeatedInterval = time.Second
	// failureLifetime is the time for which the failure of a target counts.
	failureLifetime = 3 * time.Second
	// confirmingProbes and returningProbes are the numbers of targets that are probed to confirm the suspicion, and to end it.
	confirmingProbes = 3
	returningProbes  = 2
	// minimumTargets is the number of targets below which a partition cannot be told from targets that fail.
	minimumTargets = 2
	// relapseTime is the time within which a second loss of connectivity makes the next return take one more round of probes, up to maxRelapses.
	relapseTime = 5 * time.Second
	maxRelapses = 3
)

// State is what an instance can reach.
type State int

// The values of State.
const (
	// Reachable means that targets can be reached, as far as is known.
	Reachable State = iota
	// NoNewConnections means that no target accepts a connection. Open ones may still work.
	NoNewConnections
	// Unreachable means that no target answers on any connection.
	Unreachable
)

// String returns the name of the state in logs.
func (s State) String() string { return [...]string{"Reachable", "NoNewConnections", "Unreachable"}[s] }

// Cause is how a connection to a target failed.
type Cause int

// The values of Cause.
const (
	// Refused means that the target refused a new connection.
	Refused Cause = iota
	// TimedOut means that a new connection was not accepted in time.
	TimedOut
	// Lost means that an open connection was reset or closed before the response.
	Lost
)

// Monitor holds the signs of the targets. The zero value is that of an instance that reaches them.
type Monitor struct {
	state State
	// heardAt is when a target last gave any sign, and openedAt when a connection was last opened.
	heardAt, openedAt time.Time
	// failed are the targets that have failed since a connection was last opened.
	failed map[string]time.Time
	// failures is the number of their failures, and passedAt when a check last found connectivity.
	failures int
	passedAt time.Time
	// broken is set if open connections were lost, or are silent, since a target was last heard.
	broken bool
	// checking is set while a suspicion is to be confirmed, and probing while probes are under way.
	checking, probing bool
	probedAt          time.Time
	// refusedRounds is the number of rounds in a row in which all targets refused a connection and others were heard.
	refusedRounds int
	// relapses is the number of recent returns after which connectivity was lost again, returnedAt the last one, and goodRounds the number of
	// rounds in a row in which a target was reached.
	relapses   int
	returnedAt time.Time
	goodRounds int
}

// Round is the result of the probes of a round. A probe that was given up, for a reason that says nothing about connectivity, counts as neither.
type Round struct {
	// Began is when the probes were sent.
	Began    time.Time
	Opened   int
	Refused  int
	TimedOut int
}

// State returns the state.
func (m *Monitor) State() State { return m.state }

// Suspected reports whether probes may be due.
func (m *Monitor) Suspected() bool { return m.state != Reachable || m.checking }

// HeardAt returns when a target last gave any sign.
func (m *Monitor) HeardAt() time.Time { return m.heardAt }

// OpenedAt returns when a connection to a target was last opened.
func (m *Monitor) OpenedAt() time.Time { return m.openedAt }

// Failures returns the number of targets that have failed since a connection was last opened.
func (m *Monitor) Failures() int { return len(m.failed) }

// Heard records that a target has sent something on an open connection.
func (m *Monitor) Heard(now time.Time) {
	m.heardAt, m.broken = now, false
	if m.state == Unreachable {
		m.enter(NoNewConnections)
	}
}

// Opened records that a target has accepted a connection.
func (m *Monitor) Opened(now time.Time) {
	m.Heard(now)
	m.openedAt = now
	if m.state == Reachable {
		m.pass(now)
	}
}

// pass ends a suspicion, because there is connectivity.
func (m *Monitor) pass(now time.Time) {
	clear(m.failed)
	m.failures, m.refusedRounds, m.checking, m.passedAt = 0, 0, false, now
}

// Failed records that a connection to a target has failed that was opened, or tried, at the time began.
func (m *Monitor) Failed(target string, cause Cause, began, now time.Time) {
	if cause == TimedOut && m.heardAt.After(began) {
		// Other targets are heard, so the packets of this one are not lost on the path that all share.
		return
	}
	if m.failed == nil {
		m.failed = make(map[string]time.Time)
	}
	for known, at := range m.failed {
		if now.Sub(at) > failureLifetime {
			delete(m.failed, known)
		}
	}
	m.failed[target] = now
	m.failures++
	m.broken = m.broken || cause == Lost
	if len(m.failed) >= suspectedTargets || m.failures >= repeatedFailures && now.Sub(m.passedAt) >= repeatedInterval {
		m.checking = true
	}
}

// Silent records that the response of a target is overdue. It raises the suspicion if no target was heard for the time Silence.
func (m *Monitor) Silent(now time.Time) {
	if now.Sub(m.heardAt) < Silence {
		return
	}
	m.checking, m.broken = true, true
	if m.state == NoNewConnections {
		m.enter(Unreachable)
	}
}

// Probes returns the number of targets to probe now, and the time after which that may change without another sign, 0 if it does not. known
// is the number of targets that can be probed. The result of the probes is due before the next call returns a number again.
func (m *Monitor) Probes(now time.Time, known int) (n int, wait time.Duration) {
	if m.probing || known < minimumTargets || !m.Suspected() {
		return 0, 0
	}
	interval := probeInterval
	if m.state == Reachable && m.refusedRounds > 0 {
		interval = confirmInterval
	}
	if left := m.probedAt.Add(interval).Sub(now); left > 0 && !m.probedAt.IsZero() {
		return 0, left
	}
	m.probing, m.probedAt = true, now
	if m.state == Reachable {
		return min(confirmingProbes, known), 0
	}

	return min(returningProbes, known), 0
}

// Probed records the result of a round of probes. It reports whether the state has changed.
func (m *Monitor) Probed(r Round, now time.Time) (changed bool) {
	m.probing = false
	before := m.state
	timedOut := r.TimedOut
	if m.heardAt.After(r.Began) && r.Opened == 0 {
		timedOut = 0
	}
	switch {
	case m.state != Reachable && r.Opened > 0:
		if m.goodRounds++; m.goodRounds > m.relapses {
			m.enter(Reachable)
			m.returnedAt = now
		}
	case m.state != Reachable:
		m.goodRounds = 0
	case r.Opened > 0 || r.Refused+timedOut < minimumTargets:
		m.pass(now)
	case timedOut == 0 && now.Sub(m.heardAt) < Silence && m.refusedRounds+1 < confirmingRounds:
		m.refusedRounds++
	default:
		m.lose(timedOut > 0 || m.broken, now)
	}

	return m.state != before
}

// lose enters the state of lost connectivity.
func (m *Monitor) lose(open bool, now time.Time) {
	m.goodRounds, m.refusedRounds = 0, 0
	if !m.returnedAt.IsZero() && now.Sub(m.returnedAt) < relapseTime {
		m.relapses = min(m.relapses+1, maxRelapses)
	} else {
		m.relapses = 0
	}
	if open {
		m.enter(Unreachable)
	} else {
		m.enter(NoNewConnections)
	}
}

func (m *Monitor) enter(s State) {
	m.state = s
	if s == Reachable {
		clear(m.failed)
		m.failures, m.checking, m.broken = 0, false, false
	}
}

// Target is a target that can be probed.
type Target struct {
	ID               string
	AvailabilityZone string
	// HeardAt is when the target last responded, zero if it never did.
	HeardAt time.Time
	// Order varies between instances and rounds, so that probes are spread over the targets.
	Order uint32
}

// Choose returns the indexes of the n targets to probe: targets of different availability zones that have not failed, those first that were
// heard last. Such a target lives, unless it has ended since.
func (m *Monitor) Choose(targets []Target, n int, now time.Time) (chosen []int) {
	order := make([]int, len(targets))
	for i := range order {
		order[i] = i
	}
	// Targets that were heard within the same ageStep are equal, so that not all instances probe the same ones.
	age := func(t *Target) int { return int(min(now.Sub(t.HeardAt), failureLifetime) / ageStep) }
	hasFailed := func(t *Target) int {
		if _, ok := m.failed[t.ID]; ok {
			return 1
		}

		return 0
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := &targets[a], &targets[b]

		return cmp.Or(cmp.Compare(hasFailed(x), hasFailed(y)), cmp.Compare(age(x), age(y)), cmp.Compare(x.Order, y.Order),
			cmp.Compare(x.ID, y.ID))
	})
	zones := make(map[string]bool)
	for _, distinct := range []bool{true, false} {
		for _, i := range order {
			if len(chosen) == n {
				return chosen
			}
			if slices.Contains(chosen, i) || distinct && (zones[targets[i].AvailabilityZone] || hasFailed(&targets[i]) > 0) {
				continue
			}
			zones[targets[i].AvailabilityZone] = true
			chosen = append(chosen, i)
		}
	}

	return chosen
}
