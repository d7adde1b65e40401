package review

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	pageShards = 8
	longBody   = 40000
)

func init() { cases["body"] = playBody }

// playBody sends queries over many shards, every second one with a long body. With trouble, half of the replicas reject two in a hundred
// of the long requests before the body is in, keep the connection and read on. The rule is broken if a replica gets other bytes where the
// rest of that body is due.
func playBody(s *site) (broken []string, err error) {
	if err := s.start(3); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var shards []string
	for k := range pageShards {
		service := fmt.Sprintf("seconds-browser-%d", k)
		shards = append(shards, service)
		for _, zone := range zones[:2] {
			r := &replica{
				service: service, zone: zone, slots: 2, queue: 12, maxConnections: 26, work: 5 * time.Millisecond, records: 60,
				faulty: s.trouble && k%2 == 0,
				wrongBytes: func(r *replica, request *http.Request, got []byte) {
					mu.Lock()
					defer mu.Unlock()
					broken = append(broken, fmt.Sprintf("replica %s got %q where the body of %s is due", r.id, got[:min(len(got), 150)],
						request.Header.Get("X-Request-Id")))
				},
			}
			if r.faulty {
				r.early = func(_ *replica, request *http.Request) bool {
					return request.ContentLength >= longBody && rand.Float64() < 0.02
				}
			}
			if err := s.addReplica(r); err != nil {
				return nil, err
			}
		}
	}
	if err := s.configure(1, map[string]any{
		"name": "r-zqghvik", "hostname": host, "prefix": "/page/", "type": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 200,
		"priority": 1, "gather": shards, "maxAttempts": 2, "topK": 50, "minCoverage": 0.75,
	}); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	s.traffic(40, 30*time.Second, func(k int) clientRequest {
		q := clientRequest{method: http.MethodGet, path: "/page/2f", limit: 2 * time.Second}
		if k%2 == 1 {
			q.method, q.bodyBytes = http.MethodPost, longBody
		}

		return q
	}, nil)
	mu.Lock()
	defer mu.Unlock()

	return broken, nil
}
