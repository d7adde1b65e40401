// Package absence decides when a target that has refused a request, and has named a time to come back, gets requests again.
//
// It is designed for targets that shed load. While such a target is away, it gets nothing; the other replicas do. When the time has
// passed, all who have waited would come at once, so the target gets one request, and twice as many after each success:
//
//	var a absence.State
//	a.Refused(now, now.Add(2*time.Second))
//	a.Wait(now.Add(time.Second)) // one second
//
// A State is not safe for concurrent use.
package absence

import "time"

const (
	// returnLimit is the number of concurrent requests from which a target that has come back gets as many as any other.
	returnLimit = 16
	// returnWait is the time after which a request to a target that has come back, and has as many as it may get, is tried again.
	returnWait = 20 * time.Millisecond
)

// State is the time for which a target wants no requests of this instance, and how it comes back. The zero value is that of a target that
// has named none.
type State struct {
	until time.Time
	// allowed is the number of requests that may be under way after that, 0 if there is no limit, and taken the number of those that are.
	allowed int
	taken   int
}

// Wait returns the time until the target may get a request, 0 if it may get one now.
func (s *State) Wait(now time.Time) time.Duration {
	switch {
	case s.Away(now):
		return s.until.Sub(now)
	case s.allowed > 0 && s.taken >= s.allowed:
		return returnWait
	default:
		return 0
	}
}

// Away reports whether the target wants no requests at present.
func (s *State) Away(now time.Time) bool { return now.Before(s.until) }

// Take counts a request that may be sent. GiveBack ends that.
func (s *State) Take() {
	if s.allowed > 0 {
		s.taken++
	}
}

// GiveBack records the end of a request that Take has counted.
func (s *State) GiveBack() { s.taken = max(s.taken-1, 0) }

// Refused records that the target wants no requests until a time. It reports whether that is later than what the target has named before,
// and whether the target was not away until now.
func (s *State) Refused(now, until time.Time) (later, began bool) {
	if !until.After(s.until) {
		return false, false
	}
	began = !s.Away(now)
	s.until, s.allowed = until, 1

	return true, began
}

// Succeeded records a success of the target. One that has come back may then get more requests.
func (s *State) Succeeded(now time.Time) {
	if s.allowed == 0 || s.Away(now) {
		return
	}
	if s.allowed *= 2; s.allowed >= returnLimit {
		s.allowed, s.taken = 0, 0
	}
}

// Forget forgets the requests that are under way, which another connection to the target has taken.
func (s *State) Forget() { s.taken = 0 }
