package control

import (
	"time"

	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

// limitsCold reports whether the configuration in force limits the requests to the cold targets of a service.
func (c *Configuration) limitsCold(service string) bool {
	if t := c.Current(); t != nil {
		s, _ := t.Service(service)

		return s.WarmupPerSecond > 0
	}

	return false
}

// warmupSame reports whether the mirror need not say anew for how long a target is cold. It has to if the target has become cold again, or is
// cold no more. The time left is not passed on while it only runs down. Its end is, because an instance that starts later would count it from then.
func (t *term) warmupSame(target *directory.Target, name string, old *mirrored, now time.Time) bool {
	if !t.limitsCold(target.Service) {
		return true
	}
	if target.Warmup == 0 {
		return old.Warmup == 0
	}
	if at, ok := t.warmupsAt[name]; ok {
		return !target.ColdLonger(old.target(name), now.Sub(at))
	}
	// An earlier leader has written it at a time that is not known.
	return !target.ColdLonger(old.target(name), old.Warmup)
}

// recordWarmup records that the time for which a target is cold is written to the mirror.
func (t *term) recordWarmup(m *mirrored, name string, now time.Time) {
	delete(t.warmupsAt, name)
	if m.Warmup > 0 {
		if t.warmupsAt == nil {
			t.warmupsAt = make(map[string]time.Time)
		}
		t.warmupsAt[name] = now
	}
}
