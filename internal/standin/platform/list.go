package platform

import (
	"encoding/json"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/standin/operator"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/platform"
)

// listedSlots is the number of slots in the targets' entries that UpdateList writes.
const listedSlots = 2

// Update is a change of the targets' entries and the instances' registrations in the store.
type Update struct {
	// Entries are added. They replace entries of the same name.
	Entries []wire.Listed
	// Remove lists the names of the entries to remove.
	Remove []string
	// Lag, if not nil, sets the delay after which this update and later ones become visible.
	Lag *duration.Duration `json:",omitempty"`
}

// UpdateList applies u to the store after the lag.
func (p *Platform) UpdateList(u Update) (err error) {
	defer func() { err = Error.Wrap(err) }()

	p.mu.Lock()
	if u.Lag != nil {
		p.listLag = max(0, u.Lag.Std())
	}
	lag := p.listLag
	p.mu.Unlock()
	changes := make(map[string][]byte, len(u.Entries))
	for i := range u.Entries {
		key, value, err := encodeRegistration(&u.Entries[i])
		if err != nil {
			return err
		}
		changes[key] = value
	}
	p.runAfter(lag, func() {
		for key, value := range changes {
			p.store.Put(key, value)
		}
		for _, name := range u.Remove {
			p.store.Delete(operator.EntryKey(name))
			p.store.Delete(control.InstanceKey(name))
		}
	})

	return nil
}

// runAfter calls f after delay, or synchronously if delay is 0.
func (p *Platform) runAfter(delay time.Duration, f func()) {
	if delay == 0 {
		f()

		return
	}
	p.timers.AfterFunc(delay, f)
}

// encodeRegistration returns the key and the value of a target's entry or of an instance's registration in the store.
func encodeRegistration(l *wire.Listed) (key string, value []byte, err error) {
	if l.Kind == wire.EntryInstance {
		value, err = json.Marshal(control.Instance{
			Name: l.Name, Peer: l.Address, AvailabilityZone: string(l.AvailabilityZone), Processor: 1,
		})

		return control.InstanceKey(l.Name), value, err
	}

	return operator.EntryKey(l.Name), operator.Entry{
		Service: "listed", Address: l.Address.String(), AvailabilityZone: string(l.AvailabilityZone), Slots: listedSlots,
		Draining: l.State == wire.Leaving,
	}.Encode(), nil
}
