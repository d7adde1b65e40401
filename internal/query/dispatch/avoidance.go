package dispatch

import (
	"net/netip"
	"sync"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/peer"
)

const (
	// minAvoidance is the duration of the first avoidance. It is short, because a peer that was slow only once answers again after
	// this time.
	minAvoidance = 250 * time.Millisecond
	// maxAvoidance is the time in which the membership protocol detects a dead peer at the expected number of instances.
	// After that time, a peer is still in use only if the membership protocol reaches it and relays do not.
	maxAvoidance = 8 * time.Second
	// maxSilent is the number of consecutive relays without a byte from the peer after which the peer is avoided. A stalled
	// connection can cause one or two.
	maxSilent = 3
	// maxAvoided limits the number of peers in avoidance.peers.
	maxAvoided = peer.MaxMembers
)

// result is what the end of a relay indicates about the peer.
type result int

const (
	// unclear is a relay that was cancelled, was refused by this instance, or whose connection broke.
	unclear result = iota
	// reached is a relay that was answered by the peer.
	reached
	// unreached is a relay for which no connection to the peer could be opened.
	unreached
	// silent is a relay that was sent without a byte from the peer in response.
	silent
)

// avoidance skips peers that relays do not reach, so that attempts do not wait for them until the membership protocol has detected
// the failure.
//
// Rule: a peer is avoided after a relay without a connection, or after maxSilent consecutive relays without a byte from the peer.
// The first avoidance lasts for minAvoidance. When it ends, one attempt at a time is admitted as a probe. If the probe ends without
// a connection or without a byte, the peer is avoided for twice as long, up to maxAvoidance. An answer of the peer ends the
// avoidance and deletes the state of the peer. Relays that began before the peer was avoided and fail later change nothing.
//
// State: the peers that failed since they were last reached. Limit: maxAvoided peers. When the limit is reached, the state of all
// peers is deleted, and each of them is avoided again only after another failure.
type avoidance struct {
	timers *timer.Service

	mu    sync.Mutex
	peers map[netip.AddrPort]*peerState
}

// peerState is the state of a peer that failed since it was last reached.
type peerState struct {
	silent  int           // consecutive relays without a byte from the peer
	wait    time.Duration // duration of the latest avoidance, 0 before the first
	until   time.Time
	probing bool
}

// admit reports whether an attempt may be relayed to the peer, and whether this attempt is the probe of an avoided peer. After
// each attempt that was admitted, end must be called.
func (v *avoidance) admit(address netip.AddrPort) (admitted, probe bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := v.peers[address]
	switch {
	case state == nil || state.wait == 0:
		return true, false
	case state.probing || v.timers.Now().Before(state.until):
		return false, false
	}
	state.probing = true

	return true, true
}

// end updates the state of the peer with the result of a relay.
func (v *avoidance) end(address netip.AddrPort, probe bool, r result) {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := v.peers[address]
	if r == reached {
		delete(v.peers, address)

		return
	}
	if state != nil && probe {
		state.probing = false
	}
	if r == unclear || (state != nil && state.wait > 0 && !probe) {
		return
	}
	if state == nil {
		if len(v.peers) >= maxAvoided {
			clear(v.peers)
		}
		state = &peerState{}
		v.peers[address] = state
	}
	if r == silent && !probe {
		state.silent++
		if state.silent < maxSilent {
			return
		}
	}
	state.wait = min(max(2*state.wait, minAvoidance), maxAvoidance)
	state.until = v.timers.Now().Add(state.wait)
}
