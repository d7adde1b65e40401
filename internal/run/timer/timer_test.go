package timer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

// Guards against an Err that waits for the end of the context, which blocks every part that polls it under a fake clock.
func TestErrOfFakeContextDoesNotWait(t *testing.T) {
	clock := clockwork.NewFakeClock()
	timers := timer.New(timer.WithClock(clock))
	ctx, cancel := timers.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := ctx.Err(); err != nil {
		t.Fatalf("a context with time left has error %v", err)
	}
	clock.Advance(time.Second)
	<-ctx.Done()
	if err := ctx.Err(); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("an expired context has error %v", err)
	}
}
