package control

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

const (
	// evacuationKey is the key under which the leader passes on the evacuated zones. It is not stored.
	evacuationKey = ownPrefix + "evacuated"
	// evacuationRefresh is the interval at which the leader passes on the evacuated zones although they have not changed. An instance that
	// has read a newer state of the store itself than the leader had when the zones last changed ignores what the leader passed on then.
	evacuationRefresh = 2 * time.Second
	// evacuationGrace is how long a zone stays evacuated that is missing after the store has come back from an older copy. Operators write
	// again what is missing in the copy.
	evacuationGrace = 2300 * time.Millisecond
)

// Evacuation is the set of availability zones whose targets must get no requests, as the operators have stored it.
type Evacuation struct {
	Zones []string
	// Revision is the revision of the store that this state was read at.
	Revision uint64
}

// UnmarshalJSON decodes and validates an Evacuation.
func (e *Evacuation) UnmarshalJSON(data []byte) error {
	type plain Evacuation
	if err := json.Unmarshal(data, (*plain)(e)); err != nil {
		return err
	}
	if slices.Contains(e.Zones, "") {
		return errors.New("field Zones has an empty name")
	}

	return nil
}

// evacuationState is what an instance knows of the evacuated zones. Fleet.mu guards it.
type evacuationState struct {
	evacuation Evacuation
	// known is set once a state was read or passed on.
	known bool
	// kept are the zones that were evacuated when the store came back from an older copy. They stay evacuated until keptUntil.
	kept      []string
	keptUntil time.Time
	// passedOnAt is when this instance, the leader, last passed the state on.
	passedOnAt time.Time
}

// isKept reports whether zones stay evacuated because the store has come back from an older copy.
func (s *evacuationState) isKept(now time.Time) bool {
	return len(s.kept) > 0 && now.Before(s.keptUntil)
}

// adopt replaces the state by one that is not older. It reports whether the zones have changed, or the store has come back from an older
// copy.
func (s *evacuationState) adopt(e Evacuation, now time.Time) (changed bool) {
	if s.known && e.Revision < s.evacuation.Revision {
		return false
	}
	restored := s.known && isLaterGeneration(e.Revision, s.evacuation.Revision)
	if restored {
		s.kept, s.keptUntil = s.evacuation.Zones, now.Add(evacuationGrace)
	}
	zones := slices.Clone(e.Zones)
	if now.Before(s.keptUntil) {
		zones = append(zones, s.kept...)
	}
	slices.Sort(zones)
	zones = slices.Compact(zones)
	changed = restored || !slices.Equal(zones, s.evacuation.Zones)
	s.evacuation, s.known = Evacuation{Zones: zones, Revision: e.Revision}, true

	return changed
}

// entry returns the entry by which the leader passes the state on.
func (s *evacuationState) entry() Entry {
	// The fields of an Evacuation can always be encoded.
	value, _ := json.Marshal(s.evacuation)

	return Entry{Key: evacuationKey, Value: value, Revision: s.evacuation.Revision}
}

// observeEvacuation adopts the evacuated zones that this instance has read from the store. While it leads, it passes them on.
func (f *Fleet) observeEvacuation(e Evacuation) {
	f.passingOn.Lock()
	defer f.passingOn.Unlock()
	f.mu.Lock()
	now := f.timers.Now()
	changed := f.evacuated.adopt(e, now)
	passOn := f.mode == leading && (changed || now.Sub(f.evacuated.passedOnAt) >= evacuationRefresh)
	if passOn {
		f.evacuated.passedOnAt = now
	}
	entry, zones, kept := f.evacuated.entry(), f.evacuated.evacuation.Zones, f.evacuated.isKept(now)
	f.mu.Unlock()
	if passOn {
		f.feed.setEvacuation(entry, changed)
	}
	if changed {
		f.log.Log(event.ZonesEvacuated, "Zones", zones, "Revision", e.Revision)
		if kept {
			f.log.Log(event.ZonesKept, "Zones", zones, "For", evacuationGrace)
		}
		f.publishView()
	}
}

// passOnEvacuation passes on what was read after the entries for the begin of the term were made and before this instance led.
func (f *Fleet) passOnEvacuation() {
	f.passingOn.Lock()
	defer f.passingOn.Unlock()
	for _, e := range f.evacuationEntries() {
		f.feed.setEvacuation(e, true)
	}
}

// applyEvacuation applies what the leader passes on. f.mu must be held.
func (f *Fleet) applyEvacuation(e *Entry) {
	passedOn, ok := decodeEntry[Evacuation](f.log, e)
	if !ok {
		return
	}
	f.zonesPassedOn = true
	if f.evacuated.adopt(passedOn, f.timers.Now()) {
		f.log.Log(event.ZonesEvacuated, "Zones", f.evacuated.evacuation.Zones, "Revision", passedOn.Revision)
	}
}

// offerable returns the last configuration that the leader has passed on and that was not returned yet. Where the evacuated zones have to be
// known, there is none before they are, because the instance begins to serve with a configuration.
func (f *Fleet) offerable(passedOn *StoredConfiguration) (offered *StoredConfiguration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if passedOn != nil {
		f.offered = passedOn
	}
	if f.needsZones && !f.evacuated.known {
		return nil
	}
	offered, f.offered = f.offered, nil

	return offered
}

// vouches reports whether the leader vouches for all that is read with the configuration. One whose version does not know of evacuated
// zones passes none on, so the instances that follow it must read them themselves.
func (f *Fleet) vouches() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return !f.needsZones || f.zonesPassedOn
}

// evacuationEntries returns the entry to pass on at the begin of a term, if the state is known.
func (f *Fleet) evacuationEntries() []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.evacuated.known {
		return nil
	}
	f.evacuated.passedOnAt = f.timers.Now()

	return []Entry{f.evacuated.entry()}
}

// setEvacuation passes the evacuated zones on, at once if they have changed and otherwise with the next update.
func (f *Feed) setEvacuation(e Entry, atOnce bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(e)
	clear(f.recent)
	if atOnce {
		f.broadcast()
	}
}
