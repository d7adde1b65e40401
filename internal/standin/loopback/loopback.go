// Package loopback provides addresses on which the processes of a test can listen.
//
// A port that was free a moment ago may be taken by another process before a process of the test listens on it. The addresses of this
// package are therefore on an IP address of 127.0.0.0/8 that no other process uses:
//
//	free, err := loopback.FreeAddresses(4)
package loopback

import (
	"context"
	"net"
	"net/netip"
	"os"
)

// FreeAddresses returns n distinct addresses on which nothing listens.
func FreeAddresses(n int) (free []netip.AddrPort, err error) {
	host := netip.AddrPortFrom(ownHost(os.Getpid()), 0).String()
	for range n {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", host)
		if err != nil {
			return nil, err
		}
		// The listeners stay open until all ports are chosen, so that none is chosen twice.
		defer func() { _ = listener.Close() }()
		address, err := netip.ParseAddrPort(listener.Addr().String())
		if err != nil {
			return nil, err
		}
		free = append(free, address)
	}

	return free, nil
}

// ownHost returns the IP address of the process with the given ID. An ID has 22 bits at most.
func ownHost(processID int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 + processID>>16), byte(processID >> 8), byte(processID)})
}
