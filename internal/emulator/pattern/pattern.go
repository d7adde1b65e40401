// Package pattern holds load patterns: descriptions of a fleet, its targets and its callers in trouble, which the emulator replays
// against the decisions of the query tier.
//
// A pattern is a YAML file in Pascal case. All faults of a file are reported at once, each with its path:
//
//	p, err := pattern.Load("patterns/pauses.yaml")
package pattern

import (
	"fmt"
	"os"

	"github.com/zeebo/errs"
	"sigs.k8s.io/yaml"

	"github.com/hickorynotch/hickorynotch/internal/value/duration"
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
)

// Error is the class of the errors of this package.
var Error = errs.Class("pattern")

// Pattern is a load with the fleet that meets it.
type Pattern struct {
	Name string
	// Source says where the load was seen.
	Source string
	// Length is the simulated time.
	Length duration.Duration
	// Zones maps availability zones to regions. ZoneDelay and RegionDelay are the one-way delays between them.
	Zones       map[string]string
	ZoneDelay   duration.Duration
	RegionDelay duration.Duration
	Instances   []Instances
	Targets     Targets
	Queries     Queries
	Budget      Budget
}

// Instances is a number of equal instances in one availability zone.
type Instances struct {
	AvailabilityZone string
	Count            int
	// Processor is the share of a core, LinkBits the bits a second of the link.
	Processor float64
	LinkBits  float64
}

// Targets describes the replicas of the shards.
type Targets struct {
	Shards int
	// AvailabilityZones are those of the replicas of a shard. The list is used in turn, Replicas at a time.
	AvailabilityZones []string
	Replicas          int
	Slots             int
	Queue             int
	// Work is the mean time of a request; times are exponential above half of it.
	Work      duration.Duration
	PartBytes float64
	// Every replica stops for PauseLength in each PauseEvery.
	PauseEvery  duration.Duration `json:",omitempty"`
	PauseLength duration.Duration `json:",omitempty"`
	Slow        []Slow            `json:",omitempty"`
	Away        []Away            `json:",omitempty"`
}

// Slow makes work at some replicas longer for a time.
type Slow struct {
	From, To duration.Duration
	// Fraction of the shards whose first Replicas replicas are slow by Factor.
	Fraction float64
	Replicas int
	Factor   float64
}

// Away makes some replicas refuse connections for a time.
type Away struct {
	From, To duration.Duration
	Fraction float64
	Replicas int
}

// Queries describes the callers.
type Queries struct {
	ASecond         float64
	Objective       duration.Duration
	Deadline        duration.Duration
	MinimumCoverage float64
	MaxAttempts     int
	// Repeats is the number of further tries of a caller whose query was refused.
	Repeats int     `json:",omitempty"`
	Bursts  []Burst `json:",omitempty"`
}

// Burst multiplies the rate of queries for a time.
type Burst struct {
	From, To duration.Duration
	Factor   float64
}

// Budget bounds the extra requests of a shard by the whole fleet.
type Budget struct {
	Ratio     float64
	Allowance float64
	Window    duration.Duration
}

// Load reads and checks a pattern.
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
	faults := p.check()

	return p, faults.In(path).Err()
}

func (p *Pattern) check() (faults fault.List) {
	positive := func(path string, value float64) {
		if !(value > 0) {
			faults.Add(path, "must be positive")
		}
	}
	zone := func(path, name string) {
		if _, ok := p.Zones[name]; !ok {
			faults.Add(path, "%q is not one of Zones", name)
		}
	}
	if p.Name == "" || p.Source == "" {
		faults.Add("Name", "must be set, with Source")
	}
	positive("Length", float64(p.Length))
	if len(p.Instances) == 0 {
		faults.Add("Instances", "must have at least one entry")
	}
	for i, of := range p.Instances {
		path := fmt.Sprintf("Instances[%d]", i)
		zone(path+".AvailabilityZone", of.AvailabilityZone)
		positive(path+".Count", float64(of.Count))
		positive(path+".Processor", of.Processor)
		positive(path+".LinkBits", of.LinkBits)
	}
	for i, name := range p.Targets.AvailabilityZones {
		zone(fmt.Sprintf("Targets.AvailabilityZones[%d]", i), name)
	}
	if len(p.Targets.AvailabilityZones) == 0 {
		faults.Add("Targets.AvailabilityZones", "must have at least one zone")
	}
	positive("Targets.Shards", float64(p.Targets.Shards))
	positive("Targets.Replicas", float64(p.Targets.Replicas))
	positive("Targets.Slots", float64(p.Targets.Slots))
	positive("Targets.Work", float64(p.Targets.Work))
	positive("Queries.ASecond", p.Queries.ASecond)
	positive("Queries.Objective", float64(p.Queries.Objective))
	positive("Queries.MaxAttempts", float64(p.Queries.MaxAttempts))
	if p.Queries.Deadline < p.Queries.Objective {
		faults.Add("Queries.Deadline", "%s is below the Objective of %s", p.Queries.Deadline, p.Queries.Objective)
	}
	positive("Budget.Window", float64(p.Budget.Window))
	if p.Targets.PauseEvery > 0 && p.Targets.PauseLength >= p.Targets.PauseEvery {
		faults.Add("Targets.PauseLength", "%s is not below PauseEvery", p.Targets.PauseLength)
	}

	return faults
}
