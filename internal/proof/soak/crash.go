package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/standin/operator"
	"github.com/hickorynotch/hickorynotch/internal/standin/replica"
)

const (
	// crashInterval is the mean time between two requests that crash the targets that run them.
	crashInterval = 700 * time.Millisecond
	// restartTime is the time after which a target that has crashed is back.
	restartTime = 2 * time.Second
	// listenTries and listenRetryDelay bound the time for which it then tries to listen.
	listenTries      = 20
	listenRetryDelay = 50 * time.Millisecond
	// crashesToBlock is the number of crashed targets after which the request may reach maxLateArrivals more, once stableTime has passed.
	crashesToBlock  = 3
	stableTime      = 5 * time.Second
	lateRequests    = 12
	maxLateArrivals = 3
)

// crashes counts the targets that requests have crashed.
type crashes struct {
	mu    sync.Mutex
	count int
	// failures are the errors of targets that could not be started again.
	failures []error
	// restarts are the restarts that have not ended. There are none once runEnded is closed.
	restarts sync.WaitGroup
	runEnded chan struct{}
}

// stop ends all restarts, so that no target takes a port of the next run.
func (c *crashes) stop() {
	close(c.runEnded)
	c.restarts.Wait()
}

func (c *crashes) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.count
}

func (c *crashes) failed() []error {
	c.mu.Lock()
	defer c.mu.Unlock()

	return slices.Clone(c.failures)
}

// end ends the process of a target, which is back after restartTime. Requests to it that are under way are lost.
func (c *crashes) end(b *backend) {
	c.mu.Lock()
	c.count++
	c.mu.Unlock()
	c.restarts.Go(func() {
		b.proxy.close()
		select {
		case <-time.After(restartTime):
		case <-c.runEnded:
			return
		}
		b.restarted.Store(time.Now().UnixNano())
		// The port may stay in use for a moment after it was closed.
		err := b.proxy.listen()
		for tries := 0; err != nil && tries < listenTries; tries++ {
			time.Sleep(listenRetryDelay)
			err = b.proxy.listen()
		}
		if err != nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.failures = append(c.failures, err)
		}
	})
}

// restartedAt returns when the process of the target last started again, the zero time if it has not.
func (b *backend) restartedAt() time.Time {
	if at := b.restarted.Load(); at != 0 {
		return time.Unix(0, at)
	}

	return time.Time{}
}

// sendCrashing sends the same request, which crashes each target that runs it, to random instances until ctx is done.
func (r *soakRun) sendCrashing(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.settings.Seed, 1))
	for n := 0; ctx.Err() == nil; n++ {
		r.sendOneCrashing(ctx, fmt.Sprintf("x%d-%d", r.settings.Seed, n), r.instances[random.IntN(len(r.instances))])
		sleep(ctx, crashInterval/2+time.Duration(random.Int64N(int64(crashInterval))))
	}
}

func (r *soakRun) sendOneCrashing(ctx context.Context, id string, i *instance) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+timeoutSlack)
	defer cancel()
	path := fmt.Sprintf("/page%s%d", replica.CrashSegment, r.settings.Seed)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.callerAddress.String()+path, nil)
	if err != nil {
		r.checker.report("%s: %v", id, err)

		return
	}
	request.Host = host
	operator.SetRequest(request.Header, id, requestTimeout)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		r.checker.report("%s: an answer to a request that no target answers", id)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		r.checker.mu.Lock()
		r.checker.refusedIDs = append(r.checker.refusedIDs, id)
		r.checker.mu.Unlock()
	}
}

// checkCrashing checks, when no fault has been for stableTime, that a request which has crashed several targets hardly reaches any.
func (r *soakRun) checkCrashing(ctx context.Context) {
	before := r.env.crashes.total()
	r.logf("requests have crashed %d targets", before)
	if before < crashesToBlock {
		return
	}
	if !sleep(ctx, stableTime) {
		return
	}
	before = r.env.crashes.total()
	for n := range lateRequests {
		r.sendOneCrashing(ctx, fmt.Sprintf("y%d-%d", r.settings.Seed, n), r.instances[n%len(r.instances)])
	}
	for _, err := range r.env.crashes.failed() {
		r.checker.report("a target that had crashed could not be started again: %v", err)
	}
	if arrivals := r.env.crashes.total() - before; arrivals > maxLateArrivals {
		r.checker.report("a request that had crashed %d targets reached %d more in %d arrivals", before, arrivals, lateRequests)
	}
}
