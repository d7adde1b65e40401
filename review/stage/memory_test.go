package stage

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// residentMB returns the resident memory of the process of a gateway, 0 if it has ended.
func (g *gateway) residentMB() int {
	g.mu.Lock()
	pid := g.cmd.Process.Pid
	g.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "VmRSS:") {
			kb, _ := strconv.Atoi(strings.Fields(line)[1])

			return kb / 1024
		}
	}

	return 0
}

func init() { cases["memory"] = memory }

// memory: clients send bodies at the limit, and not beyond it, to a route that gathers.
func memory(e *env) (bool, string) {
	const shards, clients, limitMB = 90, 200, 136
	e.smallest, e.brief = true, true
	services := map[string]int{}
	var names []string
	for i := range shards {
		s := fmt.Sprintf("shard%02d", i)
		names = append(names, s)
		services[s] = 84
		for k := range 2 {
			r := e.newReplica(fmt.Sprintf("i-%d-%d", i, k), s, []string{"za", "zb"}[k], 2, 12, 8*time.Millisecond)
			r.body = bytes.Repeat([]byte("0123456789abcdef"), 25)
		}
	}
	e.configure([]map[string]any{{
		"name": "sweep", "hostname": host, "prefix": "/sweep/", "type": "idempotent", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 1,
		"gather": names, "maxAttempts": 2, "topK": 20, "minCoverage": 0.95,
	}}, services, nil)
	e.startGateways("za", "zb")
	time.Sleep(2 * time.Second)
	size := 262144
	if !e.trouble {
		size = 300
	}
	body := strings.Repeat("x", size)
	done := make(chan struct{})
	var pressing, watching sync.WaitGroup
	var mu sync.Mutex
	peak, over := map[string]int{}, ""
	for _, g := range e.gateways {
		watching.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				n := g.residentMB()
				mu.Lock()
				peak[g.name] = max(peak[g.name], n)
				if n > limitMB && over == "" {
					over = g.name
					e.note("platform: %s uses %d MB of its %d MB and is killed", g.name, n, limitMB)
					go g.kill()
				}
				mu.Unlock()
			}
		})
	}
	answers := map[int]int{}
	for range clients {
		pressing.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				id := e.nextID("sweep")
				status := post(e.gateways[0].front, id, body)
				e.note("client: %s with a body of %d bytes: answer %d", id, size, status)
				mu.Lock()
				answers[status]++
				mu.Unlock()
				if status == 0 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	for range 60 {
		time.Sleep(500 * time.Millisecond)
		mu.Lock()
		stop := over != ""
		mu.Unlock()
		if stop {
			time.Sleep(time.Second)

			break
		}
	}
	close(done)
	pressing.Wait()
	watching.Wait()
	mu.Lock()
	defer mu.Unlock()

	return over != "", fmt.Sprintf("peaks of resident memory in MB %v, allowed are %d; answers by status %v (0: none)", peak, limitMB, answers)
}

// post sends a request with a body on a new connection and returns the status of the answer, 0 for none.
func post(address, id, body string) int {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	fmt.Fprintf(conn, "POST /sweep/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\nContent-Length: %d\r\n\r\n%s", host, id, len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	if _, err = io.ReadAll(response.Body); err != nil {
		return 0
	}

	return response.StatusCode
}
