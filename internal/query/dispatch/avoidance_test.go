package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

func TestAvoidance(t *testing.T) {
	const short, long = firstAvoidance, maxAvoidance
	type step struct {
		after    time.Duration
		admitted bool
		// results are those of the relay, and of relays that began before the peer was avoided.
		results []result
	}
	for _, c := range []struct {
		guards string
		steps  []step
	}{
		{"a lost peer that is tried as often as before", []step{
			{0, true, []result{unreached}},
			{short - 1, false, nil},
			{1, true, []result{unreached}},
			{2*short - 1, false, nil},
			{1, true, []result{unreached}},
			{long, true, []result{unreached}},
			{long, true, []result{unreached}},
			{long, true, []result{unreached}},
			{long, true, []result{unreached}},
			{long - 1, false, nil},
			{1, true, nil},
		}},
		{"a peer that was slow once and loses its ownership for long, now or at the next failure", []step{
			{0, true, []result{unreached}},
			{short, true, []result{reached}},
			{0, true, []result{unreached}},
			{short, true, nil},
		}},
		{"a frozen peer that is never avoided", []step{
			{0, true, []result{silent}},
			{0, true, []result{silent}},
			{0, true, []result{silent}},
			{0, false, nil},
			{short, true, []result{silent}},
			{short, false, nil},
			{short, true, nil},
		}},
		{"a peer with one stalled connection that is avoided", []step{
			{0, true, []result{silent}},
			{0, true, []result{silent}},
			{0, true, []result{reached}},
			{0, true, []result{silent}},
			{0, true, []result{silent}},
			{0, true, nil},
		}},
		{"relays from before the avoidance that lengthen it", []step{
			{0, true, []result{unreached, unreached, silent, silent, silent, silent}},
			{short, true, nil},
		}},
		{"relays from before the avoidance whose answer does not end it", []step{
			{0, true, []result{unreached, reached}},
			{0, true, nil},
		}},
		{"more than one probe at a time", []step{
			{0, true, []result{unreached}},
			{short, true, nil},
			{long, false, nil},
		}},
		{"a cancelled probe that is the last one, or counts as a failure", []step{
			{0, true, []result{unreached}},
			{short, true, []result{unclear}},
			{0, true, []result{reached}},
			{0, true, nil},
		}},
	} {
		t.Run(c.guards, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			v := avoidance{timers: timer.New(timer.WithClock(clock)), peers: make(map[netip.AddrPort]*avoided)}
			for i, s := range c.steps {
				clock.Advance(s.after)
				admitted, probe := v.admit(netip.AddrPort{})
				NewWithT(t).Expect(admitted).To(Equal(s.admitted), "step %d", i)
				for _, r := range s.results {
					v.end(netip.AddrPort{}, probe, r)
					probe = false
				}
			}
		})
	}
}
