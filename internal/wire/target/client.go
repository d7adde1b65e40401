package target

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
	"net/url"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
)

// HopMargin is the part of the remaining time that a hop keeps for itself.
const HopMargin = 2 * time.Millisecond

const (
	defaultConnections    = 8
	defaultIdle           = 4096
	defaultConnectTimeout = time.Second
	// statusTimeout bounds a status poll whose context has no deadline; polls are a second apart.
	statusTimeout = 2 * time.Second
	// idleTimeout is below the usual 60 s after which targets close idle connections themselves.
	idleTimeout = 30 * time.Second
	// maxStale bounds the idle connections that one attempt tries that turn out to be closed before the first byte.
	maxStale       = 4
	maxHeaderBytes = 64 << 10
)

// Client sends queries to targets. It is safe for concurrent use. Function fields are set before the first use.
type Client struct {
	// OnStalled is called when a connection gave no byte within the time of an attempt and was closed.
	OnStalled func(address netip.AddrPort)
	// OnBound is called when an attempt ran out of time because all connections to its target were in use.
	OnBound func(address netip.AddrPort)

	timers         *timer.Service
	log            *event.Log
	transport      *http.Transport
	pool           *pool
	connectTimeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithConnections bounds the open connections to each target.
func WithConnections(n int) Option {
	return func(c *Client) {
		c.transport.MaxConnsPerHost = n
		c.transport.MaxIdleConnsPerHost = n
	}
}

// WithIdleConnections bounds the idle connections to all targets together.
func WithIdleConnections(n int) Option {
	return func(c *Client) { c.transport.MaxIdleConns = n }
}

// WithConnectTimeout bounds the time to open a connection.
func WithConnectTimeout(d time.Duration) Option {
	return func(c *Client) { c.connectTimeout = d }
}

// WithLog sets the log for stalled connections and mismatched replies.
func WithLog(log *event.Log) Option {
	return func(c *Client) { c.log = log }
}

// NewClient returns a Client with at most 8 connections to each target unless an option says otherwise.
func NewClient(timers *timer.Service, options ...Option) *Client {
	c := &Client{
		timers:         timers,
		pool:           &pool{timers: timers, conns: make(map[netip.AddrPort]map[*conn]struct{})},
		connectTimeout: defaultConnectTimeout,
	}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        defaultConnections,
		MaxIdleConnsPerHost:    defaultConnections,
		MaxIdleConns:           defaultIdle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	for _, option := range options {
		option(c)
	}

	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Query sends q to the target at address. The timeout of q is shortened to the time that ctx leaves. The error is a
// *Failure.
func (c *Client) Query(ctx context.Context, address netip.AddrPort, q *Query) (Reply, error) {
	sent := *q
	if deadline, ok := ctx.Deadline(); ok {
		remaining := c.timers.Until(deadline) - HopMargin
		if remaining <= 0 {
			return Reply{}, &Failure{Outcome: NotRun, Code: TooLate, Message: "no time remains for the target"}
		}
		if sent.Timeout <= 0 || remaining < sent.Timeout.Std() {
			sent.Timeout = duration.Duration(remaining)
		}
	}
	if err := sent.Check(); err != nil {
		return Reply{}, &Failure{Outcome: NotRun, Code: BadQuery, Message: err.Error()}
	}
	body, err := json.Marshal(&sent)
	if err != nil {
		return Reply{}, &Failure{Outcome: NotRun, Code: BadQuery, Message: err.Error()}
	}
	ctx, cancel := c.timers.WithTimeout(ctx, sent.Timeout.Std()+HopMargin)
	defer cancel()

	status, data, failure := c.exchange(ctx, address, http.MethodPost, QueryPath, body)
	if failure != nil {
		return Reply{}, failure
	}
	if status != http.StatusOK {
		return Reply{}, c.refused(address, status, data, &sent)
	}
	var reply Reply
	if err := json.Unmarshal(data, &reply); err != nil {
		return Reply{}, &Failure{Outcome: Unknown, Code: Malformed, Message: err.Error()}
	}
	if err := reply.Matches(&sent); err != nil {
		return Reply{}, c.mismatched(address, err)
	}

	return reply, nil
}

// Status asks the target at address for its report. The error is a *Failure.
func (c *Client) Status(ctx context.Context, address netip.AddrPort) (Report, error) {
	ctx, cancel := c.timers.WithTimeout(ctx, statusTimeout)
	defer cancel()

	status, data, failure := c.exchange(ctx, address, http.MethodGet, StatusPath, nil)
	if failure != nil {
		return Report{}, failure
	}
	if status != http.StatusOK {
		return Report{}, &Failure{Outcome: Unknown, Code: Malformed, Message: fmt.Sprintf("status %d for a report", status)}
	}
	var report Report
	err := decodeStrict(data, &report)
	if err == nil {
		err = report.Check()
	}
	if err != nil {
		return Report{}, &Failure{Outcome: Unknown, Code: Malformed, Message: err.Error()}
	}

	return report, nil
}

// refused turns the body of a status other than 200 into a Failure.
func (c *Client) refused(address netip.AddrPort, status int, data []byte, sent *Query) *Failure {
	var refusal Refusal
	if err := json.Unmarshal(data, &refusal); err != nil {
		return &Failure{Outcome: Unknown, Code: Malformed, Message: fmt.Sprintf("status %d: %v", status, err)}
	}
	if err := refusal.Matches(sent); err != nil {
		return c.mismatched(address, err)
	}
	failure := &Failure{Outcome: Unknown, Code: refusal.Code, Message: refusal.Message, Report: &refusal.Report}
	if refusal.NotRun {
		failure.Outcome = NotRun
	}

	return failure
}

func (c *Client) mismatched(address netip.AddrPort, err error) *Failure {
	c.log.Log(event.TargetMismatch, "Address", address, "Message", err)

	return &Failure{Outcome: Unknown, Code: Mismatched, Message: err.Error()}
}

// exchange sends one request and reads the whole body of the response. An idle connection that fails before the first
// byte was closed by the target in the meantime, which says nothing about the target, so another connection is tried.
func (c *Client) exchange(
	ctx context.Context,
	address netip.AddrPort,
	method, path string,
	body []byte,
) (status int, data []byte, failure *Failure) {
	for range maxStale {
		var stale bool
		status, data, stale, failure = c.exchangeOnce(ctx, address, method, path, body)
		if !stale {
			break
		}
	}

	return status, data, failure
}

func (c *Client) exchangeOnce(
	ctx context.Context,
	address netip.AddrPort,
	method, path string,
	body []byte,
) (status int, data []byte, stale bool, failure *Failure) {
	var (
		used     *conn
		reused   bool
		exchange uint64
		started  = c.timers.Now()
	)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used, reused = info.Conn.(*conn), info.Reused
		exchange = used.begin()
	}}
	response, err := c.transport.RoundTrip(request(httptrace.WithClientTrace(ctx, trace), address, method, path, body))
	if err != nil {
		failure = c.failed(ctx, address, used, started, err)
		failure.Reused = reused
		if reused && failure.Code == Broken {
			// Whatever broke an old connection usually broke all that were open.
			c.pool.closeUnproven(address, started)
		}
		stale = failure.Code == Unreachable && reused && ctx.Err() == nil

		return 0, nil, stale, failure
	}
	defer response.Body.Close()
	data, err = io.ReadAll(io.LimitReader(response.Body, MaxReplyBytes+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return 0, nil, false, c.failed(ctx, address, used, started, err)
	case err != nil:
		return 0, nil, false, &Failure{Outcome: Unknown, Code: Malformed, Message: "the reply is cut short: " + err.Error()}
	case len(data) > MaxReplyBytes:
		return 0, nil, false, &Failure{
			Outcome: Unknown,
			Code:    Malformed,
			Message: fmt.Sprintf("the reply is over %d bytes", MaxReplyBytes),
		}
	}
	used.end(exchange)

	return response.StatusCode, data, false, nil
}

// request returns a request that net/http cannot repeat: it has no GetBody, and its method is not replayable when it
// carries a query.
func request(ctx context.Context, address netip.AddrPort, method, path string, body []byte) *http.Request {
	r := &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: address.String(), Path: path},
		Host:   address.String(),
		Header: make(http.Header),
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.ContentLength = int64(len(body))
	}

	return r.WithContext(ctx)
}

// failed classifies the error of an exchange. The used connection is nil when none was obtained.
func (c *Client) failed(ctx context.Context, address netip.AddrPort, used *conn, started time.Time, err error) *Failure {
	var written, read bool
	if used != nil {
		written, read = used.seal()
	}
	failure := &Failure{Outcome: NotRun, Code: Unreachable, Message: err.Error()}
	if written {
		failure.Outcome, failure.Code = Unknown, Broken
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		failure.Code = Cancelled
	case ctx.Err() == nil:
	case !written && used == nil && c.pool.open(address) >= c.transport.MaxConnsPerHost && c.transport.MaxConnsPerHost > 0:
		failure.Code, failure.Message = TooLate, "all connections to the target were in use"
		if c.OnBound != nil {
			c.OnBound(address)
		}
	case written && !read:
		failure.Code = Stalled
		c.stalled(address, started)
	}

	return failure
}

// stalled is called after net/http has closed the connection that gave no byte.
func (c *Client) stalled(address netip.AddrPort, started time.Time) {
	c.pool.closeUnproven(address, started)
	c.log.Log(event.ConnectionStalled, "Address", address)
	if c.OnStalled != nil {
		c.OnStalled(address)
	}
}

func (c *Client) dial(ctx context.Context, network, host string) (_ net.Conn, err error) {
	defer func() { err = Error.Wrap(err) }()

	address, err := netip.ParseAddrPort(host)
	if err != nil {
		return nil, err
	}
	// The dialer compares deadlines of a context with the system clock, so the timeout cancels instead.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := c.timers.AfterFunc(c.connectTimeout, cancel)
	defer stop()
	var dialer net.Dialer
	inner, err := dialer.DialContext(ctx, network, host)
	if err != nil {
		return nil, err
	}

	return c.pool.add(inner, address), nil
}
