package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

const (
	// The store answers in milliseconds; a call that takes this long is lost.
	defaultTimeout = 2 * time.Second
	// The platform bounds a watch itself, at 30 s. A watch that takes longer is on a stalled connection.
	defaultWatchTimeout = 45 * time.Second
	// An instance has a watch, a few claims and a read of the list under way. More calls wait for a connection, which
	// counts against their timeout.
	maxConnections     = 32
	maxIdleConnections = 4
	idleTimeout        = 60 * time.Second
)

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	address      netip.AddrPort
	timers       *timer.Service
	zone         zone.Zone
	timeout      time.Duration
	watchTimeout time.Duration
	http         *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithZone names the availability zone of the client in each call.
func WithZone(z zone.Zone) Option {
	return func(c *Client) { c.zone = z }
}

// WithTimeout bounds each call but watches.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithWatchTimeout bounds a watch. It must exceed the time after which the platform answers a watch without a change.
func WithWatchTimeout(d time.Duration) Option {
	return func(c *Client) { c.watchTimeout = d }
}

// NewClient returns a client of the platform at address.
func NewClient(address netip.AddrPort, timers *timer.Service, options ...Option) *Client {
	c := &Client{
		address:      address,
		timers:       timers,
		timeout:      defaultTimeout,
		watchTimeout: defaultWatchTimeout,
	}
	for _, option := range options {
		option(c)
	}
	var dialer net.Dialer
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}

				return &connection{Conn: conn}, nil
			},
			DisableCompression:  true,
			MaxConnsPerHost:     maxConnections,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
		},
		// Following a redirect would send a write twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}

	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Read returns the entry of key. An absent key has version 0.
func (c *Client) Read(ctx context.Context, key string) (entry Entry, err error) {
	defer func() { err = annotate("read", key, err) }()
	if err := CheckKey(key); err != nil {
		return Entry{}, err
	}

	return c.stored(ctx, key, call{path: StorePath, segment: key, timeout: c.timeout})
}

// Watch returns the entry of key as soon as its version exceeds after. If that does not happen within a time that the
// platform sets, it returns the entry as it is.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (entry Entry, err error) {
	defer func() { err = annotate("watch", key, err) }()
	if err := CheckKey(key); err != nil {
		return Entry{}, err
	}
	query := url.Values{AfterParameter: {strconv.FormatUint(after, 10)}}

	return c.stored(ctx, key, call{path: WatchPath, segment: key, query: query, timeout: c.watchTimeout})
}

func (c *Client) stored(ctx context.Context, key string, read call) (Entry, error) {
	var reply Stored
	read.method, read.reply, read.check = http.MethodGet, &reply, reply.Check
	if err := c.do(ctx, read); err != nil {
		return Entry{}, err
	}

	return Entry{Key: key, Value: reply.Value, Version: reply.Version}, nil
}

// CompareAndSwap writes value under key if the version of key is expected, where 0 means absent, and returns the new
// version. With a lease, the key vanishes when the lease lapses.
func (c *Client) CompareAndSwap(
	ctx context.Context,
	key string,
	value []byte,
	expected uint64,
	lease LeaseID,
) (version uint64, err error) {
	defer func() { err = annotate("compare-and-swap", key, err) }()
	if err := CheckKey(key); err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("value: has %d bytes, at most %d are accepted", len(value), MaxValueBytes)
	}
	var reply Stored
	err = c.do(ctx, call{
		method:  http.MethodPut,
		path:    StorePath,
		segment: key,
		body:    Write{Value: value, Expected: expected, Lease: lease},
		reply:   &reply,
		check: func() error {
			if reply.Version == 0 {
				return fault.Fault{Path: "Version", Message: "must not be 0"}
			}

			return nil
		},
		timeout: c.timeout,
	})

	return reply.Version, err
}

// Delete deletes key if its version is expected.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) (err error) {
	defer func() { err = annotate("delete", key, err) }()
	if err := CheckKey(key); err != nil {
		return err
	}

	return c.do(ctx, call{
		method:  http.MethodDelete,
		path:    StorePath,
		segment: key,
		query:   url.Values{ExpectedParameter: {strconv.FormatUint(expected, 10)}},
		timeout: c.timeout,
	})
}

// GrantLease returns a new lease. The platform may grant another time than ttl.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (lease Lease, err error) {
	defer func() { err = annotate("grant lease", "", err) }()

	return c.lease(ctx, call{path: LeasesPath, body: Grant{TTL: duration.Duration(ttl)}})
}

// RenewLease makes the lease last its time again, from now.
func (c *Client) RenewLease(ctx context.Context, id LeaseID) (lease Lease, err error) {
	defer func() { err = annotate("renew lease", string(id), err) }()
	if err := CheckKey(string(id)); err != nil {
		return Lease{}, err
	}

	return c.lease(ctx, call{path: LeasesPath + "/", segment: string(id), body: struct{}{}})
}

func (c *Client) lease(ctx context.Context, post call) (Lease, error) {
	var reply Grant
	post.method, post.reply, post.timeout = http.MethodPost, &reply, c.timeout
	post.check = func() error {
		if reply.TTL <= 0 {
			return fault.Fault{Path: "TTL", Message: "must be positive"}
		}

		return CheckKey(string(reply.ID))
	}
	if err := c.do(ctx, post); err != nil {
		return Lease{}, err
	}

	return Lease{ID: reply.ID, TTL: reply.TTL.Std()}, nil
}

// RevokeLease ends a lease and deletes its keys.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) (err error) {
	defer func() { err = annotate("revoke lease", string(id), err) }()
	if err := CheckKey(string(id)); err != nil {
		return err
	}

	return c.do(ctx, call{method: http.MethodDelete, path: LeasesPath + "/", segment: string(id), timeout: c.timeout})
}

// List returns the platform's list of instances and targets. It lags. A list with any bad entry is refused as a whole.
func (c *Client) List(ctx context.Context) (listed []Listed, err error) {
	defer func() { err = annotate("list", "", err) }()
	var reply Listing
	err = c.do(ctx, call{
		method: http.MethodGet, path: ListPath, reply: &reply, maxReply: MaxListBytes, timeout: c.timeout,
	})
	if err != nil {
		return nil, err
	}

	return reply.Entries, nil
}

// annotate says which operation failed.
func annotate(operation, key string, err error) error {
	if err == nil {
		return nil
	}
	if key != "" {
		return Error.Wrap(fmt.Errorf("%s %q: %w", operation, key, err))
	}

	return Error.Wrap(fmt.Errorf("%s: %w", operation, err))
}

// call is one call of the platform.
type call struct {
	method  string
	path    string
	segment string
	query   url.Values
	body    any
	// reply receives the body of a success, which check then checks. Both may be nil.
	reply    any
	check    func() error
	maxReply int64
	timeout  time.Duration
}

// writes reports whether a repetition of the call may have another effect than the call alone.
func (c *call) writes() bool {
	return c.method != http.MethodGet
}

// lost returns the error of a call without a usable reply.
func (c *call) lost(cause error) error {
	if c.writes() {
		return fmt.Errorf("%w: %w", ErrUnknown, cause)
	}

	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

func (c *Client) do(ctx context.Context, call call) error {
	var body []byte
	if call.body != nil {
		var err error
		if body, err = json.Marshal(call.body); err != nil {
			return err
		}
	}
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	default:
	}
	// The deadline of ctx is on the clock of the timer service, which package net does not know. Only its end is
	// passed on.
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	stopParent := context.AfterFunc(ctx, func() { cancel(ctx.Err()) })
	defer stopParent()
	stopTimer := c.timers.AfterFunc(call.timeout, func() { cancel(fmt.Errorf("no reply within %s", call.timeout)) })
	defer stopTimer()

	// An idle connection that the platform closed says nothing about the platform, so a request that was not touched
	// is sent once more on another connection. After an outage all idle connections can be closed.
	var (
		again bool
		err   error
	)
	for range maxIdleConnections + 1 {
		if again, err = c.attempt(detached, call, body); !again || detached.Err() != nil {
			break
		}
	}

	return err
}

// attempt sends the request once. again is true if an idle connection failed before anything was written.
func (c *Client) attempt(ctx context.Context, call call, body []byte) (again bool, err error) {
	var trail trail
	request, err := c.request(httptrace.WithClientTrace(ctx, trail.trace()), call, body)
	if err != nil {
		return false, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		touched, reused := trail.close()
		if !touched {
			return reused, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}

		return false, call.lost(err)
	}
	defer response.Body.Close()

	limit := int64(MaxMessageBytes)
	if call.maxReply > 0 {
		limit = call.maxReply
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}

		return false, call.lost(fmt.Errorf("reply: %w", err))
	}
	if int64(len(data)) > limit {
		return false, call.lost(fmt.Errorf("reply: is over %d bytes", limit))
	}
	if response.StatusCode != http.StatusOK {
		return false, refused(call, response.StatusCode, data)
	}

	return false, accept(call, data)
}

func (c *Client) request(ctx context.Context, call call, body []byte) (*http.Request, error) {
	target := url.URL{
		Scheme:   "http",
		Host:     c.address.String(),
		Path:     call.path + call.segment,
		RawPath:  call.path + url.PathEscape(call.segment),
		RawQuery: call.query.Encode(),
	}
	// The reader is wrapped so that the request has no GetBody, without which net/http does not repeat it.
	var reader io.Reader
	if body != nil {
		reader = io.NopCloser(bytes.NewReader(body))
	}
	request, err := http.NewRequestWithContext(ctx, call.method, target.String(), reader)
	if err != nil {
		return nil, err
	}
	if body != nil {
		request.ContentLength = int64(len(body))
		request.Header.Set("Content-Type", "application/json")
	}
	if c.zone != "" {
		request.Header.Set(ZoneHeader, EscapeZone(c.zone))
	}

	return request, nil
}

// accept decodes the body of a success. A write with an undecodable reply may have had its effect.
func accept(call call, data []byte) error {
	if call.reply == nil {
		return nil
	}
	if err := json.Unmarshal(data, call.reply); err != nil {
		return call.lost(fmt.Errorf("reply: %w", err))
	}
	if call.check != nil {
		if err := call.check(); err != nil {
			return call.lost(fmt.Errorf("reply: %w", err))
		}
	}

	return nil
}

// refused returns the error for a status other than success. Only a refusal that the platform itself wrote proves that
// nothing was written.
func refused(call call, status int, data []byte) error {
	var refusal Refusal
	if err := json.Unmarshal(data, &refusal); err != nil {
		return call.lost(fmt.Errorf("status %d without a refusal", status))
	}
	const maxMessage = 200
	message := refusal.Message[:min(len(refusal.Message), maxMessage)]
	switch refusal.Code {
	case Conflict:
		return fmt.Errorf("%w: %s", ErrConflict, message)
	case LeaseLapsed:
		return fmt.Errorf("%w: %s", ErrLeaseLapsed, message)
	case Overloaded:
		return fmt.Errorf("%w: %s: %s", ErrUnavailable, refusal.Code, message)
	case TooLarge, BadRequest:
		return fmt.Errorf("%s: %s", refusal.Code, message)
	default:
		return call.lost(fmt.Errorf("status %d with the code %q", status, refusal.Code))
	}
}
