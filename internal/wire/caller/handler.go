package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/tier/inbound"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// Handler serves callers and the load balancer. It counts requests in flight, so that a graceful stop can wait for them.
type Handler struct {
	answer  func(ctx context.Context, r Request) (Answer, error)
	ready   func() error
	newID   func() string
	refused func(*Refusal)
	mux     *http.ServeMux

	mu       sync.Mutex
	inFlight int
	draining bool
	// idle is closed when draining has begun and no request is in flight.
	idle chan struct{}
}

// Option configures a Handler.
type Option func(*Handler)

// WithReady makes readiness depend on ready, whose error is told to the load balancer. Readiness does not decide about
// requests: those that still arrive are answered until Drain.
func WithReady(ready func() error) Option {
	return func(h *Handler) { h.ready = ready }
}

// WithRequestID replaces the source of RequestIDs for requests without one.
func WithRequestID(newID func() string) Option {
	return func(h *Handler) { h.newID = newID }
}

// WithRefused calls refused with every refusal that is sent, for log and metrics.
func WithRefused(refused func(*Refusal)) Option {
	return func(h *Handler) { h.refused = refused }
}

// NewHandler returns a Handler that gets its answers from answer. The context of answer is cancelled when the caller goes away.
// An error of answer that is no *Refusal is sent as Lost with outcome Unknown.
func NewHandler(answer func(ctx context.Context, r Request) (Answer, error), options ...Option) *Handler {
	h := &Handler{
		answer:  answer,
		ready:   func() error { return nil },
		newID:   randomID,
		refused: func(*Refusal) {},
		mux:     http.NewServeMux(),
		idle:    make(chan struct{}),
	}
	for _, option := range options {
		option(h)
	}
	h.mux.HandleFunc(QueryPath, h.serveQuery)
	h.mux.HandleFunc("GET "+HealthPath, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	h.mux.HandleFunc("GET "+ReadyPath, h.serveReady)

	return h
}

// NewServer returns an http.Server for h. Its timeouts bound what a caller that sends slowly can hold; the timeout for a whole
// request is above the largest deadline of a service, because net/http also applies it while the answer is awaited.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: HeadTimeout,
		ReadTimeout:       2 * time.Minute,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    MaxHeadBytes,
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// InFlight returns the number of requests that have been accepted and not yet answered.
func (h *Handler) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.inFlight
}

// Drain refuses requests from now on and waits until those in flight are answered or ctx ends. The answer to the last of them
// may still be on its way in net/http, so that http.Server.Shutdown has to follow.
func (h *Handler) Drain(ctx context.Context) error {
	h.mu.Lock()
	if !h.draining {
		h.draining = true
		if h.inFlight == 0 {
			close(h.idle)
		}
	}
	h.mu.Unlock()

	select {
	case <-h.idle:
		return nil
	case <-ctx.Done():
		return Error.New("%d requests are in flight: %w", h.InFlight(), ctx.Err())
	}
}

func (h *Handler) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.inFlight++

	return true
}

func (h *Handler) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	if h.draining && h.inFlight == 0 {
		close(h.idle)
	}
}

func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	err := h.ready()
	h.mu.Lock()
	if h.draining {
		err = errors.New("the instance is stopping")
	}
	h.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)

		return
	}
	w.Write([]byte("ready\n"))
}

func (h *Handler) serveQuery(w http.ResponseWriter, r *http.Request) {
	if !h.begin() {
		w.Header().Set("Connection", "close")
		h.refuse(w, Request{}, &Refusal{Outcome: target.NotRun, Code: NotReady, Message: "the instance is stopping"})

		return
	}
	defer h.end()

	request, err := h.read(w, r)
	if err != nil {
		h.refuse(w, request, err)

		return
	}
	answer, err := h.answer(r.Context(), request)
	if err == nil {
		err = answer.matches(request)
	}
	var body []byte
	if err == nil {
		body, err = json.Marshal(answer)
	}
	if err != nil {
		h.refuse(w, request, err)

		return
	}
	send(w, http.StatusOK, body)
}

// read returns the request of r. The error is a *Refusal with outcome NotRun.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (request Request, err error) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)

		return Request{}, &Refusal{Outcome: target.NotRun, Code: BadRequest, Message: "the method must be POST"}
	}
	// The body is read to its end before the query starts: net/http notices only then that a caller goes away.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	if err == nil {
		err = inbound.Admit(r.Context())
	}
	if errors.Is(err, inbound.ErrMemory) {
		w.Header().Set("Connection", "close")

		return Request{}, &Refusal{
			Outcome: target.NotRun, Code: Overloaded, Message: err.Error(), RetryAfter: duration.Duration(inbound.RetryDelay),
		}
	}
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return Request{}, &Refusal{Outcome: target.NotRun, Code: TooLarge, Message: fmt.Sprintf("the body is over %d bytes", MaxRequestBytes)}
		}

		return Request{}, &Refusal{Outcome: target.NotRun, Code: BadRequest, Message: "the body ends early"}
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return request, &Refusal{Outcome: target.NotRun, Code: BadRequest, Message: strings.ReplaceAll(err.Error(), "\n", "; ")}
	}
	if request.RequestID == "" {
		request.RequestID, request.Generated = h.newID(), true
	}

	return request, nil
}

// refuse sends err as the refusal of the request.
func (h *Handler) refuse(w http.ResponseWriter, request Request, err error) {
	refusal := refusalOf(err)
	refusal.RequestID, refusal.Service = "", request.Service
	if len(request.RequestID) <= MaxIDLength {
		refusal.RequestID = request.RequestID
	}
	h.refused(&refusal)
	body, err := json.Marshal(refusal)
	if err != nil {
		body = nil
	}
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter.Std() + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	send(w, refusal.Status(), body)
}

// refusalOf returns a copy of the refusal that err is. Anything else may have run.
func refusalOf(err error) Refusal {
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal == nil {
		return Refusal{Outcome: target.Unknown, Code: Lost, Message: err.Error()}
	}
	known := *refusal
	if known.Outcome != target.NotRun {
		known.Outcome = target.Unknown
	}

	return known
}

// send writes the body with its length, so that the other side notices if it is cut.
func send(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

// matches returns a refusal if a is the answer to another request.
func (a *Answer) matches(r Request) error {
	if a.RequestID == r.RequestID && a.Service == r.Service {
		return nil
	}

	return &Refusal{
		RequestID: r.RequestID, Service: r.Service, Outcome: target.Unknown, Code: Lost,
		Message: fmt.Sprintf("the answer belongs to request %q of service %q", a.RequestID, a.Service),
	}
}

func randomID() string {
	var id [16]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])

	return hex.EncodeToString(id[:])
}
