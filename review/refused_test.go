package review

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused"] = playRefused }

// playRefused sends requests that may run once at most. With trouble, the replica of the seven that has run most fails two in five of the
// requests that it runs from the fifth second on: it answers 503, and doesn't state that it has not run them. The rule is broken if a
// request that has run is answered 429, 503, 408 or 421.
func playRefused(s *site) (broken []string, err error) {
	var mu sync.Mutex
	ran, runs := make(map[string]string), make(map[*replica]int)
	var faulty *replica
	if err := s.startLotDesk("non_idempotent", 6000, func(_ int, r *replica) {
		r.ran = func(r *replica, id string, _ []byte) {
			mu.Lock()
			defer mu.Unlock()
			ran[id] = r.id
			runs[r]++
		}
		r.spoil = func(r *replica, id string, _ []byte, w *bufio.Writer) bool {
			mu.Lock()
			fails := r == faulty && rand.Float64() < 0.4
			mu.Unlock()
			if fails {
				s.record.line("replica %s has run %s and answers 503 without X-Not-Executed", r.id, id)
				r.write(w, http.StatusServiceUnavailable, id, nil, "X-Response-Stamp: "+r.stamp(id))
			}

			return fails
		}
	}); err != nil {
		return nil, err
	}
	if s.trouble {
		time.AfterFunc(5*time.Second, func() {
			mu.Lock()
			defer mu.Unlock()
			for _, r := range s.replicas {
				if faulty == nil || runs[r] > runs[faulty] {
					faulty = r
				}
			}
			s.record.line("replica %s begins to fail", faulty.id)
		})
	}
	s.traffic(60, 30*time.Second, onceRequest, func(q clientRequest, a clientAnswer) {
		mu.Lock()
		defer mu.Unlock()
		switch a.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if replica, ok := ran[q.id]; ok {
				broken = append(broken, fmt.Sprintf("%s was answered %d, and replica %s has run it", q.id, a.status, replica))
			}
		}
	})

	return broken, nil
}
