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
	const short, long = minAvoidance, maxAvoidance
	type step struct {
		after    time.Duration
		admitted bool
		// results has the result of the admitted relay first, followed by those of relays that began before the peer was avoided.
		results []result
	}
	for _, c := range []struct {
		title string
		steps []step
	}{
		{"the avoidance of a lost peer doubles after each failed probe up to the maximum", []step{
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
		{"a peer that was slow once is avoided only briefly, also at its next failure", []step{
			{0, true, []result{unreached}},
			{short, true, []result{reached}},
			{0, true, []result{unreached}},
			{short, true, nil},
		}},
		{"a frozen peer is avoided after consecutive relays without a byte", []step{
			{0, true, []result{silent}},
			{0, true, []result{silent}},
			{0, true, []result{silent}},
			{0, false, nil},
			{short, true, []result{silent}},
			{short, false, nil},
			{short, true, nil},
		}},
		{"a peer with one stalled connection is not avoided", []step{
			{0, true, []result{silent}},
			{0, true, []result{silent}},
			{0, true, []result{reached}},
			{0, true, []result{silent}},
			{0, true, []result{silent}},
			{0, true, nil},
		}},
		{"relays that began before the avoidance do not extend it", []step{
			{0, true, []result{unreached, unreached, silent, silent, silent, silent}},
			{short, true, nil},
		}},
		{"an answer to a relay that began before the avoidance ends it", []step{
			{0, true, []result{unreached, reached}},
			{0, true, nil},
		}},
		{"only one probe at a time is admitted", []step{
			{0, true, []result{unreached}},
			{short, true, nil},
			{long, false, nil},
		}},
		{"a cancelled probe permits another probe and does not count as a failure", []step{
			{0, true, []result{unreached}},
			{short, true, []result{unclear}},
			{0, true, []result{reached}},
			{0, true, nil},
		}},
	} {
		t.Run(c.title, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			v := avoidance{timers: timer.New(timer.WithClock(clock)), peers: make(map[netip.AddrPort]*peerState)}
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
