package timer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

// Guards against an Err that blocks until the context is done, as in clockwork v0.5.0: under a fake clock it would block every
// component that polls Err.
func TestErrOfFakeContextDoesNotWait(t *testing.T) {
	clock := clockwork.NewFakeClock()
	timers := timer.New(timer.WithClock(clock))
	ctx, cancel := timers.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := ctx.Err(); err != nil {
		t.Fatalf("Err returned %v before the deadline, want nil", err)
	}
	clock.Advance(time.Second)
	<-ctx.Done()
	if err := ctx.Err(); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("Err returned %v after the deadline, want context.DeadlineExceeded", err)
	}
}
