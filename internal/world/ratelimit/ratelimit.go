// Package ratelimit holds what instances tell each other about targets that limit their rate of requests.
//
// Each instance reports what it knows of a target and how many requests it wants to send there. The leader makes a Limit of the
// reports and passes it on to all instances, so that they need no response of the target to know it.
package ratelimit

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"
)

// Report is what an instance knows of the rate limit of a target.
type Report struct {
	// Target is the ID of the target, and Started the start time of its process.
	Target  string
	Started time.Time
	// PerSecond is the number of requests a second that the target accepts from all instances together. Lifted is set if the target
	// names no limit any more.
	PerSecond float64
	Lifted    bool
	// Age is the time since the last response of the target to this instance, or MaximumAge if there was none.
	Age time.Duration
	// Demand is the number of requests a second that this instance wants to send to the target.
	Demand float64
}

// MaximumAge is the greatest Age of a Report.
const MaximumAge = time.Hour

// Check returns an error if a field is invalid.
func (r *Report) Check() error {
	switch {
	case r.Target == "":
		return errors.New("field Target is empty")
	case r.Age < 0 || r.Age > MaximumAge:
		return fmt.Errorf("field Age: %v is not between 0 and %v", r.Age, MaximumAge)
	}

	return errors.Join(checkRate("PerSecond", r.PerSecond), checkRate("Demand", r.Demand))
}

// Limit is the rate limit of a target, as known to the fleet.
type Limit struct {
	// Started, PerSecond and Lifted are those of the report with the lowest age.
	Started   time.Time
	PerSecond float64
	Lifted    bool
	// Demand is the sum of the demands of all instances.
	Demand float64
}

// Check returns an error if a field is invalid.
func (l *Limit) Check() error {
	return errors.Join(checkRate("PerSecond", l.PerSecond), checkRate("Demand", l.Demand))
}

// UnmarshalJSON decodes and validates a Limit.
func (l *Limit) UnmarshalJSON(data []byte) error {
	type plain Limit
	if err := json.Unmarshal(data, (*plain)(l)); err != nil {
		return err
	}

	return l.Check()
}

func checkRate(field string, rate float64) error {
	if !(rate >= 0) || math.IsInf(rate, 0) {
		// NaN is not at least 0 either.
		return fmt.Errorf("field %s: %v is not a number of requests a second", field, rate)
	}

	return nil
}
