package review

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// replica is a stand-in of a replica, as PROTOCOL.md describes them.
type replica struct {
	site           *site
	id             string
	service        string
	zone           string
	address        string
	slots          int
	queue          int
	maxConnections int
	work           time.Duration
	records        int
	faulty         bool

	// arrived, if set, is called with each request that arrives for this replica, and ran with each that has run, with its whole answer.
	arrived func(r *replica, request *http.Request)
	ran     func(r *replica, id string, answer []byte)
	// early, if set, reports whether a request is rejected before its body is in.
	early func(r *replica, request *http.Request) bool
	// spoil, if set, may write other bytes than the answer to a request that has run. It reports whether it has.
	spoil func(r *replica, id string, answer []byte, w *bufio.Writer) bool
	// wrongBytes, if set, is called with the bytes that came where a body was due, if they are not of that body.
	wrongBytes func(r *replica, request *http.Request, got []byte)

	waiting  atomic.Int64
	running  chan struct{}
	sequence atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	born     time.Time
	draining bool
	down     bool
	ended    bool
	conns    map[net.Conn]bool
}

// addReplica starts a replica that registers itself until the case ends.
func (s *site) addReplica(r *replica) (err error) {
	r.site, r.born, r.conns, r.running = s, time.Now(), make(map[net.Conn]bool), make(chan struct{}, r.slots)
	r.id = fmt.Sprintf("i-%08x", rand.Uint32())
	for range 20 {
		r.address = fmt.Sprintf("%s.%d:%d", s.network, 100+len(s.replicas), 30000+rand.IntN(2000))
		if r.listener, err = net.Listen("tcp", r.address); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	s.replicas = append(s.replicas, r)
	s.record.line("replica %s of %s in %s, faulty %v", r.id, r.service, r.zone, r.faulty)
	if err := r.register(); err != nil {
		return err
	}
	go r.accept(r.listener)
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				_ = r.register()
			case <-s.stopping:
				return
			}
		}
	}()

	return nil
}

// register writes the entry of the replica, unless it is down.
func (r *replica) register() error {
	r.mu.Lock()
	born, draining, down := r.born, r.draining, r.down
	r.mu.Unlock()
	if down {
		return nil
	}
	state := "ready"
	if draining {
		state = "draining"
	}

	return r.site.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "maxConcurrency": r.slots, "state": state,
		"warmupLeftMs": 0, "sequence": r.sequence.Add(1), "born": born.UnixMilli(),
	})
}

// drain reports that the replica leaves. It goes on serving.
func (r *replica) drain() error {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	err := r.register()
	r.site.record.line("replica %s reports draining", r.id)

	return err
}

// crash ends the process of the replica: its connections are reset, and new ones are refused until it is back, as a new boot.
func (r *replica) crash(d time.Duration) {
	r.site.record.line("replica %s crashes", r.id)
	r.mu.Lock()
	r.down = true
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	r.mu.Unlock()
	time.Sleep(d)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		r.site.record.line("replica %s cannot start: %v", r.id, err)

		return
	}
	r.listener, r.down, r.born = l, false, time.Now()
	r.sequence.Store(0)
	go r.accept(l)
	r.site.record.line("replica %s is back", r.id)
}

// end ends the replica with the case.
func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *replica) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.ended || r.down || len(r.conns) >= r.maxConnections {
			r.mu.Unlock()
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()

			continue
		}
		r.conns[c] = true
		r.mu.Unlock()
		go func() {
			r.serve(c)
			_ = c.Close()
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
		}()
	}
}

// connectionIdleTime is the time after which an idle connection is closed.
const connectionIdleTime = 10 * time.Second

// serve answers the requests on a connection, one after the other.
func (r *replica) serve(c net.Conn) {
	reader, w := bufio.NewReader(c), bufio.NewWriter(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(connectionIdleTime))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		keep := r.answer(request, w, c)
		if w.Flush() != nil || !keep {
			return
		}
	}
}

// answer answers a request. It reports whether the connection is kept.
func (r *replica) answer(request *http.Request, w *bufio.Writer, c net.Conn) (keep bool) {
	id, limit := request.Header.Get("X-Request-Id"), timeLimit(request)
	switch expected := request.Header.Get("X-Expected-Instance"); {
	case request.URL.Path == "/health":
		r.write(w, http.StatusOK, "", nil, "X-Instance-Id: "+r.id)

		return true
	case expected != "" && expected != r.id:
		r.write(w, http.StatusMisdirectedRequest, id, nil, "X-Instance-Id: "+r.id, "Connection: close")

		return false
	}
	if r.arrived != nil {
		r.arrived(r, request)
	}
	if r.early != nil && r.early(r, request) {
		r.site.record.line("replica %s rejects %s %s %s before its %d bytes are in", r.id, id, request.Method,
			request.URL.Path, request.ContentLength)
		r.write(w, http.StatusServiceUnavailable, id, nil, "X-Not-Executed: 1")
		if w.Flush() != nil {
			return false
		}

		return r.readBody(request, c, connectionIdleTime) == nil
	}
	if err := r.readBody(request, c, limit); err != nil {
		r.site.record.line("replica %s has not got the body of %s within its time limit", r.id, id)

		return false
	}
	if !r.admit(limit) {
		r.write(w, http.StatusServiceUnavailable, id, nil, "X-Not-Executed: 1")

		return true
	}
	defer func() { <-r.running }()
	r.site.record.line("replica %s runs %s %s %s", r.id, id, request.Method, request.URL.Path)
	if dropped := r.toil(c); dropped {
		r.site.record.line("replica %s drops %s, whose connection is closed", r.id, id)

		return false
	}
	answer := r.wholeAnswer(id)
	if r.ran != nil {
		r.ran(r, id, answer)
	}
	if r.spoil == nil || !r.spoil(r, id, answer, w) {
		r.write(w, http.StatusOK, id, answer, "X-Response-Stamp: "+r.stamp(id))
	}

	return true
}

// readBody reads the body of a request. The body of a client's request repeats its ID, so that other bytes are noticed.
func (r *replica) readBody(request *http.Request, c net.Conn, limit time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	body, err := io.ReadAll(request.Body)
	if due := clientBody(request.Header.Get("X-Request-Id"), int(request.ContentLength)); !bytes.HasPrefix(due, body) {
		if r.wrongBytes != nil {
			r.wrongBytes(r, request, body)
		}
	}

	return err
}

// admit waits for a slot. It reports false if the queue is full or the time limit passes.
func (r *replica) admit(limit time.Duration) bool {
	defer r.waiting.Add(-1)
	if r.waiting.Add(1) > int64(r.queue) {
		return false
	}
	select {
	case r.running <- struct{}{}:
		return true
	case <-time.After(limit):
		return false
	}
}

// toil takes the time of a request. It reports whether the connection was closed meanwhile.
func (r *replica) toil(c net.Conn) (dropped bool) {
	for until := time.Now().Add(r.work); time.Now().Before(until); {
		time.Sleep(min(5*time.Millisecond, time.Until(until)))
		if isClosed(c) {
			return true
		}
	}

	return false
}

// isClosed reports whether the other side has closed a connection.
func isClosed(c net.Conn) (closed bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err == nil && n == 0 || err != nil && !errors.Is(err, syscall.EAGAIN)

		return true
	})

	return closed || err != nil
}

// stamp is the digest by which clients know which replica answered which request.
func (r *replica) stamp(id string) string { return r.id + "." + id }

// wholeAnswer is the replica's answer to a request: records that depend on the service and the request.
func (r *replica) wholeAnswer(id string) (body []byte) {
	for k := range r.records {
		h := fnv.New128a()
		_, _ = fmt.Fprintf(h, "%d/%s/%s", k, r.service, id)
		body = h.Sum(body)
	}

	return body
}

// write writes an answer, with the load of the replica.
func (r *replica) write(w *bufio.Writer, status int, id string, body []byte, headers ...string) {
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if id != "" {
		fmt.Fprintf(w, "X-Request-Id: %s\r\n", id)
	}
	fmt.Fprintf(w, "X-Server-Load: %d,%d,%d\r\n", len(r.running), r.waiting.Load(), r.slots)
	_, _ = w.WriteString(strings.Join(headers, "\r\n") + "\r\n\r\n")
	_, _ = w.Write(body)
}

func timeLimit(request *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(request.Header.Get("X-Deadline-Ms"), 64)
	if err != nil {
		return 2 * time.Second
	}

	return time.Duration(ms * float64(time.Millisecond))
}

// clientBody returns the body of a client's request: its ID, again and again.
func clientBody(id string, size int) []byte {
	if size <= 0 || id == "" {
		return nil
	}

	return bytes.Repeat([]byte(id), size/len(id)+1)[:size]
}

// busiest returns the replica of a zone that has the highest count.
func busiest(replicas []*replica, zone string, counts map[*replica]int) (most *replica) {
	for _, r := range replicas {
		if r.zone == zone && (most == nil || counts[r] > counts[most]) {
			most = r
		}
	}

	return most
}
