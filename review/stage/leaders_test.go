package stage

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["leaders"] = leaders }

// leaders: the process that last wrote to the store under a condition is killed, and so is the one that takes over from it, while a replica
// leaves without a report that it drains.
func leaders(e *env) (bool, string) {
	const drain, stable = 3 * time.Second, 4 * time.Second
	r := e.newReplica("i-r", "lots", "za", 4, 16, 200*time.Millisecond)
	e.newReplica("i-s", "lots", "zb", 4, 16, 200*time.Millisecond)
	e.newReplica("i-t", "lots", "zc", 4, 16, 200*time.Millisecond)
	e.configure([]map[string]any{routeOf("lot", "/lot/", "non_idempotent", "lots", 2*time.Second)}, map[string]int{"lots": 40}, nil)
	e.startGateways("za", "zb", "zc", "za")
	time.Sleep(stable + 3*time.Second) // all machines are in touch
	stopped := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	replies := map[string]reply{}
	untouched := map[*gateway]bool{}
	for _, g := range e.gateways {
		untouched[g] = true
		for range 2 {
			clients.Go(func() {
				for {
					select {
					case <-stopped:
						return
					case <-time.After(50 * time.Millisecond):
					}
					mu.Lock()
					alive := untouched[g]
					mu.Unlock()
					if !alive {
						return
					}
					id := e.nextID("lot")
					answer := g.send("POST", host, "/lot/1", id, 2*time.Second, nil, "x=1")
					mu.Lock()
					replies[id] = answer
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(time.Second)
	kill := func(g *gateway) {
		mu.Lock()
		untouched[g] = false
		mu.Unlock()
		g.killAndRestart(2 * time.Second)
	}
	first, _ := e.writer()
	e.note("%s has last written to the store under a condition", first.name)
	if e.trouble {
		kill(first)
	}
	ack := r.leave()
	time.AfterFunc(drain+700*time.Millisecond, r.exit)
	if e.trouble {
		second := e.awaitWriter(first)
		e.note("%s has taken over", second.name)
		time.Sleep(200 * time.Millisecond)
		kill(second)
	}
	time.Sleep(time.Until(ack.Add(7 * time.Second)))
	close(stopped)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	late, lost := 0, 0
	last := time.Duration(0)
	for _, x := range e.arrivals {
		if x.replica != "i-r" || !untouched[e.taken[x.request]] || !x.at.After(ack.Add(drain)) {
			continue
		}
		late++
		last = max(last, x.at.Sub(ack))
		if answer := replies[x.request]; x.ran && answer.status != 200 {
			lost++
		}
	}

	return late > 0, fmt.Sprintf("%d requests taken by gateways that were never disturbed reached i-r later than drainMs after the ack, the last %.2f s after it; %d of them ran and were lost when i-r exited", late, last.Seconds(), lost)
}
