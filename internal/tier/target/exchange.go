package target

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/choice"
	"github.com/hickorynotch/hickorynotch/internal/decision/reachability"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

// Outcome states whether the target executed the request of an attempt, as far as the instance can tell.
type Outcome string

// The outcomes of an attempt.
const (
	// Answered means that a complete response was received, with any status, and that it does not state that the request was not
	// executed.
	Answered Outcome = "Answered"
	// NotRun means that the target did not execute the request and never will.
	NotRun Outcome = "NotRun"
	// Unknown means that the target may have executed the request.
	Unknown Outcome = "Unknown"
)

const (
	// MaxStatus is the highest status of a response in HTTP.
	MaxStatus = 599
	// maxMismatched is the maximum number of responses to other requests that one attempt skips on its connection.
	maxMismatched = 2
	// maxInterim is the maximum number of interim responses (status 1xx) that one attempt skips.
	maxInterim = 8
	// maxHeadBytes is the maximum size of the head of a response, and of interim responses and chunk framing on top of its body.
	maxHeadBytes = 64 << 10
	// refusalTime is the time in which a target in another region refuses a request: a round trip and the delay at small instances.
	refusalTime = choice.RegionDelay + 13*time.Millisecond
	// concurrentWriteSize is the body size from which the request is written concurrently with reading the response, because a
	// target may respond before it has read the whole body.
	concurrentWriteSize = 16 << 10
)

var (
	errRequestIDMismatch = errors.New("response carries the ID of another request")
	errNoRequestID       = errors.New("successful response without a request ID on a connection that was used before")
	errStatus            = errors.New("response has a status that is none of a response")
	errHeadTooLarge      = fmt.Errorf("response head too large: more than the limit of %d bytes", maxHeadBytes)
)

// Call is a request that can be sent to any number of targets.
type Call struct {
	// Route is the name of the route under which the link keeps the latency of the request.
	Route string
	// RequestID is the expected request ID of the response. A response without an ID is accepted.
	RequestID string
	// Method is the HTTP method of the request. Parsing the response depends on it: a response to HEAD has no body.
	Method string
	// Head is the request line and the header lines that are the same for all targets, without a Content-Length: that of Body is added
	// when both are sent.
	Head []byte
	Body []byte
	// Deadline is the time after which the caller can no longer use the response.
	Deadline time.Time
	// MaxReplyBytes is the maximum size of a response body, DefaultReplyBytes if it is 0.
	MaxReplyBytes int64
	// NewConnection asks for a new connection. It is set for requests that are not idempotent: they cannot be retried if an idle
	// connection turns out to have been closed by the target.
	NewConnection bool
	// AllowsZone reports whether the call may be sent to a target in an availability zone. If it is nil, all zones are allowed.
	AllowsZone func(availabilityZone string) bool
}

// Result is the result of an attempt.
type Result struct {
	// Target is the ID of the target.
	Target  string
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Reply   Reply
	// Cancelled is set if the attempt was cancelled before Send returned.
	Cancelled bool
	// Sent is set if any byte of the request may have been written to a connection.
	Sent bool
	// Crashed is set if the target's process ended before it answered the request.
	Crashed bool
	// ConnectionWait is the time it took to obtain a connection; Duration is the duration of the whole attempt.
	ConnectionWait time.Duration
	Duration       time.Duration
	Err            error
}

// Success reports whether a complete response with a 2xx status was received.
func (r *Result) Success() bool {
	return r.Outcome == Answered && r.Status >= 200 && r.Status < 300
}

// ForwardableError reports whether the result is a response with an error that can be passed on to the caller, because it claims nothing that is not
// known: not the target's body in an encoding that the target was not asked for, and not a status by which callers may send the request
// again because it was not run. A target that has not run the request says so in a header.
func (r *Result) ForwardableError() bool {
	if r.Outcome != Answered || r.Success() || r.Encoded() {
		return false
	}
	switch r.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}

	return true
}

// Encoded reports whether the body has an encoding, which no request asks for.
func (r *Result) Encoded() bool { return r.Header.Get("Content-Encoding") != "" }

// targetFailure reports whether the result counts as a failure of the target. A lack of free connections does not: this instance's
// own connection limit causes it. Neither does a lack of memory, unless the response is large.
func (r *Result) targetFailure() bool {
	return !r.Success() && !errors.Is(r.Err, errNoConnection) && !errors.Is(r.Err, errTargetAway) && !errors.Is(r.Err, errReplyMemory) &&
		!errors.Is(r.Err, errZoneNotAllowed)
}

// Send makes one attempt to send the call to the target. It returns once the call's deadline has passed or cancel.Cancel was
// called, if not earlier.
func (l *Link) Send(call *Call, cancel *Cancel) Result {
	timers := l.pool.timers
	started := timers.Now()
	l.recordStart(started)
	l.pool.reach.inFlight.Add(1)
	l.pool.watchSilence(reachability.Silence)
	result := l.send(call, cancel, started)
	l.pool.reach.inFlight.Add(-1)
	now := timers.Now()
	result.Target, result.Duration = l.id, now.Sub(started)
	result.Cancelled = cancel.Cancelled()
	l.recordEnd(call, started, now, &result)
	l.recordLeaving(&result)

	return result
}

func (l *Link) send(call *Call, cancel *Cancel, started time.Time) (result Result) {
	c, err := l.acquire(cancel, call.Deadline, call.NewConnection)
	sentAt := l.pool.timers.Now()
	result.ConnectionWait = sentAt.Sub(started)
	if err != nil {
		return Result{Outcome: NotRun, Err: err, ConnectionWait: result.ConnectionWait}
	}
	if l.away(sentAt) {
		// It has refused another request while this one waited for a connection.
		l.release(c)

		return Result{Outcome: NotRun, Err: errTargetAway, ConnectionWait: result.ConnectionWait}
	}
	if !l.zoneAllowed(call) {
		// The target has moved to another zone while the call waited for a connection.
		l.release(c)

		return Result{Outcome: NotRun, Err: errZoneNotAllowed, ConnectionWait: result.ConnectionWait}
	}
	c.sentAt = sentAt
	_ = c.SetDeadline(call.Deadline)
	closer := &exchangeCloser{conn: c, refusedBy: sentAt.Add(refusalTime), bodyBytes: len(call.Body)}
	if !cancel.attach(closer) {
		c.sentAt = time.Time{}
		l.release(c)

		return Result{Outcome: NotRun, Err: errCancelled, ConnectionWait: result.ConnectionWait}
	}
	reusable := l.exchange(c, call, &result)
	cancel.detach()
	if closed := closer.end(); closed || !reusable {
		l.endConn(c, call, cancel, sentAt, &result)
	} else {
		c.lastUsed, c.sentAt = l.pool.timers.Now(), time.Time{}
		l.release(c)
	}

	return result
}

// exchangeCloser closes the connection of an attempt that was cancelled. A target that refuses a request does so at once, and may name a time in
// which it wants no others, so its refusal is waited for.
type exchangeCloser struct {
	conn *conn
	// refusedBy is the time by which a refusal has arrived.
	refusedBy time.Time
	bodyBytes int

	mu     sync.Mutex
	ended  bool
	closed bool
	stop   func() bool
}

// Close implements io.Closer.
func (e *exchangeCloser) Close() error {
	timers := e.conn.pool.timers
	if left := timers.Until(e.refusedBy); left > 0 && e.bodyBytes < concurrentWriteSize {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.stop = timers.AfterFunc(left, e.close)

		return nil
	}
	e.close()

	return nil
}

func (e *exchangeCloser) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ended {
		e.closed = true
		e.conn.close()
	}
}

// end records that the exchange has ended. It reports whether the connection was closed.
func (e *exchangeCloser) end() (closed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	if e.stop != nil {
		e.stop()
	}

	return e.closed
}

// endConn closes a connection that cannot be reused after its exchange, and records what that says of the target and of the path to it.
func (l *Link) endConn(c *conn, call *Call, cancel *Cancel, sentAt time.Time, result *Result) {
	if result.Status == 0 && c.reused {
		l.closeIdleSince(sentAt)
	}
	l.discard(c)
	if !connectionLost(result.Err) || cancel.Cancelled() {
		return
	}
	if result.Status == 0 {
		l.failed(reachability.Lost, sentAt)
	}
	result.Crashed = result.Outcome == Unknown && l.hasEnded(call.Deadline) && l.vouches(sentAt)
}

// exchange writes the request and reads its response. It reports whether the connection can be reused.
func (l *Link) exchange(c *conn, call *Call, result *Result) (reusable bool) {
	defer c.allowance.release()
	remaining := l.pool.timers.Until(call.Deadline)
	if remaining <= 0 {
		result.Outcome, result.Err = NotRun, errNoConnection

		return true
	}
	writeDone, err := l.writeRequest(c, call, remaining, result)
	if err != nil && result.Outcome == NotRun {
		result.Err = err

		return false
	}
	result.Outcome = Unknown
	for range maxMismatched + 1 {
		var keepAlive bool
		keepAlive, err = l.readResponse(c, call, result)
		if !errors.Is(err, errRequestIDMismatch) {
			reusable = keepAlive

			break
		}
		l.pool.log.Log(event.ResponseForeign, "Request", call.RequestID, "Target", l.id, "Answers", result.Reply.RequestID)
		*result = Result{Outcome: Unknown, Sent: true, ConnectionWait: result.ConnectionWait, Err: err}
		reusable = false
		if !keepAlive {
			break
		}
	}
	if err != nil {
		result.Err, result.Body = err, nil
		reusable = false
	}
	select {
	case err := <-writeDone:
		reusable = reusable && err == nil
	default:
		// The target responded before the request was written completely. It must not parse the rest as another request.
		reusable = false
	}

	return reusable && c.reader.Buffered() == 0
}

// writeRequest writes the request to the connection, in a goroutine of its own if the body is large. The returned channel receives
// the result of the write. After an error, result.Outcome is NotRun if nothing was written.
func (l *Link) writeRequest(c *conn, call *Call, remaining time.Duration, result *Result) (<-chan error, error) {
	request := make([]byte, 0, len(call.Head)+len(call.Body)+128)
	request = append(request, call.Head...)
	request = l.pool.codec.AppendAttempt(request, remaining, l.id)
	request = appendContentLength(request, call)
	request = append(request, "\r\n"...)
	request = append(request, call.Body...)
	writeDone := make(chan error, 1)
	result.Sent = true
	if len(call.Body) >= concurrentWriteSize {
		go func() {
			_, err := c.Write(request)
			writeDone <- err
		}()

		return writeDone, nil
	}
	n, err := c.Write(request)
	writeDone <- err
	if n == 0 && err != nil {
		// The kernel accepted no byte of the request, so the target cannot have executed it.
		result.Sent, result.Outcome = false, NotRun
	}

	return writeDone, err
}

// appendContentLength appends the Content-Length of the body that is sent. A request without a body has one if its method suggests a body.
func appendContentLength(head []byte, call *Call) []byte {
	switch call.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
	default:
		if len(call.Body) == 0 {
			return head
		}
	}
	head = append(head, "Content-Length: "...)
	head = strconv.AppendInt(head, int64(len(call.Body)), 10)

	return append(head, "\r\n"...)
}

// readResponse reads one response into result. It returns errRequestIDMismatch if the response belongs to another request.
// keepAlive reports whether the target leaves the connection open.
func (l *Link) readResponse(c *conn, call *Call, result *Result) (keepAlive bool, err error) {
	maxBody := call.MaxReplyBytes
	if maxBody == 0 {
		maxBody = DefaultReplyBytes
	}
	c.allowance.left = maxHeadBytes
	response, err := readFinalHead(c, call.Method)
	if err != nil {
		return false, err
	}
	l.pool.heard()
	defer response.Body.Close()
	c.allowance.left = maxBody + maxHeadBytes
	result.Body, err = readBody(response, maxBody)
	if err != nil {
		return false, err
	}
	result.Reply, err = l.pool.codec.DecodeReply(response.Header)
	if err != nil {
		return false, err
	}
	if fault := result.Reply.Fault; fault != nil {
		l.pool.log.Log(event.HeadersRejected, "Target", l.id, "Request", call.RequestID, "Error", fault)
	}
	keepAlive = !response.Close
	if id := result.Reply.RequestID; id != "" && id != call.RequestID {
		return keepAlive, errRequestIDMismatch
	}
	if c.reused && result.Reply.RequestID == "" && response.StatusCode/100 == 2 {
		// It may be a copy of the response to an earlier request on this connection.
		return false, errNoRequestID
	}
	result.Status, result.Header = response.StatusCode, response.Header
	result.Outcome = Answered
	if result.Reply.NotRun || response.StatusCode == http.StatusMisdirectedRequest {
		result.Outcome = NotRun
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		l.markAddressReused()
		l.pool.log.Log(event.TargetMoved, "Target", l.id, "Address", l.address, "Request", call.RequestID)
	}
	if d := result.Reply.IdleTimeout; d > 0 {
		c.idleTimeout = time.Duration(idleTimeoutFraction * float64(d))
	}

	return keepAlive, nil
}

// readFinalHead reads the head of a response and skips interim responses before it. A status that no response to a request can have fails: HTTP
// knows none below 100 and above MaxStatus, and no request asks for another protocol.
func readFinalHead(c *conn, method string) (response *http.Response, err error) {
	for range maxInterim + 1 {
		response, err = http.ReadResponse(c.reader, &http.Request{Method: method})
		switch {
		case errors.Is(err, errReplyMemory), errors.Is(err, errLargeReply):
			return nil, err
		case err != nil && c.allowance.left <= 0:
			return nil, errHeadTooLarge
		case err != nil:
			return nil, err
		case response.StatusCode < http.StatusContinue, response.StatusCode == http.StatusSwitchingProtocols, response.StatusCode > MaxStatus:
			_ = response.Body.Close()

			return nil, fmt.Errorf("%w: %d", errStatus, response.StatusCode)
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
		_ = response.Body.Close()
	}

	return nil, fmt.Errorf("more than %d interim responses", maxInterim)
}

// readBody reads a body of at most limit bytes. The buffer grows with what is received, because a target can announce more than it
// sends.
func readBody(response *http.Response, limit int64) ([]byte, error) {
	n := response.ContentLength
	if n == 0 || response.Body == http.NoBody {
		return nil, nil
	}
	if n > limit {
		return nil, fmt.Errorf("response body too large: Content-Length is %d bytes, the limit is %d", n, limit)
	}
	var buffer bytes.Buffer
	if n > 0 {
		buffer.Grow(int(min(n, readBufferSize)) + bytes.MinRead)
	}
	read, err := buffer.ReadFrom(io.LimitReader(response.Body, limit+1))
	switch {
	case err != nil:
	case read > limit:
		err = fmt.Errorf("response body too large: more than the limit of %d bytes", limit)
	case n > 0 && read < n:
		err = io.ErrUnexpectedEOF
	}

	return buffer.Bytes(), err
}
