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

// respond writes the answer to a query and logs it with its reason.
func (h *Handler) respond(w http.ResponseWriter, q *dispatch.Query, answer *dispatch.Answer) {
	status := h.writeAnswer(w, q, answer)
	duration := h.timers.Since(q.Received)
	e := event.RequestAnswered
	switch answer.Status {
	case dispatch.NotRun:
		e = event.RequestRefused
		h.metrics.Refusal(context.Background(), answer.Reason)
	case dispatch.Unknown, dispatch.TimedOut:
		e = event.RequestFailed
	}
	keyvals := []any{
		"Request", q.RequestID, "Route", q.Route.Name, "Version", q.Version, "Status", status, "Reason", answer.Reason,
		"Took", duration, "Waited", q.Elapsed, "Attempts", answer.Attempts, "Hedges", answer.Hedges, "Retries", answer.Retries,
		"Denied", answer.Denied,
	}
	if q.Account != "" {
		keyvals = append(keyvals, "Account", q.Account)
	}
	if q.Route.Gather != nil {
		keyvals = append(keyvals, "Shards", len(q.Route.Gather.Shards), "Missing", answer.Missing,
			"Gatherer", answer.Gatherer)
	}
	if q.Route.Gather == nil && answer.Gatherer != "" {
		keyvals = append(keyvals, "Forwarder", answer.Gatherer)
	}
	if answer.Result != nil {
		keyvals = append(keyvals, "Target", answer.Result.Target, "TargetTook", answer.Result.Duration)
		if answer.Result.Err != nil {
			keyvals = append(keyvals, "Error", answer.Result.Err)
		}
	}
	h.log.Log(e, keyvals...)
	h.metrics.Tier(context.Background(), q.Route.Name, string(answer.Status), duration)
}

// writeAnswer writes the answer and returns its HTTP status, 0 if the caller has left.
func (h *Handler) writeAnswer(w http.ResponseWriter, q *dispatch.Query, answer *dispatch.Answer) int {
	switch {
	case answer.Status == dispatch.Abandoned:
		// A caller that has only ended its side of the connection reads on. Without an answer, the server would write an empty success.
		writeText(w, http.StatusBadGateway, answer.Reason)

		return 0
	case answer.Status == dispatch.Answered && q.Route.Gather != nil:
		h.codec.SetParts(w.Header(), answer.Stamps, answer.Missing)

		return writeBody(w, http.StatusOK, answer.Records)
	case answer.Result != nil && (answer.Status == dispatch.Answered || answer.Result.ForwardableError()):
		return h.writeResult(w, answer.Result)
	case answer.Status == dispatch.NotRun:
		left := q.Deadline.Sub(h.timers.Now())
		h.codec.SetRetry(w.Header(), admission.Retry(admission.Refusal{
			TimeLeft: left, Shed: answer.Shed, TurnIn: answer.TurnIn,
		}, rand.Float64()))

		return writeText(w, http.StatusServiceUnavailable, answer.Reason)
	case answer.Status == dispatch.TimedOut:
		return writeText(w, http.StatusGatewayTimeout, answer.Reason)
	default:
		return writeText(w, http.StatusBadGateway, answer.Reason)
	}
}

// writeResult writes a target's response with its status and body and those headers that are returned to callers.
func (h *Handler) writeResult(w http.ResponseWriter, result *target.Result) int {
	header := w.Header()
	connectionValues := result.Header.Values("Connection")
	for name, values := range result.Header {
		if isHopByHop(name) || !h.codec.Returned(name) || isConnectionOption(connectionValues, name) {
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
	// A failed write means that the caller has disconnected, which the server detects by itself.
	_, _ = w.Write(body)

	return status
}

func writeText(w http.ResponseWriter, status int, reason string) int {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")

	return writeBody(w, status, fmt.Appendf(nil, "%s\n", reason))
}

// refuse answers 503 with a retry delay to a request that was not run.
func (h *Handler) refuse(w http.ResponseWriter, request Request, routeName string, retry time.Duration, reason string) {
	h.decline(w, request, routeName, refusal{
		event: event.RequestRefused, status: http.StatusServiceUnavailable, reason: reason, retry: retry,
	})
}

// reject answers an invalid request, which would fail again if the caller retried it.
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
	// maxRoutes limits the number of routes for which a usual timeout is estimated.
	maxRoutes = 4096
	// maxVoteCount limits the count behind an estimate, so that a new usual timeout replaces it after as many requests.
	maxVoteCount = 50
)

// timeoutEstimator estimates the usual timeout of the callers of each route, by a majority vote over the time left in their
// requests. If a request has less time left than that, the difference is the time since its caller's first attempt.
type timeoutEstimator struct {
	mu    sync.Mutex
	votes map[string]*vote
}

// vote is the candidate of a Boyer-Moore majority vote and its count.
type vote struct {
	timeout time.Duration
	count   int
}

// waited returns how long the caller of a request with the given time left has been waiting, as far as the usual timeout of the route is
// known.
func (e *timeoutEstimator) waited(routeName string, left time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if v := e.votes[routeName]; v != nil && left > 0 {
		return max(0, v.timeout-left)
	}

	return 0
}

// elapsed counts the time left in a request as a vote for the usual timeout of its route, and returns how long the request's caller
// has been waiting.
func (e *timeoutEstimator) elapsed(routeName string, left time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.votes == nil {
		e.votes = make(map[string]*vote)
	}
	v := e.votes[routeName]
	if v == nil {
		if len(e.votes) >= maxRoutes {
			clear(e.votes)
		}
		v = &vote{}
		e.votes[routeName] = v
	}
	switch {
	case v.timeout == left:
		v.count = min(v.count+1, maxVoteCount)
	case v.count == 0:
		v.timeout, v.count = left, 1
	default:
		v.count--
	}

	return max(0, v.timeout-left)
}
