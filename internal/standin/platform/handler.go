package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// Handler returns the HTTP interface of the stand-in.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.StorePath+"{key}", p.call(p.read))
	mux.HandleFunc("PUT "+wire.StorePath+"{key}", p.call(p.compareAndSwap))
	mux.HandleFunc("DELETE "+wire.StorePath+"{key}", p.call(p.delete))
	mux.HandleFunc("GET "+wire.WatchPath+"{key}", p.call(p.watch))
	mux.HandleFunc("POST "+wire.LeasesPath, p.call(p.grantLease))
	mux.HandleFunc("POST "+wire.LeasesPath+"/{id}", p.call(p.renewLease))
	mux.HandleFunc("DELETE "+wire.LeasesPath+"/{id}", p.call(p.revokeLease))
	mux.HandleFunc("GET "+wire.ListPath, p.call(p.readList))

	mux.HandleFunc("POST "+wire.ListPath, p.postList)
	mux.HandleFunc("PUT "+FaultPath, p.putFault)
	mux.HandleFunc("GET "+FaultPath, func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Faults()) })
	mux.HandleFunc("GET "+CallsPath, func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Calls()) })

	return mux
}

// call wraps the calls of clients, which are counted and subject to faults.
func (p *Platform) call(serve func(http.ResponseWriter, *http.Request, zone.Zone)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		z, err := wire.UnescapeZone(r.Header.Get(wire.ZoneHeader))
		if err != nil {
			refuse(w, wire.BadRequest, wire.ZoneHeader+": "+err.Error())

			return
		}
		standing := p.faults.standing(z)
		abortIf(standing.down)
		p.count(func(c *Calls) { c.Total++ })
		if p.faults.overloaded(p.timers.Now(), z) {
			p.count(func(c *Calls) { c.Refused++ })
			refuse(w, wire.Overloaded, "too many calls")

			return
		}
		if standing.slow > 0 {
			over := make(chan struct{})
			stop := p.timers.AfterFunc(standing.slow, func() { close(over) })
			defer stop()
			select {
			case <-over:
			case <-r.Context().Done():
				abortIf(true)
			}
		}
		serve(w, r, z)
	}
}

// abortIf closes the connection of the call that runs, without a reply.
func abortIf(condition bool) {
	if condition {
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request, _ zone.Zone) {
	p.count(func(c *Calls) { c.Read++ })
	stored, _ := p.store.read(p.timers.Now(), r.PathValue("key"))
	reply(w, stored)
}

func (p *Platform) compareAndSwap(w http.ResponseWriter, r *http.Request, z zone.Zone) {
	p.count(func(c *Calls) { c.CompareAndSwap++ })
	key := r.PathValue("key")
	var write wire.Write
	if !decode(w, r, &write) {
		return
	}
	if err := wire.CheckKey(key); err != nil {
		refuse(w, wire.BadRequest, err.Error())

		return
	}
	if len(write.Value) > wire.MaxValueBytes {
		refuse(w, wire.TooLarge, "Value: over "+strconv.Itoa(wire.MaxValueBytes)+" bytes")

		return
	}
	p.write(w, r, z, func() (any, error) {
		version, err := p.store.compareAndSwap(p.timers.Now(), key, write)

		return wire.Stored{Version: version}, err
	})
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request, z zone.Zone) {
	p.count(func(c *Calls) { c.Delete++ })
	expected, err := strconv.ParseUint(r.URL.Query().Get(wire.ExpectedParameter), 10, 64)
	if err != nil {
		refuse(w, wire.BadRequest, wire.ExpectedParameter+": "+err.Error())

		return
	}
	key := r.PathValue("key")
	p.write(w, r, z, func() (any, error) {
		return wire.Stored{}, p.store.delete(p.timers.Now(), key, expected)
	})
}

// write does a write under the faults of writes.
func (p *Platform) write(w http.ResponseWriter, r *http.Request, z zone.Zone, do func() (any, error)) {
	lose, delay, after := p.faults.takeWrite(z)
	if delay {
		// The body has been read, so the server notices when the client closes the connection.
		<-r.Context().Done()
		p.timers.AfterFunc(after, func() {
			_, _ = do()
			p.count(func(c *Calls) { c.LateWrites++ })
		})
		abortIf(true)
	}
	result, err := do()
	abortIf(lose)
	answer(w, result, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, z zone.Zone) {
	p.count(func(c *Calls) { c.Watch++; c.Waiting++ })
	defer p.count(func(c *Calls) { c.Waiting-- })
	after, err := strconv.ParseUint(r.URL.Query().Get(wire.AfterParameter), 10, 64)
	if err != nil {
		refuse(w, wire.BadRequest, wire.AfterParameter+": "+err.Error())

		return
	}
	timeout := make(chan struct{})
	stop := p.timers.AfterFunc(p.watchWait, func() { close(timeout) })
	defer stop()
	for over := false; ; {
		standing := p.faults.standing(z)
		abortIf(standing.down)
		stored, changed := p.store.read(p.timers.Now(), r.PathValue("key"))
		if !standing.silentWatch && (over || stored.Version > after) {
			reply(w, stored)

			return
		}
		select {
		case <-changed:
		case <-standing.changed:
		case <-timeout:
			over = true
			// A closed channel would make a silent watch spin.
			timeout = nil
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) grantLease(w http.ResponseWriter, r *http.Request, _ zone.Zone) {
	p.count(func(c *Calls) { c.GrantLease++ })
	var grant wire.Grant
	if !decode(w, r, &grant) {
		return
	}
	ttl := min(max(grant.TTL.Std(), minTTL), maxTTL)
	id, err := p.store.grant(p.timers.Now(), ttl)
	answer(w, wire.Grant{ID: id, TTL: duration.Duration(ttl)}, err)
}

func (p *Platform) renewLease(w http.ResponseWriter, r *http.Request, _ zone.Zone) {
	p.count(func(c *Calls) { c.RenewLease++ })
	id := wire.LeaseID(r.PathValue("id"))
	ttl, err := p.store.renew(p.timers.Now(), id)
	answer(w, wire.Grant{ID: id, TTL: duration.Duration(ttl)}, err)
}

func (p *Platform) revokeLease(w http.ResponseWriter, r *http.Request, _ zone.Zone) {
	p.count(func(c *Calls) { c.RevokeLease++ })
	id := wire.LeaseID(r.PathValue("id"))
	answer(w, wire.Grant{ID: id}, p.store.revoke(p.timers.Now(), id))
}

func (p *Platform) readList(w http.ResponseWriter, _ *http.Request, z zone.Zone) {
	p.count(func(c *Calls) { c.List++ })
	entries := p.list.read(p.timers.Now())
	if frozen := p.faults.standing(z).frozen; frozen != nil {
		entries = frozen
	}
	reply(w, wire.Listing{Entries: entries})
}

// UpdateList changes the list as POST /list does.
func (p *Platform) UpdateList(u Update) (err error) {
	defer func() { err = Error.Wrap(err) }()
	if err := u.Check(); err != nil {
		return err
	}

	return p.list.update(p.timers.Now(), u)
}

func (p *Platform) postList(w http.ResponseWriter, r *http.Request) {
	var u Update
	if !decode(w, r, &u) {
		return
	}
	if err := u.Check(); err != nil {
		refuse(w, wire.BadRequest, err.Error())

		return
	}
	answer(w, struct{}{}, p.list.update(p.timers.Now(), u))
}

func (p *Platform) putFault(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxMessageBytes))
	if err != nil {
		refuse(w, wire.TooLarge, err.Error())

		return
	}
	list, err := decodeFaults(data)
	if err != nil {
		refuse(w, wire.BadRequest, err.Error())

		return
	}
	p.SetFaults(list...)
	reply(w, p.Faults())
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxListBytes))
	if err != nil {
		refuse(w, wire.TooLarge, err.Error())

		return false
	}
	if err := json.Unmarshal(data, into); err != nil {
		refuse(w, wire.BadRequest, err.Error())

		return false
	}

	return true
}

func answer(w http.ResponseWriter, result any, err error) {
	var conflict *conflictError
	switch {
	case err == nil:
		reply(w, result)
	case errors.As(err, &conflict):
		refuse(w, wire.Conflict, err.Error())
	case errors.Is(err, errNoLease):
		refuse(w, wire.LeaseLapsed, err.Error())
	default:
		refuse(w, wire.Overloaded, err.Error())
	}
}

func reply(w http.ResponseWriter, body any) {
	send(w, http.StatusOK, body)
}

func refuse(w http.ResponseWriter, code wire.Code, message string) {
	status := map[wire.Code]int{
		wire.Conflict:    http.StatusConflict,
		wire.LeaseLapsed: http.StatusGone,
		wire.Overloaded:  http.StatusServiceUnavailable,
		wire.TooLarge:    http.StatusRequestEntityTooLarge,
		wire.BadRequest:  http.StatusBadRequest,
	}[code]
	send(w, status, wire.Refusal{Code: code, Message: message})
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
