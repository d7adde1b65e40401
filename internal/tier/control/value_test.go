package control_test

import (
	"bytes"
	"context"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/standin/memory"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
)

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.buffer.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.buffer.String()
}

var _ = Describe("Values of the keys that instances write", func() {
	DescribeTable("are logged with their key when they are invalid, because the instance treats the key as absent",
		func(key, value, reason string) {
			timers, store, out := timer.New(), memory.New(timer.New()), &logBuffer{}
			store.Put(key, []byte(value))
			self := control.Instance{
				Name: "a", Peer: netip.MustParseAddrPort("10.0.0.9:1"), AvailabilityZone: "Kochi", Processor: 1,
			}
			fleet := control.NewFleet(store.KeyValueStore(), self, timers, control.WithFleetLog(event.New(out, time.Now)))
			ctx, cancel := context.WithCancel(context.Background())
			DeferCleanup(cancel)
			go func() { _ = fleet.Run(ctx) }()
			Eventually(func() bool { return fleet.View().UpToDate }).Should(BeTrue())
			Expect(out.String()).To(And(ContainSubstring("Key="+key), ContainSubstring(reason)))
			Expect(fleet.View().Leader).To(BeEmpty())
			Expect(fleet.View().Instances).To(BeEmpty())
			Expect(fleet.View().Mirror.Len()).To(BeZero())
		},
		Entry("a leader that is not valid JSON", "hickorynotch/leader", "{", "unexpected end"),
		Entry("a leader without a name", "hickorynotch/leader", `{"Synced":true}`, "Name is empty"),
		Entry("a target without an address", "hickorynotch/targets/i-1", `{"Service":"s","AvailabilityZone":"Kochi","Slots":2}`,
			"Address is not an IP address and port"),
		Entry("a target without slots", "hickorynotch/targets/i-1",
			`{"Service":"s","AvailabilityZone":"Kochi","Address":"10.0.0.1:1"}`, "Slots is not positive"),
		Entry("an instance without a number of processor cores", "hickorynotch/instances/b",
			`{"Name":"b","Peer":"10.0.0.1:1","AvailabilityZone":"Kochi"}`, "Processor is not positive"),
	)

	It("are understood when a later version has added fields", func() {
		store := memory.New(timer.New())
		store.Put("hickorynotch/targets/i-1",
			[]byte(`{"Service":"s","AvailabilityZone":"Kochi","Address":"10.0.0.1:1","Slots":2,"Missing":true,"Expired":true,"Later":1}`))
		fleet := control.NewFleet(store.KeyValueStore(), control.Instance{Name: "a"}, timer.New())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _ = fleet.Run(ctx) }()
		Eventually(func() int { return fleet.View().Mirror.Len() }).Should(Equal(1))
	})

	It("do not prevent the election of a leader when the value of the leader's key is invalid", func() {
		store, r := memory.New(timer.New()), &targetRegistry{}
		store.Put("hickorynotch/leader", []byte("{"))
		r.set(nil, target("a"))
		m := startInstance(store, r, "m0", func(control.Notice) {})
		Eventually(func() string { return m.fleet.View().Leader }, "10s").Should(Equal("m0"))
		Eventually(func() int { return m.targets().Len() }, "5s").Should(Equal(1))
	})
})
