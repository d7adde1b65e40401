package review

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	leases   map[uint64]*storeLease
	changed  chan struct{}
	server   *http.Server
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

type storeTransaction struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

const (
	maxKeyBytes   = 200
	maxValueBytes = 1 << 20
	minLease      = time.Second
	storePage     = 500
	storeAnswerIn = 4 * time.Millisecond
)

func startStore(address string) (*store, error) {
	st := &store{
		revision: 100, items: make(map[string]storeItem), leases: make(map[uint64]*storeLease), changed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	st.server = &http.Server{Handler: st}
	go func() { _ = st.server.Serve(listener) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			st.expire()
		}
	}()

	return st, nil
}

// put writes a key as the operator or a replica does.
func (st *store) put(key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	st.set(storeItem{Key: key, Value: encoded})
	st.notify()

	return nil
}

func (st *store) set(i storeItem) {
	i.Revision, i.Created = st.revision, st.revision
	if old, ok := st.items[i.Key]; ok {
		i.Created = old.Created
	}
	st.items[i.Key] = i
	st.events = append(st.events, i)
}

func (st *store) unset(key string) {
	if _, ok := st.items[key]; ok {
		delete(st.items, key)
		st.events = append(st.events, storeItem{Key: key, Revision: st.revision, Deleted: true})
	}
}

func (st *store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// expire ends the leases whose time is over.
func (st *store) expire() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for id, l := range st.leases {
		if time.Now().After(l.until) {
			st.endLease(id)
		}
	}
}

func (st *store) endLease(id uint64) {
	delete(st.leases, id)
	st.revision++
	for key, i := range st.items {
		if i.Lease == id {
			st.unset(key)
		}
	}
	st.notify()
}

// ServeHTTP implements http.Handler for the calls of the system.
func (st *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerIn)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	switch call := strings.TrimPrefix(r.URL.Path, "/-/kv-"); {
	case call == "key":
		st.mu.Lock()
		defer st.mu.Unlock()
		i, ok := st.items[query.Get("key")]
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{"currentRev": st.revision})

			return
		}
		reply(w, http.StatusOK, map[string]any{
			"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "currentRev": st.revision,
		})
	case call == "range":
		st.serveRange(w, query.Get("prefix"), query.Get("after"))
	case call == "watch":
		st.serveWatch(w, r)
	case call == "txn":
		st.serveTransaction(w, body)
	case call == "lease":
		var ask struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &ask) != nil {
			reply(w, http.StatusBadRequest, struct{}{})

			return
		}
		st.mu.Lock()
		defer st.mu.Unlock()
		st.revision++
		ttl := max(time.Duration(ask.TTLMs)*time.Millisecond, minLease)
		st.leases[st.revision] = &storeLease{ttl: ttl, until: time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]any{"lease": st.revision, "ttlMs": ttl.Milliseconds()})
	case strings.HasPrefix(call, "keep/"), strings.HasPrefix(call, "lease-end/"):
		_, text, _ := strings.Cut(call, "/")
		id, _ := strconv.ParseUint(text, 10, 64)
		st.mu.Lock()
		defer st.mu.Unlock()
		l, ok := st.leases[id]
		switch {
		case !ok:
			reply(w, http.StatusNotFound, struct{}{})
		case strings.HasPrefix(call, "keep/"):
			l.until = time.Now().Add(l.ttl)
			reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
		default:
			st.endLease(id)
			reply(w, http.StatusOK, struct{}{})
		}
	default:
		reply(w, http.StatusNotFound, struct{}{})
	}
}

func (st *store) serveRange(w http.ResponseWriter, prefix, after string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	items := []storeItem{}
	for key, i := range st.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > storePage
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), storePage)], "hasMore": more, "currentRev": st.revision})
}

func (st *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil || wait > 30000 {
		reply(w, http.StatusBadRequest, struct{}{})

		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		st.mu.Lock()
		events := []storeItem{}
		for _, e := range st.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := st.revision, st.changed
		st.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})

			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (st *store) serveTransaction(w http.ResponseWriter, body []byte) {
	var t storeTransaction
	if json.Unmarshal(body, &t) != nil || len(t.Precondition)+len(t.Puts)+len(t.Deletes) > 32 {
		reply(w, http.StatusBadRequest, struct{}{})

		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	items, failed := []storeItem{}, false
	for _, p := range t.Precondition {
		i := st.items[p.Key]
		failed = failed || i.Revision != p.Revision
		items = append(items, i)
	}
	for _, p := range t.Puts {
		if len(p.Key) > maxKeyBytes || len(p.Value) > maxValueBytes {
			reply(w, http.StatusBadRequest, struct{}{})

			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})

			return
		}
		if p.Lease != 0 && st.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})

			return
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})

		return
	}
	st.revision++
	for _, p := range t.Puts {
		st.set(storeItem{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Deletes {
		st.unset(key)
	}
	st.notify()
	reply(w, http.StatusOK, map[string]any{"revision": st.revision})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
