package target_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/decision/reachability"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

// startTargets starts a number of targets and returns them with a pool that watches the path to them.
func startTargets(n int) (targets []*fakeTarget, pool *target.Pool) {
	pool = target.NewPool(codec, timer.New())
	DeferCleanup(pool.Close)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = pool.WatchReachability(ctx) }()
	var entries []*directory.Target
	for i := range n {
		t := startTarget(func(_ int, id string) string { return okResponse(id, "x") })
		targets = append(targets, t)
		entries = append(entries, &directory.Target{ID: fmt.Sprint("i-", i), Service: "s", Address: t.address, Slots: 2})
	}
	pool.Update(directory.New(entries))

	return targets, pool
}

// closedPorts returns addresses at which no process listens.
func closedPorts(n int) (addresses []netip.AddrPort) {
	for range n {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addresses = append(addresses, netip.MustParseAddrPort(listener.Addr().String()))
		_ = listener.Close()
	}

	return addresses
}

func sendTo(pool *target.Pool, i int) target.Result {
	links := pool.Links(nil, "s")
	call := &target.Call{
		Route: "r", RequestID: "1", Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: s\r\nRequest: 1\r\n"), Deadline: time.Now().Add(2 * time.Second),
	}

	return links[i].Send(call, &target.Cancel{})
}

var _ = Describe("Connectivity to the targets", func() {
	It("is lost once all targets that are tried refuse connections, and does not make the targets count as crashed or failing afterwards", func() {
		targets, pool := startTargets(0)
		Expect(targets).To(BeEmpty())
		var refusing []*directory.Target
		for i, address := range closedPorts(6) {
			refusing = append(refusing, &directory.Target{ID: fmt.Sprint("i-", i), Service: "s", Address: address, Slots: 2})
		}
		pool.Update(directory.New(refusing))
		for i := range 2 {
			Expect(sendTo(pool, i).Crashed).To(BeFalse())
		}
		Eventually(pool.Reachability, "5s").ShouldNot(Equal(reachability.Reachable))
		Expect(pool.Links(nil, "s")[0].EndedRecently()).To(BeTrue())

		// The partition ends: the targets listen at their addresses again.
		for _, t := range refusing {
			listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", t.Address.String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = listener.Close() })
		}
		Eventually(pool.Reachability, "5s").Should(Equal(reachability.Reachable))
		Expect(pool.Links(nil, "s")[0].EndedRecently()).To(BeFalse())
		Expect(pool.Links(nil, "s")[0].Facts("r", time.Now()).Failures).To(BeZero())
	})

	It("is not lost while one of many targets answers", func() {
		targets, pool := startTargets(1)
		entries := []*directory.Target{{ID: "a-well", Service: "s", Address: targets[0].address, Slots: 2}}
		for i, address := range closedPorts(4) {
			entries = append(entries, &directory.Target{ID: fmt.Sprint("i-", i), Service: "s", Address: address, Slots: 2})
		}
		pool.Update(directory.New(entries))
		Consistently(func() reachability.State {
			for i := range entries {
				sendTo(pool, i)
			}

			return pool.Reachability()
		}, "1s", "50ms").Should(Equal(reachability.Reachable))
	})

	It("is not lost while all targets accept connections and only their responses are overdue", func() {
		entries := []*directory.Target{}
		_, pool := startTargets(0)
		for i := range 4 {
			t := startTarget(func(int, string) string { return "hang" })
			entries = append(entries, &directory.Target{ID: fmt.Sprint("i-", i), Service: "s", Address: t.address, Slots: 2})
		}
		pool.Update(directory.New(entries))
		unreachable := pool.Unreachable()
		go sendTo(pool, 0)
		Consistently(unreachable, "600ms").ShouldNot(BeClosed())
		Expect(pool.Reachability()).To(Equal(reachability.Reachable))
	})
})
