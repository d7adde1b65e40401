package target

import (
	"net"
	"net/netip"
	"testing"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

// A write that starts after the exchange was found not to have run must not reach the target.
func TestSealedConnectionTakesNoByte(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	p := &pool{timers: timer.New(), conns: map[netip.AddrPort]map[*conn]struct{}{}}
	c := p.add(near, netip.AddrPort{})
	c.begin()
	if written, _ := c.seal(); written {
		t.Fatal("written before any write")
	}
	if n, err := c.Write([]byte("POST")); n != 0 || err == nil {
		t.Fatalf("a sealed connection took %d bytes, error %v", n, err)
	}
	if _ = c.Close(); p.open(netip.AddrPort{}) != 0 {
		t.Fatal("a closed connection stays in the pool")
	}
}

// A write that took no byte leaves the query not run; one that took a byte does not.
func TestFailedFirstWriteIsNotWritten(t *testing.T) {
	near, far := net.Pipe()
	_ = far.Close()
	p := &pool{timers: timer.New(), conns: map[netip.AddrPort]map[*conn]struct{}{}}
	c := p.add(near, netip.AddrPort{})
	c.begin()
	if _, err := c.Write([]byte("POST")); err == nil {
		t.Fatal("no error from a closed pipe")
	}
	if written, _ := c.seal(); written {
		t.Fatal("a write that took nothing counts as written")
	}
}
