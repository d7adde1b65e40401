package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/standin/operator"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

const (
	// maxWait is the longest wait that a watch may request, and pageSize the largest number of items in a page of a listing.
	maxWait  = 30 * time.Second
	pageSize = 500
	// maxBodyBytes fits a value of wire.MaxValueBytes in base64 together with the JSON around it.
	maxBodyBytes = 2 << 20
)

// row is the JSON form of a control.Entry.
type row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Gone     bool   `json:"deleted,omitempty"`
}

// answer is the JSON body of all responses, and of requests that grant a lease.
type answer struct {
	*row
	Items      []row  `json:"items,omitempty"`
	Events     []row  `json:"events,omitempty"`
	More       bool   `json:"hasMore"`
	CurrentRev uint64 `json:"currentRev"`
	Lease      uint64 `json:"lease,omitempty"`
	TTLMs      int64  `json:"ttlMs,omitempty"`
}

type transaction struct {
	Precondition []row `json:"precondition"`
	Puts         []struct {
		Key   string        `json:"key"`
		Value []byte        `json:"value"`
		Lease control.Lease `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

// client serves the calls of the clients in one availability zone.
type client struct {
	*Platform
	zone zone.Zone
}

// Handler returns the HTTP interface of the stand-in.
func (p *Platform) Handler() http.Handler { return p.HandlerIn("") }

// HandlerIn returns the HTTP interface for the clients in an availability zone. An empty zone is no zone.
func (p *Platform) HandlerIn(z zone.Zone) http.Handler {
	c := &client{Platform: p, zone: z}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", c.call(c.read))
	mux.HandleFunc("GET /-/kv-range", c.call(c.list))
	mux.HandleFunc("GET /-/kv-watch", c.call(c.watch))
	mux.HandleFunc("POST /-/kv-txn", c.call(c.commit))
	mux.HandleFunc("POST /-/kv-lease", c.call(c.grant))
	mux.HandleFunc("POST /-/kv-keep/{id}", c.call(c.renew))
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", c.call(c.end))

	mux.HandleFunc("PUT "+FaultPath, p.putFault)
	mux.HandleFunc("GET "+FaultPath, func(w http.ResponseWriter, _ *http.Request) { send(w, http.StatusOK, p.Faults()) })
	mux.HandleFunc("GET "+CallsPath, func(w http.ResponseWriter, _ *http.Request) { send(w, http.StatusOK, p.Calls()) })

	return mux
}

// call wraps the handler of a call: it counts the call, applies the active faults, and writes the response.
func (c *client) call(serve func(r *http.Request) (int, answer)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		standing := c.faults.standing(c.zone)
		abortIf(standing.down)
		c.count(func(calls *Calls) { calls.Total++ })
		if standing.busy || c.faults.overloaded(c.timers.Now(), c.zone) {
			c.count(func(calls *Calls) { calls.Refused++ })
			status := http.StatusTooManyRequests
			if standing.busy {
				status = http.StatusServiceUnavailable
			}
			send(w, status, struct{}{})

			return
		}
		if standing.silent {
			<-r.Context().Done()
			abortIf(true)
		}
		if standing.slow > 0 {
			over := make(chan struct{})
			stop := c.timers.AfterFunc(standing.slow, func() { close(over) })
			defer stop()
			select {
			case <-over:
			case <-r.Context().Done():
				abortIf(true)
			}
		}
		status, result := serve(r)
		send(w, status, result)
	}
}

// abortIf aborts the running handler if condition is true, so that net/http closes the connection without a response.
func abortIf(condition bool) {
	if condition {
		panic(http.ErrAbortHandler)
	}
}

func rows(entries []control.Entry) []row {
	out := make([]row, 0, len(entries))
	for _, e := range entries {
		out = append(out, row{Key: e.Key, Value: e.Value, Revision: e.Revision, Gone: e.Gone})
	}

	return out
}

func (c *client) read(r *http.Request) (int, answer) {
	c.count(func(calls *Calls) { calls.Read++ })
	found, revision, err := c.store.Own().Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil || found.Gone {
		return failure(err, http.StatusNotFound), answer{CurrentRev: revision}
	}

	return http.StatusOK, answer{row: &rows([]control.Entry{found})[0], CurrentRev: revision}
}

func (c *client) list(r *http.Request) (int, answer) {
	c.count(func(calls *Calls) { calls.List++ })
	query := r.URL.Query()
	prefix, after := query.Get("prefix"), query.Get("after")
	entries, revision, err := c.store.Own().List(r.Context(), prefix)
	if err != nil {
		return failure(err, http.StatusOK), answer{}
	}
	if frozen := c.faults.standing(c.zone).frozen; frozen != nil && prefix == operator.EntryKey("") {
		entries = frozen
	}
	for len(entries) > 0 && after != "" && entries[0].Key <= after {
		entries = entries[1:]
	}
	more := len(entries) > pageSize

	return http.StatusOK, answer{Items: rows(entries[:min(pageSize, len(entries))]), More: more, CurrentRev: revision}
}

func (c *client) watch(r *http.Request) (int, answer) {
	c.count(func(calls *Calls) { calls.Watch++; calls.Waiting++ })
	defer c.count(func(calls *Calls) { calls.Waiting-- })
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("waitMs"))
	if err != nil || err2 != nil || time.Duration(wait)*time.Millisecond > maxWait {
		return http.StatusBadRequest, answer{}
	}
	until := c.timers.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		standing := c.faults.standing(c.zone)
		abortIf(standing.down)
		if standing.silentWatch {
			select {
			case <-standing.changed:
			case <-r.Context().Done():
				abortIf(true)
			}

			continue
		}
		// Stop waiting when the faults change, so that a new fault applies to this watch.
		ctx, cancel := context.WithCancel(r.Context())
		go func() {
			select {
			case <-standing.changed:
				cancel()
			case <-ctx.Done():
			}
		}()
		changes, revision, err := c.store.Own().Wait(ctx, query.Get("prefix"), after, max(0, c.timers.Until(until)))
		cancelled := ctx.Err() != nil && r.Context().Err() == nil
		cancel()
		if cancelled && err != nil {
			continue
		}
		abortIf(c.faults.standing(c.zone).down)

		return failure(err, http.StatusOK), answer{Events: rows(changes), CurrentRev: revision}
	}
}

func (c *client) commit(r *http.Request) (int, answer) {
	c.count(func(calls *Calls) { calls.Commit++ })
	var t transaction
	if !decode(r, &t) || len(t.Precondition)+len(t.Puts)+len(t.Deletes) > control.MaxChanges {
		return http.StatusBadRequest, answer{}
	}
	change := control.Transaction{Expect: make(map[string]uint64), Deletes: t.Deletes}
	for _, p := range t.Precondition {
		change.Expect[p.Key] = p.Revision
	}
	for _, p := range t.Puts {
		if wire.CheckKey(p.Key) != nil {
			return http.StatusBadRequest, answer{}
		}
		if len(p.Value) > wire.MaxValueBytes {
			return http.StatusRequestEntityTooLarge, answer{}
		}
		if strings.HasPrefix(p.Key, operator.EntryKey("")) || p.Key == operator.ConfigurationKey {
			return http.StatusForbidden, answer{}
		}
		p.Value = c.rewrite(p.Key, p.Value)
		change.Puts = append(change.Puts, control.Put(p))
	}

	return c.write(r, func() (int, answer) {
		revision, err := c.store.Own().Commit(context.Background(), change)

		return failure(err, http.StatusOK), answer{row: &row{Revision: revision}, CurrentRev: revision}
	})
}

// write calls do and applies LoseReply and DelayWrite.
func (c *client) write(r *http.Request, do func() (int, answer)) (int, answer) {
	lose, delay, after := c.faults.takeWrite(c.zone)
	if delay {
		// net/http cancels the context when the client closes the connection, because the body was read completely.
		<-r.Context().Done()
		c.timers.AfterFunc(after, func() {
			do()
			c.count(func(calls *Calls) { calls.LateWrites++ })
		})
		abortIf(true)
	}
	status, result := do()
	abortIf(lose)

	return status, result
}

func (c *client) grant(r *http.Request) (int, answer) {
	c.count(func(calls *Calls) { calls.GrantLease++ })
	var asked answer
	if !decode(r, &asked) {
		return http.StatusBadRequest, answer{}
	}
	lease, ttl, err := c.store.Own().Grant(r.Context(), time.Duration(asked.TTLMs)*time.Millisecond)

	return failure(err, http.StatusOK), answer{Lease: uint64(lease), TTLMs: ttl.Milliseconds()}
}

func (c *client) renew(r *http.Request) (int, answer) {
	c.count(func(calls *Calls) { calls.RenewLease++ })

	return failure(c.store.Own().Renew(r.Context(), leaseOf(r)), http.StatusOK), answer{}
}

func (c *client) end(r *http.Request) (int, answer) {
	c.count(func(calls *Calls) { calls.EndLease++ })

	return failure(c.store.Own().End(r.Context(), leaseOf(r)), http.StatusOK), answer{}
}

func leaseOf(r *http.Request) control.Lease {
	// The error is ignored: ParseUint returns 0 for text that is not a number, and no lease has the ID 0.
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)

	return control.Lease(id)
}

func (p *Platform) putFault(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		var list []Fault
		if list, err = decodeFaults(data); err == nil {
			p.SetFaults(list...)
			send(w, http.StatusOK, p.Faults())

			return
		}
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
}

// decode decodes the body of a request and reports whether it is valid JSON of at most maxBodyBytes.
func decode(r *http.Request, into any) bool {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))

	return err == nil && json.Unmarshal(data, into) == nil
}

// failure maps an error of the store to a status, and nil to otherwise.
func failure(err error, otherwise int) int {
	switch {
	case err == nil:
		return otherwise
	case errors.Is(err, control.ErrConflict):
		return http.StatusPreconditionFailed
	case errors.Is(err, control.ErrLeaseEnded):
		return http.StatusNotFound
	case errors.Is(err, control.ErrForgotten):
		return http.StatusGone
	default:
		return http.StatusServiceUnavailable
	}
}

func send(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}
