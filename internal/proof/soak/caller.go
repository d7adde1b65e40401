package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/standin/operator"
	"github.com/hickorynotch/hickorynotch/internal/standin/replica"
)

const (
	// patience is how long callers wait for an answer, and lateness what they grant beyond it.
	patience = 1500 * time.Millisecond
	lateness = 700 * time.Millisecond
	// pause is the time between two requests of a caller.
	pause = 15 * time.Millisecond
	// reach is the time after harm during which what happens to a request may be due to it.
	reach = 3 * time.Second
)

// judge collects broken promises.
type judge struct {
	mu       sync.Mutex
	broken   []string
	served   int
	refused  int
	failed   int
	refusals []string // IDs that must never run
	writes   []string // IDs that may run once
}

func (j *judge) breaks(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.broken = append(j.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// caller sends requests to one instance over connections that it keeps open.
type caller struct {
	name     string
	instance *instance
	judge    *judge
	journal  *replica.Journal
	client   *http.Client
	version  int // newest version seen in the present boot
	boot     int
	sent     int
}

func newCaller(name string, i *instance, j *judge, journal *replica.Journal) *caller {
	return &caller{name: name, instance: i, judge: j, journal: journal, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second},
	}}
}

// run sends requests of one kind after the other until ctx ends.
func (c *caller) run(ctx context.Context) {
	kinds := []string{"page", "write", "version", "read"}
	for ctx.Err() == nil {
		c.sent++
		c.send(ctx, kinds[c.sent%len(kinds)])
		time.Sleep(pause)
	}
}

func (c *caller) send(ctx context.Context, kind string) {
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	method, body := http.MethodGet, io.Reader(nil)
	if kind == "write" {
		method, body = http.MethodPost, strings.NewReader(id)
		c.judge.mu.Lock()
		c.judge.writes = append(c.judge.writes, id)
		c.judge.mu.Unlock()
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.instance.callers.String()+"/"+kind+"/"+id, body)
	if err != nil {
		c.judge.breaks("%s: %v", id, err)

		return
	}
	request.Host = host
	operator.SetRequest(request.Header, id, patience)
	boot, _, _ := c.instance.state()
	started := time.Now()
	response, err := c.client.Do(request)
	var content []byte
	if err == nil {
		content, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	if ctx.Err() != nil {
		return
	}
	after, harmed, paused := c.instance.state()
	calm := started.Sub(harmed) > reach && time.Since(harmed) > reach && !paused
	if took := time.Since(started); calm && after == boot && took > patience+lateness {
		c.judge.breaks("%s: no final answer for %v", id, took)
	}
	if err != nil {
		c.judge.count(0)
		if calm && len(c.journal.Runs(id)) > 0 {
			c.judge.breaks("%s: was cut by a planned stop after it had reached a target: %v", id, err)
		}

		return
	}
	c.check(kind, id, boot, response, content)
}

func (j *judge) count(status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch status {
	case http.StatusOK:
		j.served++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		j.refused++
	default:
		j.failed++
	}
}

// check judges a response.
func (c *caller) check(kind, id string, boot int, response *http.Response, content []byte) {
	c.judge.count(response.StatusCode)
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.judge.mu.Lock()
		c.judge.refusals = append(c.judge.refusals, id)
		c.judge.mu.Unlock()
	case http.StatusNotFound, http.StatusBadRequest:
		c.judge.breaks("%s: status %d for a request that every configuration allows", id, response.StatusCode)
	case http.StatusOK:
		if kind == "page" {
			c.checkPage(id, response, content)
		} else {
			c.checkOne(kind, id, boot, response, content)
		}
	}
}

func (c *caller) checkOne(kind, id string, boot int, response *http.Response, content []byte) {
	service, of := replica.Unstamp(operator.Stamp(response.Header))
	if of != id || !bytes.Equal(content, replica.Part(service, id)) {
		c.judge.breaks("%s: got the answer of %q, %d bytes", id, of, len(content))

		return
	}
	if kind != "version" {
		return
	}
	n, err := strconv.Atoi(strings.TrimPrefix(service, "version-"))
	if err != nil {
		c.judge.breaks("%s: was answered by %q", id, service)

		return
	}
	if boot != c.boot {
		c.boot, c.version = boot, n
	}
	if back := (n - c.version + versions) % versions; back > versions/2 {
		c.judge.breaks("%s: answered by version-%d after version-%d in one boot", id, n, c.version)
	}
	c.version = n
}

func (c *caller) checkPage(id string, response *http.Response, content []byte) {
	var services []string
	var records [][]byte
	indexes := make(map[string]bool)
	stamps, missing, err := operator.Parts(response.Header)
	for _, stamp := range stamps {
		service, of := replica.Unstamp(stamp)
		if of != id || slices.Contains(services, service) {
			c.judge.breaks("%s: has the stamp %q twice or of another request", id, stamp)
		}
		services = append(services, service)
		indexes[strings.Split(service, "-")[1]] = true
		part := replica.Part(service, id)
		for ; len(part) > 0; part = part[replica.RecordBytes:] {
			records = append(records, part[:replica.RecordBytes])
		}
	}
	if err != nil || len(services)+missing != shards || len(indexes) != 1 {
		c.judge.breaks("%s: %d parts, %d missing, of %d indexes", id, len(services), missing, len(indexes))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if expected := bytes.Join(records[:min(top, len(records))], nil); !bytes.Equal(content, expected) {
		c.judge.breaks("%s: %d bytes are not the greatest records of its parts", id, len(content))
	}
}

// settle checks what can be judged only in the end.
func (j *judge) settle(journal *replica.Journal) {
	j.mu.Lock()
	writes, refusals := slices.Clone(j.writes), slices.Clone(j.refusals)
	j.mu.Unlock()
	for _, id := range writes {
		if runs := journal.Runs(id); len(runs) > 1 {
			j.breaks("%s: must not run twice, and ran at %v", id, runs)
		}
	}
	for _, id := range refusals {
		if runs := journal.Runs(id); len(runs) > 0 {
			j.breaks("%s: was refused as not run, and ran at %v", id, runs)
		}
	}
}
