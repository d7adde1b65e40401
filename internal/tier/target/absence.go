package target

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

const (
	// returnLimit is the number of concurrent requests from which a target that has come back gets as many as any other. Until then, each
	// success doubles the number that it may get.
	returnLimit = 16
	// returnWait is the time after which a request to a target that has come back, and has as many as it may get, is tried again.
	returnWait = 20 * time.Millisecond
)

var errTargetAway = errors.New("the target wants no requests at present")

// absence is the time for which a target wants no requests of this instance. The zero value is that of a target that has named none.
type absence struct {
	until time.Time
	// allowed is the number of requests that may be under way after that, 0 if there is no limit, and taken the number of those that are.
	allowed int
	taken   int
}

// wait returns the time until the target may get a request, 0 if it may get one now.
func (a *absence) wait(now time.Time) time.Duration {
	switch {
	case now.Before(a.until):
		return a.until.Sub(now)
	case a.allowed > 0 && a.taken >= a.allowed:
		return returnWait
	default:
		return 0
	}
}

// take counts a request that may be sent. giveBack ends that.
func (a *absence) take() {
	if a.allowed > 0 {
		a.taken++
	}
}

func (a *absence) giveBack() { a.taken = max(a.taken-1, 0) }

// recordAbsence records a response by which the target names a time, or shows that it is back. l.mu must be held.
func (l *Link) recordAbsence(result *Result, now time.Time) {
	a := &l.absence
	a.giveBack()
	switch {
	case result.Status == http.StatusServiceUnavailable && result.Reply.RetryAfter > 0:
		until := now.Add(result.Reply.RetryAfter)
		if !until.After(a.until) {
			return
		}
		if !now.Before(a.until) {
			l.pool.metrics.TargetSignal(context.Background(), "Away")
			l.pool.log.Log(event.TargetAway, "Target", l.id, "Service", l.service, "For", result.Reply.RetryAfter)
		}
		a.until, a.allowed = until, 1
		l.pool.extendLimited(until)
	case result.Success() && a.allowed > 0 && !now.Before(a.until):
		if a.allowed *= 2; a.allowed >= returnLimit {
			a.allowed, a.taken = 0, 0
		}
	}
}

// away reports whether the target wants no requests at present.
func (l *Link) away(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return now.Before(l.absence.until)
}
