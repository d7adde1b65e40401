package main

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/standin/target"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/target"
)

// The phases of a run, as the report names them.
const (
	quiet      = "no fault"
	stragglers = "1% stragglers"
	many       = "5% stragglers"
	lost       = "replica lost"
	shedding   = "replica sheds"
	draining   = "replica drains"
	misreport  = "wrong report"
	versions   = "version change"
	slow       = "slow targets"
	overload   = "2x overload"
	full       = "at capacity"
)

const (
	// slowFactor makes targets so slow in the overload phases that twice their capacity does not saturate the machine. The
	// capacity is what the deployment's slots give at that service time, which stays well below FirstUseful of the quick match.
	slowFactor = 5
	// spareLoad is the load of the phase that the overload is compared with, as a share of the capacity.
	spareLoad = 0.5
)

// phase is a part of a run with the same faults and the same load. Each policy has a slice of it in each round.
type phase struct {
	name  string
	slice time.Duration
	// capacity replaces the rates by a multiple of the capacity of the catalogue's targets, half of it full pages and half
	// quick matches.
	capacity float64
	faults   func(r *rand.Rand, addresses []netip.AddrPort) map[netip.AddrPort]target.Fault
}

// group is phases that are run in alternation for a number of rounds.
type group struct {
	rounds int
	phases []phase
}

var plans = map[string][]group{
	"full": {
		{rounds: 8, phases: []phase{
			{name: quiet, slice: 1200 * time.Millisecond},
			{name: stragglers, slice: 1200 * time.Millisecond, faults: slowSome(0.01)},
			{name: many, slice: 1200 * time.Millisecond, faults: slowSome(0.05)},
		}},
		{rounds: 2, phases: []phase{
			{name: lost, slice: 1500 * time.Millisecond, faults: one(target.Fault{Freeze: true})},
			{name: shedding, slice: 1500 * time.Millisecond, faults: one(target.Fault{Shed: true})},
			{name: misreport, slice: 1500 * time.Millisecond, faults: one(target.Fault{WrongReport: true})},
			{name: versions, slice: 1500 * time.Millisecond},
		}},
		{rounds: 2, phases: []phase{
			{name: slow, slice: 2 * time.Second, capacity: spareLoad, faults: slowAll},
			{name: overload, slice: 5 * time.Second, capacity: 2, faults: slowAll},
		}},
		// A target that reported a drain stays unused for its incarnation, so that this phase is the last one.
		{rounds: 1, phases: []phase{
			{name: draining, slice: 2 * time.Second, faults: one(target.Fault{Drain: true})},
		}},
	},
	"short": {
		{rounds: 2, phases: []phase{
			{name: quiet, slice: time.Second},
			{name: stragglers, slice: time.Second, faults: slowSome(0.01)},
		}},
		{rounds: 1, phases: []phase{
			{name: lost, slice: time.Second, faults: one(target.Fault{Freeze: true})},
			{name: slow, slice: time.Second, capacity: spareLoad, faults: slowAll},
			{name: overload, slice: 3 * time.Second, capacity: 2, faults: slowAll},
		}},
	},
	"overload": {
		{rounds: 1, phases: []phase{
			{name: slow, slice: time.Second, capacity: spareLoad, faults: slowAll},
			{name: overload, slice: 5 * time.Second, capacity: 2, faults: slowAll},
		}},
	},
	"stragglers": {
		{rounds: 6, phases: []phase{
			{name: quiet, slice: 1200 * time.Millisecond},
			{name: stragglers, slice: 1200 * time.Millisecond, faults: slowSome(0.01)},
			{name: many, slice: 1200 * time.Millisecond, faults: slowSome(0.05)},
		}},
	},
	"limits": {
		{rounds: 4, phases: []phase{
			{name: slow, slice: 1500 * time.Millisecond, capacity: spareLoad, faults: slowAll},
			{name: full, slice: 1500 * time.Millisecond, capacity: 1, faults: slowAll},
		}},
	},
}

// rates are the mean arrivals a second of each deployment's classes.
var rates = map[string]map[string]float64{
	"chattimala": {"catalogue": 80, "catalogue-quick": 40, "lot-detail": 30},
	"asociacion": {"buyer-portal": 15, "audit": 8, "field-app": 20, "issuance": 10},
}

// shards are the numbers of shards that scripts/bench gives to the stand-in targets. Other services have one.
var shards = map[string]int{
	"catalogue": 20, "catalogue-quick": 20, "kiln-record": 30, "lot-detail": 30,
	"buyer-portal": 20, "audit": 30, "credit-check": 30,
}

// asked returns the number of shards that a request of a service asks.
func asked(service string, oneRecord bool) int {
	if oneRecord {
		return 1
	}

	return max(1, shards[service])
}

// slowSome makes a fraction of queries slower, by a factor of 10 to 50 that differs between targets.
func slowSome(fraction float64) func(*rand.Rand, []netip.AddrPort) map[netip.AddrPort]target.Fault {
	return func(r *rand.Rand, addresses []netip.AddrPort) map[netip.AddrPort]target.Fault {
		faults := make(map[netip.AddrPort]target.Fault, len(addresses))
		for _, address := range addresses {
			faults[address] = target.Fault{SlowFraction: fraction, SlowFactor: 10 + 40*r.Float64()}
		}

		return faults
	}
}

// slowAll makes all queries slower.
func slowAll(_ *rand.Rand, addresses []netip.AddrPort) map[netip.AddrPort]target.Fault {
	faults := make(map[netip.AddrPort]target.Fault, len(addresses))
	for _, address := range addresses {
		faults[address] = target.Fault{SlowFraction: 1, SlowFactor: slowFactor}
	}

	return faults
}

// one gives the fault to one target.
func one(fault target.Fault) func(*rand.Rand, []netip.AddrPort) map[netip.AddrPort]target.Fault {
	return func(r *rand.Rand, addresses []netip.AddrPort) map[netip.AddrPort]target.Fault {
		return map[netip.AddrPort]target.Fault{addresses[r.IntN(len(addresses))]: fault}
	}
}

// none lifts all faults.
func none(addresses []netip.AddrPort) map[netip.AddrPort]target.Fault {
	faults := make(map[netip.AddrPort]target.Fault, len(addresses))
	for _, address := range addresses {
		faults[address] = target.Fault{}
	}

	return faults
}

// addVersion makes replica i of the catalogue hold the next version, and withdraws the one before last.
func addVersion(addresses []netip.AddrPort, version uint64) map[netip.AddrPort]target.Fault {
	faults := make(map[netip.AddrPort]target.Fault, len(addresses))
	for i, address := range addresses {
		n := shards["catalogue"]
		faults[address] = target.Fault{AddHolding: &wire.Holding{Version: version, Shard: i % n, Shards: n}}
	}

	return faults
}

// withdrawVersion makes all targets drop a version.
func withdrawVersion(addresses []netip.AddrPort, version uint64) map[netip.AddrPort]target.Fault {
	faults := make(map[netip.AddrPort]target.Fault, len(addresses))
	for _, address := range addresses {
		faults[address] = target.Fault{WithdrawVersion: version}
	}

	return faults
}
