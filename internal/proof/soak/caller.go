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
	// requestTimeout is the timeout that callers send with a request. An answer that takes more than timeoutSlack longer violates a
	// guarantee.
	requestTimeout = 1500 * time.Millisecond
	timeoutSlack   = 700 * time.Millisecond
	// requestInterval is the time between two requests of a caller.
	requestInterval = 15 * time.Millisecond
	// disturbanceWindow is the time after the end of a fault during which the outcome of a request may still be due to the fault.
	disturbanceWindow = 3 * time.Second
)

// checker counts the outcomes of requests and collects violations of the guarantees.
type checker struct {
	mu         sync.Mutex
	violations []string
	served     int
	refused    int
	failed     int
	refusedIDs []string // of requests that were refused as not run
	writeIDs   []string // of non-idempotent requests, which may run at most once
}

// report records a violation.
func (c *checker) report(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// caller sends requests to one instance over persistent connections.
type caller struct {
	name        string
	instance    *instance
	checker     *checker
	journal     *replica.Journal
	client      *http.Client
	version     int // version of the last answer from the current incarnation of the instance
	incarnation int
	sent        int
}

func newCaller(name string, i *instance, checker *checker, journal *replica.Journal) *caller {
	return &caller{name: name, instance: i, checker: checker, journal: journal, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second},
	}}
}

// run sends requests, cycling through the four kinds, until ctx ends.
func (c *caller) run(ctx context.Context) {
	kinds := []string{"page", "write", "version", "read"}
	for ctx.Err() == nil {
		c.sent++
		c.send(ctx, kinds[c.sent%len(kinds)])
		time.Sleep(requestInterval)
	}
}

// send sends one request and checks its outcome. Unless a fault has hit the instance around that time, the request must be answered
// in time, and its connection must not break after the request has reached a target.
func (c *caller) send(ctx context.Context, kind string) {
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	method, body := http.MethodGet, io.Reader(nil)
	if kind == "write" {
		method, body = http.MethodPost, strings.NewReader(id)
		c.checker.mu.Lock()
		c.checker.writeIDs = append(c.checker.writeIDs, id)
		c.checker.mu.Unlock()
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.instance.callerAddress.String()+"/"+kind+"/"+id, body)
	if err != nil {
		c.checker.report("%s: %v", id, err)

		return
	}
	request.Host = host
	operator.SetRequest(request.Header, id, requestTimeout)
	incarnation, _, _ := c.instance.state()
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
	incarnationAfter, lastDisturbance, paused := c.instance.state()
	undisturbed := started.Sub(lastDisturbance) > disturbanceWindow && time.Since(lastDisturbance) > disturbanceWindow && !paused
	if took := time.Since(started); undisturbed && incarnationAfter == incarnation && took > requestTimeout+timeoutSlack {
		c.checker.report("%s: not answered within its timeout, took %v", id, took)
	}
	if err != nil {
		c.checker.count(0)
		if undisturbed && len(c.journal.Runs(id)) > 0 {
			c.checker.report("%s: a planned stop interrupted the request after it had reached a target: %v", id, err)
		}

		return
	}
	c.checkResponse(kind, id, incarnation, response, content)
}

// count counts the outcome of a request by its HTTP status; 0 stands for a connection that failed.
func (c *checker) count(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch status {
	case http.StatusOK:
		c.served++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.refused++
	default:
		c.failed++
	}
}

// checkResponse checks a response against the guarantees.
func (c *caller) checkResponse(kind, id string, incarnation int, response *http.Response, content []byte) {
	c.checker.count(response.StatusCode)
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.checker.mu.Lock()
		c.checker.refusedIDs = append(c.checker.refusedIDs, id)
		c.checker.mu.Unlock()
	case http.StatusNotFound, http.StatusBadRequest:
		c.checker.report("%s: status %d for a request that every configuration routes", id, response.StatusCode)
	case http.StatusOK:
		if kind == "page" {
			c.checkPage(id, response, content)
		} else {
			c.checkSingle(kind, id, incarnation, response, content)
		}
	}
}

// checkSingle checks that the answer of a single target belongs to the request, and that the version of the configuration does not
// go back within one incarnation of the instance.
func (c *caller) checkSingle(kind, id string, incarnation int, response *http.Response, content []byte) {
	service, requestID := replica.Unstamp(operator.Stamp(response.Header))
	if requestID != id || !bytes.Equal(content, replica.Part(service, id)) {
		c.checker.report("%s: got the answer to request %q, %d bytes", id, requestID, len(content))

		return
	}
	if kind != "version" {
		return
	}
	n, err := strconv.Atoi(strings.TrimPrefix(service, "version-"))
	if err != nil {
		c.checker.report("%s: answered by %q, which is not a version service", id, service)

		return
	}
	if incarnation != c.incarnation {
		c.incarnation, c.version = incarnation, n
	}
	if stepsForward := (n - c.version + versions) % versions; stepsForward > versions/2 {
		c.checker.report("%s: answered by version-%d after version-%d by the same process", id, n, c.version)
	}
	c.version = n
}

// checkPage checks that a page consists of the greatest records of parts that belong to the request, that all parts are of one
// index and none occurs twice, and that the answer counts each missing part.
func (c *caller) checkPage(id string, response *http.Response, content []byte) {
	var services []string
	var records [][]byte
	indexes := make(map[string]bool)
	stamps, missing, err := operator.Parts(response.Header)
	for _, stamp := range stamps {
		service, requestID := replica.Unstamp(stamp)
		if requestID != id || slices.Contains(services, service) {
			c.checker.report("%s: stamp %q belongs to another request or occurs twice", id, stamp)
		}
		services = append(services, service)
		indexes[strings.Split(service, "-")[1]] = true
		part := replica.Part(service, id)
		for ; len(part) > 0; part = part[replica.RecordBytes:] {
			records = append(records, part[:replica.RecordBytes])
		}
	}
	if err != nil || len(services)+missing != shards || len(indexes) != 1 {
		c.checker.report("%s: %d parts answered, %d missing, from %d indexes", id, len(services), missing, len(indexes))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if expected := bytes.Join(records[:min(pageRecords, len(records))], nil); !bytes.Equal(content, expected) {
		c.checker.report("%s: the %d bytes of the page are not the greatest records of its parts", id, len(content))
	}
}

// checkRuns checks, once the run is over, that no non-idempotent request ran twice and that no refused request ran.
func (c *checker) checkRuns(journal *replica.Journal) {
	c.mu.Lock()
	writeIDs, refusedIDs := slices.Clone(c.writeIDs), slices.Clone(c.refusedIDs)
	c.mu.Unlock()
	for _, id := range writeIDs {
		if runs := journal.Runs(id); len(runs) > 1 {
			c.report("%s: a non-idempotent request ran more than once: %v", id, runs)
		}
	}
	for _, id := range refusedIDs {
		if runs := journal.Runs(id); len(runs) > 0 {
			c.report("%s: refused as not run, but ran: %v", id, runs)
		}
	}
}
