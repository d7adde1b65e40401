package target

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"time"

	wire "github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// Paths of the HTTP interface for tests, which a real target does not have.
const (
	JournalPath = "/journal"
	FaultPath   = "/fault"
)

const (
	maxBodyBytes  = 64 << 10
	headerTimeout = 10 * time.Second
)

type connContextKey struct{}

// Handler returns the HTTP interface. The faults that act on connections and the connection limit take effect only under Serve.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.QueryPath, t.serveQuery)
	mux.HandleFunc("GET "+wire.StatusPath, func(w http.ResponseWriter, r *http.Request) {
		if t.activeFault().Freeze {
			<-r.Context().Done()
			return
		}
		writeJSON(w, http.StatusOK, t.Report())
	})
	mux.HandleFunc("GET "+JournalPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, t.Journal())
	})
	mux.HandleFunc("GET "+FaultPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, t.activeFault())
	})
	mux.HandleFunc("PUT "+FaultPath, t.serveFault)

	return mux
}

// Serving returns a channel that is closed once Serve has set up its listener, so that RefuseConnections can close its port.
func (t *Target) Serving() <-chan struct{} {
	return t.serving
}

// Serve serves connections from l until ctx is done. It then refuses queries as draining for the grace period and closes
// all connections. Serve must be called at most once.
func (t *Target) Serve(ctx context.Context, l net.Listener) (err error) {
	defer func() { err = Error.Wrap(err) }()

	wrapped := newListener(l, t)
	t.mu.Lock()
	t.listener = wrapped
	refused := t.fault.RefuseConnections
	t.mu.Unlock()
	if err := wrapped.setRefusing(refused); err != nil {
		return err
	}
	close(t.serving)
	server := &http.Server{
		Handler:           t.Handler(),
		ReadHeaderTimeout: headerTimeout,
		// Faults break connections on purpose, so the errors of the server are not logged.
		ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	defer t.CloseConnections()
	done := make(chan error, 1)
	go func() { done <- server.Serve(wrapped) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	t.mu.Lock()
	t.stopping = true
	t.mu.Unlock()
	if t.gracePeriod > 0 {
		<-t.timers.After(t.gracePeriod)
	}
	err = server.Close()
	if serveErr := <-done; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}

	return err
}

func (t *Target) serveFault(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var f Fault
	if err == nil {
		err = json.Unmarshal(body, &f)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	requestConn, _ := r.Context().Value(connContextKey{}).(*conn)
	if err := t.setFault(f, requestConn); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) serveQuery(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var q wire.Query
	if err == nil {
		err = json.Unmarshal(body, &q)
	}
	if err != nil {
		t.refuse(w, &q, wire.BadQuery, true, err.Error())
		return
	}
	ctx, cancel := t.timers.WithTimeout(r.Context(), q.Timeout.Std())
	defer cancel()
	f, previous := t.recordReceipt(&q)
	if f.Freeze {
		<-r.Context().Done()
		return
	}
	if code, message := t.admit(r, &q); code != "" {
		t.refuse(w, &q, code, true, message)
		return
	}
	if f.ResetBeforeRun {
		abort(w)
	}
	if code := t.acquire(ctx); code != "" {
		t.refuse(w, &q, code, true, "no slot for the query")
		return
	}
	if !t.run(ctx, &q) {
		t.refuse(w, &q, wire.TooLate, false, "the query was cancelled while it ran")
		return
	}
	// Read the faults again: those that were set while the query ran apply to its reply.
	t.reply(w, r, &q, t.activeFault(), previous)
}

// recordReceipt counts q in the journal and returns the active faults and the query that was received before q.
func (t *Target) recordReceipt(q *wire.Query) (Fault, wire.Query) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.journal.received++
	if !q.Idempotent && len(t.journal.arrived) < t.journal.maxEntries {
		t.journal.arrived = append(t.journal.arrived, q.RequestID)
	}
	previous := t.lastQuery
	t.lastQuery = *q

	return t.fault, previous
}

// admit checks whether q may wait for a slot. If not, it returns the code and the message of the refusal.
func (t *Target) admit(r *http.Request, q *wire.Query) (wire.Code, string) {
	c, _ := r.Context().Value(connContextKey{}).(*conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case c != nil && c.overLimit:
		return wire.Overconnected, fmt.Sprintf("over %d connections", t.maxConnections)
	case t.service != "" && q.Service != t.service:
		return wire.BadQuery, fmt.Sprintf("Service: this target serves %q", t.service)
	case t.draining():
		return wire.Draining, "draining"
	case t.fault.Shed:
		return wire.Shed, "shedding"
	case !slices.Contains(t.holdings, wire.Holding{Version: q.Version, Shard: q.Shard, Shards: q.Shards}):
		return wire.VersionUnavailable, fmt.Sprintf("version %d shard %d of %d is not held", q.Version, q.Shard, q.Shards)
	}

	return "", ""
}

// acquire waits for a slot, which run releases. It returns the code of a refusal if the queue is full or ctx is done first.
func (t *Target) acquire(ctx context.Context) wire.Code {
	t.mu.Lock()
	if ctx.Err() != nil {
		t.mu.Unlock()
		return wire.TooLate
	}
	if t.running < t.slots {
		t.running++
		t.mu.Unlock()
		return ""
	}
	if len(t.waiting) >= t.maxWaiting {
		t.mu.Unlock()
		return wire.Shed
	}
	granted := make(chan struct{})
	t.waiting = append(t.waiting, granted)
	t.mu.Unlock()

	select {
	case <-granted:
		return ""
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.waiting, granted); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	} else {
		t.release()
	}

	return wire.TooLate
}

// release hands the slot to the first waiting query, or frees it if none waits. t.mu must be locked.
func (t *Target) release() {
	if len(t.waiting) > 0 {
		close(t.waiting[0])
		t.waiting = slices.Delete(t.waiting, 0, 1)
		return
	}
	t.running--
}

// run occupies the slot for the service time of q, releases it, and reports whether q finished before ctx was done.
func (t *Target) run(ctx context.Context, q *wire.Query) (finished bool) {
	end := t.startEntry(q)
	if t.hook != nil {
		t.hook(Running)
	}
	defer func() {
		end(finished)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.release()
	}()
	serviceTime := t.drawServiceTime()
	if serviceTime <= 0 {
		return true
	}
	select {
	case <-t.timers.After(serviceTime):
		return true
	case <-ctx.Done():
		return false
	}
}

// reply writes the reply to q and applies the faults of replies. Under Misdirect, it replies to previous instead.
func (t *Target) reply(w http.ResponseWriter, r *http.Request, q *wire.Query, f Fault, previous wire.Query) {
	if f.Freeze {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if f.ResetAfterRun {
		abort(w)
	}
	if f.Late > 0 {
		select {
		case <-t.timers.After(f.Late.Std()):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	answeredQuery := q
	if f.Misdirect {
		answeredQuery = &previous
	}
	data, err := json.Marshal(wire.Reply{
		RequestID: answeredQuery.RequestID,
		AttemptID: answeredQuery.AttemptID,
		Service:   answeredQuery.Service,
		Version:   answeredQuery.Version,
		Shard:     answeredQuery.Shard,
		Shards:    answeredQuery.Shards,
		Hits:      t.hitsFor(answeredQuery),
		Report:    t.Report(),
	})
	if err != nil {
		panic(err)
	}
	switch {
	case f.Truncate:
		w.Header().Set("Content-Length", fmt.Sprint(len(data)))
		w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case f.Duplicate:
		writeReplyTwice(w, data)
	case t.hook != nil:
		t.replyInHalves(w, r, data)
	default:
		writeBody(w, http.StatusOK, data)
	}
}

// replyInHalves writes a reply in two halves and calls the hook between them. If the hook sets Freeze, the second half is not
// sent.
func (t *Target) replyInHalves(w http.ResponseWriter, r *http.Request, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	t.hook(PartlyReplied)
	if t.activeFault().Freeze {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Write(data[len(data)/2:])
}

// refuse answers q with a wire.Refusal and the status of its code. notRun tells the client that q certainly did not run.
func (t *Target) refuse(w http.ResponseWriter, q *wire.Query, code wire.Code, notRun bool, message string) {
	status := http.StatusServiceUnavailable
	switch code {
	case wire.VersionUnavailable:
		status = http.StatusConflict
	case wire.BadQuery:
		status = http.StatusBadRequest
	case wire.Overconnected:
		w.Header().Set("Connection", "close")
	}
	writeJSON(w, status, wire.Refusal{
		RequestID: q.RequestID,
		AttemptID: q.AttemptID,
		Code:      code,
		Message:   message,
		NotRun:    notRun,
		Report:    t.Report(),
	})
}

// abort resets the connection and aborts the handler.
func abort(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		closeWithReset(c)
	}
	panic(http.ErrAbortHandler)
}

// writeReplyTwice sends the same reply twice and keeps the connection open until the client closes it, as a target with a faulty
// HTTP server might.
func writeReplyTwice(w http.ResponseWriter, data []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = c.Close() }()
	response := fmt.Appendf(nil,
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(data), data)
	_, _ = c.Write(slices.Concat(response, response))
	_, _ = io.Copy(io.Discard, c)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	writeBody(w, status, data)
}

func writeBody(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}
