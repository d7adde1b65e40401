package admission

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// window is the time over which pressure is averaged. It is about the time that a request spends in the system, so that
	// an adjustment shows its effect before the next one.
	window = 100 * time.Millisecond
	// delayShare is the queue delay, as a share of the time to the first answer, at which pressure is 1. Above it the deadline
	// of a query that waits for many targets is at risk.
	delayShare = 0.3
	// refusalPressure makes a tenth of refused requests as bad as the delay at which pressure is 1.
	refusalPressure = 10
	// rise and fall are the changes of the level for each window. At a pressure of 2 the threshold passes one worth in 1 s, at
	// maxExcess in a third of that, and it returns in 5 s. The slow return keeps the level from oscillating around the load
	// at which the targets have no spare capacity.
	rise      = 0.1
	maxExcess = 3
	fall      = 0.05
	// holdWindows is the number of windows for which a rising level rests where all requests of one more worth are refused. The
	// queues at the targets need that time to empty, and the pressure that they cause until then would refuse the next worth
	// without need.
	holdWindows = 4
	// fullTime is how long a full window counts as overload, so that hedges do not resume between two bursts.
	fullTime = time.Second
)

// threshold is the worth threshold for the services that share targets.
//
// The threshold is a level over the services' worths in ascending order. At level 1.3, requests of the lowest worth are refused,
// those of the second lowest are admitted to 70%, and all others are admitted. A level between two worths lets the threshold rise
// gradually, also when all services have the same worth.
type threshold struct {
	members []*service
	// worths holds the distinct worths of members in ascending order.
	worths []float64
	level  float64
	// slots is the number of requests that the targets of members run at a time.
	slots int

	began    time.Time
	pressure float64
	samples  int
	hold     int // windows that the level still rests
	// full is the last time at which a request found the window of requests in flight full.
	full time.Time
}

func (t *threshold) add(pressure float64) {
	t.pressure += pressure
	t.samples++
}

// roll adjusts the level for the windows that have ended. A window without samples counts as one without pressure.
func (t *threshold) roll(now time.Time) {
	windows := now.Sub(t.began) / window
	if windows < 1 {
		return
	}
	var mean float64
	if t.samples > 0 {
		mean = t.pressure / float64(t.samples)
	}
	switch {
	case mean > 1 && t.hold > 0:
		t.hold--
	case mean > 1:
		next := math.Floor(t.level) + 1
		t.level += rise * min(mean-1, maxExcess)
		if t.level >= next {
			t.level, t.hold = next, holdWindows
		}
	default:
		t.hold = 0
		t.level -= fall * (1 - mean)
	}
	t.level = min(t.level, float64(len(t.worths)))
	t.level = max(t.level-fall*float64(windows-1), 0)
	t.began, t.pressure, t.samples = now, 0, 0
}

// share returns the share of requests of this worth that the level admits.
func (t *threshold) share(worth float64) float64 {
	rank, _ := slices.BinarySearch(t.worths, worth)

	return min(max(float64(rank+1)-t.level, 0), 1)
}

// worth returns the lowest worth that is admitted in full, 0 at level 0 and +Inf if there is none.
func (t *threshold) worth() float64 {
	rank := int(math.Ceil(t.level))
	switch {
	case rank == 0:
		return 0
	case rank >= len(t.worths):
		return math.Inf(1)
	default:
		return t.worths[rank]
	}
}

// inFlight returns the target requests that the admitted requests of members may have in flight.
func (t *threshold) inFlight() (n float64) {
	for _, s := range t.members {
		n += s.inFlight
	}

	return n
}

// windowShare returns the part of the window that requests of this worth may fill. The lowest worth leaves half of it to
// those above, so that a burst of it cannot keep them out until the level has risen.
func (t *threshold) windowShare(worth float64) float64 {
	if len(t.worths) < 2 {
		return 1
	}
	rank, _ := slices.BinarySearch(t.worths, worth)

	return 0.5 + 0.5*float64(min(rank, len(t.worths)-1))/float64(len(t.worths)-1)
}

func (t *threshold) names() string {
	names := make([]string, 0, len(t.members))
	for _, s := range t.members {
		names = append(names, s.name)
	}

	return strings.Join(names, ",")
}

func (t *threshold) setMembers(members []*service) {
	t.members = members
	t.worths = t.worths[:0]
	for _, s := range members {
		t.worths = append(t.worths, s.worth)
	}
	slots := make(map[netip.AddrPort]int)
	for _, s := range members {
		for _, r := range s.replicas {
			slots[r.Address] = max(slots[r.Address], s.slots)
		}
	}
	t.slots = 0
	for _, n := range slots {
		t.slots += n
	}
	slices.Sort(t.worths)
	t.worths = slices.Compact(t.worths)
	t.level = min(t.level, float64(len(t.worths)))
}
