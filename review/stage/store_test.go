package stage

import (
	"encoding/base64"
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

// item is an entry of the store.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	address string
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	leases  map[uint64]*lease
	next    uint64
	history []item
	changed chan struct{}
}

func newStore(address string) (*store, error) {
	s := &store{address: address, rev: 100, items: map[string]item{}, leases: map[uint64]*lease{}, next: 7000, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.txn)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		mux.ServeHTTP(w, r)
	}))
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()

	return s, nil
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.rev++
		for _, k := range keys {
			s.remove(k)
		}
		s.notify()
	}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.rev, Deleted: true})
	}
}

func (s *store) set(key string, value []byte, lease uint64) {
	old, ok := s.items[key]
	created := s.rev
	if ok {
		created = old.Created
	}
	i := item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Revision: s.rev, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
}

// put writes a key as the operator and the replicas do. It returns when it was accepted.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, data, 0)
	s.notify()

	return time.Now()
}

func (s *store) delete(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.notify()

	return time.Now()
}

func answer(w http.ResponseWriter, status int, body map[string]any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, 404, map[string]any{"currentRev": s.rev})

		return
	}
	answer(w, 200, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "currentRev": s.rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	answer(w, 200, map[string]any{"items": items, "hasMore": more, "currentRev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, err := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || wait > 30000 {
		answer(w, 400, map[string]any{})

		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "currentRev": rev})

			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, 200, map[string]any{"events": events, "currentRev": rev})

			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []struct {
			Key      string
			Revision uint64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Deletes []string
	}
	data, _ := io.ReadAll(r.Body)
	if json.Unmarshal(data, &t) != nil || len(t.Precondition)+len(t.Puts)+len(t.Deletes) > 32 {
		answer(w, 400, map[string]any{})

		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, states := false, []item{}
	for _, p := range t.Precondition {
		i, ok := s.items[p.Key]
		if !ok {
			i = item{Key: p.Key}
		}
		states = append(states, i)
		conflict = conflict || i.Revision != p.Revision
	}
	if conflict {
		answer(w, 412, map[string]any{"items": states, "currentRev": s.rev})

		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, 403, map[string]any{})

			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, 404, map[string]any{})

			return
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Deletes {
		s.remove(k)
	}
	s.notify()
	answer(w, 200, map[string]any{"revision": s.rev, "currentRev": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var g struct {
		TTLMs int64 `json:"ttlMs"`
	}
	data, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(data, &g)
	ttl := max(time.Duration(g.TTLMs)*time.Millisecond, time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.leases[s.next] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, 200, map[string]any{"lease": s.next, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, 404, map[string]any{})

		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, 404, map[string]any{})

		return
	}
	s.endLease(id)
	answer(w, 200, map[string]any{})
}
