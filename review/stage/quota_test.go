package stage

import (
	"fmt"
	"sync"
	"time"
)

const quotaBounds = defaultBounds + `strictRevocation = false
revokeMs = 5000
quotaWindowS = 5
quotaOverage = 0.1
quotaSlack = 20
`

func init() { cases["quota"] = quota }

// mostInWindow returns the largest number of requests that were sent and run in a window, and when that began.
func (e *env) mostInWindow(sent map[string]time.Time, window time.Duration) (most int, from time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, first := range e.arrivals {
		begin, n := sent[first.request], 0
		for _, x := range e.arrivals {
			if x.ran && !sent[x.request].Before(begin) && !x.at.After(begin.Add(window)) {
				n++
			}
		}
		if n > most {
			most, from = n, begin
		}
	}

	return most, from
}

// quota: all processes are killed and start again while a tenant sends more than its quota.
func quota(e *env) (bool, string) {
	const rate, burst, window = 10, 300, 5
	e.bounds = quotaBounds
	for k := range 4 {
		e.newReplica(fmt.Sprintf("i-%d", k), "lots", "za", 4, 16, 5*time.Millisecond)
	}
	e.configure([]map[string]any{routeOf("lot", "/lot/", "idempotent", "lots", 2*time.Second)}, map[string]int{"lots": 110}, []map[string]any{
		{"name": "acme", "apiKeys": []string{"key-acme-1"}, "priority": 1, "ratePerS": rate, "burst": burst},
	})
	e.startGateways("za", "zb", "zc")
	time.Sleep(12 * time.Second)
	sent := map[string]time.Time{}
	var mu sync.Mutex
	stopped := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			case <-time.After(3 * time.Millisecond):
			}
			clients.Go(func() {
				id := e.nextID("lot")
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				e.gateways[i%len(e.gateways)].send("GET", host, "/lot/1", id, 2*time.Second, map[string]string{"Authorization": "Token key-acme-1"}, "")
			})
		}
	})
	time.Sleep(2 * time.Second)
	if e.trouble {
		var all sync.WaitGroup
		for _, g := range e.gateways {
			all.Go(func() { g.killAndRestart(300 * time.Millisecond) })
		}
		all.Wait()
	}
	time.Sleep(8 * time.Second)
	close(stopped)
	clients.Wait()
	limit := float64(rate*window+burst)*1.1 + 20
	mu.Lock()
	defer mu.Unlock()
	most, from := e.mostInWindow(sent, window*time.Second)

	return float64(most) > limit, fmt.Sprintf("%d requests of the tenant were sent and run in %d s from %.2f; allowed are %.0f", most, window, from.Sub(e.start).Seconds(), limit)
}
