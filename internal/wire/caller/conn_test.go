package caller

import (
	"net"
	"net/http/httptrace"
	"testing"
)

// TestSeal guards against a request that is reported as not run and written afterwards by a goroutine of net/http.
func TestSeal(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	connection := &countedConn{Conn: near}
	var first attempt
	first.use(httptrace.GotConnInfo{Conn: connection})
	if !first.seal() {
		t.Fatal("nothing was written, but seal reports that something was")
	}
	if _, err := connection.Write([]byte("x")); err == nil {
		t.Fatal("a sealed connection accepted a byte")
	}

	var second attempt
	second.use(httptrace.GotConnInfo{Conn: connection})
	if err := near.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := connection.Write([]byte("x")); err == nil {
		t.Fatal("the closed connection accepted a byte")
	}
	if second.seal() {
		t.Fatal("a byte was handed to the connection, but seal reports none")
	}
}
