package inbound

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/decision/intake"
)

const (
	// headSlack is added to the limit for heads, because the limit does not count all bytes of a head: the handler of callers knows
	// exactly.
	headSlack = 512
	// firstBuffer is the size of the buffer for a head that does not arrive at once.
	firstBuffer = 2 << 10
	// bodyWeight is the memory of a body that is being read, as a multiple of its bytes: its buffer doubles.
	bodyWeight = 2
	// packetWeight is the memory of a packet of a peer that is being read, as a multiple of its bytes: a buffer that doubles, and a copy.
	packetWeight = 3
	// writeBytes is the number of bytes of an answer that are written at a time, so that a client that reads slowly makes progress.
	writeBytes = 64 << 10
	// smallAnswer is the size up to which an answer is part of the memory of its connection. It is that of the buffer of the server.
	smallAnswer = 4 << 10
	// lingerTimeout is the time, and lingerBytes the number of bytes, for which a connection stays open after a refusal. If it was closed
	// while the client is sending, the client might not receive the refusal.
	lingerTimeout = 300 * time.Millisecond
	lingerBytes   = 1 << 20
	// refusalTimeout limits the time to write a refusal. It is short, because a refusal fits into the buffer of the socket.
	refusalTimeout = 100 * time.Millisecond
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// phase is what the next bytes of a connection are.
type phase int

const (
	// inHead is a head, or nothing before the next request.
	inHead phase = iota
	inBody
	inChunks
	// afterEnd is what follows a head that no server accepts, or the end of the connection.
	afterEnd
)

// Conn is a connection of a client. Its methods may be called as those of a net.Conn by net/http, which reads in one goroutine at a time.
type Conn struct {
	net.Conn
	guard   *Guard
	client  *intake.Client
	address intake.Address
	limits  func() Limits

	closed atomic.Bool
	// ended is the reason for which the connection has to be refused, none if it has not.
	ended atomic.Int32
	// lingering is set while what the client sends after a refusal is discarded.
	lingering atomic.Bool
	// bodyOpen is set while the body of a request has not ended, and answered once its handler has returned.
	bodyOpen atomic.Bool
	answered atomic.Bool
	// headSince, writeSince and drainSince are when the first bytes of an incomplete head or packet arrived, when a write began, and when a
	// request was answered whose body has not ended, in Unix nanoseconds, 0 if there is none.
	headSince  atomic.Int64
	writeSince atomic.Int64
	drainSince atomic.Int64

	// The fields below are used by the goroutine that reads only.

	phase phase
	// buffer has bytes that were received and that the server has not read. It may read the first deliverable of them.
	buffer      []byte
	deliverable int
	head        headScanner
	// ahead is set if the server has already read the first byte of the head, and skipped counts the bytes of empty lines before it.
	ahead   bool
	skipped int
	left    int64
	chunks  chunkScanner
	packets packetScanner
	refused bool
}

// Read implements net.Conn. It returns no bytes of a head before all of it has arrived, and no bytes of different requests at once.
func (c *Conn) Read(p []byte) (n int, err error) {
	if why := reason(c.ended.Load()); why != none {
		return 0, c.refuse(why, p)
	}
	switch {
	case c.address == intake.Peers:
		n, err = c.readPackets(p)
	case c.deliverable > 0:
		return c.deliver(p), nil
	case c.phase == inBody || c.phase == inChunks:
		n, err = c.readBody(p)
	case c.phase == afterEnd:
		return 0, io.EOF
	default:
		n, err = c.readHead(p)
	}
	if why := reason(c.ended.Load()); why != none && (err != nil || c.phase != inHead) {
		return 0, c.refuse(why, p)
	}

	return n, err
}

// deliver copies bytes that the server may read to p.
func (c *Conn) deliver(p []byte) int {
	n := copy(p, c.buffer[:c.deliverable])
	c.deliverable -= n
	c.buffer = c.buffer[n:]
	if c.deliverable == 0 {
		// The bytes of the next request do not keep the buffer of this head.
		c.buffer = append([]byte(nil), c.buffer...)
	}

	return n
}

// readHead reads until a head is complete and returns its first bytes.
func (c *Conn) readHead(p []byte) (int, error) {
	if len(p) == 1 && !c.ahead && c.head.scanned == 0 {
		return c.readFirstByte(p)
	}
	for len(c.buffer) == 0 && !c.ahead {
		// A head usually arrives at once, and is not copied.
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, err
		}
		if empty := emptyPrefix(p[:n]); empty > 0 {
			if c.skipped += empty; c.skipped > maxEmptyBytes {
				return 0, c.fail(emptyLines, p)
			}
			n = copy(p, p[empty:n])
		}
		end, malformed := c.head.scan(p[:n])
		switch {
		case malformed:
			c.phase = afterEnd

			return n, nil
		case end > 0:
			if end < n {
				c.buffer = append([]byte(nil), p[end:n]...)
			}

			return end, c.completeHead(end, p)
		case n > 0:
			c.buffer = append(make([]byte, 0, max(firstBuffer, 2*n)), p[:n]...)
			c.charge(int64(cap(c.buffer)))
		}
	}

	return c.readBufferedHead(p)
}

// readBufferedHead reads the rest of a head of which some bytes have arrived.
func (c *Conn) readBufferedHead(p []byte) (int, error) {
	for {
		if c.head.scanned == 0 && !c.ahead {
			empty := emptyPrefix(c.buffer)
			if c.skipped += empty; c.skipped > maxEmptyBytes {
				return 0, c.fail(emptyLines, p)
			}
			c.buffer = c.buffer[empty:]
		}
		end, malformed := c.head.scan(c.buffer)
		switch {
		case malformed:
			c.phase, c.deliverable = afterEnd, len(c.buffer)

			return c.deliver(p), nil
		case end > 0:
			if err := c.completeHead(end, p); err != nil {
				return 0, err
			}
			c.deliverable = end

			return c.deliver(p), nil
		}
		limit := c.limits().HeadBytes
		if limit <= 0 {
			limit = http.DefaultMaxHeaderBytes
		}
		if len(c.buffer) > limit+headSlack {
			return 0, c.fail(headTooLarge, p)
		}
		if c.headSince.Load() == 0 && (len(c.buffer) > 0 || c.ahead) {
			c.headSince.Store(c.guard.timers.Now().UnixNano())
		}
		if err := c.fill(); err != nil {
			if errors.Is(err, io.EOF) && len(c.buffer) > 0 {
				// The server answers an incomplete head by itself.
				c.phase, c.deliverable = afterEnd, len(c.buffer)

				return c.deliver(p), nil
			}

			return 0, err
		}
	}
}

// fill reads more bytes of a head into the buffer.
func (c *Conn) fill() error {
	if len(c.buffer) == cap(c.buffer) {
		grown := make([]byte, len(c.buffer), max(firstBuffer, 2*cap(c.buffer)))
		copy(grown, c.buffer)
		c.charge(int64(cap(grown) - cap(c.buffer)))
		c.buffer = grown
		if reason(c.ended.Load()) != none {
			return errEnded
		}
	}
	n, err := c.Conn.Read(c.buffer[len(c.buffer):cap(c.buffer)])
	c.buffer = c.buffer[:len(c.buffer)+n]
	if n > 0 {
		return nil
	}

	return err
}

// readFirstByte reads one byte. The server reads it while it serves the request before, to notice when the client leaves.
func (c *Conn) readFirstByte(p []byte) (int, error) {
	for {
		if len(c.buffer) > 0 {
			p[0] = c.buffer[0]
			if c.buffer = c.buffer[1:]; len(c.buffer) == 0 {
				c.buffer = nil
			}
		} else if n, err := c.Conn.Read(p); n == 0 {
			return 0, err
		}
		if emptyPrefix(p) == 0 || c.skipped >= maxEmptyBytes {
			c.ahead = true

			return 1, nil
		}
		c.skipped++
	}
}

// completeHead prepares for what follows a head of the given size. Its memory counts until its request is admitted.
func (c *Conn) completeHead(size int, p []byte) error {
	c.charge(int64(size) + int64(c.head.lines)*lineBytes)
	c.head, c.ahead, c.skipped = headScanner{}, false, 0
	c.headSince.Store(0)
	if why := reason(c.ended.Load()); why != none {
		return c.refuse(why, p)
	}

	return nil
}

// beginRequest notes the body of a request that the server has read the head of.
func (c *Conn) beginRequest(r *http.Request) {
	c.answered.Store(false)
	switch {
	case r.ContentLength > 0:
		c.phase, c.left = inBody, r.ContentLength
		c.bodyOpen.Store(true)
	case r.ContentLength < 0:
		c.phase, c.chunks = inChunks, chunkScanner{}
		c.bodyOpen.Store(true)
	}
}

// ReadingHead reports whether some bytes of a head have arrived, which then has a time limit of its own.
func (c *Conn) ReadingHead() bool { return c.headSince.Load() != 0 }

// endRequest notes that the handler of a request has returned. The server then reads and discards some of what is left of its body.
func (c *Conn) endRequest(r *http.Request) {
	c.answered.Store(true)
	if reason(c.ended.Load()) == memoryFull {
		// The head would stay in memory while the connection lingers.
		clear(r.Header)
	}
	if c.bodyOpen.Load() {
		now := c.guard.timers.Now()
		c.guard.ledger.Wait(c.client, now)
		c.drainSince.Store(now.UnixNano())
	}
}

// idle notes that the server has answered a request and waits for the next one.
func (c *Conn) idle() {
	c.guard.ledger.Wait(c.client, c.guard.timers.Now())
	c.drainSince.Store(0)
	if c.bodyOpen.Load() {
		// The server has found the end of the body elsewhere. What follows cannot be told apart.
		_ = c.Close()
	}
}

// readBody reads no more than what is left of a body.
func (c *Conn) readBody(p []byte) (n int, err error) {
	if c.phase == inBody {
		p = p[:min(int64(len(p)), c.left)]
	}
	buffered := len(c.buffer) > 0
	if buffered {
		n = copy(p, c.buffer)
	} else if n, err = c.Conn.Read(p); n == 0 {
		return 0, err
	}
	var done bool
	if c.phase == inBody {
		c.left -= int64(n)
		done = c.left == 0
	} else {
		read := n
		if n, done = c.chunks.scan(p[:read]); n < read && !buffered {
			c.buffer = append([]byte(nil), p[n:read]...)
		}
	}
	if buffered {
		if c.buffer = c.buffer[n:]; len(c.buffer) == 0 {
			c.buffer = nil
		}
	}
	if done {
		c.phase = inHead
		c.bodyOpen.Store(false)
	}
	if !c.answered.Load() {
		c.charge(bodyWeight * int64(n))
	}

	return n, nil
}

// readPackets reads what a peer sends. The bytes of a packet that is not complete count.
func (c *Conn) readPackets(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	before := c.packets.pending
	c.packets.scan(p[:n])
	switch pending := c.packets.pending; {
	case pending > before:
		if before == 0 {
			c.headSince.Store(c.guard.timers.Now().UnixNano())
		}
		c.charge(packetWeight * (pending - before))
	case before > 0:
		c.headSince.Store(0)
		c.guard.ledger.Release(c.client)
	}

	return n, nil
}

// charge records bytes that no request was admitted for.
func (c *Conn) charge(n int64) {
	c.guard.refuse(c.guard.ledger.Add(c.client, n), memoryFull)
}

// Write implements net.Conn. It writes some bytes at a time, each within answerTimeout.
func (c *Conn) Write(p []byte) (written int, err error) {
	now := c.guard.timers.Now()
	if len(p) > smallAnswer {
		c.guard.drop(c.guard.ledger.BeginAnswer(c.client, int64(len(p)), now), answersFull)
		defer c.guard.ledger.EndAnswer(c.client)
	}
	defer c.writeSince.Store(0)
	for {
		c.writeSince.Store(now.UnixNano())
		n, err := c.Conn.Write(p[written:min(len(p), written+writeBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		now = c.guard.timers.Now()
	}
}

// SetReadDeadline implements net.Conn. A connection that was refused keeps a deadline that ends its reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if reason(c.ended.Load()) != none {
		t = past
	}

	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends this side of the connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}

	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.guard.ledger.Close(c.client)
	c.guard.remove(c)

	return c.Conn.Close()
}

// end makes the goroutine that reads refuse the client.
func (c *Conn) end(why reason) {
	if !c.ended.CompareAndSwap(int32(none), int32(why)) {
		return
	}
	c.guard.record(c.address, why)
	c.interrupt()
}

// interrupt ends the read that is in progress.
func (c *Conn) interrupt() {
	if !c.lingering.Load() {
		_ = c.Conn.SetReadDeadline(past)
	}
}

// fail refuses the client from the goroutine that reads.
func (c *Conn) fail(why reason, p []byte) error {
	c.end(why)

	return c.refuse(reason(c.ended.Load()), p)
}

// refuse answers a client that is refused, unless the server does, and returns the error for the server.
func (c *Conn) refuse(why reason, p []byte) error {
	c.buffer, c.deliverable = nil, 0
	if c.bodyOpen.Load() && !c.answered.Load() {
		// The handler answers.
		if why == memoryFull {
			return ErrMemory
		}

		return errEnded
	}
	if c.refused || c.address == intake.Peers {
		return &net.OpError{Op: "read", Net: "tcp", Err: errEnded}
	}
	c.refused = true
	// The server reads single bytes only while it writes an answer itself.
	if status := why.status(); status != "" && c.phase == inHead && len(p) > 1 {
		_ = c.SetWriteDeadline(c.guard.timers.Now().Add(refusalTimeout))
		_, _ = c.Conn.Write(c.refusal(why, status))
	}
	if len(p) > 1 {
		c.linger(p)
	}

	return &net.OpError{Op: "read", Net: "tcp", Err: errEnded}
}

// refusal returns an answer that closes the connection.
func (c *Conn) refusal(why reason, status string) []byte {
	text := why.String() + "\n"
	response := append(make([]byte, 0, 256), "HTTP/1.1 "+status+"\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n"...)
	if why == memoryFull {
		response = append(response, c.guard.retryHeader...)
	}
	response = append(response, "Content-Length: "...)
	response = strconv.AppendInt(response, int64(len(text)), 10)
	response = append(response, "\r\n\r\n"...)

	return append(response, text...)
}

// linger ends this side of the connection and discards what the client sends for a short time.
func (c *Conn) linger(p []byte) {
	c.lingering.Store(true)
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(c.guard.timers.Now().Add(lingerTimeout))
	for discarded := 0; discarded < lingerBytes; {
		n, err := c.Conn.Read(p)
		if err != nil {
			return
		}
		discarded += n
	}
}

// check ends the connection of a client that is too slow.
func (c *Conn) check(now time.Time) {
	elapsed := func(since *atomic.Int64) time.Duration {
		if began := since.Load(); began != 0 {
			return now.Sub(time.Unix(0, began))
		}

		return 0
	}
	switch {
	case reason(c.ended.Load()) != none:
		// The server may have set another deadline at the same time.
		c.interrupt()
	case elapsed(&c.writeSince) > answerTimeout:
		c.close(answerUnread)
	case elapsed(&c.drainSince) > drainTimeout:
		c.close(bodyTooSlow)
	case c.address == intake.Peers:
		if elapsed(&c.headSince) > messageTimeout {
			c.close(messageTooSlow)
		}
	default:
		if limit := c.limits().HeadTimeout; limit > 0 && elapsed(&c.headSince) > limit {
			c.end(headTooSlow)
		}
	}
}

// close closes the connection without an answer.
func (c *Conn) close(why reason) {
	if !c.closed.Load() {
		c.guard.record(c.address, why)
	}
	_ = c.Close()
}
