// Package target sends requests to targets over HTTP/1.1 and keeps what was seen of each of them.
//
// A Fleet holds one Link for each target of the directory. A Link owns the connections to its target, sends one request on a
// connection at a time, and tells three ends of an attempt apart:
//
//	result := link.Send(call, cancel)
//	switch result.Outcome {
//	case target.Answered: // the whole response is in result
//	case target.NotRun:   // the target did not run the request and never will
//	case target.Unknown:  // the request may have run
//	}
//
// A response counts only if it carries the ID of the request. A response to an earlier request is dropped.
package target

import (
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

// Error is the class of the errors of this package.
var Error = errs.Class("target")

const (
	// defaultDialTimeout bounds the opening of a connection. A round trip between regions takes up to 24 ms, and a target
	// holds a new connection for up to 6 ms.
	defaultDialTimeout = 400 * time.Millisecond
	// defaultConnections is the number of connections to one target while the size of the fleet is not known.
	defaultConnections = 2
	// maxLines is the number of changes of the directory that are logged one by one.
	maxLines = 40
	// maxWaiters bounds the attempts that wait for a connection to one target.
	maxWaiters = 64
	// MaxReplyBytes bounds the body of a response. Records of up to 18 kB are expected.
	MaxReplyBytes = 4 << 20
)

// Fleet holds the links to all targets. It is safe for concurrent use.
type Fleet struct {
	codec       Codec
	timers      *timer.Service
	log         *event.Log
	dialTimeout time.Duration

	mu          sync.RWMutex
	links       map[string]*Link
	directory   *directory.Directory
	connections func(service string) int
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithLog sets the log for changes of targets and for broken responses.
func WithLog(log *event.Log) Option {
	return func(f *Fleet) { f.log = log }
}

// WithDialTimeout bounds the opening of a connection.
func WithDialTimeout(d time.Duration) Option {
	return func(f *Fleet) { f.dialTimeout = d }
}

// WithConnections sets the function that returns how many connections the instance may hold to each target of a service.
func WithConnections(connections func(service string) int) Option {
	return func(f *Fleet) { f.connections = connections }
}

// NewFleet returns a Fleet without targets.
func NewFleet(codec Codec, timers *timer.Service, options ...Option) *Fleet {
	f := &Fleet{
		codec:       codec,
		timers:      timers,
		dialTimeout: defaultDialTimeout,
		links:       make(map[string]*Link),
		directory:   directory.New(nil),
		connections: func(string) int { return defaultConnections },
	}
	for _, option := range options {
		option(f)
	}

	return f
}

// Update makes d the directory in force. Links to targets that are gone take no new requests; requests in flight go on.
func (f *Fleet) Update(d *directory.Directory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	log := f.log
	if n := f.changes(d); n > maxLines {
		// A line for each target would fill the log when an instance starts.
		f.log.Log(event.TargetsChanged, "Changes", n, "Targets", d.Len(), "Before", len(f.links))
		log = nil
	}
	for id, l := range f.links {
		t, ok := d.Target(id)
		if ok && t.Address == l.address && t.Service == l.service && t.Started.Equal(l.Target().Started) {
			if changed := l.update(t); changed {
				log.Log(event.TargetChanged, "Target", id, "Service", t.Service, "Draining", t.Draining)
			}

			continue
		}
		delete(f.links, id)
		l.retire()
		log.Log(event.TargetGone, "Target", id, "Service", l.service)
	}
	for t := range d.All {
		if _, ok := f.links[t.ID]; !ok {
			f.links[t.ID] = newLink(f, t)
			log.Log(event.TargetFound, "Target", t.ID, "Service", t.Service, "Address", t.Address,
				"AvailabilityZone", t.AvailabilityZone, "Draining", t.Draining)
		}
	}
	f.directory = d
}

// changes counts the targets of d that are new or gone. The lock is held.
func (f *Fleet) changes(d *directory.Directory) int {
	n := 0
	for id := range f.links {
		if _, ok := d.Target(id); !ok {
			n++
		}
	}
	for t := range d.All {
		if _, ok := f.links[t.ID]; !ok {
			n++
		}
	}

	return n
}

// Links returns the links to the targets of a service that take requests, appended to buffer.
func (f *Fleet) Links(buffer []*Link, service string) []*Link {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, t := range f.directory.Service(service) {
		if l := f.links[t.ID]; l != nil && l.usable() {
			buffer = append(buffer, l)
		}
	}

	return buffer
}

// Directory returns the directory in force.
func (f *Fleet) Directory() *directory.Directory {
	f.mu.RLock()
	defer f.mu.RUnlock()

	return f.directory
}

// Close closes all idle connections.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		l.retire()
	}
}
