package target

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

// Outcome says what is known of a request after an attempt.
type Outcome string

// The outcomes of an attempt.
const (
	// Answered means that a whole response came back.
	Answered Outcome = "Answered"
	// NotRun means that the target did not run the request and never will.
	NotRun Outcome = "NotRun"
	// Unknown means that the target may have run the request.
	Unknown Outcome = "Unknown"
)

const (
	// maxForeign bounds the responses to earlier requests that are skipped on one connection.
	maxForeign = 2
	// concurrentBody is the size of a body from which it is written beside the reading, because a target may answer before it
	// has read all.
	concurrentBody = 16 << 10
)

var errForeign = errors.New("the response answers another request")

// Call is one request as it is sent to targets.
type Call struct {
	// Route names the route for the statistics of the link.
	Route string
	// RequestID is the ID that a response must carry, if it carries any.
	RequestID string
	// Request is the request whose method decides how a response is read.
	Method string
	// Head is the request line and the header lines that are the same for each target.
	Head []byte
	Body []byte
	// Deadline is the time until which the caller can use the response.
	Deadline time.Time
	// Fresh requests a new connection, because a request that must not run twice cannot be repeated when an old connection
	// turns out to be closed.
	Fresh bool
}

// Result is the end of an attempt.
type Result struct {
	// Target is the ID of the target.
	Target  string
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Reply   Reply
	// Cancelled is set if the attempt was cancelled before it ended.
	Cancelled bool
	// Sent is set if a byte of the request was handed to a connection.
	Sent bool
	// Waited is the time spent on getting a connection, and Took that of the whole attempt.
	Waited time.Duration
	Took   time.Duration
	Err    error
}

// Success reports whether the result is a whole response with a status of 2xx.
func (r *Result) Success() bool {
	return r.Outcome == Answered && r.Status >= 200 && r.Status < 300
}

// failed reports whether the result speaks against the target.
func (r *Result) failed() bool {
	return !r.Success() && !errors.Is(r.Err, errNoConnection)
}

// Send makes one attempt. It returns at the latest when the call's deadline has passed or cancel is done.
func (l *Link) Send(call *Call, cancel *Cancel) Result {
	timers := l.fleet.timers
	started := timers.Now()
	l.begin(started)
	result := l.send(call, cancel, started)
	now := timers.Now()
	result.Target, result.Took = l.id, now.Sub(started)
	result.Cancelled = cancel.Done()
	l.end(call, started, now, &result)

	return result
}

func (l *Link) send(call *Call, cancel *Cancel, started time.Time) (result Result) {
	c, err := l.acquire(cancel, call.Deadline, call.Fresh)
	sentAt := l.fleet.timers.Now()
	result.Waited = sentAt.Sub(started)
	if err != nil {
		return Result{Outcome: NotRun, Err: err, Waited: result.Waited}
	}
	if !cancel.hold(c) {
		l.put(c)

		return Result{Outcome: NotRun, Err: errCancelled, Waited: result.Waited}
	}
	reusable := l.exchange(c, call, &result)
	if !cancel.release() || !reusable {
		if result.Status == 0 && c.reused {
			l.dropUnproven(sentAt)
		}
		l.drop(c)
	} else {
		c.usedAt = l.fleet.timers.Now()
		l.put(c)
	}

	return result
}

// exchange writes the request and reads its response. It reports whether the connection can be used again.
func (l *Link) exchange(c *conn, call *Call, result *Result) (reusable bool) {
	_ = c.SetDeadline(call.Deadline)
	remaining := l.fleet.timers.Until(call.Deadline)
	if remaining <= 0 {
		result.Outcome, result.Err = NotRun, errNoConnection

		return true
	}
	written, err := l.write(c, call, remaining, result)
	if err != nil && result.Outcome == NotRun {
		result.Err = err

		return false
	}
	result.Outcome = Unknown
	for range maxForeign + 1 {
		var keep bool
		keep, err = l.read(c, call, result)
		if !errors.Is(err, errForeign) {
			reusable = keep

			break
		}
		l.fleet.log.Log(event.ResponseForeign, "Request", call.RequestID, "Target", l.id, "Answers", result.Reply.RequestID)
		*result = Result{Outcome: Unknown, Sent: true, Waited: result.Waited, Err: err}
		reusable = false
		if !keep {
			break
		}
	}
	if err != nil {
		result.Err = err
		reusable = false
	}
	select {
	case err := <-written:
		reusable = reusable && err == nil
	default:
		// The target answered before it had read the body; the rest must not reach it as another request.
		reusable = false
	}

	return reusable && c.reader.Buffered() == 0
}

// write sends the request. The returned channel delivers the end of the writing.
func (l *Link) write(c *conn, call *Call, remaining time.Duration, result *Result) (<-chan error, error) {
	request := make([]byte, 0, len(call.Head)+len(call.Body)+96)
	request = append(request, call.Head...)
	request = l.fleet.codec.AppendAttempt(request, remaining, l.id)
	request = append(request, "\r\n"...)
	request = append(request, call.Body...)
	written := make(chan error, 1)
	result.Sent = true
	if len(call.Body) >= concurrentBody {
		go func() {
			_, err := c.Write(request)
			written <- err
		}()

		return written, nil
	}
	n, err := c.Write(request)
	written <- err
	if n == 0 && err != nil {
		// The kernel took nothing of the request.
		result.Sent, result.Outcome = false, NotRun
	}

	return written, err
}

// read reads one response. It reports whether the connection can carry another request.
func (l *Link) read(c *conn, call *Call, result *Result) (keep bool, err error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: call.Method})
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	result.Body, err = readBody(response)
	if err != nil {
		return false, err
	}
	result.Reply, err = l.fleet.codec.DecodeReply(response.Header)
	if err != nil {
		return false, err
	}
	if fault := result.Reply.Fault; fault != nil {
		l.fleet.log.Log(event.HeadersRejected, "Target", l.id, "Request", call.RequestID, "Error", fault)
	}
	keep = !response.Close
	if id := result.Reply.RequestID; id != "" && id != call.RequestID {
		return keep, errForeign
	}
	result.Status, result.Header = response.StatusCode, response.Header
	result.Outcome = Answered
	if result.Reply.NotRun || response.StatusCode == http.StatusMisdirectedRequest {
		result.Outcome = NotRun
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		l.noteMoved()
		l.fleet.log.Log(event.TargetMoved, "Target", l.id, "Address", l.address, "Request", call.RequestID)
	}
	if d := result.Reply.IdleTimeout; d > 0 {
		c.limit = time.Duration(idleShare * float64(d))
	}

	return keep, nil
}

func readBody(response *http.Response) ([]byte, error) {
	switch n := response.ContentLength; {
	case n == 0:
		return nil, nil
	case n > MaxReplyBytes:
		return nil, fmt.Errorf("the response has %d bytes, at most %d are accepted", n, MaxReplyBytes)
	case n > 0:
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)

		return body, err
	}
	var buffer bytes.Buffer
	n, err := buffer.ReadFrom(io.LimitReader(response.Body, MaxReplyBytes+1))
	if err == nil && n > MaxReplyBytes {
		err = fmt.Errorf("the response is over %d bytes", MaxReplyBytes)
	}

	return buffer.Bytes(), err
}
