package caller

import (
	"math/rand/v2"
	"net/http"

	"github.com/hickorynotch/hickorynotch/internal/decision/admission"
	"github.com/hickorynotch/hickorynotch/internal/tier/inbound"
)

// beginInFlight counts a request as in flight until end is called for the first time. A request whose answer is being written is not in
// flight any more: clients that do not read their answers must not take the place of others. The memory for such answers has a limit of
// its own.
func (h *Handler) beginInFlight() (end func()) {
	h.inFlight.Add(1)
	ended := false

	return func() {
		if !ended {
			ended = true
			h.inFlight.Add(-1)
		}
	}
}

// admitted reports to the connection that the whole request has been read, unless err says that it has not. Otherwise it returns the error
// of the connection, which has been given up if there is too little memory.
func admitted(r *http.Request, err error) error {
	if err != nil {
		return err
	}

	return inbound.Admit(r.Context())
}

// refuseIntake refuses a request because what clients have sent takes too much memory. Its connection is closed.
func (h *Handler) refuseIntake(w http.ResponseWriter, request Request, routeName string) {
	w.Header().Set("Connection", "close")
	retry := admission.Retry(admission.Refusal{TimeLeft: request.TimeLeft}, rand.Float64())
	h.refuse(w, request, routeName, retry, "MemoryFull")
}
