package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/run/entry"
	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	standin "github.com/hickorynotch/hickorynotch/internal/standin/platform"
	backend "github.com/hickorynotch/hickorynotch/internal/standin/target"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/wire/target"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
	"github.com/hickorynotch/hickorynotch/platform"
)

// liveReplicas is the number of stand-in targets, so that each instance owns some of its zone's at every size.
const liveReplicas = 48

var liveZones = []zone.Zone{"Kochi", "Thrissur", "Kozhikode"}

// otherZone has replicas and no instances.
const otherZone = zone.Zone("Kannur")

// traffic counts the bytes that one side of connections wrote and read.
type traffic struct {
	written, read atomic.Uint64
}

// countedConn adds its bytes to the traffic of both ends.
type countedConn struct {
	net.Conn
	near, far *traffic
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.near.written.Add(uint64(n))
	c.far.read.Add(uint64(n))

	return n, err
}

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.near.read.Add(uint64(n))
	c.far.written.Add(uint64(n))

	return n, err
}

// countedListener counts the bytes of all accepted connections.
type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &countedConn{Conn: conn, near: l.traffic, far: new(traffic)}, nil
}

// adoption is the log of an instance. It records when a revision came into force, which polling would see late.
type adoption struct {
	mu       sync.Mutex
	revision uint64
	at       time.Time
	changed  func()
}

// Write implements io.Writer for the lines of package event.
func (a *adoption) Write(line []byte) (int, error) {
	text := string(line)
	if !strings.Contains(text, "Name="+event.ConfigurationAdopted.Name+" ") {
		return len(line), nil
	}
	_, after, _ := strings.Cut(text, " Revision=")
	digits, _, _ := strings.Cut(after, " ")
	revision, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return len(line), fmt.Errorf("line %q: %w", text, err)
	}
	a.mu.Lock()
	a.revision, a.at = revision, time.Now()
	a.mu.Unlock()
	a.changed()

	return len(line), nil
}

func (a *adoption) since() (revision uint64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.revision, a.at
}

// liveTargets are stand-in targets that count the polls of their status.
type liveTargets struct {
	addresses []netip.AddrPort
	traffic   traffic
	polls     atomic.Uint64
}

func (t *liveTargets) start(ctx context.Context) error {
	timers := timer.New()
	for i := range liveReplicas {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		t.addresses = append(t.addresses, netip.MustParseAddrPort(listener.Addr().String()))
		handler := backend.New(timers, backend.WithHoldings(target.Holding{Version: 1, Shard: i, Shards: liveReplicas})).Handler()
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == target.StatusPath {
				t.polls.Add(1)
			}
			handler.ServeHTTP(w, r)
		})}
		context.AfterFunc(ctx, func() { _ = server.Close() })
		// The end of the stand-in is seen by the instances' polls.
		go func() { _ = server.Serve(countedListener{Listener: listener, traffic: &t.traffic}) }()
	}

	return nil
}

type liveInstance struct {
	entry   *entry.Entry
	adopted adoption
	peers   traffic
	ended   chan error
}

// liveFleet is a stand-in platform and entry instances in this process, on loopback.
type liveFleet struct {
	platform *standin.Platform
	// stores are the clients of the instances in each zone.
	stores    map[zone.Zone]*platform.Store
	store     traffic
	targets   liveTargets
	instances []*liveInstance
	byPeer    map[netip.AddrPort]*liveInstance
	wake      chan struct{}
	stop      context.CancelFunc
}

// startLive starts a fleet. It has no configuration yet.
func startLive(ctx context.Context, size int, seed uint64) (f *liveFleet, err error) {
	ctx, stop := context.WithCancel(ctx)
	f = &liveFleet{
		platform: standin.New(standin.WithListLag(0)),
		stores:   make(map[zone.Zone]*platform.Store),
		byPeer:   make(map[netip.AddrPort]*liveInstance),
		wake:     make(chan struct{}, 1),
		stop:     stop,
	}
	if err := f.targets.start(ctx); err != nil {
		stop()

		return nil, err
	}
	for _, z := range liveZones {
		if err := f.listen(ctx, z); err != nil {
			stop()

			return nil, err
		}
	}
	for i := range size {
		if err := f.add(i, seed); err != nil {
			f.close()

			return nil, err
		}
	}
	for _, i := range f.instances {
		go func() { i.ended <- i.entry.Run(ctx) }()
	}

	return f, nil
}

// listen serves the platform for the instances of a zone.
func (f *liveFleet) listen(ctx context.Context, z zone.Zone) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.stores[z] = platform.NewStore(netip.MustParseAddrPort(listener.Addr().String()))
	server := &http.Server{
		Handler: f.platform.HandlerIn(z), ReadHeaderTimeout: time.Minute, BaseContext: func(net.Listener) context.Context { return ctx },
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	// The end of the stand-in is seen by the instances' calls.
	go func() { _ = server.Serve(countedListener{Listener: listener, traffic: &f.store}) }()

	return nil
}

func (f *liveFleet) add(number int, seed uint64) error {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	store := f.stores[liveZones[number%len(liveZones)]]
	settings := entry.Settings{
		Name:             fmt.Sprintf("i%02d", number),
		AvailabilityZone: liveZones[number%len(liveZones)],
		Caller:           local, Peer: local, Operator: local,
		Store: store.KeyValueStore(), Targets: store.Targets(),
		Limit: entry.LimitOwner, Running: 16, StopTimeout: time.Second,
	}
	if number > 0 {
		settings.Seeds = []netip.AddrPort{f.instances[0].entry.Addresses().Peer}
	}
	i := &liveInstance{ended: make(chan error, 1)}
	i.adopted.changed = func() {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
	var err error
	i.entry, err = entry.New(settings, entry.WithSeed(seed+uint64(number)), entry.WithLog(event.New(&i.adopted, time.Now)),
		entry.WithDialer(func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
			if err != nil {
				return nil, err
			}
			other := new(traffic)
			if known := f.byPeer[address]; known != nil {
				other = &known.peers
			}

			return &countedConn{Conn: conn, near: &i.peers, far: other}, nil
		}))
	if err != nil {
		return err
	}
	f.instances = append(f.instances, i)
	f.byPeer[i.entry.Addresses().Peer] = i

	return nil
}

// absent returns the address of replica i of otherZone, at which nothing listens, so that a poll of it is refused at once.
func absent(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 1)
}

// listTargets puts live targets on the platform's list.
func (f *liveFleet) listTargets(count int) error {
	entries := make([]wire.Listed, 0, count)
	for i := range count {
		entries = append(entries, wire.Listed{
			Name: fmt.Sprintf("service-%d-%d", i/300, i%300), Kind: wire.Target, AvailabilityZone: otherZone, State: wire.Live,
			Address: absent(i),
		})
	}

	return f.platform.UpdateList(standin.Update{Entries: entries})
}

// close stops all instances and waits for them.
func (f *liveFleet) close() {
	f.stop()
	for _, i := range f.instances {
		select {
		case err := <-i.ended:
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		case <-time.After(5 * time.Second):
		}
	}
}

// settle waits until each instance is ready and knows all others.
func (f *liveFleet) settle(ctx context.Context) error {
	ticks := timer.New().Subscribe(100 * time.Millisecond)
	defer ticks.Stop()
	for {
		settled := true
		for _, i := range f.instances {
			status := i.entry.Status()
			settled = settled && status.Ready && len(status.Members) == len(f.instances)
		}
		if settled {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d instances did not find each other: %w", len(f.instances), ctx.Err())
		case <-ticks.C:
		}
	}
}

// inForce waits until the revision is in force at every instance and returns the time of the last one.
func (f *liveFleet) inForce(ctx context.Context, revision uint64) (last time.Time, err error) {
	for {
		missing := 0
		for _, i := range f.instances {
			have, at := i.adopted.since()
			if have < revision {
				missing++
			} else if at.After(last) {
				last = at
			}
		}
		if missing == 0 {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return last, fmt.Errorf("revision %d is not in force at %d of %d instances: %w", revision, missing, len(f.instances), ctx.Err())
		case <-f.wake:
		}
	}
}

// storeBytes returns the size of the store's values that each instance received.
func (f *liveFleet) storeBytes() (sizes []uint64) {
	for _, i := range f.instances {
		sizes = append(sizes, i.entry.Status().StoreBytes)
	}

	return sizes
}

// peerBytes returns the bytes that all instances sent to peers. Each is received by another instance.
func (f *liveFleet) peerBytes() (sent uint64) {
	for _, i := range f.instances {
		sent += i.peers.written.Load()
	}

	return sent
}
