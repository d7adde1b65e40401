package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/standin/operator"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// Fault is a set of faults of the stand-in. Each field is one kind of fault, and they may be combined. A write is a transaction;
// calls that grant, renew or end leases are not writes.
type Fault struct {
	// AvailabilityZones restricts the fault to the clients in these zones. If empty, it applies to all clients.
	AvailabilityZones []zone.Zone `json:",omitempty"`
	// Down closes the connection of each call without a response or effect, including the connections of pending watches.
	Down bool `json:",omitempty"`
	// Busy refuses each call with status 503 and without effect.
	Busy bool `json:",omitempty"`
	// Silent leaves each call without a response or effect until its client closes the connection.
	Silent bool `json:",omitempty"`
	// Slow delays each call. A call has no effect if its client closes the connection during the delay.
	Slow duration.Duration `json:",omitempty"`
	// LoseReply is the number of writes to come that are processed but whose connection is closed without a response.
	LoseReply int `json:",omitempty"`
	// DelayWrite is the number of writes to come that get no response and are processed only after the client has closed the
	// connection. DelayAfter is the time between the two.
	DelayWrite int               `json:",omitempty"`
	DelayAfter duration.Duration `json:",omitempty"`
	// Overload is the rate of calls per second above which calls are refused with status 429 and without effect. 0 means no
	// limit.
	Overload int `json:",omitempty"`
	// SilentWatch leaves watches without a response until their clients close the connection or the fault is cleared.
	SilentWatch bool `json:",omitempty"`
	// FreezeList makes listings of the targets' entries return the state at the time when the fault was set.
	FreezeList bool `json:",omitempty"`
}

// maxFaults limits the number of faults in a PUT /fault.
const maxFaults = 64

// Check reports the fields of f that have invalid values.
func (f *Fault) Check() error {
	var list fault.List
	for field, n := range map[string]int64{
		"Slow": int64(f.Slow), "LoseReply": int64(f.LoseReply), "DelayWrite": int64(f.DelayWrite),
		"DelayAfter": int64(f.DelayAfter), "Overload": int64(f.Overload),
	} {
		if n < 0 {
			list.Add(field, "must not be negative")
		}
	}

	return list.Err()
}

// decodeFaults decodes and validates one Fault or a JSON array of them.
func decodeFaults(data []byte) (decoded []Fault, err error) {
	data = bytes.TrimSpace(data)
	if len(data) > 0 && data[0] != '[' {
		data = slices.Concat([]byte{'['}, data, []byte{']'})
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		return nil, err
	}
	if len(decoded) > maxFaults {
		return nil, fmt.Errorf("%d faults, at most %d are accepted", len(decoded), maxFaults)
	}
	for i := range decoded {
		if err := decoded[i].Check(); err != nil {
			return nil, err
		}
	}

	return decoded, nil
}

type activeFault struct {
	Fault
	// second is the start of the current one-second window of Overload, and calls the number of calls in it.
	second time.Time
	calls  int
	// frozen is the list that clients get under FreezeList. It is nil without that fault.
	frozen []control.Entry
}

type faults struct {
	mu     sync.Mutex
	active []*activeFault
	// changed is closed and replaced when the faults change, so that pending watches evaluate them again.
	changed chan struct{}
}

func newFaults() *faults {
	return &faults{changed: make(chan struct{})}
}

// SetFaults replaces all active faults.
func (p *Platform) SetFaults(list ...Fault) {
	// The error is ignored: listing fails only while memory.Store.SetAway is in effect.
	visible, _, _ := p.store.Own().List(context.Background(), operator.EntryKey(""))
	f := p.faults
	f.mu.Lock()
	defer f.mu.Unlock()

	earlier := f.active
	f.active = nil
	for _, one := range list {
		next := &activeFault{Fault: one}
		if one.FreezeList {
			next.frozen = append([]control.Entry{}, visible...)
		}
		// A list that is already frozen for the same zones is kept when other faults change.
		for _, old := range earlier {
			if next.frozen != nil && old.frozen != nil && slices.Equal(old.AvailabilityZones, one.AvailabilityZones) {
				next.frozen = old.frozen
			}
		}
		f.active = append(f.active, next)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// Faults returns the active faults. LoseReply and DelayWrite are the numbers of writes that remain.
func (p *Platform) Faults() []Fault {
	f := p.faults
	f.mu.Lock()
	defer f.mu.Unlock()

	list := make([]Fault, 0, len(f.active))
	for _, one := range f.active {
		list = append(list, one.Fault)
	}

	return list
}

// each calls visit for each fault that applies to the clients in z. It returns a channel that is closed when the faults change.
func (f *faults) each(z zone.Zone, visit func(*activeFault)) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()

	for _, one := range f.active {
		if len(one.AvailabilityZones) == 0 || slices.Contains(one.AvailabilityZones, z) {
			visit(one)
		}
	}

	return f.changed
}

// standing combines the faults that last until they are cleared, as opposed to those that a number of calls uses up.
type standing struct {
	down, busy, silent, silentWatch bool
	slow                            time.Duration
	// frozen replaces the current list of the targets' entries, unless it is nil.
	frozen  []control.Entry
	changed <-chan struct{}
}

// standing returns the lasting faults that apply to the clients in z.
func (f *faults) standing(z zone.Zone) (s standing) {
	s.changed = f.each(z, func(one *activeFault) {
		s.down = s.down || one.Down
		s.busy = s.busy || one.Busy
		s.silent = s.silent || one.Silent
		s.silentWatch = s.silentWatch || one.SilentWatch
		if one.frozen != nil {
			s.frozen = one.frozen
		}
		s.slow += one.Slow.Std()
	})

	return s
}

// overloaded counts a call and reports whether it exceeds the rate of an Overload fault.
func (f *faults) overloaded(now time.Time, z zone.Zone) (refuse bool) {
	f.each(z, func(one *activeFault) {
		if one.Overload == 0 {
			return
		}
		if now.Sub(one.second) >= time.Second {
			one.second, one.calls = now, 0
		}
		one.calls++
		refuse = refuse || one.calls > one.Overload
	})

	return refuse
}

// takeWrite selects the fault that applies to a write and decrements its LoseReply or DelayWrite. DelayWrite takes precedence
// within a Fault.
func (f *faults) takeWrite(z zone.Zone) (lose, delay bool, after time.Duration) {
	f.each(z, func(one *activeFault) {
		switch {
		case lose || delay:
		case one.DelayWrite > 0:
			one.DelayWrite--
			delay, after = true, one.DelayAfter.Std()
		case one.LoseReply > 0:
			one.LoseReply--
			lose = true
		}
	})

	return lose, delay, after
}
