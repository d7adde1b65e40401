package peer

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/tier/dispatch"
)

var _ = Describe("The answer of a peer that has forwarded a query", func() {
	DescribeTable("is rejected if it cannot be that of a target (MIXED)", func(change func(*ForwardAnswer)) {
		answer := &ForwardAnswer{Status: dispatch.Answered, Response: &ForwardedResponse{Status: http.StatusOK, Size: 3}}
		Expect(answer.Check()).To(Succeed())
		change(answer)
		Expect(answer.Check()).NotTo(Succeed())
	},
		Entry("a status of 000", func(a *ForwardAnswer) { a.Response.Status = 0 }),
		Entry("a status of 101", func(a *ForwardAnswer) { a.Response.Status = http.StatusSwitchingProtocols }),
		Entry("a status of 600", func(a *ForwardAnswer) { a.Response.Status = 600 }),
		Entry("a body larger than a target may send", func(a *ForwardAnswer) { a.Response.Size = 1 << 30 }),
		Entry("no response", func(a *ForwardAnswer) { a.Response = nil }),
		Entry("an unknown outcome", func(a *ForwardAnswer) { a.Status = "Maybe" }),
	)
})
