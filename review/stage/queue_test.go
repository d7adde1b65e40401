package stage

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["queue"] = queue }

// queue: requests wait for a connection to a replica that is replaced meanwhile.
func queue(e *env) (bool, string) {
	const drain = 3 * time.Second
	old := e.newReplica("i-old", "lots", "za", 2, 8, 800*time.Millisecond)
	e.configure([]map[string]any{routeOf("lot", "/lot/", "non_idempotent", "lots", 6*time.Second)}, map[string]int{"lots": 8}, nil)
	e.startGateways("za", "zb")
	time.Sleep(7 * time.Second) // all machines are in touch
	var clients sync.WaitGroup
	var mu sync.Mutex
	replies := map[string]reply{}
	for i := range 14 {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			id := e.nextID("lot")
			answer := e.gateways[0].send("POST", host, "/lot/1", id, 6*time.Second, nil, "x=1")
			mu.Lock()
			replies[id] = answer
			mu.Unlock()
		})
	}
	time.Sleep(1500 * time.Millisecond)
	e.newReplica("i-new", "lots", "za", 2, 8, 160*time.Millisecond)
	e.note("replica: i-new starts, beside i-old")
	time.Sleep(100 * time.Millisecond)
	var ack time.Time
	if e.trouble {
		ack = old.setState("draining")
		time.AfterFunc(drain+600*time.Millisecond, func() {
			old.leave()
			old.exit()
		})
	}
	clients.Wait()
	if !e.trouble {
		return false, "no replica drains"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	late, lost := 0, 0
	var first time.Duration
	for _, x := range e.arrivals {
		if x.replica != "i-old" || !x.at.After(ack.Add(drain)) {
			continue
		}
		if late++; late == 1 {
			first = x.at.Sub(ack)
		}
		if x.ran && replies[x.request].status != 200 {
			lost++
		}
	}

	return late > 0, fmt.Sprintf("%d requests reached i-old later than drainMs after the ack, the first %.2f s after it; %d of them ran and were lost when i-old exited", late, first.Seconds(), lost)
}
