package node

import (
	"net/netip"
	"time"
)

// Settings describes an instance: its name and location, its addresses, the resources of its machine, and its limits.
type Settings struct {
	Name             string
	AvailabilityZone string
	Region           string
	// Regions maps all availability zones to their regions.
	Regions map[string]string

	// FirstStart is set if the whole fleet starts for the first time, so that no caller is waiting yet.
	FirstStart bool

	// Callers, Readiness, Peer and Operator are the addresses that the instance listens on: for callers' requests, for the load
	// balancer's readiness probes, for other instances, and for metrics.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Peer      netip.AddrPort
	Operator  netip.AddrPort
	// Store is the address of the platform's metadata store.
	Store netip.AddrPort

	// Processor, Memory, Descriptors and LinkBits are the resources of the machine: the processor time in cores, possibly a
	// fraction, the memory in bytes, the number of file descriptors, and the network bandwidth in bits per second.
	Processor   float64
	Memory      int64
	Descriptors int
	LinkBits    float64

	// StopTimeout is the time between the signal to stop and the forced termination of the process.
	StopTimeout time.Duration
	// ApplyBound is the time within which a new configuration has to be in force. DrainBound is the time within which a
	// draining target has to stop receiving new requests.
	ApplyBound time.Duration
	DrainBound time.Duration

	// RetryRatio, RetryAllowance and RetryWindow limit the extra requests (hedges and retries) of the whole fleet to each
	// service: in each window, the ratio of the service's requests plus the allowance.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// EvacuateBound is the time within which all instances have to stop sending requests to the targets of a zone that operators
	// evacuate, 0 if operators do not.
	EvacuateBound time.Duration
	// Quota is the tolerance by which the quotas of client accounts are judged.
	Quota Quota
	// StrictRevocation is set if an instance that has not confirmed its configuration for RevokeBound must not trust the keys in it.
	StrictRevocation bool
	RevokeBound      time.Duration
	// WarmupOverage and WarmupSlack are the tolerance by which the requests to a cold target are judged: in one second, it may get its
	// limit times WarmupOverage, plus WarmupSlack.
	WarmupOverage float64
	WarmupSlack   float64
}

// Quota is the tolerance by which the quota of a client account is judged: in each Window, all instances together may pass on
// (rate x Window + burst) x (1 + Overage) + Slack requests.
type Quota struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}
