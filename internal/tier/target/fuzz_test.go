package target

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// FuzzResponseIsRejectedOrWithinItsLimit feeds the reader of responses with whatever a target may send.
func FuzzResponseIsRejectedOrWithinItsLimit(f *testing.F) {
	const limit = 1 << 10
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		allowance := newAllowance(bytes.NewReader(data), newReplyMemory(defaultReplyMemory))
		allowance.left = maxHeadBytes
		c := &conn{allowance: allowance, reader: bufio.NewReaderSize(allowance, readBufferSize)}
		response, err := readFinalHead(c, http.MethodGet)
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		allowance.left = limit + maxHeadBytes
		body, err := readBody(response, limit)
		if err == nil && len(body) > limit {
			t.Fatalf("accepted a body of %d bytes", len(body))
		}
	})
}
