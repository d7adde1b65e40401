package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

var (
	errDiffers  = errors.New("the record has the active revision and other content")
	errTooLarge = fmt.Errorf("the record is over %d bytes", platform.MaxValueBytes)
)

// Active is a configuration in force. It is shared and must not be changed.
type Active struct {
	Applied
	Configuration contract.Configuration
	// Raw is the record as it stands in the store.
	Raw []byte
}

// Offers counts the records offered to a Keeper, by what became of them.
type Offers struct {
	Adopted  uint64
	Repeated uint64 // the active record again
	Older    uint64
	Differed uint64 // the active revision with other content
	Rejected uint64 // does not decode or check
}

// Keeper holds the active configuration of an instance. It is safe for concurrent use.
type Keeper struct {
	zone    zone.Zone
	merge   func(base, overlay json.RawMessage) (contract.Configuration, error)
	onAdopt func(Active)
	log     *event.Log
	active  atomic.Pointer[Active]

	mu       sync.Mutex
	offers   Offers
	rejected []byte // the last record that was rejected
	refused  uint64 // its revision, 0 when it does not decode
	logged   string // the last line about an ignored record, which is not repeated
}

// KeeperOption configures a Keeper.
type KeeperOption func(*Keeper)

// WithOnAdopt sets the function that is told of each adopted configuration, in the order of revisions. It must not
// block, and must not offer a record itself.
func WithOnAdopt(f func(Active)) KeeperOption {
	return func(k *Keeper) { k.onAdopt = f }
}

// WithKeeperLog sets the log.
func WithKeeperLog(log *event.Log) KeeperOption {
	return func(k *Keeper) { k.log = log }
}

// NewKeeper returns a Keeper without a configuration. merge puts the overlay of the zone, nil if it has none, over the base
// and checks the result.
func NewKeeper(
	z zone.Zone,
	merge func(base, overlay json.RawMessage) (contract.Configuration, error),
	options ...KeeperOption,
) *Keeper {
	k := &Keeper{zone: z, merge: merge}
	for _, option := range options {
		option(k)
	}

	return k
}

// Ready reports whether a configuration is active.
func (k *Keeper) Ready() bool {
	return k.active.Load() != nil
}

// Current returns the active configuration and whether there is one.
func (k *Keeper) Current() (Active, bool) {
	if active := k.active.Load(); active != nil {
		return *active, true
	}

	return Active{}, false
}

// Revision returns that of the active configuration, 0 when there is none.
func (k *Keeper) Revision() uint64 {
	if active := k.active.Load(); active != nil {
		return active.Revision
	}

	return 0
}

// Offers returns the counts since the start.
func (k *Keeper) Offers() Offers {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.offers
}

// Refused reports whether the last record that was rejected has this revision, so that it need not be asked for again.
func (k *Keeper) Refused(revision uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	return revision != 0 && k.refused == revision
}

// Offer adopts the record if its revision is higher than the active one and it decodes and checks. Otherwise the active
// configuration stays. A record that is not newer is no error, unless it has the active revision and other content.
func (k *Keeper) Offer(raw []byte, source string) (adopted bool, err error) {
	defer func() { err = Error.Wrap(err) }()

	k.mu.Lock()
	defer k.mu.Unlock()

	if active := k.active.Load(); active != nil && bytes.Equal(raw, active.Raw) {
		k.offers.Repeated++

		return false, nil
	}
	if len(raw) > platform.MaxValueBytes {
		return false, k.reject(nil, 0, source, errTooLarge)
	}
	record, err := Decode(raw)
	if err != nil {
		return false, k.reject(raw, 0, source, err)
	}
	switch current := k.Revision(); {
	case record.Revision < current:
		k.offers.Older++
		k.ignore(event.ConfigurationOlder, record.Revision, source)

		return false, nil
	case record.Revision == current:
		k.offers.Differed++
		k.ignore(event.ConfigurationDiffers, record.Revision, source)

		return false, errDiffers
	}
	configuration, err := k.merge(record.Base, record.Overlays[k.zone])
	if err != nil {
		return false, k.reject(raw, record.Revision, source, err)
	}
	active := Active{Applied: record.Applied, Configuration: configuration, Raw: bytes.Clone(raw)}
	k.active.Store(&active)
	k.offers.Adopted++
	k.log.Log(event.ConfigurationAdopted, "Revision", record.Revision, "ApplyID", record.ApplyID, "Source", source)
	if k.onAdopt != nil {
		k.onAdopt(active)
	}

	return true, nil
}

// reject counts and logs a bad record. The same record is read every few seconds while it stands in the store, and is
// logged once. The caller holds mu.
func (k *Keeper) reject(raw []byte, revision uint64, source string, err error) error {
	k.offers.Rejected++
	if raw == nil || !bytes.Equal(raw, k.rejected) {
		k.log.Log(event.ConfigurationRejected, "Revision", revision, "Source", source, "Error", err)
	}
	k.rejected, k.refused = bytes.Clone(raw), revision

	return err
}

// ignore logs a record that is not adopted, unless the last line says the same. The caller holds mu.
func (k *Keeper) ignore(e event.Event, revision uint64, source string) {
	line := fmt.Sprint(e.Number, revision, source)
	if line == k.logged {
		return
	}
	k.logged = line
	k.log.Log(e, "Revision", revision, "Active", k.Revision(), "Source", source)
}
