package caller_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
)

// FuzzRequest guards against a body that panics the handler, that gets a reply without JSON, or that is accepted with faults.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(`{"RequestID":"r1","Service":"catalogue","Text":"teak","Limit":20,"Timeout":"170ms"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		recorder := httptest.NewRecorder()
		caller.NewHandler(echo).ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodPost, caller.QueryPath, bytes.NewReader(body)))
		if !json.Valid(recorder.Body.Bytes()) {
			t.Fatalf("status %d with body %q", recorder.Code, recorder.Body)
		}
		if recorder.Code != http.StatusOK {
			return
		}
		var request caller.Request
		if err := json.Unmarshal(body, &request); err != nil {
			t.Fatalf("answered a request that does not decode: %s", err)
		}
		var answer caller.Answer
		if err := json.Unmarshal(recorder.Body.Bytes(), &answer); err != nil || answer.Service != request.Service {
			t.Fatalf("answer of service %q to %q: %v", answer.Service, request.Service, err)
		}
	})
}
