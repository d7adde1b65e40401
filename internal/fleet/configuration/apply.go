package configuration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// ErrOutcomeUnknown means that the store did not tell whether the change was accepted. Applying it again with the same
// ApplyID tells: it does not replace a later change of another operator if the first run was accepted.
var ErrOutcomeUnknown = errors.New("the change may be accepted; apply it again with the same ApplyID to find out")

const (
	// maxOperatorLength and maxApplyIDLength keep the history of a record small: 64 entries take at most 25 KB.
	maxOperatorLength = 128
	maxApplyIDLength  = 128
	// The time between repetitions of a write grows from firstApplyPause to lastApplyPause, so that an outage of the
	// store is not met with a load of repetitions.
	firstApplyPause = 100 * time.Millisecond
	lastApplyPause  = 2 * time.Second
)

// Change is a configuration that an operator wants to be in force.
type Change struct {
	// ApplyID is unique for each change, and Operator names who applies it. A repetition after ErrOutcomeUnknown has the
	// same ApplyID.
	ApplyID  string
	Operator string
	// Base is the base file, and Overlays the overlay of each availability zone that has one, all as JSON.
	Base     json.RawMessage
	Overlays map[zone.Zone]json.RawMessage
	// From is the revision that the files were made from. If the accepted revision is another one, the change is
	// refused as a lost race, so that it does not undo what it has not seen. 0 means whatever revision is accepted.
	From uint64
}

// check returns the faults of the fields of c. The contents are checked by Applier.Check.
func (c *Change) check() error {
	var faults fault.List
	if c.ApplyID == "" || len(c.ApplyID) > maxApplyIDLength {
		faults.Add("ApplyID", "must have 1 to %d characters", maxApplyIDLength)
	}
	if c.Operator == "" || len(c.Operator) > maxOperatorLength {
		faults.Add("Operator", "must have 1 to %d characters", maxOperatorLength)
	}
	if !json.Valid(c.Base) {
		faults.Add("Base", "is not JSON")
	}
	for z, overlay := range c.Overlays {
		if err := z.Check(); err != nil {
			faults.Add("Overlays", "%v", err)
		}
		if !json.Valid(overlay) {
			faults.Add("Overlays."+string(z), "is not JSON")
		}
	}

	return faults.Err()
}

// Result says how a change was accepted.
type Result struct {
	// Accepted is the apply that put the content into the store. It is another one than this if Already is true.
	Accepted Applied
	// Already is true if the store had identical content, for example from an earlier run of the same apply.
	Already bool
	// Superseded lists the applies that replaced the change before its acceptance was known, oldest first.
	Superseded []Applied
}

// RaceError refuses a change because another one was accepted first. Nothing of the change is in force.
type RaceError struct {
	// From is the revision that the change was to replace.
	From uint64
	// Winners lists the applies that were accepted since, oldest first. It is incomplete if there were more than
	// MaxHistory.
	Winners []Applied
	// Paths lists the JSON paths that the winners changed, up to a bound. If the change was made from a revision that is
	// not the latest one any more, they are the paths in which the accepted content differs from the change.
	Paths []string
}

// Error implements error.
func (e *RaceError) Error() string {
	winners := make([]string, 0, len(e.Winners))
	for _, w := range e.Winners {
		winners = append(winners, fmt.Sprintf("revision %d by %s at %s (%s)",
			w.Revision, w.Operator, w.At.UTC().Format(time.RFC3339), w.ApplyID))
	}

	return fmt.Sprintf("revision %d was replaced before this change: %s; changed paths: %s",
		e.From, strings.Join(winners, ", "), strings.Join(e.Paths, ", "))
}

// Applier puts changes into the store.
//
//	applier := configuration.NewApplier(timers, configuration.WithApplierStore(client))
//	applier.Check = check
//	result, err := applier.Apply(ctx, change)
type Applier struct {
	// The operations of the store, as package platform describes them.
	Read           func(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap func(ctx context.Context, key string, value []byte, expected uint64, lease control.Lease) (uint64, error)
	// Generation returns the generation of the store after a Read.
	Generation func() uint64
	// Check returns the faults of the contents, merged for every availability zone.
	Check func(base json.RawMessage, overlays map[zone.Zone]json.RawMessage) error

	timers *timer.Service
}

// ApplierOption configures an Applier.
type ApplierOption func(*Applier)

// WithApplierStore makes client the store of the configuration.
func WithApplierStore(client *platform.Client) ApplierOption {
	return func(a *Applier) {
		a.Read = client.Read
		a.CompareAndSwap = client.CompareAndSwap
		a.Generation = client.Generation
	}
}

// NewApplier returns an Applier. Its store operations must be set, by WithApplierStore or one by one. Without Check,
// contents are accepted as they are.
func NewApplier(timers *timer.Service, options ...ApplierOption) *Applier {
	a := &Applier{
		Check:      func(json.RawMessage, map[zone.Zone]json.RawMessage) error { return nil },
		Generation: func() uint64 { return 0 },
		timers:     timers,
	}
	for _, option := range options {
		option(a)
	}

	return a
}

// Apply makes change the accepted configuration. A nil error means that the content was accepted. A *RaceError, and any
// error other than ErrOutcomeUnknown, means that it was not and will not be.
//
// The change is announced first, so that instances read the record even if this apply dies after it wrote the record, and the
// announcement is confirmed last. The record alone says what is accepted; a confirmation that fails delays the change by
// announceGrace.
//
// The write of the record is a compare-and-swap on the version that was read. When its reply is lost, the same compare-and-swap is
// repeated until ctx ends: its success or its conflict proves that the first write can no longer take effect, and after a
// conflict the record and its history tell who wrote the next revision.
func (a *Applier) Apply(ctx context.Context, change Change) (result Result, err error) {
	defer func() { err = Error.Wrap(err) }()

	if err := change.check(); err != nil {
		return Result{}, err
	}
	if err := a.Check(change.Base, change.Overlays); err != nil {
		return Result{}, err
	}
	before, version, err := a.current(ctx)
	if err != nil {
		return Result{}, err
	}
	if change.ApplyID == before.ApplyID && len(changedPaths(change.record(), before, 1)) > 0 {
		return Result{}, fault.Fault{Path: "ApplyID", Message: "was used for another content"}
	}
	if result, accepted := change.in(before); accepted {
		return result, nil
	}
	if change.From != 0 && change.From != before.Revision {
		return Result{}, change.lost(change.From, before, change.record(), before)
	}
	next := change.record()
	// A store that has come back from an older copy may have lost records with the next revisions, which instances have in force.
	next.Revision = max(before.Revision+1, control.OrderRevision(a.Generation(), 1))
	next.At = a.timers.Now().UTC().Truncate(time.Millisecond)
	if before.Revision > 0 {
		next.History = append([]Applied{before.Applied}, before.History[:min(len(before.History), MaxHistory-1)]...)
	}
	data, err := encode(next)
	if err != nil {
		return Result{}, err
	}

	announced, err := a.announce(ctx, next.Revision)
	if err != nil {
		return Result{}, fmt.Errorf("the change was not announced, and not written: %w", err)
	}
	result, err = a.swap(ctx, change, before, next, data, version)
	if err == nil && result.Accepted.Revision == next.Revision {
		// A conflict is another apply that announced a later revision.
		confirmed := Announcement{Revision: next.Revision, Written: true}
		_, _ = a.CompareAndSwap(ctx, AnnouncementKey, confirmed.encode(), announced, 0)
	}

	return result, err
}

// announce writes that a record may have the revision soon, and returns the version of the announcement. The record must have
// been read before: then every apply that announced before either wrote what this one read, or will get a conflict once
// this one has written, and the confirmation of this one may replace what they announced.
func (a *Applier) announce(ctx context.Context, revision uint64) (version uint64, err error) {
	for pause := firstApplyPause; ; pause = min(2*pause, lastApplyPause) {
		entry, err := a.Read(ctx, AnnouncementKey)
		if err == nil {
			// Another apply may have announced a later revision since the record was read.
			next := Announcement{Revision: max(revision, decodeAnnouncement(entry.Value).Revision)}
			version, err = a.CompareAndSwap(ctx, AnnouncementKey, next.encode(), entry.Version, 0)
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknown) {
			return version, err
		}
		if !a.pause(ctx, pause) {
			return 0, err
		}
	}
}

// pause waits for d and returns false if ctx ended before.
func (a *Applier) pause(ctx context.Context, d time.Duration) bool {
	over := make(chan struct{})
	stop := a.timers.AfterFunc(d, func() { close(over) })
	select {
	case <-over:
		return true
	case <-ctx.Done():
		stop()

		return false
	}
}

// current returns the accepted record and its version. Before the first apply, both are zero.
func (a *Applier) current(ctx context.Context) (record Record, version uint64, err error) {
	entry, err := a.Read(ctx, Key)
	if err != nil || entry.Version == 0 {
		return Record{}, 0, err
	}
	record, err = Decode(entry.Value)

	return record, entry.Version, err
}

// swap writes data in place of version and settles the outcome.
func (a *Applier) swap(
	ctx context.Context,
	change Change,
	before, next Record,
	data []byte,
	version uint64,
) (Result, error) {
	pause, unknown := firstApplyPause, false
	for {
		_, err := a.CompareAndSwap(ctx, Key, data, version, 0)
		if err == nil {
			return Result{Accepted: next.Applied}, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			var after Record
			if after, _, err = a.current(ctx); err == nil {
				return change.settle(before, next, after)
			}
			if !unknown {
				// The only write had no effect, so the race is lost, although nobody can tell to whom.
				return Result{}, errors.Join(&RaceError{From: before.Revision}, err)
			}
		}
		unknown = unknown || errors.Is(err, platform.ErrUnknown)
		if !unknown {
			return Result{}, err
		}
		if !a.pause(ctx, pause) {
			return Result{}, fmt.Errorf("%w: ApplyID %s: %w", ErrOutcomeUnknown, change.ApplyID, err)
		}
		pause = min(2*pause, lastApplyPause)
	}
}

// settle tells from the record after a conflict whether next was accepted.
func (c *Change) settle(before, next, after Record) (Result, error) {
	if result, accepted := c.in(after); accepted {
		return result, nil
	}
	if after.Revision <= before.Revision {
		return Result{}, fmt.Errorf("the store holds revision %d after revision %d", after.Revision, before.Revision)
	}
	if !slices.ContainsFunc(since(after, before.Revision), func(w Applied) bool { return w.Revision == next.Revision }) {
		return Result{}, fmt.Errorf("%w: ApplyID %s: revision %d is not in the history of revision %d any more",
			ErrOutcomeUnknown, c.ApplyID, next.Revision, after.Revision)
	}

	return Result{}, c.lost(before.Revision, after, before, after)
}

// in reports whether c was accepted as r or before r, or has the same content as r.
func (c *Change) in(r Record) (Result, bool) {
	if r.Revision == 0 {
		return Result{}, false
	}
	for _, applied := range append([]Applied{r.Applied}, r.History...) {
		if applied.ApplyID == c.ApplyID {
			return Result{Accepted: applied, Superseded: since(r, applied.Revision)}, true
		}
	}
	if len(changedPaths(c.record(), r, 1)) == 0 {
		return Result{Accepted: r.Applied, Already: true}, true
	}

	return Result{}, false
}

// lost returns the error for a race against the applies of accepted after the revision from.
func (c *Change) lost(from uint64, accepted, older, newer Record) error {
	const maxPaths = 50

	return &RaceError{From: from, Winners: since(accepted, from), Paths: changedPaths(older, newer, maxPaths)}
}

func (c *Change) record() Record {
	return Record{Applied: Applied{ApplyID: c.ApplyID, Operator: c.Operator}, Base: c.Base, Overlays: c.Overlays}
}

// since returns the applies of r with a higher revision than the given one, oldest first.
func since(r Record, revision uint64) (applies []Applied) {
	for _, applied := range append([]Applied{r.Applied}, r.History...) {
		if applied.Revision > revision {
			applies = append(applies, applied)
		}
	}
	slices.Reverse(applies)

	return applies
}

func encode(r Record) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(r); err != nil {
		return nil, err
	}
	if b.Len() > platform.MaxValueBytes {
		return nil, fmt.Errorf("the record has %d bytes, at most %d are accepted", b.Len(), platform.MaxValueBytes)
	}

	return b.Bytes(), nil
}
