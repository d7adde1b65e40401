package standins

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

// playSpoiled sends requests that may run once at most. With trouble, half of the replicas spoil two in a hundred of their answers: the
// body has a Content-Encoding. The rule is broken if a client gets a success with a body that isn't the replica's whole body.
func playSpoiled(s *site) (broken []string, err error) {
	var mu sync.Mutex
	answers := make(map[string][]byte)
	if err := s.startLotDesk("non_idempotent", 6000, func(k int, r *replica) {
		r.faulty = s.trouble && k%2 == 1
		r.ran = func(_ *replica, id string, answer []byte) {
			mu.Lock()
			defer mu.Unlock()
			answers[id] = answer
		}
		r.spoil = func(r *replica, id string, answer []byte, w *bufio.Writer) bool {
			if !r.faulty || rand.Float64() >= 0.02 {
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
