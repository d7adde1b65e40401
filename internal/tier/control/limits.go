package control

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/world/ratelimit"
)

const (
	// limitPrefix is the prefix of the keys under which the leader passes on the rate limits of targets. They are not stored.
	limitPrefix = ownPrefix + "limits/"
	// reportExpiry is the age from which a report of an instance is ignored. Instances report once a second while there is a limit.
	reportExpiry = 3500 * time.Millisecond
	// cutOffAfter is the time without an update of the leader, or without a report to it, after which an instance counts as cut off. It
	// is shorter than reportExpiry, so that an instance uses less of a limit before the others use more.
	cutOffAfter = 3 * time.Second
	// contactTimeout is the time without an update of the leader up to which an instance is in contact. The leader sends one each second.
	contactTimeout = 1500 * time.Millisecond
	// demandDelay is the time from the begin of a term until the leader passes on the demand for targets. Before, instances may not
	// have followed it and reported yet, and the others would share what those use.
	demandDelay = 2500 * time.Millisecond
	// demandChange is the relative change of the demand for a target from which it is passed on.
	demandChange = 0.15
	// maxReportedLimits is the maximum number of limited targets for which the leader keeps reports.
	maxReportedLimits = 1 << 13
)

// limitReports is what the instances report to the leader about the rate limits of targets.
type limitReports map[string]instanceReports

// instanceReports are the last reports of an instance.
type instanceReports struct {
	at      time.Time
	reports []ratelimit.Report
}

// limits makes the rate limits of all targets of the reports.
func (l limitReports) limits(now time.Time) map[string]ratelimit.Limit {
	limits := make(map[string]ratelimit.Limit)
	ages := make(map[string]time.Duration)
	for instance, of := range l {
		elapsed := now.Sub(of.at)
		if elapsed > reportExpiry {
			delete(l, instance)

			continue
		}
		for _, r := range of.reports {
			limit, known := limits[r.Target]
			age := r.Age + elapsed
			if !known && len(limits) >= maxReportedLimits {
				continue
			}
			if !known || age < ages[r.Target] {
				limit.Started, limit.PerSecond, limit.Lifted = r.Started, r.PerSecond, r.Lifted
				ages[r.Target] = age
			}
			limit.Demand += r.Demand
			limits[r.Target] = limit
		}
	}

	return limits
}

// Report records what an instance reports to this one, the leader, about the rate limits of targets.
func (f *Feed) Report(instance string, reports []ratelimit.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.acquired == 0 {
		return
	}
	f.limitReports[instance] = instanceReports{at: f.timers.Now(), reports: reports}
}

// updateLimits passes on the changes of the rate limits that the instances have reported. It returns all limits, and whether one has
// changed.
func (f *Feed) updateLimits() (limits map[string]ratelimit.Limit, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	limits = f.limitReports.limits(now)
	complete := now.Sub(f.beganAt) >= demandDelay
	for target, limit := range limits {
		if !complete {
			limit.Demand = 0
			limits[target] = limit
		}
		if old, ok := f.limits[target]; ok && sameLimit(old, limit) {
			limits[target] = old

			continue
		}
		changed = true
		// The fields of a Limit can always be encoded.
		value, _ := json.Marshal(limit)
		f.put(Entry{Key: limitPrefix + target, Value: value})
	}
	for target := range f.limits {
		if _, ok := limits[target]; !ok {
			changed = true
			f.put(Entry{Key: limitPrefix + target, Deleted: true})
		}
	}
	f.limits = limits
	if changed {
		f.broadcast()
	}

	return limits, changed
}

// sameLimit reports whether a limit differs so little from another one that it need not be passed on.
func sameLimit(a, b ratelimit.Limit) bool {
	return a.Started.Equal(b.Started) && a.PerSecond == b.PerSecond && a.Lifted == b.Lifted &&
		max(a.Demand, b.Demand)-min(a.Demand, b.Demand) <= demandChange*max(a.Demand, b.Demand)
}

// ReportLimits sets what this instance reports to the leader about the rate limits of targets. It is called once a second.
func (f *Fleet) ReportLimits(reports []ratelimit.Report) {
	f.mu.Lock()
	f.limitReports = reports
	f.mu.Unlock()
	f.feed.Report(f.self.Name, reports)
}

// CutOff reports whether this instance has had no contact to the leader recently. The leader counts from the last report, after which an
// update may have arrived.
func (f *Fleet) CutOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mode == leading {
		return false
	}

	return f.timers.Since(f.updatedAt) > cutOffAfter || !f.reportedAt.IsZero() && f.timers.Since(f.reportedAt) > cutOffAfter
}

// IsResponsible reports whether this instance is one of the given number of instances that may act on a key: those that the leader lists with
// the highest hashes of key and name. An instance without contact to the leader is not responsible for any key.
func (f *Fleet) IsResponsible(key string, number int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.follow == nil {
		return true
	}
	if _, listed := f.instances[f.self.Name]; !listed || f.mode != leading && f.timers.Since(f.updatedAt) > contactTimeout {
		return false
	}
	if number >= len(f.instances) {
		return true
	}
	own, above := hash(key+"/"+f.self.Name), 0
	for name := range f.instances {
		if hash(key+"/"+name) > own {
			above++
		}
	}

	return above < number
}

// maintainFeed drops the instances and reports that have expired while this instance leads.
func (f *Fleet) maintainFeed() {
	f.feed.sweep()
	f.feed.refreshSuspects()
	limits, changed := f.feed.updateLimits()
	if !changed {
		return
	}
	f.mu.Lock()
	f.limits = maps.Clone(limits)
	f.mu.Unlock()
	f.publishView()
}

// applyLimit applies an entry below limitPrefix to the view. f.mu must be held.
func (f *Fleet) applyLimit(e *Entry) {
	target := strings.TrimPrefix(e.Key, limitPrefix)
	delete(f.limits, target)
	if limit, ok := decodeEntry[ratelimit.Limit](f.log, e); ok {
		f.limits[target] = limit
	}
}

// reportsToSend returns the reports to the leader, and records that they are sent now.
func (f *Fleet) reportsToSend() []ratelimit.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reportedAt = time.Time{}
	if len(f.limitReports) > 0 {
		f.reportedAt = f.timers.Now()
	}

	return slices.Clone(f.limitReports)
}
