package control

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

// term is one term of leadership. The revision of the leader's key is the fencing token of all writes to the mirror: they fail once
// another instance leads, or once this one has written the key again.
type term struct {
	*Leadership
	lease Lease
	// id tells the leader's key of this term from those of other terms.
	id       uint64
	revision uint64
	// inDoubt is set while it is not known whether a write has been made, so that it may still be.
	inDoubt bool
	// generation is the generation of the store in which the key and the mirror were last written or confirmed.
	generation uint64
	// mirrorRevision is the revision of this term's last change of the mirror.
	mirrorRevision uint64
	// lastNotice is the last notice that was sent, and lastNoticeTick the tick in which it was sent. Ticks count from the start of
	// the term, one each leaderInterval.
	lastNotice     Notice
	lastNoticeTick int
	tick           int
	// storedMirror is the content of the stored mirror by mirrorName, as last read or written in this term, nil if it is not known.
	storedMirror map[string]mirrored
	// withheld are the names in it that are out of date, because the store has rejected to change them. They are not passed on.
	withheld map[string]bool
	// warmupsAt is when the time for which a target is cold was last written to the mirror in this term, by mirrorName.
	warmupsAt map[string]time.Time
	// storedSuspects are the stored records of blocked queries, nil if they are not known.
	storedSuspects map[suspect.Fingerprint]storedSuspect
}

// sendNotice sends a notice if its content has changed or if the last one is noticeIntervalTicks old.
func (t *term) sendNotice(ctx context.Context) {
	n := Notice{Leader: t.revision, Name: t.fleet.self.Name, Peer: t.fleet.self.Peer, Version: t.configurationVersion(), Mirror: t.mirrorRevision}
	if n == t.lastNotice && t.tick-t.lastNoticeTick < noticeIntervalTicks {
		return
	}
	t.lastNotice, t.lastNoticeTick = n, t.tick
	t.notify(ctx, n)
}

func (t *term) callWithTimeout(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := t.timers.WithTimeout(ctx, callTimeout)
	defer cancel()

	return f(ctx)
}

// acquire acquires the leader's key, brings the mirror up to date and then marks it as synchronized.
func (t *term) acquire(ctx context.Context) error {
	return t.callWithTimeout(ctx, func(ctx context.Context) (err error) {
		if t.lease, _, err = t.store.Grant(ctx, leaderTTL); err != nil {
			return err
		}
		if t.revision, err = t.writeLeaderKey(ctx, t.revision, false); err != nil {
			return err
		}
		t.fleet.feed.acquire(t.revision, t.fleet.View().Instances)
		known, err := t.loadMirror(ctx)
		if err != nil {
			return err
		}
		if err = t.loadSuspects(ctx); err != nil {
			return err
		}
		t.targets.Seed(directory.New(known))
		t.takeOverTargets()
		if err = t.targets.Read(ctx); err != nil {
			return err
		}
		if err = t.syncMirror(ctx, false); err != nil {
			return err
		}
		t.revision, err = t.writeLeaderKey(ctx, t.revision, true)
		t.generation, _ = SplitRevision(t.revision)

		return err
	})
}

// reconfirm brings the mirror and the leader's key up to date if the store has come back from an older copy since the last call. It
// returns an error if the copy has the key of another leader, or none. Other failures are retried at the next tick: the other instances
// need this one until the store answers.
func (t *term) reconfirm(ctx context.Context) error {
	generation := t.store.Generation()
	if generation == t.generation {
		return nil
	}
	t.log.Log(event.StoreRestored, "Part", "Leader", "Generation", generation, "Before", t.generation)
	err := t.fence(ctx, false)
	synced := false
	if err == nil {
		synced, err = t.updateMirror(ctx)
	}
	if synced {
		err = t.callWithTimeout(ctx, func(ctx context.Context) (err error) {
			t.revision, err = t.writeLeaderKey(ctx, t.revision, true)

			return err
		})
		if err == nil {
			t.generation = generation
			t.fleet.renewTerm(t.revision)
		}
	}
	if endsTerm(err) {
		return err
	}
	if err != nil {
		t.log.Log(event.StoreUnavailable, "Part", "Leader", "Error", err)
	}

	return nil
}

// fence writes the leader's key again, so that no earlier write of this term can be made any more. It returns an error that ends the term if
// the key is not that of this term.
func (t *term) fence(ctx context.Context, synced bool) error {
	t.inDoubt = true
	t.storedMirror, t.storedSuspects = nil, nil
	t.fleet.feed.expectRenewal()

	return t.callWithTimeout(ctx, func(ctx context.Context) error {
		entry, _, err := t.store.Get(ctx, leaderKey)
		if err != nil {
			return err
		}
		if stored, ok := decodeEntry[leader](t.log, &entry); !ok || stored.Name != t.fleet.self.Name || stored.Term != t.id {
			return ErrConflict
		}
		if synced && t.store.Generation() != t.generation {
			// The mirror is checked first, in the next tick.
			return ErrRestored
		}
		revision, err := t.writeLeaderKey(ctx, entry.Revision, synced)
		if err == nil {
			t.revision, t.inDoubt = revision, false
		}

		return err
	})
}

// doubt records the result of a write that the revision of the leader's key fences.
func (t *term) doubt(err error) {
	if err != nil && !endsTerm(err) && !errors.Is(err, ErrNoEffect) {
		t.inDoubt = true
	}
}

// endsTerm reports whether an error means that another instance leads or may lead.
func endsTerm(err error) bool { return errors.Is(err, ErrConflict) || errors.Is(err, ErrLeaseEnded) }

// loadMirror reads the stored mirror. It returns the targets in it.
func (t *term) loadMirror(ctx context.Context) (known []*directory.Target, err error) {
	entries, _, err := t.store.List(ctx, mirrorPrefix)
	if err != nil {
		return nil, err
	}
	t.storedMirror = make(map[string]mirrored, len(entries))
	for i := range entries {
		name := entries[i].Key[len(mirrorPrefix):]
		// An invalid value decodes to the zero value, which equals no target, so that syncMirror overwrites or deletes the key.
		m, ok := decodeEntry[mirrored](t.log, &entries[i])
		t.storedMirror[name] = m
		t.mirrorRevision = max(t.mirrorRevision, entries[i].Revision)
		if ok {
			known = append(known, m.target(name))
		}
	}

	return known, nil
}

// updateMirror synchronizes the mirror during a term. After a write whose outcome is not known, the mirror is read again first, once that
// write cannot be made any more. Such a failure does not end the term: if it did, the whole fleet would turn to the store at the begin of an
// outage. synced is set if the mirror has all that this instance has read.
func (t *term) updateMirror(ctx context.Context) (synced bool, err error) {
	if t.inDoubt {
		if err = t.fence(ctx, true); err == nil {
			t.fleet.renewTerm(t.revision)
		}
	}
	reloaded := false
	if err == nil && t.storedMirror == nil {
		err = t.callWithTimeout(ctx, func(ctx context.Context) error {
			_, err := t.loadMirror(ctx)

			return err
		})
		reloaded = err == nil
	}
	if err == nil {
		err = t.syncMirror(ctx, true)
	}
	if err == nil && reloaded {
		// Not before: what was stored may be older than what the followers know.
		t.fleet.feed.setTargets(t.mirrorEntries())
	}
	if err == nil || endsTerm(err) || ctx.Err() != nil {
		return err == nil, err
	}
	t.storedMirror = nil
	t.log.Log(event.StoreUnavailable, "Part", "Mirror", "Error", err)

	return false, nil
}

// writeLeaderKey writes the leader's key if its revision is still the expected one, and returns the new revision.
func (t *term) writeLeaderKey(ctx context.Context, expected uint64, synced bool) (uint64, error) {
	value, err := json.Marshal(leader{
		Name: t.fleet.self.Name, Synced: synced, Peer: t.fleet.self.Peer, Generation: t.store.Generation(), Term: t.id,
	})
	if err != nil {
		return 0, err
	}

	return t.store.Commit(ctx, Transaction{
		Expect: map[string]uint64{leaderKey: expected},
		Puts:   []Put{{Key: leaderKey, Value: value, Lease: t.lease}},
	})
}

func (t *term) renew(ctx context.Context) error {
	err := t.callWithTimeout(ctx, func(ctx context.Context) error { return t.store.Renew(ctx, t.lease) })
	if err != nil && !errors.Is(err, ErrLeaseEnded) {
		// The lease may still be valid at the next renewal.
		t.log.Log(event.StoreUnavailable, "Part", "Leader", "Error", err)

		return nil
	}

	return err
}

// syncMirror writes the differences between the directory of targets and the stored mirror, in transactions of at most MaxChanges.
// If callTimeouts is set, each transaction has a timeout of its own; otherwise only the deadline of ctx applies. A target that the store
// rejects is not mirrored.
func (t *term) syncMirror(ctx context.Context, callTimeouts bool) error {
	var changes Transaction
	next, withheld := make(map[string]mirrored), make(map[string]bool)
	flush := func() error {
		rejected, err := t.commitAccepted(ctx, changes, func(ctx context.Context, part Transaction) error {
			return t.commitMirror(ctx, part, callTimeouts)
		})
		for _, key := range rejected {
			name := key[len(mirrorPrefix):]
			delete(next, name)
			if old, ok := t.storedMirror[name]; ok {
				next[name], withheld[name] = old, true
			}
		}
		t.fleet.feed.remove(rejected)
		changes = Transaction{}

		return err
	}
	flushIfFull := func() error {
		if len(changes.Puts)+len(changes.Deletes)+1 < MaxChanges {
			return nil
		}

		return flush()
	}
	now := t.timers.Now()
	for target := range t.targets.Current().All {
		m, name := newMirrored(target), mirrorName(target.ID)
		if old, ok := t.storedMirror[name]; ok && old.same(target, name) && (!callTimeouts || t.warmupSame(target, name, &old, now)) {
			next[name] = old

			continue
		}
		value, err := json.Marshal(m)
		if err != nil {
			// One odd target must not keep the leader from passing on the others.
			t.log.Log(event.TargetRejected, "Entries", 1, "Target", target.ID, "Error", err)

			continue
		}
		if t.rejected.hasPut(mirrorPrefix+name, value, now) {
			// What is stored of it is out of date and is deleted.
			continue
		}
		next[name] = m
		t.recordWarmup(&m, name, now)
		changes.Puts = append(changes.Puts, Put{Key: mirrorPrefix + name, Value: value})
		if err := flushIfFull(); err != nil {
			return err
		}
	}
	for _, name := range t.mirroredBefore(next, withheld, now) {
		changes.Deletes = append(changes.Deletes, mirrorPrefix+name)
		if err := flushIfFull(); err != nil {
			return err
		}
	}
	if len(changes.Puts)+len(changes.Deletes) > 0 {
		if err := flush(); err != nil {
			return err
		}
	}
	t.storedMirror, t.withheld = next, withheld

	return nil
}

// mirroredBefore returns the names in the stored mirror that the next one lacks and that can be deleted. The others are added to the next one
// and to those that are withheld.
func (t *term) mirroredBefore(next map[string]mirrored, withheld map[string]bool, now time.Time) (names []string) {
	for name, old := range t.storedMirror {
		if _, ok := next[name]; ok {
			continue
		}
		if t.rejected.hasDelete(mirrorPrefix+name, now) {
			next[name], withheld[name] = old, true

			continue
		}
		names = append(names, name)
	}

	return names
}

// commitMirror commits changes of the mirror and passes them on.
func (t *term) commitMirror(ctx context.Context, changes Transaction, callTimeout bool) error {
	commit := func(ctx context.Context) error {
		revision, err := t.store.Commit(ctx, changes)
		if err == nil {
			t.mirrorRevision = revision
		}

		return err
	}
	var err error
	if callTimeout {
		err = t.callWithTimeout(ctx, commit)
	} else {
		err = commit(ctx)
	}
	t.doubt(err)
	if err == nil {
		t.fleet.feed.publish(changes.entries(t.mirrorRevision))
	}

	return err
}

// mirrorEntries returns the content of the stored mirror that is up to date.
func (t *term) mirrorEntries() []Entry {
	entries := make([]Entry, 0, len(t.storedMirror))
	for name, m := range t.storedMirror {
		if t.withheld[name] {
			continue
		}
		// The fields of a mirrored can always be encoded.
		value, _ := json.Marshal(m)
		entries = append(entries, Entry{Key: mirrorPrefix + name, Value: value, Revision: t.mirrorRevision})
	}

	return entries
}

// resign revokes the lease, if there is one that has not expired, so that another instance can take over immediately.
func (t *term) resign(ctx context.Context, err error) {
	if t.lease == 0 || errors.Is(err, ErrLeaseEnded) {
		return
	}
	ctx, cancel := t.timers.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := t.store.End(ctx, t.lease); err != nil && !errors.Is(err, ErrLeaseEnded) {
		t.log.Log(event.LeadershipEnded, "Error", err)
	}
}
