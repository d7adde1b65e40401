package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// Client sends requests to instances. It is safe for concurrent use.
type Client struct {
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	maxIdle   int
	transport *http.Transport
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithDial replaces the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// WithMaxIdle sets the number of idle connections kept to each instance. The default is 64.
func WithMaxIdle(n int) ClientOption {
	return func(c *Client) { c.maxIdle = n }
}

// NewClient returns a Client.
func NewClient(options ...ClientOption) *Client {
	c := &Client{dial: (&net.Dialer{}).DialContext, maxIdle: 64}
	for _, option := range options {
		option(c)
	}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := c.dial(ctx, network, address)
			if err != nil {
				return nil, err
			}

			return &countedConn{Conn: connection}, nil
		},
		MaxIdleConnsPerHost:    c.maxIdle,
		MaxResponseHeaderBytes: 16 << 10,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
	}

	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Query sends r to the instance at address. The error is a *Refusal: that of the instance, or one with outcome NotRun if no
// byte was handed to a connection, and Unknown if the connection or the reply failed after that. The time is bounded by ctx
// alone.
func (c *Client) Query(ctx context.Context, address netip.AddrPort, r Request) (Answer, error) {
	refuse := func(outcome target.Outcome, code Code, format string, args ...any) (Answer, error) {
		return Answer{}, &Refusal{
			RequestID: r.RequestID, Service: r.Service, Outcome: outcome, Code: code, Message: fmt.Sprintf(format, args...),
		}
	}
	if err := r.Check(); err != nil {
		return refuse(target.NotRun, BadRequest, "%s", err)
	}
	body, err := json.Marshal(r)
	if err != nil {
		return refuse(target.NotRun, BadRequest, "%s", err)
	}
	var sending attempt
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sending.use})
	// A body that is not one of the types known to NewRequest has no GetBody, so that net/http cannot send it again.
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+QueryPath, io.MultiReader(bytes.NewReader(body)))
	if err != nil {
		return refuse(target.NotRun, BadRequest, "%s", err)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")

	response, err := c.transport.RoundTrip(request)
	if err != nil {
		switch {
		case !sending.seal():
			return refuse(target.Unknown, Lost, "%s", err)
		case isDone(ctx):
			return refuse(target.NotRun, TooLate, "%s", err)
		default:
			return refuse(target.NotRun, Unreachable, "%s", err)
		}
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return refuse(target.Unknown, Lost, "the reply is cut: %s", err)
	}
	if len(reply) > MaxAnswerBytes {
		return refuse(target.Unknown, Lost, "the reply is over %d bytes", MaxAnswerBytes)
	}
	answer, err := decodeReply(response.StatusCode, reply, r)
	if err != nil {
		var refusal *Refusal
		if errors.As(err, &refusal) {
			return Answer{}, refusal
		}

		return refuse(target.Unknown, Lost, "status %d: %s", response.StatusCode, err)
	}

	return answer, nil
}

// isDone reports whether ctx has ended. Err is not called for it, because that of clockwork's fake contexts blocks until then.
func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

// decodeReply returns the answer, or the refusal as a *Refusal. Any other error means that the reply is neither.
func decodeReply(status int, reply []byte, r Request) (answer Answer, err error) {
	if status != http.StatusOK {
		var refusal Refusal
		if err := json.Unmarshal(reply, &refusal); err != nil {
			return Answer{}, err
		}
		if refusal.Code == "" || refusal.Outcome != target.NotRun && refusal.Outcome != target.Unknown {
			return Answer{}, errors.New("the body is no refusal")
		}
		if r.RequestID != "" && refusal.RequestID != "" && refusal.RequestID != r.RequestID {
			return Answer{}, fmt.Errorf("the refusal belongs to request %q", refusal.RequestID)
		}

		return Answer{}, &refusal
	}
	if err := json.Unmarshal(reply, &answer); err != nil {
		return Answer{}, err
	}
	if r.RequestID == "" {
		r.RequestID = answer.RequestID
	}
	if err := answer.matches(r); err != nil {
		return Answer{}, err
	}

	return answer, nil
}
