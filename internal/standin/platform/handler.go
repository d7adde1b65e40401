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
	// maxWatchWait is the longest wait that a watch may request, and pageSize the maximum number of items in a page of a listing.
	maxWatchWait = 30 * time.Second
	pageSize     = 500
	// maxBodyBytes fits a value of wire.MaxValueBytes in base64 together with the JSON around it.
	maxBodyBytes = 2 << 20
)

// keyValue is the JSON form of a control.Entry.
type keyValue struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// payload is the JSON body of responses to clients, and of the requests that grant a lease.
type payload struct {
	*keyValue
	Items      []keyValue `json:"items,omitempty"`
	Events     []keyValue `json:"events,omitempty"`
	More       bool       `json:"hasMore"`
	CurrentRev uint64     `json:"currentRev"`
	Lease      uint64     `json:"lease,omitempty"`
	TTLMs      int64      `json:"ttlMs,omitempty"`
}

// transaction is the JSON form of a control.Transaction.
type transaction struct {
	Precondition []keyValue `json:"precondition"`
	Puts         []struct {
		Key   string        `json:"key"`
		Value []byte        `json:"value"`
		Lease control.Lease `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

// zoneHandler serves the calls of the clients in one availability zone.
type zoneHandler struct {
	*Platform
	zone zone.Zone
}

// Handler returns the HTTP interface of the stand-in.
func (p *Platform) Handler() http.Handler { return p.HandlerIn("") }

// HandlerIn returns the HTTP interface for the clients in an availability zone. If z is empty, only the faults that are not
// restricted to zones apply.
func (p *Platform) HandlerIn(z zone.Zone) http.Handler {
	h := &zoneHandler{Platform: p, zone: z}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", h.withFaults(h.read))
	mux.HandleFunc("GET /-/kv-range", h.withFaults(h.list))
	mux.HandleFunc("GET /-/kv-watch", h.withFaults(h.watch))
	mux.HandleFunc("POST /-/kv-txn", h.withFaults(h.commit))
	mux.HandleFunc("POST /-/kv-lease", h.withFaults(h.grantLease))
	mux.HandleFunc("POST /-/kv-keep/{id}", h.withFaults(h.renewLease))
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", h.withFaults(h.endLease))

	mux.HandleFunc("PUT "+FaultPath, p.putFault)
	mux.HandleFunc("GET "+FaultPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Faults()) })
	mux.HandleFunc("GET "+CallsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Calls()) })

	return mux
}

// withFaults wraps the handler of a call: it counts the call, applies the active faults, and writes the response.
func (h *zoneHandler) withFaults(serve func(r *http.Request) (int, payload)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := h.faults.persistent(h.zone)
		abortIf(faults.down)
		h.updateCalls(func(calls *Calls) { calls.Total++ })
		if faults.busy || h.faults.exceedsRate(h.timers.Now(), h.zone) {
			h.updateCalls(func(calls *Calls) { calls.Refused++ })
			status := http.StatusTooManyRequests
			if faults.busy {
				status = http.StatusServiceUnavailable
			}
			writeJSON(w, status, struct{}{})

			return
		}
		if faults.silent {
			<-r.Context().Done()
			abortIf(true)
		}
		if faults.slow > 0 {
			elapsed := make(chan struct{})
			stop := h.timers.AfterFunc(faults.slow, func() { close(elapsed) })
			defer stop()
			select {
			case <-elapsed:
			case <-r.Context().Done():
				abortIf(true)
			}
		}
		status, body := serve(r)
		generation, revision := control.SplitRevision(body.CurrentRev)
		if revision == 0 {
			generation = h.store.Generation()
		}
		body.CurrentRev = revision
		w.Header().Set(headerGeneration, strconv.FormatUint(generation, 10))
		writeJSON(w, status, body)
	}
}

// abortIf aborts the running handler if condition is true, so that net/http closes the connection without a response.
func abortIf(condition bool) {
	if condition {
		panic(http.ErrAbortHandler)
	}
}

// headerGeneration is the name of the header with the generation of the store.
const headerGeneration = "Store-Era"

// expectedRevision returns the ordered revision for one that a call names. The store itself compares its own revisions only.
func (h *zoneHandler) expectedRevision(revision uint64) uint64 {
	return control.OrderRevision(h.store.Generation(), revision)
}

func toKeyValues(entries []control.Entry) []keyValue {
	encoded := make([]keyValue, 0, len(entries))
	for _, e := range entries {
		_, revision := control.SplitRevision(e.Revision)
		encoded = append(encoded, keyValue{Key: e.Key, Value: e.Value, Revision: revision, Deleted: e.Deleted})
	}

	return encoded
}

func (h *zoneHandler) read(r *http.Request) (int, payload) {
	h.updateCalls(func(calls *Calls) { calls.Read++ })
	found, revision, err := h.store.KeyValueStore().Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil || found.Deleted {
		return statusOf(err, http.StatusNotFound), payload{CurrentRev: revision}
	}

	return http.StatusOK, payload{keyValue: &toKeyValues([]control.Entry{found})[0], CurrentRev: revision}
}

func (h *zoneHandler) list(r *http.Request) (int, payload) {
	h.updateCalls(func(calls *Calls) { calls.List++ })
	query := r.URL.Query()
	prefix, afterKey := query.Get("prefix"), query.Get("after")
	entries, revision, err := h.store.KeyValueStore().List(r.Context(), prefix)
	if err != nil {
		return statusOf(err, http.StatusOK), payload{}
	}
	if frozen := h.faults.persistent(h.zone).frozenList; frozen != nil && prefix == operator.EntryKey("") {
		entries = frozen
	}
	for len(entries) > 0 && afterKey != "" && entries[0].Key <= afterKey {
		entries = entries[1:]
	}
	more := len(entries) > pageSize

	return http.StatusOK, payload{Items: toKeyValues(entries[:min(pageSize, len(entries))]), More: more, CurrentRev: revision}
}

func (h *zoneHandler) watch(r *http.Request) (int, payload) {
	h.updateCalls(func(calls *Calls) { calls.Watch++; calls.Waiting++ })
	defer h.updateCalls(func(calls *Calls) { calls.Waiting-- })
	query := r.URL.Query()
	afterRevision, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil || time.Duration(wait)*time.Millisecond > maxWatchWait {
		return http.StatusBadRequest, payload{}
	}
	deadline := h.timers.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		faults := h.faults.persistent(h.zone)
		abortIf(faults.down)
		if faults.silentWatch {
			select {
			case <-faults.changed:
			case <-r.Context().Done():
				abortIf(true)
			}

			continue
		}
		// Stop waiting when the faults change, so that a new fault applies to this watch.
		ctx, cancel := context.WithCancel(r.Context())
		go func() {
			select {
			case <-faults.changed:
				cancel()
			case <-ctx.Done():
			}
		}()
		changes, revision, err := h.store.KeyValueStore().Wait(ctx, query.Get("prefix"), h.expectedRevision(afterRevision), max(0, h.timers.Until(deadline)))
		cancelled := ctx.Err() != nil && r.Context().Err() == nil
		cancel()
		if cancelled && err != nil {
			continue
		}
		abortIf(h.faults.persistent(h.zone).down)

		return statusOf(err, http.StatusOK), payload{Events: toKeyValues(changes), CurrentRev: revision}
	}
}

func (h *zoneHandler) commit(r *http.Request) (int, payload) {
	h.updateCalls(func(calls *Calls) { calls.Commit++ })
	var t transaction
	if !decodeBody(r, &t) || len(t.Precondition)+len(t.Puts)+len(t.Deletes) > control.MaxChanges {
		return http.StatusBadRequest, payload{}
	}
	change := control.Transaction{Expect: make(map[string]uint64), Deletes: t.Deletes}
	for _, p := range t.Precondition {
		change.Expect[p.Key] = h.expectedRevision(p.Revision)
	}
	for _, p := range t.Puts {
		if wire.CheckKey(p.Key) != nil {
			return http.StatusBadRequest, payload{}
		}
		if len(p.Value) > wire.MaxValueBytes {
			return http.StatusRequestEntityTooLarge, payload{}
		}
		if strings.HasPrefix(p.Key, operator.EntryKey("")) || p.Key == operator.ConfigurationKey {
			return http.StatusForbidden, payload{}
		}
		p.Value = h.rewriteValue(p.Key, p.Value)
		change.Puts = append(change.Puts, control.Put(p))
	}

	return h.applyWrite(r, func() (int, payload) {
		revision, err := h.store.KeyValueStore().Commit(context.Background(), change)

		_, written := control.SplitRevision(revision)

		return statusOf(err, http.StatusOK), payload{keyValue: &keyValue{Revision: written}, CurrentRev: revision}
	})
}

// applyWrite calls commit under the faults LoseReply and DelayWrite.
func (h *zoneHandler) applyWrite(r *http.Request, commit func() (int, payload)) (int, payload) {
	lose, delay, delayAfter := h.faults.consumeWriteFault(h.zone)
	if delay {
		// net/http cancels the context when the client closes the connection, because the body was read completely.
		<-r.Context().Done()
		h.timers.AfterFunc(delayAfter, func() {
			commit()
			h.updateCalls(func(calls *Calls) { calls.LateWrites++ })
		})
		abortIf(true)
	}
	status, body := commit()
	abortIf(lose)

	return status, body
}

func (h *zoneHandler) grantLease(r *http.Request) (int, payload) {
	h.updateCalls(func(calls *Calls) { calls.GrantLease++ })
	var requested payload
	if !decodeBody(r, &requested) {
		return http.StatusBadRequest, payload{}
	}
	lease, ttl, err := h.store.KeyValueStore().Grant(r.Context(), time.Duration(requested.TTLMs)*time.Millisecond)

	return statusOf(err, http.StatusOK), payload{Lease: uint64(lease), TTLMs: ttl.Milliseconds()}
}

func (h *zoneHandler) renewLease(r *http.Request) (int, payload) {
	h.updateCalls(func(calls *Calls) { calls.RenewLease++ })

	return statusOf(h.store.KeyValueStore().Renew(r.Context(), leaseID(r)), http.StatusOK), payload{}
}

func (h *zoneHandler) endLease(r *http.Request) (int, payload) {
	h.updateCalls(func(calls *Calls) { calls.EndLease++ })

	return statusOf(h.store.KeyValueStore().End(r.Context(), leaseID(r)), http.StatusOK), payload{}
}

func leaseID(r *http.Request) control.Lease {
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
			writeJSON(w, http.StatusOK, p.Faults())

			return
		}
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
}

// decodeBody decodes the JSON body of a request, up to maxBodyBytes, into value and reports whether this succeeded.
func decodeBody(r *http.Request, value any) bool {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))

	return err == nil && json.Unmarshal(data, value) == nil
}

// statusOf maps an error of the store to an HTTP status, and nil to success.
func statusOf(err error, success int) int {
	switch {
	case err == nil:
		return success
	case errors.Is(err, control.ErrConflict):
		return http.StatusPreconditionFailed
	case errors.Is(err, control.ErrLeaseEnded):
		return http.StatusNotFound
	case errors.Is(err, control.ErrCompacted):
		return http.StatusGone
	case errors.Is(err, control.ErrRejected):
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}
