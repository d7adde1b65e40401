package main

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/standin/target"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// The names of the phases, as printed in the report.
const (
	phaseNoFault        = "no fault"
	phaseFewStragglers  = "1% stragglers"
	phaseManyStragglers = "5% stragglers"
	phaseReplicaLost    = "replica lost"
	phaseReplicaSheds   = "replica sheds"
	phaseReplicaDrains  = "replica drains"
	phaseWrongReport    = "wrong report"
	phaseVersionChange  = "version change"
	phaseSlowTargets    = "slow targets"
	phaseOverload       = "2x overload"
	phaseAtCapacity     = "at capacity"
)

const (
	// slowFactor multiplies the service times in the overload phases, so that a load of twice the capacity does not saturate the
	// machine. The capacity is that of the deployment's slots at the longer service time, which is still well below FirstUseful
	// of catalogue-quick.
	slowFactor = 5
	// baselineLoad is the load, as a fraction of the capacity, of the phase with which the overload is compared.
	baselineLoad = 0.5
)

// phase is a part of a run with constant faults and load. In each round, each policy runs for one slice of each phase.
type phase struct {
	name  string
	slice time.Duration
	// capacity, if it is not 0, replaces the arrival rates by this multiple of the capacity of the catalogue's targets, one half
	// as full pages and the other half as quick matches.
	capacity float64
	faults   func(r *rand.Rand, addresses []netip.AddrPort) map[netip.AddrPort]target.Fault
}

// group is a list of phases that run one after the other in each of a number of rounds.
type group struct {
	rounds int
	phases []phase
}

var plans = map[string][]group{
	"full": {
		{rounds: 8, phases: []phase{
			{name: phaseNoFault, slice: 1200 * time.Millisecond},
			{name: phaseFewStragglers, slice: 1200 * time.Millisecond, faults: slowSome(0.01)},
			{name: phaseManyStragglers, slice: 1200 * time.Millisecond, faults: slowSome(0.05)},
		}},
		{rounds: 2, phases: []phase{
			{name: phaseReplicaLost, slice: 1500 * time.Millisecond, faults: faultOne(target.Fault{Freeze: true})},
			{name: phaseReplicaSheds, slice: 1500 * time.Millisecond, faults: faultOne(target.Fault{Shed: true})},
			{name: phaseWrongReport, slice: 1500 * time.Millisecond, faults: faultOne(target.Fault{WrongReport: true})},
			{name: phaseVersionChange, slice: 1500 * time.Millisecond},
		}},
		{rounds: 2, phases: []phase{
			{name: phaseSlowTargets, slice: 2 * time.Second, capacity: baselineLoad, faults: slowAll},
			{name: phaseOverload, slice: 5 * time.Second, capacity: 2, faults: slowAll},
		}},
		// A target that has reported draining receives no requests until it restarts, so this phase comes last.
		{rounds: 1, phases: []phase{
			{name: phaseReplicaDrains, slice: 2 * time.Second, faults: faultOne(target.Fault{Drain: true})},
		}},
	},
	"short": {
		{rounds: 2, phases: []phase{
			{name: phaseNoFault, slice: time.Second},
			{name: phaseFewStragglers, slice: time.Second, faults: slowSome(0.01)},
		}},
		{rounds: 1, phases: []phase{
			{name: phaseReplicaLost, slice: time.Second, faults: faultOne(target.Fault{Freeze: true})},
			{name: phaseSlowTargets, slice: time.Second, capacity: baselineLoad, faults: slowAll},
			{name: phaseOverload, slice: 3 * time.Second, capacity: 2, faults: slowAll},
		}},
	},
	"overload": {
		{rounds: 1, phases: []phase{
			{name: phaseSlowTargets, slice: time.Second, capacity: baselineLoad, faults: slowAll},
			{name: phaseOverload, slice: 5 * time.Second, capacity: 2, faults: slowAll},
		}},
	},
	"stragglers": {
		{rounds: 6, phases: []phase{
			{name: phaseNoFault, slice: 1200 * time.Millisecond},
			{name: phaseFewStragglers, slice: 1200 * time.Millisecond, faults: slowSome(0.01)},
			{name: phaseManyStragglers, slice: 1200 * time.Millisecond, faults: slowSome(0.05)},
		}},
	},
	"limits": {
		{rounds: 4, phases: []phase{
			{name: phaseSlowTargets, slice: 1500 * time.Millisecond, capacity: baselineLoad, faults: slowAll},
			{name: phaseAtCapacity, slice: 1500 * time.Millisecond, capacity: 1, faults: slowAll},
		}},
	},
}

// rates are the mean arrivals per second of each service, by deployment.
var rates = map[string]map[string]float64{
	"chattimala": {"catalogue": 80, "catalogue-quick": 40, "lot-detail": 30},
	"asociacion": {"buyer-portal": 15, "audit": 8, "field-app": 20, "issuance": 10},
}

// shardCounts are the numbers of shards with which scripts/bench starts the stand-in targets, by service. Other services have one
// shard.
var shardCounts = map[string]int{
	"catalogue": 20, "catalogue-quick": 20, "kiln-record": 30, "lot-detail": 30,
	"buyer-portal": 20, "audit": 30, "credit-check": 30,
}

// shardsPerRequest returns the number of shards to which a request of a service is sent.
func shardsPerRequest(service string, oneRecord bool) int {
	if oneRecord {
		return 1
	}

	return max(1, shardCounts[service])
}

// slowSome returns a function that slows down a fraction of the queries of all targets. The factor is random for each target, from
// 10 to 50.
func slowSome(fraction float64) func(*rand.Rand, []netip.AddrPort) map[netip.AddrPort]target.Fault {
	return func(r *rand.Rand, addresses []netip.AddrPort) map[netip.AddrPort]target.Fault {
		faults := make(map[netip.AddrPort]target.Fault, len(addresses))
		for _, address := range addresses {
			faults[address] = target.Fault{SlowFraction: fraction, SlowFactor: 10 + 40*r.Float64()}
		}

		return faults
	}
}

// slowAll returns faults that slow down all queries of all targets by slowFactor.
func slowAll(_ *rand.Rand, addresses []netip.AddrPort) map[netip.AddrPort]target.Fault {
	faults := make(map[netip.AddrPort]target.Fault, len(addresses))
	for _, address := range addresses {
		faults[address] = target.Fault{SlowFraction: 1, SlowFactor: slowFactor}
	}

	return faults
}

// faultOne returns a function that sets the fault at one random target.
func faultOne(fault target.Fault) func(*rand.Rand, []netip.AddrPort) map[netip.AddrPort]target.Fault {
	return func(r *rand.Rand, addresses []netip.AddrPort) map[netip.AddrPort]target.Fault {
		return map[netip.AddrPort]target.Fault{addresses[r.IntN(len(addresses))]: fault}
	}
}

// noFaults returns empty faults for all targets. They replace those that are set.
func noFaults(addresses []netip.AddrPort) map[netip.AddrPort]target.Fault {
	faults := make(map[netip.AddrPort]target.Fault, len(addresses))
	for _, address := range addresses {
		faults[address] = target.Fault{}
	}

	return faults
}

// addVersion returns faults that add a holding of the given index version to each target of the catalogue. Target i holds shard i
// modulo the number of shards.
func addVersion(addresses []netip.AddrPort, version uint64) map[netip.AddrPort]target.Fault {
	faults := make(map[netip.AddrPort]target.Fault, len(addresses))
	for i, address := range addresses {
		n := shardCounts["catalogue"]
		faults[address] = target.Fault{AddHolding: &wire.Holding{Version: version, Shard: i % n, Shards: n}}
	}

	return faults
}

// withdrawVersion returns faults that remove the given index version from the holdings of all targets.
func withdrawVersion(addresses []netip.AddrPort, version uint64) map[netip.AddrPort]target.Fault {
	faults := make(map[netip.AddrPort]target.Fault, len(addresses))
	for _, address := range addresses {
		faults[address] = target.Fault{WithdrawVersion: version}
	}

	return faults
}
