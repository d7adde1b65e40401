package review

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["spoiled"] = playSpoiled }

// playSpoiled sends requests that may run once at most. With trouble, three of seven replicas, the busiest of each zone, spoil two in a
// hundred of their answers from the fifth second on: the body has a Content-Encoding. The rule is broken if a client gets a success with a
// body that isn't the replica's whole body.
func playSpoiled(s *site) (broken []string, err error) {
	var mu sync.Mutex
	answers, runs, faulty := make(map[string][]byte), make(map[*replica]int), make(map[*replica]bool)
	if err := s.startLotDesk("non_idempotent", 6000, func(_ int, r *replica) {
		r.ran = func(r *replica, id string, answer []byte) {
			mu.Lock()
			defer mu.Unlock()
			answers[id] = answer
			runs[r]++
		}
		r.spoil = func(r *replica, id string, answer []byte, w *bufio.Writer) bool {
			mu.Lock()
			spoils := faulty[r] && rand.Float64() < 0.02
			mu.Unlock()
			if !spoils {
				return false
			}
			var spoiled bytes.Buffer
			encoder := gzip.NewWriter(&spoiled)
			_, _ = encoder.Write(answer)
			_ = encoder.Close()
			s.record.line("replica %s spoils its answer to %s", r.id, id)
			r.write(w, http.StatusOK, id, spoiled.Bytes(), "X-Response-Stamp: "+r.stamp(id), "Content-Encoding: gzip")

			return true
		}
	}); err != nil {
		return nil, err
	}
	if s.trouble {
		time.AfterFunc(5*time.Second, func() {
			mu.Lock()
			defer mu.Unlock()
			for _, zone := range zones {
				r := busiest(s.replicas, zone, runs)
				faulty[r] = true
				s.record.line("replica %s begins to spoil answers", r.id)
			}
		})
	}
	s.traffic(40, 30*time.Second, onceRequest, func(q clientRequest, a clientAnswer) {
		mu.Lock()
		defer mu.Unlock()
		if a.status/100 == 2 && a.err == nil && !bytes.Equal(a.body, answers[q.id]) {
			broken = append(broken, fmt.Sprintf("%s was answered %d with %d bytes that aren't the replica's body, Content-Encoding %q",
				q.id, a.status, len(a.body), a.header.Get("Content-Encoding")))
		}
	})

	return broken, nil
}
