package configuration

import (
	"encoding/json"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

// AnnouncementKey is the small key that is watched and read in place of the record, which may have 1 MB.
const AnnouncementKey = "ConfigurationRevision"

const (
	// announceGrace is the time that a writer has to confirm an announcement, before the record is read without. Its writes
	// take milliseconds.
	announceGrace = time.Second
	// recheckEvery is the time between reads of the record although the announcement says that it is in force. An apply of an
	// older build announces nothing. A record of 291 KB is 2.4 KB/s, for one instance of each zone.
	recheckEvery = 2 * time.Minute
	// never is the wait for a read that is not due at any time.
	never = time.Duration(1<<63 - 1)
)

// Announcement is the value under AnnouncementKey. An apply writes it before the record, so that a record is announced even
// if the apply dies between its writes, and confirms it after. It only tells when to read the record: what is accepted is
// the record alone.
type Announcement struct {
	// Revision is the highest one that a record may have.
	Revision uint64
	// Written says that the record has it.
	Written bool
}

// decodeAnnouncement returns the zero Announcement for a value that is missing or damaged, so that the record is read.
func decodeAnnouncement(value []byte) (a Announcement) {
	if json.Unmarshal(value, &a) != nil {
		return Announcement{}
	}

	return a
}

// encode returns the value of a, which always has one.
func (a Announcement) encode() []byte {
	value, _ := json.Marshal(a)

	return value
}

// schedule says when an instance with a role reads the record, from what is announced and what is in force.
type schedule struct {
	keeper *Keeper
	timers *timer.Service
	// recheck makes the record be read every recheckEvery, and patient leaves a confirmed one to the watcher for a grace.
	recheck, patient bool

	announced Announcement
	last      time.Time // the last read of the record, or the begin of the role
	next      time.Time // the next read for an announced revision
	pause     time.Duration
}

func newSchedule(keeper *Keeper, timers *timer.Service, r role) *schedule {
	return &schedule{
		keeper: keeper, timers: timers, recheck: r != watching, patient: r == reading, last: timers.Now(),
	}
}

// learn takes the value under AnnouncementKey.
func (s *schedule) learn(value []byte) {
	announced := decodeAnnouncement(value)
	if announced == s.announced {
		return
	}
	s.announced, s.next, s.pause = announced, s.timers.Now(), announceGrace
	if !announced.Written || s.patient {
		s.next = s.next.Add(announceGrace)
	}
}

// wait returns the time until the record has to be read. It is not positive when that is due.
func (s *schedule) wait() time.Duration {
	next := s.next
	switch active := s.keeper.Revision(); {
	case s.announced.Revision < active:
		// The announcement is missing or lost, or an older build wrote the record without one.
		next = s.last.Add(ReadEvery)
	case s.announced.Revision == active && !s.recheck:
		return never
	case s.announced.Revision == active:
		next = s.last.Add(recheckEvery)
	}

	return next.Sub(s.timers.Now())
}

// read is called after the record was read. An announced revision that it does not have may never come, because the writer
// died before it wrote the record, so the time to the next read grows.
func (s *schedule) read() {
	s.last = s.timers.Now()
	s.next = s.last.Add(s.pause)
	s.pause = min(2*s.pause, recheckEvery)
}
