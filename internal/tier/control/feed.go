package control

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/quarantine"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/ratelimit"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

const (
	// heartbeatInterval is the interval between two updates to an instance that follows the leader while nothing changes.
	heartbeatInterval = time.Second
	// feedBatchDelay is the shortest time between two updates to one instance, so that changes in quick succession share an update.
	// When a fleet starts, all instances register within a second, and each registration is a change for all others.
	feedBatchDelay = 60 * time.Millisecond
	// sessionGrace is how long an instance stays registered after its session has ended. It covers a reset of the connection.
	sessionGrace = time.Second
	// inheritedGrace is how long a new leader keeps the instances that followed the previous one until they follow it.
	inheritedGrace = 5 * time.Second
	// syncTimeout is how long a session waits for a new leader to synchronize the mirror.
	syncTimeout = 700 * time.Millisecond
	// maxDeletedEntries is the number of deleted entries that are remembered, so that a follower can be told of a deletion.
	maxDeletedEntries = 1024
)

// ErrNotLeader means that the instance does not lead, or that its leadership has ended.
var ErrNotLeader = errors.New("the instance does not lead")

// FollowRequest is the request of an instance to follow the leader.
type FollowRequest struct {
	// Instance describes the instance. Register is unset while it stops, so that the leader does not list it.
	Instance Instance
	Register bool
	// Leader is the revision of the leader's key that the instance knows.
	Leader uint64
	// Version is the version of the configuration in force at the instance, 0 if it has none.
	Version uint64
	// Reports returns what the instance reports about the rate limits of targets. It is called right before that is sent.
	Reports func() []ratelimit.Report
	// Suspects returns what the instance reports about queries that seem to crash targets, after a cursor: at the begin of the session
	// all records, later those that it has changed itself. It also returns the next cursor, and a channel that is closed at the next
	// change.
	Suspects func(after uint64) (records []suspect.Record, next uint64, changed <-chan struct{})
	// Leaving returns the targets that the instance reports as leaving, and a channel that is closed when there are new ones.
	Leaving func() (targets []*directory.Target, changed <-chan struct{})
}

// Update is a message of the leader to an instance that follows it.
type Update struct {
	// Term is the revision of the leader's key. It fences the updates of an earlier leader.
	Term uint64
	// Version is the version of the configuration in force at the leader.
	Version uint64
	// ConfigurationAge is the time since the leader knew that version to be the stored one.
	ConfigurationAge time.Duration
	// StoreAge is the time since the leader last read the store successfully.
	StoreAge time.Duration
	// Changes are the changes since the last update, nil if there are none.
	Changes *Changes
	// Configuration is the configuration in force, nil if the instance has it.
	Configuration *StoredConfiguration
}

// Changes are changed registrations of instances and targets. With Reset, they are the full state.
type Changes struct {
	Reset   bool
	Entries []Entry
	Encoding
}

// StoredConfiguration is the operators' configuration in the form that is passed on, ConfigurationResult.Value.
type StoredConfiguration struct {
	Version uint64
	Value   []byte
	Encoding
}

// Encoding caches the encoded form of a value that is sent to many instances. The zero value is ready to use.
type Encoding struct {
	once sync.Once
	data []byte
	err  error
}

// Encoded returns the result of the first call of encode.
func (e *Encoding) Encoded(encode func() ([]byte, error)) ([]byte, error) {
	e.once.Do(func() { e.data, e.err = encode() })

	return e.data, e.err
}

// Feed is what the leader passes on to the instances that follow it: the registered instances, the mirror of the registry of targets
// and the configuration. The store is thus read by one instance, and its load hardly grows with the fleet. A Feed is safe for
// concurrent use.
type Feed struct {
	timers      *timer.Service
	onInstances func([]Instance)
	// configurationAge returns the time since the configuration in force was known to be the stored one.
	configurationAge func() time.Duration
	// reporting serializes the calls of onInstances, so that an older list never replaces a newer one.
	reporting sync.Mutex

	mu sync.Mutex
	// acquired is the revision with which the leader's key was acquired, and term its revision once the mirror was synchronized. Both
	// are 0 while this instance does not lead.
	acquired, term uint64
	// began is the revision with which the term began. It differs from term if the leader had to write its key again.
	began uint64
	// renewing is set while the leader may have written its key again, with a revision that it does not know yet.
	renewing bool
	// beganAt is when the term began.
	beganAt time.Time
	// sequence counts the changes. An update holds the entries whose sequence is above that of the previous update.
	sequence uint64
	entries  map[string]feedEntry
	deleted  int
	// resetBefore is the sequence before which deleted entries have been dropped.
	resetBefore   uint64
	configuration *StoredConfiguration
	presences     map[string]*presence
	storeReadAt   time.Time
	changed       chan struct{}
	// recent holds the changes since a sequence that were last computed, because most sessions are at the same one.
	recent map[uint64]*Changes
	// limitReports are the reports of the instances about the rate limits of targets, and limits what was made of them.
	limitReports limitReports
	limits       map[string]ratelimit.Limit
	// suspects are the queries that seem to crash targets. suspectCursor is that of the last record that was passed on, and
	// suspectsRefreshedAt when all were passed on last.
	suspects            *quarantine.List
	suspectCursor       uint64
	suspectsRefreshedAt time.Time
	// reportedLeaving are the targets that were reported as leaving since the leader last read the registry.
	reportedLeaving leavers
}

type feedEntry struct {
	Entry
	sequence uint64
}

// presence is the reason for which an instance is listed: its sessions, its registration in the store, or a grace time.
type presence struct {
	instance Instance
	sessions int
	stored   bool
	until    time.Time
}

func newFeed(timers *timer.Service, onInstances func([]Instance)) *Feed {
	return &Feed{
		timers: timers, onInstances: onInstances, entries: make(map[string]feedEntry), presences: make(map[string]*presence),
		configurationAge: func() time.Duration { return 0 },
		changed:          make(chan struct{}), recent: make(map[uint64]*Changes), limitReports: make(limitReports),
		reportedLeaving: make(leavers),
	}
}

// acquire prepares a term: sessions that name the revision of the leader's key wait for begin. The inherited instances stay listed
// for inheritedGrace.
func (f *Feed) acquire(revision uint64, inherited []Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acquired, f.term, f.renewing = revision, 0, false
	clear(f.entries)
	clear(f.presences)
	clear(f.limitReports)
	f.limits = nil
	f.suspectCursor, f.suspectsRefreshedAt = 0, f.timers.Now()
	f.deleted = 0
	f.sequence++
	f.resetBefore = f.sequence
	until := f.timers.Now().Add(inheritedGrace)
	for _, i := range inherited {
		f.presences[i.Name] = &presence{instance: i, until: until}
		f.putInstance(i)
	}
	f.broadcast()
}

// begin starts a term with the mirror of the registry of targets, which was last read at readAt.
func (f *Feed) begin(term uint64, self Instance, targets []Entry, readAt time.Time) {
	f.mu.Lock()
	f.term, f.began, f.beganAt = term, term, f.timers.Now()
	f.storeReadAt = readAt
	f.presences[self.Name] = &presence{instance: self, stored: true}
	f.putInstance(self)
	for _, e := range targets {
		f.put(e)
	}
	f.broadcast()
	f.mu.Unlock()
	f.publishSuspects()
	f.reportInstances()
}

// expectRenewal makes sessions that name a later revision of the leader's key wait for renew.
func (f *Feed) expectRenewal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewing = true
}

// renew goes on with the term and its sessions under a later revision of the leader's key.
func (f *Feed) renew(term uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acquired, f.term, f.renewing = term, term, false
	f.broadcast()
}

// end ends the term and all sessions.
func (f *Feed) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acquired, f.term, f.renewing = 0, 0, false
	f.broadcast()
}

// publish passes on changes of the mirror.
func (f *Feed) publish(entries []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		f.put(e)
	}
	f.broadcast()
}

// remove removes the entries with the given keys, which the store has rejected to change.
func (f *Feed) remove(keys []string) {
	if len(keys) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range keys {
		if old, ok := f.entries[key]; ok && !old.Deleted {
			f.put(Entry{Key: key, Deleted: true})
		}
	}
	f.broadcast()
}

// setTargets replaces the mirror by one that was read from the store.
func (f *Feed) setTargets(entries []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		if old, ok := f.entries[e.Key]; !ok || old.Deleted || !slices.Equal(old.Value, e.Value) {
			f.put(e)
		}
	}
	for key, old := range f.entries {
		if strings.HasPrefix(key, mirrorPrefix) && !old.Deleted && !present[key] {
			f.put(Entry{Key: key, Deleted: true})
		}
	}
	f.broadcast()
}

// SetConfiguration sets the configuration that is passed on.
func (f *Feed) SetConfiguration(c *StoredConfiguration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.configuration == nil || c.Version > f.configuration.Version {
		f.configuration = c
		f.broadcast()
	}
}

// announce sends an update to all followers, so that they learn without delay that the leader has read the configuration.
func (f *Feed) announce() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broadcast()
}

// confirm records when the leader last read the registry of targets and passed on all that had changed. The registry then had the targets that
// are not passed on as missing. The followers read it themselves once that is too long ago.
func (f *Feed) confirm(readAt time.Time) {
	f.mu.Lock()
	f.storeReadAt = readAt
	f.mu.Unlock()
}

// confirmed returns the mirror that this instance has passed on as leader, and when it last read the registry before.
func (f *Feed) confirmed() (mirror []Entry, readAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, e := range f.entries {
		if strings.HasPrefix(key, mirrorPrefix) && !e.Deleted {
			mirror = append(mirror, e.Entry)
		}
	}

	return mirror, f.storeReadAt
}

// setStored sets the instances that are registered in the store, because they cannot follow the leader.
func (f *Feed) setStored(self string, instances map[string]Instance) {
	f.mu.Lock()
	for name, i := range instances {
		f.presence(i).stored = true
		f.putInstance(f.presences[name].instance)
	}
	for name, p := range f.presences {
		if _, ok := instances[name]; !ok && p.stored && name != self {
			p.stored = false
		}
	}
	f.broadcast()
	f.mu.Unlock()
	f.sweep()
	f.reportInstances()
}

// sweep removes the instances that are not listed for any reason any more.
func (f *Feed) sweep() {
	f.mu.Lock()
	now, removed := f.timers.Now(), false
	for name, p := range f.presences {
		if p.sessions == 0 && !p.stored && now.After(p.until) {
			delete(f.presences, name)
			f.put(Entry{Key: InstanceKey(name), Deleted: true})
			removed = true
		}
	}
	if removed {
		f.broadcast()
	}
	f.mu.Unlock()
	if removed {
		f.reportInstances()
	}
}

// leave removes an instance that stops.
func (f *Feed) leave(name string) {
	f.mu.Lock()
	if p := f.presences[name]; p != nil {
		p.sessions, p.stored, p.until = 0, false, time.Time{}
	}
	f.mu.Unlock()
	f.sweep()
}

// reportInstances passes the listed instances to onInstances.
func (f *Feed) reportInstances() {
	f.reporting.Lock()
	defer f.reporting.Unlock()
	f.mu.Lock()
	instances := make([]Instance, 0, len(f.presences))
	for _, p := range f.presences {
		instances = append(instances, p.instance)
	}
	leads := f.term != 0
	f.mu.Unlock()
	if leads {
		slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
		f.onInstances(instances)
	}
}

// Follows reports whether an instance has a session.
func (f *Feed) Follows(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.presences[name]

	return p != nil && p.sessions > 0
}

// presence returns the presence of an instance, which it creates or updates. f.mu must be held.
func (f *Feed) presence(i Instance) *presence {
	p := f.presences[i.Name]
	if p == nil {
		p = &presence{}
		f.presences[i.Name] = p
	}
	p.instance = i

	return p
}

// putInstance sets the entry of an instance if it has changed. f.mu must be held.
func (f *Feed) putInstance(i Instance) {
	// The fields of an Instance can always be encoded.
	value, _ := json.Marshal(i)
	key := InstanceKey(i.Name)
	if old, ok := f.entries[key]; !ok || old.Deleted || !slices.Equal(old.Value, value) {
		f.put(Entry{Key: key, Value: value})
	}
}

// put sets an entry. f.mu must be held.
func (f *Feed) put(e Entry) {
	f.sequence++
	if old, ok := f.entries[e.Key]; ok && old.Deleted {
		f.deleted--
	}
	if e.Deleted {
		f.deleted++
	}
	f.entries[e.Key] = feedEntry{Entry: e, sequence: f.sequence}
	if f.deleted <= maxDeletedEntries {
		return
	}
	for key, old := range f.entries {
		if old.Deleted {
			delete(f.entries, key)
		}
	}
	f.deleted, f.resetBefore = 0, f.sequence
}

// broadcast wakes the sessions. f.mu must be held.
func (f *Feed) broadcast() {
	clear(f.recent)
	close(f.changed)
	f.changed = make(chan struct{})
}

// Serve sends updates to an instance that follows this one, until ctx is done or send fails. It returns ErrNotLeader if this
// instance does not lead, and as soon as its term ends.
func (f *Feed) Serve(ctx context.Context, r *FollowRequest, send func(*Update) error) error {
	term, err := f.awaitTerm(ctx, r.Leader)
	if err != nil {
		return err
	}
	if r.Register {
		f.join(r.Instance)
		defer f.endSession(r.Instance.Name)
	}
	cursor, version := uint64(0), r.Version
	for {
		update, changed := f.next(term, &cursor, &version)
		if update == nil {
			return ErrNotLeader
		}
		if err := send(update); err != nil {
			return err
		}
		heartbeat := f.timers.After(heartbeatInterval)
		select {
		case <-f.timers.After(feedBatchDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-heartbeat:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitTerm returns the term. If this instance has acquired the leader's key with the given revision or a later one, it waits for
// the term to begin.
func (f *Feed) awaitTerm(ctx context.Context, revision uint64) (term uint64, err error) {
	timeout := f.timers.After(syncTimeout)
	for {
		f.mu.Lock()
		acquired, term, renewing, changed := f.acquired, f.term, f.renewing, f.changed
		f.mu.Unlock()
		switch {
		case acquired == 0, revision > max(acquired, term) && !renewing && !isLaterGeneration(revision, acquired):
			return 0, ErrNotLeader
		case revision > max(acquired, term):
			// The leader may be about to write its key again.
		case term != 0:
			return term, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return 0, ErrNotLeader
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// join lists an instance that has begun a session.
func (f *Feed) join(i Instance) {
	f.mu.Lock()
	f.presence(i).sessions++
	f.putInstance(i)
	f.broadcast()
	f.mu.Unlock()
	f.reportInstances()
}

// endSession ends a session. The instance stays listed for sessionGrace.
func (f *Feed) endSession(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.presences[name]; p != nil && p.sessions > 0 {
		p.sessions--
		p.until = f.timers.Now().Add(sessionGrace)
	}
}

// next returns the update from a cursor, nil if the term has ended, and a channel that is closed at the next change. It advances the
// cursor and the version of the configuration that the follower has.
func (f *Feed) next(term uint64, cursor, version *uint64) (*Update, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.term == 0 || term < f.began {
		return nil, nil
	}
	u := &Update{Term: f.term, StoreAge: f.timers.Since(f.storeReadAt)}
	if c := f.configuration; c != nil {
		u.Version, u.ConfigurationAge = c.Version, f.configurationAge()
		if c.Version > *version {
			u.Configuration, *version = c, c.Version
		}
	}
	if *cursor != f.sequence {
		u.Changes = f.changesSince(*cursor)
		*cursor = f.sequence
	}

	return u, f.changed
}

// changesSince returns the changes after a sequence. f.mu must be held.
func (f *Feed) changesSince(sequence uint64) *Changes {
	if c := f.recent[sequence]; c != nil {
		return c
	}
	c := &Changes{Reset: sequence < f.resetBefore}
	for _, e := range f.entries {
		if c.Reset && !e.Deleted || !c.Reset && e.sequence > sequence {
			c.Entries = append(c.Entries, e.Entry)
		}
	}
	slices.SortFunc(c.Entries, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	f.recent[sequence] = c

	return c
}
