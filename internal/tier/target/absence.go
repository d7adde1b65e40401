package target

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

var errTargetAway = errors.New("the target wants no requests at present")

// recordAbsence records a response by which the target names a time, or shows that it is back. l.mu must be held.
func (l *Link) recordAbsence(result *Result, now time.Time) {
	l.absence.GiveBack()
	switch {
	case result.Status == http.StatusServiceUnavailable && result.Reply.RetryAfter > 0:
		until := now.Add(result.Reply.RetryAfter)
		later, began := l.absence.Refused(now, until)
		if !later {
			return
		}
		if began {
			l.pool.metrics.TargetSignal(context.Background(), "Away")
			l.pool.log.Log(event.TargetAway, "Target", l.id, "Service", l.service, "For", result.Reply.RetryAfter)
		}
		l.pool.extendLimited(until)
	case result.Success():
		l.absence.Succeeded(now)
	}
}

// away reports whether the target wants no requests at present.
func (l *Link) away(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.absence.Away(now) || l.isEvacuated()
}
