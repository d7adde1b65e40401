package dispatch

import (
	"net/netip"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
)

const (
	// firstAvoidance is short, because a peer that was slow once is back after it.
	firstAvoidance = 250 * time.Millisecond
	// maxAvoidance is the time in which the members fail a dead peer at the expected size. Beyond that, only a peer that the
	// members reach and the relays do not is still in use.
	maxAvoidance = 8 * time.Second
	// maxSilent is the number of relays in a row without a byte from the peer after which it is avoided. One or two may
	// be due to a stalled connection.
	maxSilent = 3
	// maxAvoided bounds the peers that are remembered.
	maxAvoided = peer.MaxMembers
)

// result is what a relay showed of the peer.
type result int

const (
	// unclear is a relay that was cancelled, was refused on this side, or broke.
	unclear result = iota
	// reached is a relay that the peer answered.
	reached
	// unreached is a relay that found no connection to the peer.
	unreached
	// silent is a relay that was handed over and brought no byte back.
	silent
)

// avoidance passes over peers that relays do not reach, so that attempts do not wait for them until the members fail them.
//
// Rule: a peer is avoided after a relay that found no connection, or after maxSilent relays in a row without a byte. The
// time begins at firstAvoidance. After it one attempt at a time is let through; when that fails in one of the two ways, the
// time doubles, up to maxAvoidance. An answer of the peer ends the avoidance and forgets the peer. Relays that began before
// the peer was avoided and fail later change nothing.
//
// State: the peers that failed since they were last reached. Bound: maxAvoided peers; when there are more, all are forgotten,
// which costs each of them one failure.
type avoidance struct {
	timers *timer.Service

	mu    sync.Mutex
	peers map[netip.AddrPort]*avoided
}

// avoided is a peer that failed since it was last reached.
type avoided struct {
	silent  int           // relays in a row without a byte
	wait    time.Duration // 0 before the first avoidance
	until   time.Time
	probing bool
}

// admit reports whether an attempt may be relayed to the peer, and if it is the probe of an avoided one. Each admission is
// followed by end.
func (v *avoidance) admit(address netip.AddrPort) (admitted, probe bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.peers[address]
	switch {
	case known == nil || known.wait == 0:
		return true, false
	case known.probing || v.timers.Now().Before(known.until):
		return false, false
	}
	known.probing = true

	return true, true
}

// end takes in the result of a relay.
func (v *avoidance) end(address netip.AddrPort, probe bool, r result) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.peers[address]
	if r == reached {
		delete(v.peers, address)

		return
	}
	if known != nil && probe {
		known.probing = false
	}
	if r == unclear || (known != nil && known.wait > 0 && !probe) {
		return
	}
	if known == nil {
		if len(v.peers) >= maxAvoided {
			clear(v.peers)
		}
		known = &avoided{}
		v.peers[address] = known
	}
	if r == silent && !probe {
		known.silent++
		if known.silent < maxSilent {
			return
		}
	}
	known.wait = min(max(2*known.wait, firstAvoidance), maxAvoidance)
	known.until = v.timers.Now().Add(known.wait)
}
