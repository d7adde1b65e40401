package stage

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["dark"] = dark }

// goDark makes the machine of a replica lose power: nothing that reaches it is answered any more, no connection is closed or reset, and new
// ones are not accepted.
func (r *replica) goDark() {
	r.dark.Do(func() {
		r.env.note("replica: %s goes dark", r.id)
		r.silent.Store(true)
		close(r.stop)
		listener := r.listener.(*net.TCPListener)
		raw, err := listener.SyscallConn()
		if err != nil {
			return
		}
		// With a full queue of new connections, the opening packets of others are dropped.
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
		for range 4 {
			if c, err := net.DialTimeout("tcp", r.address, 50*time.Millisecond); err == nil {
				r.fillers = append(r.fillers, c)
			}
		}
	})
}

// dark: a request crashes each replica that begins to run it, and its machine goes silent.
func dark(e *env) (bool, string) {
	const stable = 4 * time.Second
	var mu sync.Mutex
	var crashes []time.Time
	var start func(n int)
	started := 0
	start = func(n int) {
		for range n {
			mu.Lock()
			started++
			id := fmt.Sprintf("i-%d", started)
			zone := []string{"za", "zb", "zc"}[started%3]
			mu.Unlock()
			r := e.newReplica(id, "lots", zone, 4, 8, 160*time.Millisecond)
			r.crash = func(req *http.Request) bool {
				if !e.trouble || !strings.Contains(req.URL.Path, "poison") {
					return false
				}
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				r.goDark()
				time.AfterFunc(2500*time.Millisecond, func() { start(1) })
				time.AfterFunc(3600*time.Millisecond, func() { e.store.delete("servers/" + id) })

				return true
			}
		}
	}
	start(7)
	e.configure([]map[string]any{
		routeOf("lot", "/lot/", "idempotent", "lots", 6*time.Second), routeOf("job", "/job/", "non_idempotent", "lots", 6*time.Second),
	}, map[string]int{"lots": 110}, nil)
	e.startGateways("za", "zb", "zc")
	time.Sleep(stable + 2*time.Second)
	stopped := make(chan struct{})
	var clients sync.WaitGroup
	replies, sent := map[string]reply{}, map[string]time.Time{}
	request := func(g *gateway, method, path, label string) {
		id := e.nextID(label)
		mu.Lock()
		sent[id] = time.Now()
		mu.Unlock()
		answer := g.send(method, host, path, id, 6*time.Second, nil, "")
		mu.Lock()
		replies[id] = answer
		mu.Unlock()
	}
	every := func(d time.Duration, send func(i int)) {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				case <-time.After(d):
				}
				clients.Go(func() { send(i) })
			}
		})
	}
	every(100*time.Millisecond, func(i int) { request(e.gateways[i%3], "POST", fmt.Sprintf("/job/%d", i), "job") })
	time.Sleep(time.Second)
	every(1500*time.Millisecond, func(i int) { request(e.gateways[i%3], "GET", "/lot/poison", "poison") })
	time.Sleep(24 * time.Second)
	close(stopped)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(crashes) < 3 {
		return false, fmt.Sprintf("%d replicas crashed", len(crashes))
	}
	from := crashes[2].Add(stable)
	late, lost := 0, 0
	for _, x := range e.arrivals {
		if !x.ran || !sent[x.request].After(from) {
			continue
		}
		switch {
		case strings.HasPrefix(x.request, "poison"):
			late++
		case replies[x.request].status != 200:
			lost++
		}
	}

	return late > 3, fmt.Sprintf("the request reached replicas %d times, sent later than stableWindowMs after it had crashed the third; %d replicas crashed in all; %d other requests of that time had begun to run and were lost", late, len(crashes), lost)
}
