package peer

import (
	"fmt"

	"github.com/hickorynotch/hickorynotch/internal/query/attempt"
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/instance"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// Sender identifies the instance that makes a call.
type Sender struct {
	Name             string
	AvailabilityZone zone.Zone
	// Process is drawn at random when the process starts. It tells two processes with one name apart without
	// comparing clocks.
	Process uint64
}

func (s *Sender) check(faults *fault.List) {
	if s.Name == "" || len(s.Name) > instance.MaxNameLength {
		faults.Add("Sender.Name", "must have 1 to %d characters", instance.MaxNameLength)
	}
	if err := s.AvailabilityZone.Check(); err != nil {
		faults.Add("Sender.AvailabilityZone", "%v", err)
	}
}

// Gossip is what every ping and its reply carry.
type Gossip struct {
	// Self is the instance that speaks.
	Self instance.Instance
	// Revision is that of its active configuration, 0 when it has none.
	Revision uint64
	Updates  []instance.Instance
}

func (g *Gossip) check(path string, faults *fault.List) {
	if err := g.Self.Check(); err != nil {
		faults.Add(path+".Self", "%v", err)
	}
	checkMembers(path+".Updates", g.Updates, MaxUpdates, faults)
}

// Table is what two instances exchange to make their views of the fleet equal.
type Table struct {
	Self     instance.Instance
	Revision uint64
	// Digest is a hash over the sender's live members. Members stays empty between instances with equal digests.
	Digest  uint64
	Members []instance.Instance
}

func (t *Table) check(path string, faults *fault.List) {
	if err := t.Self.Check(); err != nil {
		faults.Add(path+".Self", "%v", err)
	}
	checkMembers(path+".Members", t.Members, MaxMembers, faults)
}

func checkMembers(path string, members []instance.Instance, limit int, faults *fault.List) {
	if len(members) > limit {
		faults.Add(path, "%d entries, at most %d are accepted", len(members), limit)

		return
	}
	for i := range members {
		if err := members[i].Check(); err != nil {
			faults.Add(fmt.Sprintf("%s[%d]", path, i), "%v", err)
		}
	}
}

type hello struct {
	Sender Sender
}

// Check returns the faults of m.
func (m *hello) Check() error {
	var faults fault.List
	m.Sender.check(&faults)

	return faults.Err()
}

type relayRequest struct {
	Sender  Sender
	Attempt attempt.Attempt
	// Late asks for a message before the reply when the attempt is late.
	Late bool `cbor:",omitempty"`
}

// Check returns the faults of m.
func (m *relayRequest) Check() error {
	var faults fault.List
	m.Sender.check(&faults)
	if err := m.Attempt.Check(); err != nil {
		faults.Add("Attempt", "%v", err)
	}

	return faults.Err()
}

// relayReply holds either a reply or a failure, or says that the attempt is late and that one of them follows.
type relayReply struct {
	Late    bool            `cbor:",omitempty"`
	Reply   *target.Reply   `cbor:",omitempty"`
	Failure *target.Failure `cbor:",omitempty"`
}

// Check returns the faults of m.
func (m *relayReply) Check() error {
	var faults fault.List
	switch {
	case m.Late:
		if m.Reply != nil || m.Failure != nil {
			faults.Add("Late", "must be alone in its message")
		}
	case (m.Reply == nil) == (m.Failure == nil):
		faults.Add("Reply", "exactly one of Reply and Failure must be set")
	case m.Reply != nil:
		if err := m.Reply.Report.Check(); err != nil {
			faults.Add("Reply", "%v", err)
		}
	default:
		if m.Failure.Outcome != target.NotRun && m.Failure.Outcome != target.Unknown {
			faults.Add("Failure.Outcome", "%q is not an outcome", m.Failure.Outcome)
		}
		if m.Failure.Report != nil {
			if err := m.Failure.Report.Check(); err != nil {
				faults.Add("Failure", "%v", err)
			}
		}
	}

	return faults.Err()
}

type ping struct {
	Sender Sender
	Gossip Gossip
}

// Check returns the faults of m.
func (m *ping) Check() error {
	var faults fault.List
	m.Sender.check(&faults)
	m.Gossip.check("Gossip", &faults)

	return faults.Err()
}

type ack struct {
	Gossip Gossip
}

// Check returns the faults of m.
func (m *ack) Check() error {
	var faults fault.List
	m.Gossip.check("Gossip", &faults)

	return faults.Err()
}

type pingRequest struct {
	Sender Sender
	Member instance.Instance
	Gossip Gossip
}

// Check returns the faults of m.
func (m *pingRequest) Check() error {
	var faults fault.List
	m.Sender.check(&faults)
	if err := m.Member.Check(); err != nil {
		faults.Add("Member", "%v", err)
	}
	m.Gossip.check("Gossip", &faults)

	return faults.Err()
}

type syncRequest struct {
	Sender Sender
	Table  Table
}

// Check returns the faults of m.
func (m *syncRequest) Check() error {
	var faults fault.List
	m.Sender.check(&faults)
	m.Table.check("Table", &faults)

	return faults.Err()
}

type syncReply struct {
	Table Table
}

// Check returns the faults of m.
func (m *syncReply) Check() error {
	var faults fault.List
	m.Table.check("Table", &faults)

	return faults.Err()
}

type configurationRequest struct {
	Sender Sender
	// Have is the revision that the sender has. A record that is not newer is not sent.
	Have uint64
}

// Check returns the faults of m.
func (m *configurationRequest) Check() error {
	var faults fault.List
	m.Sender.check(&faults)

	return faults.Err()
}

// record carries a compressed configuration record. Its content is checked by fleet/configuration.
type record struct {
	Sender Sender
	Record []byte
}

// Check returns the faults of m.
func (m *record) Check() error {
	var faults fault.List
	m.Sender.check(&faults)
	if len(m.Record) > MaxRecordBytes {
		faults.Add("Record", "%d bytes, at most %d are accepted", len(m.Record), MaxRecordBytes)
	}

	return faults.Err()
}

// configurationReply carries a compressed record, or none when the sender's is not older.
type configurationReply struct {
	Record []byte
}

// Check returns the faults of m.
func (m *configurationReply) Check() error {
	var faults fault.List
	if len(m.Record) > MaxRecordBytes {
		faults.Add("Record", "%d bytes, at most %d are accepted", len(m.Record), MaxRecordBytes)
	}

	return faults.Err()
}

type done struct{}

// Check returns nil; the message has no fields.
func (m *done) Check() error {
	return nil
}
