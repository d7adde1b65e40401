package review

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const host = "pupu76.example"

// clientRequest is a request of a client, one attempt.
type clientRequest struct {
	id        string
	method    string
	path      string
	bodyBytes int
	limit     time.Duration
	at        time.Time
}

// onceRequest is a request that may run once at most.
func onceRequest(int) clientRequest {
	return clientRequest{method: http.MethodPost, path: "/lot/2f", bodyBytes: 200, limit: 6 * time.Second}
}

// clientAnswer is what a client got. The status is 0 if there was no answer.
type clientAnswer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request to an instance and records the answer.
func (s *site) send(i *instance, q clientRequest) (a clientAnswer) {
	request, err := http.NewRequest(q.method, "http://"+i.front+q.path, bytes.NewReader(clientBody(q.id, q.bodyBytes)))
	if err != nil {
		return clientAnswer{err: err}
	}
	request.Host = host
	request.Header.Set("X-Request-Id", q.id)
	request.Header.Set("X-Deadline-Ms", strconv.Itoa(int(q.limit.Milliseconds())))
	s.sent.Store(q.id, time.Now())
	s.record.line("client sends %s %s %s to %s, %d bytes", q.id, q.method, q.path, i.name, q.bodyBytes)
	client := *i.client
	client.Timeout = q.limit
	response, err := client.Do(request)
	if err != nil {
		s.record.line("client gets no answer to %s: %v", q.id, err)

		return clientAnswer{err: err}
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	s.record.line("client gets %d to %s, stamp %q, parts missing %q, %d bytes, error %v", a.status, q.id,
		a.header.Get("X-Response-Stamp"), a.header.Get("X-Missing-Parts"), len(a.body), a.err)

	return a
}

// sentAt returns when a request was sent, the zero time if it was not.
func (s *site) sentAt(id string) time.Time {
	at, ok := s.sent.Load(id)
	if !ok {
		return time.Time{}
	}

	return at.(time.Time)
}

// traffic sends requests made by next, perSecond of them for the given time, to the instances in turn, and calls got with each answer. It
// returns when all have ended, and records how many answers of each status there were.
func (s *site) traffic(perSecond float64, d time.Duration, next func(k int) clientRequest, got func(clientRequest, clientAnswer)) {
	var pending sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for k, began := 0, time.Now(); time.Since(began) < d; k++ {
		<-ticker.C
		q, i := next(k), s.instances[k%len(s.instances)]
		q.id, q.at = newID(), time.Now()
		pending.Go(func() {
			a := s.send(i, q)
			mu.Lock()
			defer mu.Unlock()
			counts[fmt.Sprintf("%s %d", q.method, a.status)]++
			if got != nil {
				got(q, a)
			}
		})
	}
	pending.Wait()
	s.record.line("answers by method and status, 0 for none: %v", counts)
}
