package stage

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in of a server of the users. It runs maxConcurrency requests at once and queues some more.
type replica struct {
	env     *env
	id      string
	service string
	zone    string
	address string
	slots   int
	queue   int
	born    int64
	// work returns how long a request takes.
	work atomic.Int64
	body []byte
	// crash, if set, may end the replica as a request begins to run. It returns true if it has.
	crash   func(req *http.Request) bool
	dark    sync.Once
	silent  atomic.Bool // nothing is answered any more
	fillers []net.Conn

	slot     chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64
	sequence atomic.Int64
	state    atomic.Value // string
	stop     chan struct{}
	server   *http.Server
	listener net.Listener
}

func (e *env) newReplica(id, service, zone string, slots, queue int, work time.Duration) *replica {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	e.must(err)
	r := &replica{
		env: e, id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, queue: queue,
		slot: make(chan struct{}, slots), listener: l, stop: make(chan struct{}), born: time.Now().UnixMilli(),
	}
	r.work.Store(int64(work))
	r.state.Store("ready")
	r.server = &http.Server{Handler: r, IdleTimeout: 20 * time.Second}
	go r.server.Serve(l)
	r.write()
	go r.beat()

	return r
}

func (r *replica) write() time.Time {
	return r.env.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "maxConcurrency": r.slots,
		"state": r.state.Load(), "warmupLeftMs": 0, "sequence": r.sequence.Add(1), "born": r.born,
	})
}

func (r *replica) beat() {
	const interval = 1200 * time.Millisecond
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(interval):
			r.write()
		}
	}
}

// leave removes the entry without a report that the replica drains, and returns when the store has accepted that.
func (r *replica) leave() time.Time {
	close(r.stop)
	at := r.env.store.delete("servers/" + r.id)
	r.env.log(at, "store: accepted that the entry of %s is removed", r.id)

	return at
}

// exit ends the replica. Its connections end with it.
func (r *replica) exit() {
	r.env.note("replica: %s exits with %d requests running", r.id, r.running.Load())
	_ = r.server.Close()
}

// setState writes a state and returns when the store has accepted it.
func (r *replica) setState(state string) time.Time {
	r.state.Store(state)
	at := r.write()
	r.env.log(at, "store: accepted the report of %s: %s", r.id, state)

	return at
}

// arrival is a request that has reached a replica.
type arrival struct {
	at      time.Time
	replica string
	request string
	from    string
	tenant  string
	ran     bool
	status  int
}

func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	e := r.env
	if r.silent.Load() {
		r.hush()
	}
	a := &arrival{at: time.Now(), replica: r.id, request: req.Header.Get("X-Request-Id"), from: req.RemoteAddr, tenant: req.Header.Get("X-Tenant")}
	e.arrive(a)
	h := w.Header()
	h.Set("X-Request-Id", a.request)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", r.running.Load(), r.waiting.Load(), r.slots))
	h.Set("Keep-Alive", "timeout=10")
	_, _ = io.Copy(io.Discard, req.Body)
	if id := req.Header.Get("X-Expected-Instance"); id != r.id {
		h.Set("X-Not-Executed", "1")
		h.Set("X-Instance-Id", r.id)
		a.status = 421
		w.WriteHeader(421)

		return
	}
	left := 60 * time.Second
	if ms, err := strconv.Atoi(req.Header.Get("X-Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	deadline := time.After(left)
	if int(r.waiting.Add(1)) > r.queue && len(r.slot) == r.slots {
		r.waiting.Add(-1)
		h.Set("X-Not-Executed", "1")
		a.status = 503
		w.WriteHeader(503)

		return
	}
	select {
	case r.slot <- struct{}{}:
		r.waiting.Add(-1)
	case <-deadline:
		r.waiting.Add(-1)
		h.Set("X-Not-Executed", "1")
		a.status = 503
		w.WriteHeader(503)

		return
	case <-req.Context().Done():
		r.waiting.Add(-1)

		return
	}
	defer func() { <-r.slot }()
	r.running.Add(1)
	defer r.running.Add(-1)
	e.mu.Lock()
	a.ran = true
	e.mu.Unlock()
	if r.crash != nil && r.crash(req) {
		r.hush()
	}
	select {
	case <-time.After(time.Duration(r.work.Load())):
	case <-deadline:
		a.status = 504
		w.WriteHeader(504)

		return
	case <-req.Context().Done():
		return
	}
	if r.silent.Load() {
		r.hush()
	}
	a.status = 200
	h.Set("X-Response-Stamp", "st."+r.id+"."+a.request)
	data := r.body
	if data == nil {
		data = []byte(fmt.Sprintf("%-64s", r.id+" "+a.request))
	}
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(200)
	w.Write(data)
}

// hush keeps a request from being answered until the case has ended.
func (r *replica) hush() { select {} }
