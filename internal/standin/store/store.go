// Package store is a stand-in for the users' metadata store: its calls over HTTP, on a store in memory, with faults.
//
//	s := store.New(memory.New(timers))
//	http.Serve(listener, s)
//	s.SetFault(store.Lost) // writes are done and their answers are lost
package store

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/standin/memory"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
)

// Fault is a way in which the store misbehaves.
type Fault string

// The faults.
const (
	None Fault = ""
	// Busy answers every call with 503, Silent with nothing, and Slow after a second.
	Busy   Fault = "Busy"
	Silent Fault = "Silent"
	Slow   Fault = "Slow"
	// Lost makes writes and closes the connection without an answer.
	Lost Fault = "Lost"
	// Deaf makes calls that wait hear of no changes.
	Deaf Fault = "Deaf"
)

// silence bounds a call that is not answered.
const silence = 30 * time.Second

// Server answers the calls of the store.
type Server struct {
	memory *memory.Store
	fault  atomic.Value
}

// New returns a Server without faults.
func New(m *memory.Store) *Server {
	s := &Server{memory: m}
	s.fault.Store(None)

	return s
}

// SetFault makes the store misbehave from now on.
func (s *Server) SetFault(f Fault) {
	s.fault.Store(f)
	s.memory.SetDeaf(f == Deaf)
}

type row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Gone     bool   `json:"deleted,omitempty"`
}

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

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := s.fault.Load().(Fault)
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	case Silent:
		select {
		case <-r.Context().Done():
		case <-time.After(silence):
		}

		return
	case Slow:
		time.Sleep(time.Second)
	}
	status, result := s.call(r)
	if fault == Lost && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that is gone does not read the answer.
	_ = json.NewEncoder(w).Encode(result)
}

func rows(entries []control.Entry) []row {
	out := make([]row, 0, len(entries))
	for _, e := range entries {
		out = append(out, row{Key: e.Key, Value: e.Value, Revision: e.Revision, Gone: e.Gone})
	}

	return out
}

func (s *Server) call(r *http.Request) (int, answer) {
	own, ctx := s.memory.Own(), r.Context()
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		entries, revision, err := own.List(ctx, r.URL.Query().Get("key"))
		if err == nil && len(entries) > 0 {
			return http.StatusOK, answer{row: &rows(entries)[0], CurrentRev: revision}
		}

		return failure(err, http.StatusNotFound), answer{CurrentRev: revision}
	case path == "/-/kv-range":
		entries, revision, err := own.List(ctx, r.URL.Query().Get("prefix"))

		return failure(err, http.StatusOK), answer{Items: rows(entries), CurrentRev: revision}
	case path == "/-/kv-watch":
		return s.watch(ctx, r)
	case path == "/-/kv-txn":
		return s.commit(r)
	case path == "/-/kv-lease":
		var asked answer
		if json.NewDecoder(r.Body).Decode(&asked) != nil {
			return http.StatusBadRequest, answer{}
		}
		lease, err := own.Grant(ctx, time.Duration(asked.TTLMs)*time.Millisecond)

		return failure(err, http.StatusOK), answer{Lease: uint64(lease), TTLMs: asked.TTLMs}
	case strings.HasPrefix(path, "/-/kv-keep/"):
		return failure(own.Renew(ctx, leaseOf(path)), http.StatusOK), answer{}
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		return failure(own.End(ctx, leaseOf(path)), http.StatusOK), answer{}
	default:
		return http.StatusBadRequest, answer{}
	}
}

func (s *Server) watch(ctx context.Context, r *http.Request) (int, answer) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("waitMs"))
	if err != nil || err2 != nil {
		return http.StatusBadRequest, answer{}
	}
	changes, revision, err := s.memory.Own().Wait(ctx, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)

	return failure(err, http.StatusOK), answer{Events: rows(changes), CurrentRev: revision}
}

func (s *Server) commit(r *http.Request) (int, answer) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Precondition)+len(t.Puts)+len(t.Deletes) > control.MaxChanges {
		return http.StatusBadRequest, answer{}
	}
	change := control.Transaction{Expect: make(map[string]uint64), Deletes: t.Deletes}
	for _, p := range t.Precondition {
		change.Expect[p.Key] = p.Revision
	}
	for _, p := range t.Puts {
		change.Puts = append(change.Puts, control.Put(p))
	}
	revision, err := s.memory.Own().Commit(r.Context(), change)

	return failure(err, http.StatusOK), answer{row: &row{Revision: revision}}
}

func leaseOf(path string) control.Lease {
	// A text that is no number names no lease.
	id, _ := strconv.ParseUint(path[strings.LastIndex(path, "/")+1:], 10, 64)

	return control.Lease(id)
}

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
