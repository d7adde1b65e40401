package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/admission"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
)

// respond writes the answer to a query and logs what decided it.
func (h *Handler) respond(w http.ResponseWriter, q *dispatch.Query, answer *dispatch.Answer) {
	status := h.write(w, q, answer)
	took := h.timers.Since(q.Received)
	e := event.RequestAnswered
	switch answer.Status {
	case dispatch.NotRun:
		e = event.RequestRefused
	case dispatch.Unknown, dispatch.TimedOut:
		e = event.RequestFailed
	}
	keyvals := []any{
		"Request", q.RequestID, "Route", q.Route.Name, "Version", q.Version, "Status", status, "Reason", answer.Reason,
		"Took", took, "Waited", q.Elapsed, "Attempts", answer.Attempts, "Hedges", answer.Hedges, "Retries", answer.Retries,
		"Denied", answer.Denied,
	}
	if q.Route.Gather != nil {
		keyvals = append(keyvals, "Shards", len(q.Route.Gather.Shards), "Missing", answer.Missing,
			"Gatherer", answer.Gatherer)
	}
	if answer.Result != nil {
		keyvals = append(keyvals, "Target", answer.Result.Target, "TargetTook", answer.Result.Took)
		if answer.Result.Err != nil {
			keyvals = append(keyvals, "Error", answer.Result.Err)
		}
	}
	h.log.Log(e, keyvals...)
	h.metrics.Tier(context.Background(), q.Route.Name, string(answer.Status), took)
}

// write writes the answer and returns its status.
func (h *Handler) write(w http.ResponseWriter, q *dispatch.Query, answer *dispatch.Answer) int {
	switch {
	case answer.Status == dispatch.Abandoned:
		return 0
	case answer.Status == dispatch.Answered && q.Route.Gather != nil:
		h.codec.SetParts(w.Header(), answer.Stamps, answer.Missing)

		return writeBody(w, http.StatusOK, answer.Records)
	case answer.Result != nil && answer.Result.Outcome == target.Answered:
		return h.pass(w, answer.Result)
	case answer.Status == dispatch.NotRun:
		left := q.Deadline.Sub(h.timers.Now())
		h.codec.SetRetry(w.Header(), admission.Retry(admission.Refusal{Left: left, Shed: answer.Shed}, rand.Float64()))

		return writeText(w, http.StatusServiceUnavailable, answer.Reason)
	case answer.Status == dispatch.TimedOut:
		return writeText(w, http.StatusGatewayTimeout, answer.Reason)
	default:
		return writeText(w, http.StatusBadGateway, answer.Reason)
	}
}

// pass writes the response of a target unchanged.
func (h *Handler) pass(w http.ResponseWriter, result *target.Result) int {
	header := w.Header()
	dropped := result.Header.Values("Connection")
	for name, values := range result.Header {
		if hopByHop(name) || !h.codec.Returned(name) || listed(dropped, name) {
			continue
		}
		header[name] = values
	}

	return writeBody(w, result.Status, result.Body)
}

func writeBody(w http.ResponseWriter, status int, body []byte) int {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	// The caller is gone if its answer cannot be written; the server notices by itself.
	_, _ = w.Write(body)

	return status
}

func writeText(w http.ResponseWriter, status int, reason string) int {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")

	return writeBody(w, status, fmt.Appendf(nil, "%s\n", reason))
}

// refuse answers a request that has not run and will not.
func (h *Handler) refuse(w http.ResponseWriter, request Request, routeName string, retry time.Duration, reason string) {
	h.codec.SetRetry(w.Header(), retry)
	status := writeText(w, http.StatusServiceUnavailable, reason)
	h.log.Log(event.RequestRefused, "Request", request.ID, "Route", routeName, "Status", status, "Reason", reason, "Retry", retry)
	h.metrics.Tier(context.Background(), routeName, string(dispatch.NotRun), 0)
}

// reject answers a request that no repetition makes valid.
func (h *Handler) reject(w http.ResponseWriter, r *http.Request, request Request, status int, reason string) {
	writeText(w, status, reason)
	version := uint64(0)
	if table := h.current(); table != nil {
		version = table.Version()
	}
	h.log.Log(event.RequestRejected, "Request", request.ID, "Host", r.Host, "Path", r.URL.Path, "Status", status,
		"Reason", reason, "Version", version)
	h.metrics.Tier(context.Background(), "", "Rejected", 0)
}

const (
	// maxRoutes bounds the table of usual waiting times.
	maxRoutes = 4096
	// maxVotes bounds the weight of the usual waiting time, so that a change is followed within as many requests.
	maxVotes = 50
)

// waits finds how long callers of each route usually wait for an answer. The time that a request lacks of it has passed since
// its caller's first attempt.
type waits struct {
	mu    sync.Mutex
	usual map[string]*vote
}

type vote struct {
	value time.Duration
	count int
}

// elapsed returns how long the caller has waited, and notes the time that it has left.
func (w *waits) elapsed(routeName string, left time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.usual == nil {
		w.usual = make(map[string]*vote)
	}
	v := w.usual[routeName]
	if v == nil {
		if len(w.usual) >= maxRoutes {
			clear(w.usual)
		}
		v = &vote{}
		w.usual[routeName] = v
	}
	switch {
	case v.value == left:
		v.count = min(v.count+1, maxVotes)
	case v.count == 0:
		v.value, v.count = left, 1
	default:
		v.count--
	}

	return max(0, v.value-left)
}
