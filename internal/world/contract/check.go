package contract

import (
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/value/set"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

// namePattern excludes dots, because they separate the elements of the path in a fault.
var namePattern = regexp.MustCompile(`^\p{L}[\p{L}\p{N}_-]*$`)

// Check returns all faults of c, each with the path of the field.
func (c Configuration) Check() fault.List {
	var faults fault.List
	c.checkZones(&faults)
	if len(c.Services) == 0 {
		faults.Add("Services", "must have at least one service")
	}
	if len(c.Services) > MaxServices {
		faults.Add("Services", "has %d entries, at most %d are accepted", len(c.Services), MaxServices)
	}
	zones := set.Of(c.AvailabilityZones...)
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		path := "Services." + name
		if len(name) > MaxNameLength || !namePattern.MatchString(name) {
			faults.Add(path, "is not a service name (a letter, then letters, digits, - or _, at most %d bytes)", MaxNameLength)
		}
		faults.Merge(path, c.Services[name].check(zones))
	}
	c.checkSharedReplicas(&faults)

	return faults
}

func (c Configuration) checkZones(faults *fault.List) {
	const path = "AvailabilityZones"
	if len(c.AvailabilityZones) == 0 {
		faults.Add(path, "must have at least one zone")
	}
	if len(c.AvailabilityZones) > MaxAvailabilityZones {
		faults.Add(path, "has %d entries, at most %d are accepted", len(c.AvailabilityZones), MaxAvailabilityZones)
	}
	// Zones must differ in more than case, because the file names of overlays are matched to zones case-insensitively.
	var seen set.Set[string]
	for i, z := range c.AvailabilityZones {
		if err := z.Check(); err != nil {
			faults.Add(fmt.Sprintf("%s[%d]", path, i), "%s", err)
		}
		if !seen.Add(strings.ToLower(string(z))) {
			faults.Add(fmt.Sprintf("%s[%d]", path, i), "%q is listed twice (letter case is not a difference)", string(z))
		}
	}
}

// checkSharedReplicas checks that services with a common replica agree on its zone, Slots and Connections, which are properties of
// the replica and not of the service.
func (c Configuration) checkSharedReplicas(faults *fault.List) {
	type reference struct {
		service string
		index   int
	}
	firstReferences := map[netip.AddrPort]reference{}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		s := c.Services[name]
		var compared set.Set[string]
		for i, r := range s.Replicas {
			earlier, ok := firstReferences[r.Address]
			if !ok {
				firstReferences[r.Address] = reference{service: name, index: i}

				continue
			}
			if earlier.service == name {
				continue
			}
			other := c.Services[earlier.service]
			if z := other.Replicas[earlier.index].AvailabilityZone; z != r.AvailabilityZone {
				faults.Add(fmt.Sprintf("Services.%s.Replicas[%d].AvailabilityZone", name, i),
					"is %q, but %s is in %q in service %s", string(r.AvailabilityZone), r.Address, string(z), earlier.service)
			}
			// Slots and Connections are compared once for each pair of services.
			if !compared.Add(earlier.service) {
				continue
			}
			if s.Slots != other.Slots {
				faults.Add("Services."+name+".Slots", "is %d, but service %s has %d at the same replica %s",
					s.Slots, earlier.service, other.Slots, r.Address)
			}
			if s.Connections != other.Connections {
				faults.Add("Services."+name+".Connections", "is %d, but service %s has %d at the same replica %s",
					s.Connections, earlier.service, other.Connections, r.Address)
			}
		}
	}
}

func (s Service) check(zones set.Set[zone.Zone]) fault.List {
	var faults fault.List
	if len(s.Caller) > MaxNameLength || !namePattern.MatchString(s.Caller) {
		faults.Add("Caller", "%q is not a caller name (a letter, then letters, digits, - or _, at most %d bytes)",
			s.Caller, MaxNameLength)
	}
	s.checkClass(&faults)
	s.checkTimes(&faults)
	s.checkNumbers(&faults)
	s.checkReplicas(zones, &faults)

	return faults
}

func (s Service) checkClass(faults *fault.List) {
	switch s.Class {
	case FullPage, QuickMatch, OneRecord:
		if !s.Idempotent && s.Class != OneRecord {
			faults.Add("Idempotent", "must be true, because only a service of class %s may be non-idempotent", OneRecord)
		}
	default:
		faults.Add("Class", "%q is not one of %s, %s, %s", string(s.Class), FullPage, QuickMatch, OneRecord)
	}
	switch s.Claim {
	case "":
	case ClaimStore, ClaimNone:
		if s.Idempotent {
			faults.Add("Claim", "applies only to services that are not idempotent")
		}
	default:
		faults.Add("Claim", "%q is not one of %s, %s", string(s.Claim), ClaimStore, ClaimNone)
	}
}

func (s Service) checkTimes(faults *fault.List) {
	switch {
	case s.Deadline <= 0:
		faults.Add("Deadline", "must be positive")
	case s.Deadline.Std() > MaxDeadline:
		faults.Add("Deadline", "%s is over the limit of %s", s.Deadline, MaxDeadline)
	}
	switch {
	case s.FirstUseful < 0:
		faults.Add("FirstUseful", "must not be negative")
	case s.Class == QuickMatch && s.FirstUseful == 0:
		faults.Add("FirstUseful", "must be set for class %s", QuickMatch)
	case s.FirstUseful > 0 && (s.Class == FullPage || s.Class == OneRecord):
		faults.Add("FirstUseful", "applies only to class %s", QuickMatch)
	case s.Deadline > 0 && s.FirstUseful > s.Deadline:
		faults.Add("FirstUseful", "%s is over the Deadline of %s", s.FirstUseful, s.Deadline)
	}
	switch {
	case s.ConnectTime < 0:
		faults.Add("ConnectTime", "must not be negative")
	case s.Deadline > 0 && s.ConnectTime >= s.Deadline:
		faults.Add("ConnectTime", "%s is not below the Deadline of %s", s.ConnectTime, s.Deadline)
	}
}

func (s Service) checkNumbers(faults *fault.List) {
	for _, fraction := range []struct {
		name  string
		value float64
	}{{"MinimumCoverage", s.MinimumCoverage}, {"ExtraLoad", s.ExtraLoad}} {
		// The comparison is negated so that NaN is also a fault.
		if !(fraction.value >= 0 && fraction.value <= 1) {
			faults.Add(fraction.name, "%v is not within 0 to 1", fraction.value)
		}
	}
	if !(s.Worth > 0) {
		faults.Add("Worth", "must be positive")
	}
	for _, number := range []struct {
		name       string
		value, max int
	}{{"PageSize", s.PageSize, MaxPageSize}, {"Slots", s.Slots, MaxSlots}, {"Connections", s.Connections, MaxConnections}} {
		if number.value < 1 || number.value > number.max {
			faults.Add(number.name, "%d is not within 1 to %d", number.value, number.max)
		}
	}
	if s.Connections > 0 && s.Connections < s.Slots {
		faults.Add("Connections", "%d is below the Slots of %d", s.Connections, s.Slots)
	}
}

func (s Service) checkReplicas(zones set.Set[zone.Zone], faults *fault.List) {
	if len(s.Replicas) == 0 {
		faults.Add("Replicas", "must have at least one replica")
	}
	if len(s.Replicas) > MaxReplicas {
		faults.Add("Replicas", "has %d entries, at most %d are accepted", len(s.Replicas), MaxReplicas)
	}
	firstIndexes := map[netip.AddrPort]int{}
	for i, r := range s.Replicas {
		path := fmt.Sprintf("Replicas[%d]", i)
		switch earlier, duplicate := firstIndexes[r.Address]; {
		case !r.Address.IsValid():
			faults.Add(path+".Address", "must be set")
		case r.Address.Port() == 0:
			faults.Add(path+".Address", "%s has no port", r.Address)
		case r.Address.Addr().IsUnspecified() || r.Address.Addr().IsMulticast():
			faults.Add(path+".Address", "%s is not the address of one process", r.Address)
		case duplicate:
			faults.Add(path+".Address", "%s is also Replicas[%d]", r.Address, earlier)
		default:
			firstIndexes[r.Address] = i
		}
		if !zones.Has(r.AvailabilityZone) {
			faults.Add(path+".AvailabilityZone", "%q is not one of AvailabilityZones", string(r.AvailabilityZone))
		}
	}
}
