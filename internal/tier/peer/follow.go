package peer

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/ratelimit"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

const (
	// followTimeout is the time without an update after which the leader counts as lost. The leader sends one each second.
	followTimeout = 2200 * time.Millisecond
	// followDialTimeout is the time limit for opening the connection to the leader.
	followDialTimeout = 150 * time.Millisecond
	// ackInterval is the interval at which a follower confirms that it receives updates. A follower without a confirmation for
	// ackTimeout counts as lost, for example because its machine has lost power and no reset of the connection arrives.
	ackInterval = 3 * time.Second
	// reportInterval is the interval at which a follower confirms while it has reports about the rate limits of targets.
	reportInterval = 900 * time.Millisecond
	ackTimeout     = 10 * time.Second
	// maxUpdateBytes is the maximum size of the decompressed parts of an update. A configuration of the store has 1 MB at most.
	maxUpdateBytes = 16 << 20
	// maxEntries is the maximum number of entries in an update. The system is designed for 3,200 targets and 450 instances.
	maxEntries = 1 << 16
)

// FollowRequest carries a control.FollowRequest.
type FollowRequest struct {
	_                struct{} `cbor:",toarray"`
	Name             string
	Peer             netip.AddrPort
	AvailabilityZone string
	Processor        float64
	LinkBits         float64
	Register         bool
	Leader           uint64
	Version          uint64
}

func newFollowRequest(r *control.FollowRequest) *FollowRequest {
	return &FollowRequest{
		Name: r.Instance.Name, Peer: r.Instance.Peer, AvailabilityZone: r.Instance.AvailabilityZone,
		Processor: r.Instance.Processor, LinkBits: r.Instance.LinkBits, Register: r.Register, Leader: r.Leader, Version: r.Version,
	}
}

func (r *FollowRequest) toControl() *control.FollowRequest {
	return &control.FollowRequest{
		Instance: control.Instance{
			Name: r.Name, Peer: r.Peer, AvailabilityZone: r.AvailabilityZone, Processor: r.Processor, LinkBits: r.LinkBits,
		},
		Register: r.Register, Leader: r.Leader, Version: r.Version,
	}
}

// Check implements validator.
func (r *FollowRequest) Check() error {
	instance := r.toControl().Instance

	return instance.Check()
}

// FollowAck confirms that the follower receives updates, and carries what it reports about the rate limits of targets, about queries that
// seem to crash targets, and about targets that leave. One with suspects or leaving targets has no reports.
type FollowAck struct {
	_        struct{} `cbor:",toarray"`
	Reports  []limitReport
	Suspects []suspectRecord
	Leaving  []process
}

// process identifies the process of a target.
type process struct {
	_      struct{} `cbor:",toarray"`
	Target string
	// StartedMillis is the start time of the process in Unix milliseconds, 0 if it is not known.
	StartedMillis int64
}

// Check implements validator.
func (a *FollowAck) Check() error {
	if len(a.Reports) > maxEntries {
		return fmt.Errorf("field Reports: %d, at most %d", len(a.Reports), maxEntries)
	}
	for i := range a.Reports {
		report := a.Reports[i].toRateLimit()
		if err := report.Check(); err != nil {
			return fmt.Errorf("field Reports, element %d: %w", i, err)
		}
	}
	if len(a.Leaving) > maxEntries {
		return fmt.Errorf("field Leaving: %d, at most %d", len(a.Leaving), maxEntries)
	}

	return checkSuspects(a.Suspects)
}

func checkSuspects(records []suspectRecord) error {
	if len(records) > maxEntries {
		return fmt.Errorf("%d records of suspects, at most %d", len(records), maxEntries)
	}
	for i := range records {
		record := records[i].toSuspect()
		if err := record.Check(); err != nil {
			return fmt.Errorf("record %d of suspects: %w", i, err)
		}
	}

	return nil
}

// limitReport carries a ratelimit.Report.
type limitReport struct {
	_      struct{} `cbor:",toarray"`
	Target string
	// StartedMillis is the start time of the target in Unix milliseconds, 0 if it is not known.
	StartedMillis int64
	PerSecond     float64
	Lifted        bool
	Age           time.Duration
	Demand        float64
}

// suspectRecord carries a suspect.Record.
type suspectRecord struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint suspect.Fingerprint
	Epoch       int
	Crashes     []crash
	Blocks      int
	Left        time.Duration
}

type crash struct {
	_       struct{} `cbor:",toarray"`
	Process string
	Alone   bool
}

func newSuspectRecord(r *suspect.Record) suspectRecord {
	carried := suspectRecord{Fingerprint: r.Fingerprint, Epoch: r.Epoch, Blocks: r.Blocks, Left: r.Left}
	for _, c := range r.Crashes {
		carried.Crashes = append(carried.Crashes, crash{Process: c.Process, Alone: c.Alone})
	}

	return carried
}

func (r *suspectRecord) toSuspect() suspect.Record {
	record := suspect.Record{Fingerprint: r.Fingerprint, Epoch: r.Epoch, Blocks: r.Blocks, Left: r.Left}
	for _, c := range r.Crashes {
		record.Crashes = append(record.Crashes, suspect.Crash{Process: c.Process, Alone: c.Alone})
	}

	return record
}

func newSuspectRecords(records []suspect.Record) (carried []suspectRecord) {
	for i := range records {
		carried = append(carried, newSuspectRecord(&records[i]))
	}

	return carried
}

func toSuspects(carried []suspectRecord) (records []suspect.Record) {
	for i := range carried {
		records = append(records, carried[i].toSuspect())
	}

	return records
}

func newLeavingAck(targets []*directory.Target) *FollowAck {
	ack := &FollowAck{}
	for _, t := range targets {
		leaving := process{Target: t.ID}
		if !t.Started.IsZero() {
			leaving.StartedMillis = t.Started.UnixMilli()
		}
		ack.Leaving = append(ack.Leaving, leaving)
	}

	return ack
}

func newFollowAck(reports []ratelimit.Report) *FollowAck {
	ack := &FollowAck{Reports: make([]limitReport, 0, len(reports))}
	for _, r := range reports {
		carried := limitReport{Target: r.Target, PerSecond: r.PerSecond, Lifted: r.Lifted, Age: r.Age, Demand: r.Demand}
		if !r.Started.IsZero() {
			carried.StartedMillis = r.Started.UnixMilli()
		}
		ack.Reports = append(ack.Reports, carried)
	}

	return ack
}

func (r *limitReport) toRateLimit() ratelimit.Report {
	report := ratelimit.Report{Target: r.Target, PerSecond: r.PerSecond, Lifted: r.Lifted, Age: r.Age, Demand: r.Demand}
	if r.StartedMillis != 0 {
		report.Started = time.UnixMilli(r.StartedMillis)
	}

	return report
}

// FollowUpdate carries a control.Update.
type FollowUpdate struct {
	_        struct{} `cbor:",toarray"`
	Term     uint64
	Version  uint64
	StoreAge time.Duration
	// ConfigurationAge is the time since the leader knew that version to be the stored one.
	ConfigurationAge time.Duration
	// Changes is a compressed changeList, and Configuration the compressed configuration as it is stored. Both may be empty.
	Changes              []byte
	Configuration        []byte
	ConfigurationVersion uint64
}

// Check implements validator.
func (u *FollowUpdate) Check() error {
	if u.Term == 0 {
		return errors.New("field Term is 0")
	}
	if u.ConfigurationAge < 0 {
		return fmt.Errorf("field ConfigurationAge: %v is negative", u.ConfigurationAge)
	}

	return nil
}

// changeList is the content of FollowUpdate.Changes.
type changeList struct {
	_       struct{} `cbor:",toarray"`
	Reset   bool
	Entries []entry
}

// Check implements validator.
func (c *changeList) Check() error {
	if len(c.Entries) > maxEntries {
		return fmt.Errorf("field Entries: %d, at most %d", len(c.Entries), maxEntries)
	}

	return nil
}

type entry struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}

	return out.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	out, err := io.ReadAll(io.LimitReader(r, maxUpdateBytes+1))
	if err == nil && len(out) > maxUpdateBytes {
		err = fmt.Errorf("part of an update with over %d bytes", maxUpdateBytes)
	}

	return out, err
}

func encodeUpdate(u *control.Update) (message *FollowUpdate, err error) {
	message = &FollowUpdate{Term: u.Term, Version: u.Version, StoreAge: u.StoreAge, ConfigurationAge: u.ConfigurationAge}
	if u.Changes != nil {
		message.Changes, err = u.Changes.Encoded(func() ([]byte, error) {
			list := changeList{Reset: u.Changes.Reset, Entries: make([]entry, 0, len(u.Changes.Entries))}
			for _, e := range u.Changes.Entries {
				list.Entries = append(list.Entries, entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
			}
			data, err := cbor.Marshal(&list)
			if err != nil {
				return nil, err
			}

			return compress(data)
		})
		if err != nil {
			return nil, err
		}
	}
	if c := u.Configuration; c != nil {
		message.ConfigurationVersion = c.Version
		message.Configuration, err = c.Encoded(func() ([]byte, error) { return compress(c.Value) })
	}

	return message, err
}

func decodeUpdate(message *FollowUpdate) (u *control.Update, err error) {
	u = &control.Update{
		Term: message.Term, Version: message.Version, StoreAge: message.StoreAge, ConfigurationAge: message.ConfigurationAge,
	}
	if len(message.Changes) > 0 {
		data, err := decompress(message.Changes)
		if err != nil {
			return nil, err
		}
		var list changeList
		if err := (encoding{}).Unmarshal(data, &list); err != nil {
			return nil, err
		}
		u.Changes = &control.Changes{Reset: list.Reset, Entries: make([]control.Entry, 0, len(list.Entries))}
		for _, e := range list.Entries {
			u.Changes.Entries = append(u.Changes.Entries, control.Entry{
				Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted,
			})
		}
	}
	if len(message.Configuration) > 0 {
		value, err := decompress(message.Configuration)
		if err != nil {
			return nil, err
		}
		u.Configuration = &control.StoredConfiguration{Version: message.ConfigurationVersion, Value: value}
	}

	return u, nil
}

// Follow follows the leader at address: it passes the leader's updates to receive until ctx is done, receive fails, or the session
// ends, also because no update has arrived for followTimeout.
func (c *Client) Follow(
	ctx context.Context, address netip.AddrPort, r *control.FollowRequest, receive func(*control.Update) error,
) (err error) {
	defer func() { err = Error.Wrap(err) }()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialCtx, stopDial := c.timers.WithTimeout(ctx, followDialTimeout)
	netConn, err := new(net.Dialer).DialContext(dialCtx, "tcp", address.String())
	stopDial()
	if err != nil {
		return err
	}
	conn := drpcconn.New(netConn)
	defer func() { _ = conn.Close() }()
	stream, err := conn.NewStream(ctx, rpcFollow, encoding{})
	if err != nil {
		return err
	}
	if err := stream.MsgSend(newFollowRequest(r), encoding{}); err != nil {
		return err
	}
	sender := &ackSender{stream: stream, request: r}
	if r.Suspects != nil {
		go sender.sendSuspects(ctx)
	}
	if r.Leaving != nil {
		go sender.sendLeaving(ctx)
	}
	lastAck := c.timers.Now()
	for {
		stopWatchdog := c.timers.AfterFunc(followTimeout, cancel)
		var message FollowUpdate
		err := stream.MsgRecv(&message, encoding{})
		stopWatchdog()
		if err != nil {
			return err
		}
		update, err := decodeUpdate(&message)
		if err != nil {
			return err
		}
		if err := receive(update); err != nil {
			return err
		}
		sinceAck := c.timers.Since(lastAck)
		if sinceAck < reportInterval {
			continue
		}
		var reports []ratelimit.Report
		if r.Reports != nil {
			reports = r.Reports()
		}
		if sinceAck < ackInterval && len(reports) == 0 {
			continue
		}
		lastAck = c.timers.Now()
		if err := sender.send(newFollowAck(reports)); err != nil {
			return err
		}
	}
}

// ackSender sends the acknowledgements of a follower.
type ackSender struct {
	stream  drpc.Stream
	request *control.FollowRequest
	mu      sync.Mutex
}

func (s *ackSender) send(ack *FollowAck) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.stream.MsgSend(ack, encoding{})
}

// sendSuspects reports at once what the follower finds out about queries that seem to crash targets, until ctx is done or a message cannot
// be sent.
func (s *ackSender) sendSuspects(ctx context.Context) {
	for cursor := uint64(0); ctx.Err() == nil; {
		records, next, changed := s.request.Suspects(cursor)
		cursor = next
		if len(records) > 0 {
			if err := s.send(&FollowAck{Suspects: newSuspectRecords(records)}); err != nil {
				// The session ends.
				return
			}

			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// sendLeaving reports at once which targets leave by their own word, until ctx is done or a message cannot be sent.
func (s *ackSender) sendLeaving(ctx context.Context) {
	for ctx.Err() == nil {
		targets, changed := s.request.Leaving()
		if len(targets) > 0 {
			if err := s.send(newLeavingAck(targets)); err != nil {
				// The session ends.
				return
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// handleFollow serves an instance that follows this one.
func (s *Server) handleFollow(stream drpc.Stream) error {
	var request FollowRequest
	if err := stream.MsgRecv(&request, encoding{}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	stopWatchdog := s.timers.AfterFunc(ackTimeout, cancel)
	defer func() { stopWatchdog() }()
	acks := make(chan struct{}, 1)
	go func() {
		defer cancel()
		for {
			var ack FollowAck
			if err := stream.MsgRecv(&ack, encoding{}); err != nil {
				return
			}
			s.receiveAck(request.Name, &ack)
			select {
			case acks <- struct{}{}:
			default:
			}
		}
	}()

	return s.serveFollower(ctx, request.toControl(), func(u *control.Update) error {
		select {
		case <-acks:
			stopWatchdog()
			stopWatchdog = s.timers.AfterFunc(ackTimeout, cancel)
		default:
		}
		message, err := encodeUpdate(u)
		if err != nil {
			return err
		}

		return stream.MsgSend(message, encoding{})
	})
}

// receiveAck passes on what an instance that follows this one reports.
func (s *Server) receiveAck(instance string, ack *FollowAck) {
	switch {
	case len(ack.Suspects) > 0:
		s.onSuspects(toSuspects(ack.Suspects))
	case len(ack.Leaving) > 0:
		targets := make([]*directory.Target, 0, len(ack.Leaving))
		for _, leaving := range ack.Leaving {
			t := &directory.Target{ID: leaving.Target}
			if leaving.StartedMillis != 0 {
				t.Started = time.UnixMilli(leaving.StartedMillis)
			}
			targets = append(targets, t)
		}
		s.onLeaving(targets)
	default:
		reports := make([]ratelimit.Report, 0, len(ack.Reports))
		for i := range ack.Reports {
			reports = append(reports, ack.Reports[i].toRateLimit())
		}
		s.onReports(instance, reports)
	}
}
