package peer

import (
	"fmt"
	"net/netip"

	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// MaxSequence is far above what changes of a target reach and exact in every number format.
const MaxSequence = 1 << 53

// TargetReport is what an instance passes on of a target's report: all but its momentary load. It is encoded as an array,
// because the names of its fields would take as many bytes as their values.
type TargetReport struct {
	_       struct{} `cbor:",toarray"`
	Address netip.AddrPort
	// Sequence orders the reports of one target, whichever instance they come from.
	Sequence    uint64
	Incarnation uint64
	Service     string
	Draining    bool
	Cold        bool
	Holdings    []target.Holding
}

// Check returns the faults of r.
func (r *TargetReport) Check() error {
	var faults fault.List
	if !r.Address.IsValid() || r.Address.Port() == 0 {
		faults.Add("Address", "must be an address with a port")
	}
	if r.Sequence == 0 || r.Sequence > MaxSequence {
		faults.Add("Sequence", "%d is not between 1 and %d", r.Sequence, uint64(MaxSequence))
	}
	if len(r.Service) > target.MaxIDLength {
		faults.Add("Service", "must have at most %d characters", target.MaxIDLength)
	}
	report := r.Report()
	if err := report.Check(); err != nil {
		faults.Add("Report", "%v", err)
	}

	return faults.Err()
}

// Report returns r as the target would have sent it, without its load.
func (r *TargetReport) Report() target.Report {
	return target.Report{
		Incarnation: r.Incarnation, Service: r.Service, Draining: r.Draining, Cold: r.Cold, Holdings: r.Holdings,
	}
}

func checkReports(reports []TargetReport, faults *fault.List) {
	if len(reports) > MaxReports {
		faults.Add("Reports", "%d entries, at most %d are accepted", len(reports), MaxReports)

		return
	}
	for i := range reports {
		if err := reports[i].Check(); err != nil {
			faults.Add(fmt.Sprintf("Reports[%d]", i), "%v", err)
		}
	}
}

type compareRequest struct {
	Sender Sender
	// Digest is a hash over all target reports of the sender.
	Digest uint64
}

// Check returns the faults of m.
func (m *compareRequest) Check() error {
	var faults fault.List
	m.Sender.check(&faults)

	return faults.Err()
}

// Comparison is the answer to the digest of another instance.
type Comparison struct {
	Digest uint64
	// Progress grows while the instance that answers polls.
	Progress uint64
	// Buckets are the digests of the parts of its table. It is empty when the digests of the whole tables are equal.
	Buckets []uint64 `cbor:",omitempty"`
}

// Check returns the faults of c.
func (c *Comparison) Check() error {
	var faults fault.List
	if len(c.Buckets) != 0 && len(c.Buckets) != Buckets {
		faults.Add("Buckets", "%d entries, 0 or %d are accepted", len(c.Buckets), Buckets)
	}

	return faults.Err()
}

type reportsRequest struct {
	Sender  Sender
	Reports []TargetReport `cbor:",omitempty"`
	// Want has a bit for each bucket whose reports the sender asks for.
	Want uint64
}

// Check returns the faults of m.
func (m *reportsRequest) Check() error {
	var faults fault.List
	m.Sender.check(&faults)
	checkReports(m.Reports, &faults)

	return faults.Err()
}

type reportsReply struct {
	Reports []TargetReport `cbor:",omitempty"`
}

// Check returns the faults of m.
func (m *reportsReply) Check() error {
	var faults fault.List
	checkReports(m.Reports, &faults)

	return faults.Err()
}
