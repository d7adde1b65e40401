package caller

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/admission"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

// KeyFault is the reason why the key of a request identifies no account. It is sent to the caller, logged and counted.
type KeyFault string

// The reasons. A request with a known key has none, which is the empty KeyFault.
const (
	KeyMissing   KeyFault = "KeyMissing"
	KeyMalformed KeyFault = "KeyMalformed"
	KeyRepeated  KeyFault = "KeyRepeated"
	KeyUnknown   KeyFault = "KeyUnknown"
)

// The reasons of further refusals that client accounts bring about.
const (
	reasonQuota       = "QuotaExceeded"
	reasonUnconfirmed = "RevocationUnconfirmed"
)

// Charge counts a request against the quota of its account. If the quota does not allow the request, ok is false, and the caller may
// retry after the time in retry. The deadline is that of the request.
type Charge func(ctx context.Context, account *route.Account, deadline time.Time) (retry time.Duration, ok bool)

// WithCharge sets the function that is called once for each admitted request of an account with a quota, before the body is read. Without
// it, quotas are not enforced.
func WithCharge(charge Charge) Option {
	return func(h *Handler) { h.charge = charge }
}

// WithStrictRevocation makes the handler refuse requests of accounts while the configuration in force was not confirmed for longer than
// bound, because their keys may have been revoked. The function age returns the time since the last confirmation.
func WithStrictRevocation(age func() time.Duration, bound time.Duration) Option {
	return func(h *Handler) {
		h.isUnconfirmed = func() bool { return age() > bound }
	}
}

// identify returns the account of a request, which may be nil on public routes. If the request must not be served, it answers the request
// and returns false.
func (h *Handler) identify(
	w http.ResponseWriter, r *http.Request, request Request, table *route.Table, matched *route.Route,
) (account *route.Account, ok bool) {
	if len(table.Accounts()) == 0 {
		return nil, true
	}
	key, fault := h.codec.DecodeKey(r.Header)
	if fault == "" {
		if account, ok = table.AccountOf(key); !ok {
			fault = KeyUnknown
		}
	}
	switch {
	case fault != "" && table.NeedsKey(matched):
		h.ignoreBody(w, r)
		h.codec.SetChallenge(w.Header())
		h.decline(w, request, matched.Name, refusal{
			event: event.KeyRejected, status: http.StatusUnauthorized, reason: string(fault), version: table.Version(),
		})

		return nil, false
	case fault != "":
		return nil, true
	case h.isUnconfirmed():
		if !h.unconfirmed.Swap(true) {
			h.log.Log(event.RevocationUnconfirmed, "Version", table.Version())
		}
		h.ignoreBody(w, r)
		h.refuse(w, request, matched.Name, admission.Retry(admission.Refusal{TimeLeft: request.TimeLeft}, rand.Float64()),
			reasonUnconfirmed)

		return nil, false
	}
	if h.unconfirmed.Load() && h.unconfirmed.Swap(false) {
		h.log.Log(event.RevocationConfirmed, "Version", table.Version())
	}

	return account, true
}

// chargeQuota counts a request against the quota of its account, which may be nil. If the quota does not allow it, chargeQuota answers the
// request and returns false.
func (h *Handler) chargeQuota(
	w http.ResponseWriter, r *http.Request, request Request, account *route.Account, matched *route.Route, received time.Time,
) bool {
	if h.charge == nil || !account.Limited() {
		return true
	}
	retry, ok := h.charge(r.Context(), account, deadline(request, matched, received))
	if !ok {
		h.ignoreBody(w, r)
		h.decline(w, request, matched.Name, refusal{
			event: event.QuotaExceeded, status: http.StatusTooManyRequests, reason: reasonQuota, retry: retry, account: account.Name,
		})
	}

	return ok
}

// refusal describes a request that is answered without being run.
type refusal struct {
	event  event.Event
	status int
	reason string
	// retry is the delay after which the caller may retry, 0 if a retry is of no use.
	retry time.Duration
	// account and version are logged if they are known.
	account string
	version uint64
}

// decline answers, logs and counts a request that was not run. The text of a key is never part of it.
func (h *Handler) decline(w http.ResponseWriter, request Request, routeName string, f refusal) {
	if f.retry > 0 {
		h.codec.SetRetry(w.Header(), f.retry)
	}
	writeText(w, f.status, f.reason)
	keyvals := []any{"Request", request.ID, "Route", routeName, "Status", f.status, "Reason", f.reason}
	if f.retry > 0 {
		keyvals = append(keyvals, "Retry", f.retry)
	}
	if f.account != "" {
		keyvals = append(keyvals, "Account", f.account)
	}
	if f.version > 0 {
		keyvals = append(keyvals, "Version", f.version)
	}
	h.log.Log(f.event, keyvals...)
	h.metrics.Tier(context.Background(), routeName, string(dispatch.NotRun), 0)
	h.metrics.Refusal(context.Background(), f.reason)
}

const (
	// maxIgnoredBody is the largest body that is read to its end only to keep the connection. It is that of net/http.
	maxIgnoredBody = 256 << 10
	// ignoredBodyTime is the time within which such a body has to arrive. Most bodies arrive together with the headers.
	ignoredBodyTime = 50 * time.Millisecond
)

// ignoreBody reads the body of a request that is answered without it. If the body does not end soon, the connection is closed after the
// answer: by default, the server would wait for the body before it sends the answer. Full duplex is no alternative, because with it
// net/http 1.26 fails on the next request of the connection.
func (h *Handler) ignoreBody(w http.ResponseWriter, r *http.Request) {
	// Reading the body of a request that expects 100 would ask the caller to send it. The server closes the connection by itself.
	if r.ContentLength == 0 || r.Header.Get("Expect") != "" {
		return
	}
	controller := http.NewResponseController(w)
	// Writers that cannot set a deadline are used in tests only.
	_ = controller.SetReadDeadline(h.timers.Now().Add(ignoredBodyTime))
	if _, err := io.CopyN(io.Discard, r.Body, maxIgnoredBody+1); errors.Is(err, io.EOF) {
		_ = controller.SetReadDeadline(time.Time{})

		return
	}
	w.Header().Set("Connection", "close")
}
