// Package intake decides which connections an instance gives up when clients have sent more than it can hold, or have opened more
// connections than it can keep.
//
// It answers the load of 400 clients that send heads without end, many short headers, or bodies whose last bytes never come, while
// ordinary callers send small requests: without a common limit, each client is within its own limit, and all together use up the memory
// of the machine. What clients have sent and no request has been admitted for is one budget. When it is used up, the client with the
// most such bytes goes first, so that ordinary callers stay. Of connections beyond their number, the one goes first that has waited longest
// without a whole request:
//
//	ledger := intake.NewLedger(intake.DeriveLimits(136<<20, 4100))
//	client, evicted, ok := ledger.Open(intake.Callers, now)
//	evicted = ledger.Add(client, 4096)
//	admitted := ledger.Admit(client)
//
// The package closes no connections: its caller closes those of the evicted clients.
package intake

import (
	"sync"
	"time"
)

// Address is one of the addresses that an instance listens on.
type Address int

// The addresses of an instance.
const (
	Callers Address = iota
	Readiness
	Metrics
	Peers
	addresses
)

// String returns the name of the address in metrics and events.
func (a Address) String() string {
	return [...]string{"Callers", "Readiness", "Metrics", "Peers"}[a]
}

const (
	// bytesFraction is the fraction of the memory for what clients have sent and no request has been admitted for. Twice as much is in use
	// until the garbage collector has run.
	bytesFraction = 0.125
	// answersFraction is the fraction of the memory for answers that clients have not read yet.
	answersFraction = 0.125
	// connectionsFraction is the fraction of the memory for the connections of callers, and of peers. connectionBytes is the memory of a
	// connection that has sent nothing: two buffers of 4 KB, and the stacks of the goroutines that read and serve it.
	connectionsFraction = 0.2
	connectionBytes     = 24 << 10
	// callersFraction and peersFraction are the fractions of the file descriptors for the connections of callers and peers. The others are
	// for targets, the store, and the connections to peers. Peers that gather for many others keep several connections to each.
	callersFraction = 0.4
	peersFraction   = 0.4
	// readinessConnections and metricsConnections are the numbers of connections to the addresses for readiness and for metrics. A load
	// balancer and a collector of metrics keep a few each, and the encoder of a compressed answer with metrics takes almost 1 MB.
	readinessConnections = 64
	metricsConnections   = 16
	// minimumBytes is the budget on a machine of unknown or tiny memory. One request at the limits of the configuration takes a fifth of it.
	minimumBytes = 4 << 20
	// minimumConnections leaves an instance useful if few descriptors are left.
	minimumConnections = 16
	// defaultConnections is used if neither memory nor descriptors are known.
	defaultConnections = 4096
)

// Limits are the bounds that a Ledger keeps.
type Limits struct {
	// Bytes is the memory for what clients have sent and no request has been admitted for.
	Bytes int64
	// Answers is the memory for answers that clients have not read yet.
	Answers int64
	// Connections is the number of connections to each address.
	Connections [addresses]int
}

// DeriveLimits returns the limits of a machine with the given memory in bytes and file descriptors, 0 if unknown.
func DeriveLimits(memory int64, descriptors int) Limits {
	bound := func(descriptorFraction float64) int {
		n := defaultConnections
		if memory > 0 {
			n = int(connectionsFraction * float64(memory) / connectionBytes)
		}
		if descriptors > 0 {
			n = min(n, int(descriptorFraction*float64(descriptors)))
		}

		return max(n, minimumConnections)
	}

	return Limits{
		Bytes:   max(int64(bytesFraction*float64(memory)), minimumBytes),
		Answers: max(int64(answersFraction*float64(memory)), minimumBytes),
		Connections: [addresses]int{
			Callers: bound(callersFraction), Readiness: readinessConnections, Metrics: metricsConnections, Peers: bound(peersFraction),
		},
	}
}

// Client is the state of one connection in a Ledger.
type Client struct {
	// Owner is the connection, for the caller of the Ledger.
	Owner   any
	address Address
	// bytes is what the client has sent since its last request was admitted.
	bytes int64
	// answer is the size of the answer that is being written since answerSince.
	answer      int64
	answerSince time.Time
	// waiting is set, since the given time, while no request of the client is being served.
	waiting bool
	since   time.Time
	evicted bool
}

// Address returns the address that the client is connected to.
func (c *Client) Address() Address { return c.address }

// Ledger holds the connections of an instance. It is safe for concurrent use.
type Ledger struct {
	limits Limits

	mu      sync.Mutex
	clients map[*Client]struct{}
	bytes   int64
	answers int64
	open    [addresses]int
}

// NewLedger returns an empty Ledger.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, clients: make(map[*Client]struct{})}
}

// Use is what a Ledger holds.
type Use struct {
	Bytes       int64
	Answers     int64
	Connections int
}

// Use returns what the ledger holds.
func (l *Ledger) Use() Use {
	l.mu.Lock()
	defer l.mu.Unlock()

	return Use{Bytes: l.bytes, Answers: l.answers, Connections: len(l.clients)}
}

// Open adds a client, which waits. If there are too many at the address, evicted is the one that has waited longest, and if none waits, ok
// is false and the new connection has to be closed.
func (l *Ledger) Open(address Address, now time.Time) (client, evicted *Client, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[address] >= l.limits.Connections[address] {
		evicted = l.longestWaiting(func(c *Client) bool { return c.address == address })
		if evicted == nil {
			return nil, nil, false
		}
		l.evict(evicted)
		l.remove(evicted)
	}
	client = &Client{address: address, waiting: true, since: now}
	l.clients[client] = struct{}{}
	l.open[address]++

	return client, evicted, true
}

// EvictWaiting evicts the client that has waited longest at any address, because no file descriptor is left. It returns nil if none waits.
func (l *Ledger) EvictWaiting() (evicted *Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if evicted = l.longestWaiting(func(*Client) bool { return true }); evicted != nil {
		l.evict(evicted)
		l.remove(evicted)
	}

	return evicted
}

// Close removes a client whose connection has ended.
func (l *Ledger) Close(c *Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(c)
}

// Add records that a client has sent bytes for which no request has been admitted. If they are too many now, the client with the most is
// evicted. Of equals it is the one that sends now, because its bytes need not be processed any more.
func (l *Ledger) Add(c *Client, bytes int64) (evicted *Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.evicted {
		return nil
	}
	c.bytes += bytes
	l.bytes += bytes
	if l.bytes <= l.limits.Bytes {
		return nil
	}
	evicted = c
	for other := range l.clients {
		if other.bytes > evicted.bytes {
			evicted = other
		}
	}
	l.evict(evicted)

	return evicted
}

// Release records that the bytes that a client has sent are not held any more.
func (l *Ledger) Release(c *Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(c)
}

// Admit records that a whole request of a client is being served from now on. It returns false if the client was evicted before.
func (l *Ledger) Admit(c *Client) (admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(c)
	c.waiting = false

	return !c.evicted
}

// Wait records that no request of a client is being served any more.
func (l *Ledger) Wait(c *Client, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(c)
	c.waiting, c.since = true, now
}

// BeginAnswer records that an answer is being written to a client until EndAnswer is called. If answers that are not read take too much
// memory now, the client is evicted whose answer has been written for the longest time, but never the only one.
func (l *Ledger) BeginAnswer(c *Client, bytes int64, now time.Time) (evicted *Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.evicted {
		return nil
	}
	c.answer, c.answerSince = bytes, now
	l.answers += bytes
	if l.answers <= l.limits.Answers {
		return nil
	}
	for other := range l.clients {
		if other != c && other.answer > 0 && (evicted == nil || other.answerSince.Before(evicted.answerSince)) {
			evicted = other
		}
	}
	if evicted != nil {
		l.evict(evicted)
	}

	return evicted
}

// EndAnswer records that an answer has been written.
func (l *Ledger) EndAnswer(c *Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers -= c.answer
	c.answer = 0
}

// longestWaiting returns the client that has waited longest of those that match. Clients that were evicted and whose connections are still
// open, because they are being answered, come first.
func (l *Ledger) longestWaiting(match func(c *Client) bool) (longest *Client) {
	for c := range l.clients {
		if (c.waiting || c.evicted) && match(c) && (longest == nil || c.goesBefore(longest)) {
			longest = c
		}
	}

	return longest
}

func (c *Client) goesBefore(other *Client) bool {
	if c.evicted != other.evicted {
		return c.evicted
	}

	return c.since.Before(other.since)
}

// evict releases what a client holds, because its connection is about to end. It counts as open until Close is called.
func (l *Ledger) evict(c *Client) {
	c.evicted = true
	l.release(c)
	l.answers -= c.answer
	c.answer = 0
}

func (l *Ledger) remove(c *Client) {
	if _, ok := l.clients[c]; !ok {
		return
	}
	l.release(c)
	l.answers -= c.answer
	c.answer = 0
	delete(l.clients, c)
	l.open[c.address]--
}

func (l *Ledger) release(c *Client) {
	l.bytes -= c.bytes
	c.bytes = 0
}
