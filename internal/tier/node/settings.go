package node

import (
	"net/netip"
	"time"
)

// Settings is what an instance is told about itself and its surroundings.
type Settings struct {
	Name             string
	AvailabilityZone string
	Region           string
	// Regions maps all availability zones to their regions.
	Regions map[string]string

	// Callers, Readiness, Peer and Operator are the addresses that the instance listens on: for requests, for the load
	// balancer, for other instances, and for metrics.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Peer      netip.AddrPort
	Operator  netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort

	// Processor is the share of a core, Memory the bytes, LinkBits the bits a second that the machine has.
	Processor   float64
	Memory      int64
	Descriptors int
	LinkBits    float64

	// StopTimeout is the time between the signal to stop and the end of the process by force.
	StopTimeout time.Duration
	// ApplyBound and DrainBound are the times within which a configuration is in force and a draining target gets no new
	// requests.
	ApplyBound time.Duration
	DrainBound time.Duration

	// RetryRatio, RetryAllowance and RetryWindow bound the extra requests to each service over the fleet.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
}
