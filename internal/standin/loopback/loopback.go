// Package loopback provides addresses on which the processes of a test can listen.
//
// A port that was free a moment ago may be taken by another process, or by an outgoing connection, before a process of the test listens
// on it. The addresses of this package are therefore on an IP address of 127.0.0.0/8 that no other process uses, with ports below those
// that the operating system chooses itself:
//
//	free, err := loopback.FreeAddresses(4)
package loopback

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
)

// firstPort and portRange are the ports that are chosen from. They lie below the range of ephemeral ports on Linux.
const (
	firstPort = 20000
	portRange = 12000
)

// FreeAddresses returns n distinct addresses on which nothing listens, on an IP address that only this process uses.
func FreeAddresses(n int) (free []netip.AddrPort, err error) {
	return FreePorts(ownHost(os.Getpid()), n)
}

// Listen listens on a random port of an IP address that only this process uses.
func Listen() (listener net.Listener, err error) {
	for range portRange {
		listener, _, err = listenOnRandomPort(ownHost(os.Getpid()))
		if err == nil {
			return listener, nil
		}
	}

	return nil, err
}

func listenOnRandomPort(host netip.Addr) (listener net.Listener, address netip.AddrPort, err error) {
	address = netip.AddrPortFrom(host, uint16(firstPort+rand.IntN(portRange)))
	listener, err = new(net.ListenConfig).Listen(context.Background(), "tcp", address.String())

	return listener, address, err
}

// FreePorts returns n distinct random ports of an address on which nothing listens.
func FreePorts(host netip.Addr, n int) (free []netip.AddrPort, err error) {
	for tries := 0; len(free) < n && tries < portRange; tries++ {
		listener, address, err := listenOnRandomPort(host)
		if err != nil {
			continue
		}
		// A port that was chosen before is free again.
		if !slices.Contains(free, address) {
			free = append(free, address)
		}
		if err := listener.Close(); err != nil {
			return nil, err
		}
	}
	if len(free) < n {
		return nil, fmt.Errorf("found %d of %d free ports on %s", len(free), n, host)
	}

	return free, nil
}

// ownHost returns the IP address of the process with the given ID. An ID has 22 bits at most.
func ownHost(processID int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 + processID>>16), byte(processID >> 8), byte(processID)})
}
