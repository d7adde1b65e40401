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

func serviceRoute(name, host, prefix string) *route.Route {
	return &route.Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Service: "s"}
}

var _ = Describe("Match", func() {
	table, err := route.NewTable(1, []*route.Route{
		serviceRoute("all", "a.example", "/"), serviceRoute("long", "a.example", "/x/y/"),
		serviceRoute("short", "a.example", "/x/"),
	}, nil, route.Limits{})

	DescribeTable("finds the route that a request belongs to",
		func(host, path, expected string) {
			Expect(err).NotTo(HaveOccurred())
			r, ok := table.Match(host, path)
			Expect(ok).To(Equal(expected != ""))
			if ok {
				Expect(r.Name).To(Equal(expected))
			}
		},
		Entry("the longest matching prefix is chosen, whatever the order of the routes", "a.example", "/x/y/z", "long"),
		Entry("prefixes match whole path segments, so /xy does not match /x/", "a.example", "/xy", "all"),
		Entry("the port of the host is ignored", "a.example:8080", "/x/1", "short"),
		Entry("a route of another host does not match", "b.example", "/x/1", ""),
	)
})

var _ = Describe("MinimumParts", func() {
	DescribeTable("rounds up to whole shards and tolerates floating-point error",
		func(coverage float64, shards, expected int) {
			Expect((&route.Gather{MinimumCoverage: coverage}).MinimumParts(shards)).To(Equal(expected))
		},
		Entry("0.9 of 20 shards are exactly 18", 0.9, 20, 18),
		Entry("0.89 of 20 shards are rounded up to 18", 0.89, 20, 18),
		Entry("0.95 of 90 shards are rounded up to 86", 0.95, 90, 86),
		Entry("a coverage of 0 still requires one part", 0.0, 20, 1),
	)
})

var _ = Describe("NewTable", func() {
	It("reports the faults of all routes in one error", func() {
		_, err := route.NewTable(1, []*route.Route{
			{Name: "a", Prefix: "x", Timeout: time.Second, Service: "s"},
			{Name: "b", Prefix: "/", Timeout: time.Second},
		}, nil, route.Limits{})
		Expect(err).To(MatchError(And(ContainSubstring("Routes.a.Prefix"), ContainSubstring("Routes.b"))))
	})
})
