package admission

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// window is the time over which pressure is averaged. It is about the response time of a request, so that the effect of an
	// adjustment is measured before the next one.
	window = 100 * time.Millisecond
	// delayShare is the queue delay, as a share of the time to the first answer, at which pressure is 1. With a longer delay, a
	// query that waits for many targets may miss its deadline.
	delayShare = 0.3
	// refusalPressure is the pressure of one refusal: if a tenth of the requests are refused, the mean pressure is 1.
	refusalPressure = 10
	// risePerWindow and fallPerWindow are the changes of the level for each window. At a mean pressure of 2 the level rises by
	// one worth in 1 s, at 1 + maxExcess or more in a third of that; without pressure it falls by one worth in 2 s. The slow
	// fall keeps the level from oscillating around the load at which the targets have no spare capacity.
	risePerWindow = 0.1
	maxExcess     = 3
	fallPerWindow = 0.05
	// holdWindows is the number of windows for which the level stays constant after it has risen to the next integer, at which
	// all requests of one more worth are refused. The queues of the targets need that time to empty: while their delays are
	// still long, the level would rise further and requests of the next worth would be refused without need.
	holdWindows = 4
	// fullHoldTime is the time for which a full window of requests in flight counts as overload, so that hedges do not resume
	// between two bursts.
	fullHoldTime = time.Second
)

// threshold is the worth threshold of a group of services: those that share targets, or all services.
//
// Its level refers to the distinct worths of the services in ascending order. At level 1.3, requests of the lowest worth are
// refused, 70% of those of the second lowest are admitted, and so are all others. With fractional levels the refused share
// rises gradually, also when all services have the same worth.
//
// The level rises when the mean pressure of a window is above 1, and falls otherwise. The pressure of a sample is the ratio of
// a queue delay to delayTarget, or refusalPressure for a refusal.
type threshold struct {
	members []*service
	// worths holds the distinct worths of members in ascending order.
	worths []float64
	level  float64
	// slots is the number of requests that the targets of members run at a time.
	slots int

	windowStart     time.Time
	pressure        float64
	samples         int
	holdWindowsLeft int // number of windows for which the level still stays constant
	// lastFull is the last time at which a request was refused because the window of requests in flight was full.
	lastFull time.Time
}

func (t *threshold) add(pressure float64) {
	t.pressure += pressure
	t.samples++
}

// roll adjusts the level for the windows that have ended. A window without samples has a pressure of 0.
func (t *threshold) roll(now time.Time) {
	windows := now.Sub(t.windowStart) / window
	if windows < 1 {
		return
	}
	var mean float64
	if t.samples > 0 {
		mean = t.pressure / float64(t.samples)
	}
	switch {
	case mean > 1 && t.holdWindowsLeft > 0:
		t.holdWindowsLeft--
	case mean > 1:
		next := math.Floor(t.level) + 1
		t.level += risePerWindow * min(mean-1, maxExcess)
		if t.level >= next {
			t.level, t.holdWindowsLeft = next, holdWindows
		}
	default:
		t.holdWindowsLeft = 0
		t.level -= fallPerWindow * (1 - mean)
	}
	t.level = min(t.level, float64(len(t.worths)))
	t.level = max(t.level-fallPerWindow*float64(windows-1), 0)
	t.windowStart, t.pressure, t.samples = now, 0, 0
}

// share returns the share of the requests of this worth that is admitted at the current level.
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

// inFlight returns the largest number of target requests that the admitted requests of members can have in flight.
func (t *threshold) inFlight() (n float64) {
	for _, s := range t.members {
		n += s.inFlight
	}

	return n
}

// windowShare returns the share of the window of requests in flight that requests of this worth may use. Requests of the lowest
// worth may use half, so that a burst of them does not fill the window for higher worths before the level has risen.
func (t *threshold) windowShare(worth float64) float64 {
	if len(t.worths) < 2 {
		return 1
	}
	rank, _ := slices.BinarySearch(t.worths, worth)

	return 0.5 + 0.5*float64(min(rank, len(t.worths)-1))/float64(len(t.worths)-1)
}

func (t *threshold) serviceNames() string {
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
