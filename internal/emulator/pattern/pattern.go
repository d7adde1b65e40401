// Package pattern reads load patterns. A load pattern describes a fleet, its targets, its callers and the faults and overload that
// they experience. The emulator replays it against the decisions of the query tier.
//
// A pattern is a YAML file whose keys are in Pascal case. Load reports all errors of a file at once, each with the path of its
// field:
//
//	p, err := pattern.Load("patterns/pauses.yaml")
package pattern

import (
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/zeebo/errs"
	"sigs.k8s.io/yaml"

	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
)

// Error is the error class of this package.
var Error = errs.Class("pattern")

// Pattern is a load and the fleet that serves it.
type Pattern struct {
	Name string
	// Source names the run in which the load was observed.
	Source string
	// Length is the simulated time for which callers send queries.
	Length duration.Duration
	// Zones maps availability zones to regions. ZoneDelay and RegionDelay are the one-way delays between zones of a region and
	// between regions.
	Zones       map[string]string
	ZoneDelay   duration.Duration
	RegionDelay duration.Duration
	Instances   []Instances
	Partitions  []Partition `json:",omitempty"`
	Targets     Targets
	Queries     Queries
	Budget      Budget
}

// Instances describes a number of identical instances in one availability zone.
type Instances struct {
	AvailabilityZone string
	Count            int
	// Processor is the share of a core that each instance has, and LinkBits the bandwidth of its link in bits per second.
	Processor float64
	LinkBits  float64
}

// Partition cuts some instances off from all replicas between From and To.
type Partition struct {
	From, To duration.Duration
	// Fraction is the fraction of the instances of each entry of Pattern.Instances that are cut off.
	Fraction float64
	// Refuse makes requests fail at once. Otherwise they hang.
	Refuse bool `json:",omitempty"`
}

// Targets describes the replicas of the shards.
type Targets struct {
	Shards int
	// AvailabilityZones lists the zones that the replicas are assigned to. They are assigned round-robin, shard by shard.
	AvailabilityZones []string
	// Replicas is the number of replicas of each shard.
	Replicas int
	// Slots is the number of requests that a replica runs at a time, and Queue the number of further requests that wait at it. A
	// replica refuses requests beyond these.
	Slots int
	Queue int
	// Work is the mean service time of a request. Half of it is constant, and the other half is the mean of an exponential
	// distribution.
	Work duration.Duration
	// PartBytes is the size of the response of one shard.
	PartBytes float64
	// Every replica pauses for PauseLength once in each PauseEvery.
	PauseEvery  duration.Duration `json:",omitempty"`
	PauseLength duration.Duration `json:",omitempty"`
	Slow        []Slow            `json:",omitempty"`
	Away        []Away            `json:",omitempty"`
	Shedding    []Shedding        `json:",omitempty"`
	Leaving     []Leaving         `json:",omitempty"`
}

// Slow multiplies the service time of some replicas by Factor between From and To.
type Slow struct {
	From, To duration.Duration
	// Fraction is the fraction of shards that are affected, and Replicas the number of affected replicas of each of them.
	Fraction float64
	Replicas int
	Factor   float64
}

// Away makes some replicas refuse connections between From and To. Fraction and Replicas select them as in Slow.
type Away struct {
	From, To duration.Duration
	Fraction float64
	Replicas int
}

// Shedding makes some replicas refuse requests between From and To, and name RetryAfter as the time to come back. Fraction and Replicas
// select them as in Slow.
type Shedding struct {
	From, To   duration.Duration
	Fraction   float64
	Replicas   int
	RetryAfter duration.Duration
}

// Leaving makes some replicas say that they leave in all responses between From and To, and refuse connections after that. Fraction and
// Replicas select them as in Slow.
type Leaving struct {
	From, To duration.Duration
	Fraction float64
	Replicas int
}

// Queries describes the queries that callers send.
type Queries struct {
	// ASecond is the mean number of queries per second.
	ASecond float64
	// Objective is the latency objective of a query. Deadline is the time at which a query ends at the latest, and after which its
	// caller no longer retries it. Both are counted from the caller's first attempt.
	Objective duration.Duration
	Deadline  duration.Duration
	// MinimumCoverage is the smallest fraction of the shards that an answer must cover.
	MinimumCoverage float64
	// MaxAttempts is the maximum number of replicas of a shard that a query is sent to.
	MaxAttempts int
	// Regions are the regions in which queries may be served; all if there are none.
	Regions []string `json:",omitempty"`
	// Repeats is the maximum number of times that a caller retries a query that was refused.
	Repeats int     `json:",omitempty"`
	Bursts  []Burst `json:",omitempty"`
}

// Burst multiplies the rate of queries by Factor between From and To.
type Burst struct {
	From, To duration.Duration
	Factor   float64
}

// Budget is the retry budget. It limits the extra requests (hedges and retries) that the whole fleet sends to one shard; see
// budget.Limits.
type Budget struct {
	Ratio     float64
	Allowance float64
	Window    duration.Duration
}

// Load reads a pattern and validates it.
func Load(path string) (p *Pattern, err error) {
	defer func() { err = Error.Wrap(err) }()

	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p = &Pattern{}
	if err := yaml.UnmarshalStrict(data, p); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	faults := p.validate()

	return p, faults.In(path).Err()
}

// validate returns all errors of the pattern.
func (p *Pattern) validate() (faults fault.List) {
	requirePositive := func(path string, value float64) {
		if !(value > 0) {
			faults.Add(path, "must be positive")
		}
	}
	requireZone := func(path, name string) {
		if _, ok := p.Zones[name]; !ok {
			faults.Add(path, "%q is not one of Zones", name)
		}
	}
	if p.Name == "" || p.Source == "" {
		faults.Add("Name", "must be set, and so must Source")
	}
	requirePositive("Length", float64(p.Length))
	if len(p.Instances) == 0 {
		faults.Add("Instances", "must have at least one entry")
	}
	for i, group := range p.Instances {
		path := fmt.Sprintf("Instances[%d]", i)
		requireZone(path+".AvailabilityZone", group.AvailabilityZone)
		requirePositive(path+".Count", float64(group.Count))
		requirePositive(path+".Processor", group.Processor)
		requirePositive(path+".LinkBits", group.LinkBits)
	}
	faults.Merge("", p.validatePartitions())
	for i, name := range p.Targets.AvailabilityZones {
		requireZone(fmt.Sprintf("Targets.AvailabilityZones[%d]", i), name)
	}
	if len(p.Targets.AvailabilityZones) == 0 {
		faults.Add("Targets.AvailabilityZones", "must have at least one zone")
	}
	requirePositive("Targets.Shards", float64(p.Targets.Shards))
	requirePositive("Targets.Replicas", float64(p.Targets.Replicas))
	requirePositive("Targets.Slots", float64(p.Targets.Slots))
	requirePositive("Targets.Work", float64(p.Targets.Work))
	for i, shedding := range p.Targets.Shedding {
		requirePositive(fmt.Sprintf("Targets.Shedding[%d].RetryAfter", i), float64(shedding.RetryAfter))
	}
	for i, leaving := range p.Targets.Leaving {
		requirePositive(fmt.Sprintf("Targets.Leaving[%d].To", i), float64(leaving.To-leaving.From))
	}
	requirePositive("Queries.ASecond", p.Queries.ASecond)
	requirePositive("Queries.Objective", float64(p.Queries.Objective))
	requirePositive("Queries.MaxAttempts", float64(p.Queries.MaxAttempts))
	if p.Queries.Deadline < p.Queries.Objective {
		faults.Add("Queries.Deadline", "%s is below the Objective of %s", p.Queries.Deadline, p.Queries.Objective)
	}
	for i, name := range p.Queries.Regions {
		if !slices.Contains(slices.Collect(maps.Values(p.Zones)), name) {
			faults.Add(fmt.Sprintf("Queries.Regions[%d]", i), "%q is not a region of Zones", name)
		}
	}
	requirePositive("Budget.Window", float64(p.Budget.Window))
	if p.Targets.PauseEvery > 0 && p.Targets.PauseLength >= p.Targets.PauseEvery {
		faults.Add("Targets.PauseLength", "%s is not below PauseEvery", p.Targets.PauseLength)
	}

	return faults
}

// validatePartitions returns all errors of the partitions.
func (p *Pattern) validatePartitions() (faults fault.List) {
	for i, partition := range p.Partitions {
		path := fmt.Sprintf("Partitions[%d]", i)
		if partition.To <= partition.From {
			faults.Add(path+".To", "must be after From")
		}
		if !(partition.Fraction > 0) {
			faults.Add(path+".Fraction", "must be positive")
		}
	}

	return faults
}
