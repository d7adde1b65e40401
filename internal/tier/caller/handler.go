// Package caller serves the requests of callers over HTTP/1.1.
//
// A Handler finds the route of a request in the configuration in force, passes the request to the dispatcher and writes the
// answer. Each request uses the configuration that was in force when it was read:
//
//	handler := caller.NewHandler(codec, configuration.Current, dispatch, timers)
//	server := &http.Server{Handler: handler}
//
// A status of 503 or 429 means that no target ran the request and none will. With 502 or 504, a target may have run it.
package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/admission"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/metric"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/tier/inbound"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

const (
	// answerMargin is the time between the deadline of a request and the moment when its caller gives up. It covers the time to
	// write the answer and the network delay of 3 ms to the caller.
	answerMargin = 12 * time.Millisecond
	// noConfigurationRetry is the retry delay sent to callers while no configuration is known. Reading the configuration takes a
	// few calls to the store.
	noConfigurationRetry = 300 * time.Millisecond
)

// Request holds the decoded headers of a caller's request.
type Request struct {
	ID string
	// TimeLeft is how much longer the caller waits for the answer, 0 if the request does not say.
	TimeLeft time.Duration
}

// Codec converts between the types of this package and the headers that callers use.
type Codec struct {
	DecodeRequest func(header http.Header) (Request, error)
	// Forwarded reports whether a request header is forwarded to targets. Returned reports whether a header of a target's response
	// is returned to the caller.
	Forwarded func(name string) bool
	Returned  func(name string) bool
	// SetParts sets the headers of a merged answer: the stamps of its parts and the number of missing parts.
	SetParts func(header http.Header, stamps []string, missing int)
	// SetRetry sets the header with the delay after which a request that was not run should be retried.
	SetRetry func(header http.Header, after time.Duration)
	// DecodeKey returns the hash of the API key of a request, or the reason why it has none.
	DecodeKey func(header http.Header) (route.KeyHash, KeyFault)
	// SetChallenge sets the header that tells the caller of a request without a valid key how to send one.
	SetChallenge func(header http.Header)
	// Withheld reports whether a request header is not forwarded where there are client accounts: those that carry a key, or name an
	// account. AppendAccount appends the header that names the account of a request to its head.
	Withheld      func(name string) bool
	AppendAccount func(head []byte, account string) []byte
}

// Handler is an http.Handler for callers. It is safe for concurrent use.
type Handler struct {
	codec    Codec
	current  func() *route.Table
	dispatch Dispatch
	timers   *timer.Service
	log      *event.Log
	metrics  *metric.Set
	timeouts timeoutEstimator
	accounts accountLoad
	closing  atomic.Bool
	inFlight atomic.Int64
	// ending is done once EndRequests was called.
	ending      context.Context
	endRequests context.CancelFunc
	// maxInFlight is the maximum number of requests that are served concurrently.
	maxInFlight int
	charge      Charge
	// isUnconfirmed reports whether keys must not be trusted, and unconfirmed that the last keyed request was refused for it.
	isUnconfirmed func() bool
	unconfirmed   atomic.Bool
}

// Dispatch holds the functions that answer queries: Gather those of routes that merge the parts of several shards, Forward those
// that one target answers.
type Dispatch struct {
	Gather  func(ctx context.Context, q *dispatch.Query) dispatch.Answer
	Forward func(ctx context.Context, q *dispatch.Query) dispatch.Answer
}

// Option configures a Handler.
type Option func(*Handler)

// WithLog sets the log.
func WithLog(log *event.Log) Option {
	return func(h *Handler) { h.log = log }
}

// WithMetrics sets the metrics.
func WithMetrics(metrics *metric.Set) Option {
	return func(h *Handler) { h.metrics = metrics }
}

// WithLimit sets the maximum number of requests that are served concurrently.
func WithLimit(limit int) Option {
	return func(h *Handler) { h.maxInFlight = limit }
}

// defaultLimit is the concurrency limit of an instance with one core.
var defaultLimit = admission.Limit(1)

// NewHandler returns a Handler. The function current returns the configuration in force, nil if none is known.
func NewHandler(
	codec Codec, current func() *route.Table, dispatch Dispatch, timers *timer.Service, options ...Option,
) *Handler {
	h := &Handler{
		codec: codec, current: current, dispatch: dispatch, timers: timers, maxInFlight: defaultLimit,
		isUnconfirmed: func() bool { return false },
	}
	h.ending, h.endRequests = context.WithCancel(context.Background())
	for _, option := range options {
		option(h)
	}

	return h
}

// CloseConnections makes the handler send "Connection: close" with each answer, so that callers stop using the connections to this
// instance.
func (h *Handler) CloseConnections() { h.closing.Store(true) }

// EndRequests makes the handler answer the requests that are in flight with 504, and refuse those that arrive later with 503. It is called
// when the process is about to exit, because a connection that is closed without an answer tells its caller less.
func (h *Handler) EndRequests() { h.endRequests() }

// InFlight returns the number of requests that are being served.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Limit returns the maximum number of requests that are served concurrently.
func (h *Handler) Limit() int { return h.maxInFlight }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	endInFlight := h.beginInFlight()
	defer endInFlight()
	received := h.timers.Now()
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	request, err := h.codec.DecodeRequest(r.Header)
	if err != nil {
		h.reject(w, r, request, http.StatusBadRequest, err.Error())

		return
	}
	table := h.current()
	switch {
	case table == nil:
		h.refuse(w, request, "", noConfigurationRetry, "NoConfiguration")

		return
	case h.ending.Err() != nil:
		// Another instance can serve it.
		h.refuse(w, request, "", admission.Retry(admission.Refusal{TimeLeft: request.TimeLeft}, rand.Float64()), "Stopping")

		return
	}
	if limit := table.Limits().HeaderBytes; limit > 0 && headerBytes(r) > limit {
		h.reject(w, r, request, http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("the headers have over %d bytes", limit))

		return
	}
	matched, ok := table.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		h.reject(w, r, request, http.StatusNotFound, "no route")

		return
	}
	account, ok := h.identify(w, r, request, table, matched)
	if !ok {
		return
	}
	verdict, end := h.admit(table, matched, request, account)
	defer end()
	if !verdict.Admit {
		retry := admission.Retry(admission.Refusal{TimeLeft: request.TimeLeft}, rand.Float64())
		h.refuse(w, request, matched.Name, retry, verdict.Reason)

		return
	}
	if !h.chargeQuota(w, r, request, account, matched, received) {
		return
	}
	body, err := readBody(w, r, table.Limits().BodyBytes, received.Add(bodyTimeout(request, matched)))
	if err = admitted(r, err); errors.Is(err, inbound.ErrMemory) {
		h.refuseIntake(w, request, matched.Name)

		return
	}
	if err != nil {
		status := http.StatusBadRequest
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		h.reject(w, r, request, status, err.Error())

		return
	}
	q := h.newQuery(r, request, table, matched, account, body, received)
	answer := h.dispatchQuery(r.Context(), q)
	endInFlight()
	h.respond(w, q, &answer)
}

// admit decides whether a request is admitted. An admitted one counts as in flight for its account until end is called.
func (h *Handler) admit(
	table *route.Table, matched *route.Route, request Request, account *route.Account,
) (verdict admission.Verdict, end func()) {
	end = func() {}
	facts := admission.Facts{InFlight: h.InFlight() - 1, Limit: h.maxInFlight, Priority: matched.PriorityOf(account)}
	hasAccounts := len(table.Accounts()) > 0
	name := accountName(account)
	if hasAccounts {
		facts.AccountInFlight, facts.Accounts = h.accounts.counts(name)
		facts.Returning = h.timeouts.waited(matched.Name, request.TimeLeft) > 0
	}
	verdict = admission.Decide(facts)
	if verdict.Admit && hasAccounts {
		end = h.accounts.begin(name)
	}

	return verdict, end
}

// accountName returns the name of an account, empty for none.
func accountName(account *route.Account) string {
	if account == nil {
		return ""
	}

	return account.Name
}

// headerBytes returns the size of the request line and the headers as received.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + separators
		}
	}

	return n
}

// bodyTimeout returns the time within which the body of a request has to arrive.
func bodyTimeout(request Request, matched *route.Route) time.Duration {
	if request.TimeLeft > 0 {
		return min(request.TimeLeft, matched.Timeout)
	}

	return matched.Timeout
}

// readBody reads a body of at most limit bytes. One that does not end before the deadline must not occupy the instance any longer.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	// Writers that cannot set a deadline are used in tests only.
	_ = controller.SetReadDeadline(deadline)
	body := io.Reader(r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	data, err := io.ReadAll(body)
	if err == nil {
		// After an error, the deadline also ends the attempt of the server to read the rest of the body.
		_ = controller.SetReadDeadline(time.Time{})
	}

	return data, err
}

func (h *Handler) newQuery(
	r *http.Request, request Request, table *route.Table, matched *route.Route, account *route.Account, body []byte,
	received time.Time,
) *dispatch.Query {
	q := &dispatch.Query{
		Route:     matched,
		Account:   accountName(account),
		Scope:     matched.ScopeOf(account),
		Priority:  matched.PriorityOf(account),
		Version:   table.Version(),
		RequestID: request.ID,
		Method:    r.Method,
		Head:      h.head(r, table, account),
		Body:      body,
		Received:  received,
		Deadline:  deadline(request, matched, received),
	}
	if request.TimeLeft > 0 {
		q.Elapsed = h.timeouts.elapsed(matched.Name, request.TimeLeft)
	}

	return q
}

// deadline returns the time by which a request has to be answered.
func deadline(request Request, matched *route.Route, received time.Time) time.Time {
	latest := received.Add(matched.Timeout)
	if request.TimeLeft > 0 {
		if limit := received.Add(request.TimeLeft - answerMargin); limit.Before(latest) {
			return limit
		}
	}

	return latest
}

// head returns the request line and the headers that are forwarded. The headers of each attempt, and the length of the body, are appended to
// it when the request is sent to a target. Where there are client accounts, it has no key and names the account that the key identified,
// whatever the caller sent under that name.
func (h *Handler) head(r *http.Request, table *route.Table, account *route.Account) []byte {
	hasAccounts := len(table.Accounts()) > 0
	head := make([]byte, 0, 512)
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, requestURI(r)...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, r.Host...)
	head = append(head, "\r\n"...)
	connectionValues := r.Header.Values("Connection")
	for name, values := range r.Header {
		if isHopByHop(name) || !h.codec.Forwarded(name) || hasAccounts && h.codec.Withheld(name) ||
			isConnectionOption(connectionValues, name) {
			continue
		}
		for _, value := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, value...)
			head = append(head, "\r\n"...)
		}
	}
	if account != nil {
		head = h.codec.AppendAccount(head, account.Name)
	}

	return head
}

// requestURI returns the path and query of the request line as received, without scheme and host.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}

	return r.URL.RequestURI()
}

// isHopByHop reports whether a header applies to a single connection and is not forwarded. Content-Length is one of them, because
// a new one is written together with the body.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}

	return false
}

// isConnectionOption reports whether one of the values of the Connection header lists the header name.
func isConnectionOption(connectionValues []string, name string) bool {
	for _, value := range connectionValues {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}

	return false
}

// dispatchQuery has the query answered, but for no longer than until EndRequests is called.
func (h *Handler) dispatchQuery(callerCtx context.Context, q *dispatch.Query) (answer dispatch.Answer) {
	ctx, cancel := context.WithCancel(callerCtx)
	defer cancel()
	defer func() {
		if err := h.log.Recovered(recover(), "Caller", "Request", q.RequestID, "Route", q.Route.Name); err != nil {
			answer = dispatch.Answer{Status: dispatch.Unknown, Reason: "UnexpectedFailure"}
		}
	}()
	defer context.AfterFunc(h.ending, cancel)()
	if q.Route.Gather != nil {
		answer = h.dispatch.Gather(ctx, q)
	} else {
		answer = h.dispatch.Forward(ctx, q)
	}
	if answer.Status == dispatch.Abandoned && callerCtx.Err() == nil {
		// The caller is still waiting. Targets may have run the request, so the answer must not say that it was not run.
		answer.Status, answer.Reason = dispatch.TimedOut, "Stopping"
	}

	return answer
}
