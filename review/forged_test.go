package review

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// forgedKey is a key of 198 bytes. A key of the store may have 200.
var forgedKey = "servers/i-" + strings.Repeat("0", 188)

func init() { cases["forged"] = playForged }

// playForged sends requests to a service of seven replicas, three of which, the busiest of each zone, report that they drain and go on
// serving. With trouble, another writer has written an entry three seconds before, for a service that isn't named, under a long key. The
// rule is broken if a request that was sent later than drainMs after the ack of a report reaches that replica.
func playForged(s *site) (broken []string, err error) {
	if err := s.startLotDesk("idempotent", 6000, func(int, *replica) {}); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	acks := make(map[*replica]time.Time)
	arrivals := make(map[*replica]int)
	for _, r := range s.replicas {
		r.arrived = func(r *replica, request *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			arrivals[r]++
			id := request.Header.Get("X-Request-Id")
			ack, drains := acks[r]
			if late := s.sentAt(id).Sub(ack); drains && late > drainBound {
				broken = append(broken, fmt.Sprintf("%s reached %s, sent %.3f s after the ack of its draining", id, r.id, late.Seconds()))
			}
		}
	}
	drained := make(chan error, 1)
	go func() {
		var err error
		time.Sleep(4 * time.Second)
		if s.trouble {
			s.record.line("another writer writes %s", forgedKey)
			err = s.store.put(forgedKey, map[string]any{
				"service": "no-such-service", "address": s.network + ".250:9", "zone": zones[0], "version": "v1", "maxConcurrency": 2,
				"state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
			})
		}
		time.Sleep(3 * time.Second)
		for _, zone := range zones {
			mu.Lock()
			r := busiest(s.replicas, zone, arrivals)
			mu.Unlock()
			if drainErr := r.drain(); drainErr != nil {
				err = drainErr
			}
			mu.Lock()
			acks[r] = time.Now()
			mu.Unlock()
		}
		drained <- err
	}()
	s.traffic(60, 25*time.Second, func(int) clientRequest {
		return clientRequest{method: http.MethodGet, path: "/lot/2f", limit: 6 * time.Second}
	}, nil)
	if err := <-drained; err != nil {
		return nil, err
	}
	mu.Lock()
	defer mu.Unlock()

	return broken, nil
}
