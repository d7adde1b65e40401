package route_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/world/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

func simple(name, host, prefix string) *route.Route {
	return &route.Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Service: "s"}
}

var _ = Describe("Match", func() {
	table, err := route.NewTable(1, []*route.Route{
		simple("all", "a.example", "/"), simple("long", "a.example", "/x/y/"), simple("short", "a.example", "/x/"),
	}, nil, route.Limits{})

	DescribeTable("finds the route of a request",
		func(host, path, expected string) {
			Expect(err).NotTo(HaveOccurred())
			r, ok := table.Match(host, path)
			Expect(ok).To(Equal(expected != ""))
			if ok {
				Expect(r.Name).To(Equal(expected))
			}
		},
		Entry("by the longest prefix, whatever the order of the routes", "a.example", "/x/y/z", "long"),
		Entry("by whole segments, so that /xy is not below /x/", "a.example", "/xy", "all"),
		Entry("without the port of the host", "a.example:8080", "/x/1", "short"),
		Entry("only on its own host", "b.example", "/x/1", ""),
	)
})

var _ = Describe("MinimumParts", func() {
	DescribeTable("rounds up without the error of floating point",
		func(coverage float64, shards, expected int) {
			Expect((&route.Gather{MinimumCoverage: coverage}).MinimumParts(shards)).To(Equal(expected))
		},
		Entry("0.9 of 20", 0.9, 20, 18),
		Entry("0.89 of 20", 0.89, 20, 18),
		Entry("0.95 of 90", 0.95, 90, 86),
		Entry("0 still needs one part", 0.0, 20, 1),
	)
})

var _ = Describe("NewTable", func() {
	It("reports all faults at once", func() {
		_, err := route.NewTable(1, []*route.Route{
			{Name: "a", Prefix: "x", Timeout: time.Second, Service: "s"},
			{Name: "b", Prefix: "/", Timeout: time.Second},
		}, nil, route.Limits{})
		Expect(err).To(MatchError(And(ContainSubstring("Routes.a.Prefix"), ContainSubstring("Routes.b"))))
	})
})
