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
	// LoseReply is the number of upcoming writes that are processed but whose connections are closed without a response.
	LoseReply int `json:",omitempty"`
	// DelayWrite is the number of upcoming writes that get no response. Each of them is processed only when DelayAfter has elapsed
	// after its client closed the connection.
	DelayWrite int               `json:",omitempty"`
	DelayAfter duration.Duration `json:",omitempty"`
	// Overload is the rate of calls per second above which calls are refused with status 429 and without effect. 0 means no
	// limit.
	Overload int `json:",omitempty"`
	// SilentWatch leaves watches without a response until their clients close the connection or the fault is cleared.
	SilentWatch bool `json:",omitempty"`
	// FreezeList makes listings of the targets' entries return the state at the time when the fault was first set for its zones.
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

// faultState is an active fault with the state that Overload and FreezeList need.
type faultState struct {
	Fault
	// windowStart is the start of the current one-second window of Overload, and windowCalls the number of calls in it.
	windowStart time.Time
	windowCalls int
	// frozenList is the list that clients get under FreezeList. It is nil without that fault.
	frozenList []control.Entry
}

// activeFaults is the list of active faults. It is safe for concurrent use.
type activeFaults struct {
	mu     sync.Mutex
	states []*faultState
	// changed is closed and replaced when the faults change, so that pending watches evaluate them again.
	changed chan struct{}
}

func newActiveFaults() *activeFaults {
	return &activeFaults{changed: make(chan struct{})}
}

// SetFaults replaces all active faults.
func (p *Platform) SetFaults(list ...Fault) {
	// The error is ignored: listing fails only while memory.Store.SetUnavailable is in effect.
	current, _, _ := p.store.KeyValueStore().List(context.Background(), operator.EntryKey(""))
	f := p.faults
	f.mu.Lock()
	defer f.mu.Unlock()

	previous := f.states
	f.states = nil
	for _, newFault := range list {
		state := &faultState{Fault: newFault}
		if newFault.FreezeList {
			state.frozenList = append([]control.Entry{}, current...)
		}
		// A list that is already frozen for the same zones is kept when other faults change.
		for _, old := range previous {
			if state.frozenList != nil && old.frozenList != nil && slices.Equal(old.AvailabilityZones, newFault.AvailabilityZones) {
				state.frozenList = old.frozenList
			}
		}
		f.states = append(f.states, state)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// Faults returns the active faults. LoseReply and DelayWrite are the numbers of writes that remain.
func (p *Platform) Faults() []Fault {
	f := p.faults
	f.mu.Lock()
	defer f.mu.Unlock()

	list := make([]Fault, 0, len(f.states))
	for _, state := range f.states {
		list = append(list, state.Fault)
	}

	return list
}

// forEach calls visit for each fault that applies to the clients in z, and returns a channel that is closed when the faults change.
// visit may modify the fault; f.mu is locked meanwhile.
func (f *activeFaults) forEach(z zone.Zone, visit func(*faultState)) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()

	for _, state := range f.states {
		if len(state.AvailabilityZones) == 0 || slices.Contains(state.AvailabilityZones, z) {
			visit(state)
		}
	}

	return f.changed
}

// persistentFaults combines the faults that remain in effect until they are cleared. LoseReply and DelayWrite, which end after a
// number of writes, are handled by consumeWriteFault, and Overload by exceedsRate.
type persistentFaults struct {
	down, busy, silent, silentWatch bool
	slow                            time.Duration
	// frozenList replaces the current list of the targets' entries, unless it is nil.
	frozenList []control.Entry
	changed    <-chan struct{}
}

// persistent returns the combination of the persistent faults that apply to the clients in z. Their delays add up.
func (f *activeFaults) persistent(z zone.Zone) (s persistentFaults) {
	s.changed = f.forEach(z, func(state *faultState) {
		s.down = s.down || state.Down
		s.busy = s.busy || state.Busy
		s.silent = s.silent || state.Silent
		s.silentWatch = s.silentWatch || state.SilentWatch
		if state.frozenList != nil {
			s.frozenList = state.frozenList
		}
		s.slow += state.Slow.Std()
	})

	return s
}

// exceedsRate counts a call and reports whether it exceeds the rate of an Overload fault.
func (f *activeFaults) exceedsRate(now time.Time, z zone.Zone) (refuse bool) {
	f.forEach(z, func(state *faultState) {
		if state.Overload == 0 {
			return
		}
		if now.Sub(state.windowStart) >= time.Second {
			state.windowStart, state.windowCalls = now, 0
		}
		state.windowCalls++
		refuse = refuse || state.windowCalls > state.Overload
	})

	return refuse
}

// consumeWriteFault selects the fault that applies to a write and decrements its LoseReply or DelayWrite. Within one Fault,
// DelayWrite takes precedence.
func (f *activeFaults) consumeWriteFault(z zone.Zone) (lose, delay bool, delayAfter time.Duration) {
	f.forEach(z, func(state *faultState) {
		switch {
		case lose || delay:
		case state.DelayWrite > 0:
			state.DelayWrite--
			delay, delayAfter = true, state.DelayAfter.Std()
		case state.LoseReply > 0:
			state.LoseReply--
			lose = true
		}
	})

	return lose, delay, delayAfter
}
