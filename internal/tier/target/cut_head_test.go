package target_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/tier/target"
)

var _ = DescribeTable("A target that stops in the middle of its response and closes",
	func(response string, complete func(sent string) bool) {
		for n := range len(response) {
			sent := response[:n]
			server := startTarget(func(int, string) string { return sent })
			server.closeAfter = true
			call := newCall("r1")
			call.Deadline = time.Now().Add(2 * time.Second)
			result := newLink(server).Send(call, &target.Cancel{})
			Expect(result.Outcome == target.Answered).To(Equal(complete(sent)), "after %q", sent)
		}
	},
	Entry("does not answer with an empty body that looks complete, wherever in the head it stops",
		"HTTP/1.1 200 OK\r\nStamp: s\r\nRequest: r1\r\nContent-Length: 3\r\n\r\nabc", func(string) bool { return false }),
	Entry("does not answer with fewer chunks",
		"HTTP/1.1 200 OK\r\nStamp: s\r\nRequest: r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		func(string) bool { return false }),
	Entry("answers only after the end of its head if the response has no length",
		"HTTP/1.1 200 OK\r\nStamp: s\r\nRequest: r1\r\n\r\nabc",
		func(sent string) bool { return strings.Contains(sent, "\r\n\r\n") }),
)
