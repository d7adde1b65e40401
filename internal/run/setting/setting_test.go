package setting_test

import (
	"bytes"
	"flag"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/setting"
	"github.com/hickorynotch/hickorynotch/internal/value/fault"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

func TestSetting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "setting")
}

type values struct {
	name  *string
	zone  *zone.Zone
	peer  *netip.AddrPort
	seeds *[]netip.AddrPort
	drain *time.Duration
	limit *int
	owner *bool
}

var _ = Describe("Set", func() {
	var set *setting.Set
	var flags *flag.FlagSet
	var v values
	BeforeEach(func() {
		flags = flag.NewFlagSet("serve", flag.ContinueOnError)
		set = setting.New(flags)
		v = values{
			name:  set.String("name", "entry", "name of the instance"),
			zone:  set.Zone("availability-zone", "", "zone of the instance", setting.Required()),
			peer:  set.AddrPort("peer-address", netip.MustParseAddrPort("127.0.0.1:7100"), "address for peers"),
			seeds: set.AddrPorts("seeds", nil, "peers to join"),
			drain: set.Duration("drain-timeout", 10*time.Second, time.Second, time.Minute, "bound of a stop"),
			limit: set.Int("limit", 8, 1, 64, "requests at a time"),
			owner: set.Bool("owner", true, "own targets"),
		}
		set.Check(func(faults *fault.List) {
			if *v.name == string(*v.zone) {
				faults.Add("-name", "must differ from -availability-zone")
			}
		})
	})
	resolve := func(arguments string, environment map[string]string) error {
		Expect(flags.Parse(strings.Fields(arguments))).To(Succeed())

		return set.Resolve(func(name string) (string, bool) {
			text, ok := environment[strings.TrimPrefix(name, "HICKORYNOTCH_")]

			return text, ok
		})
	}

	It("prefers a flag to its environment variable, and an environment variable to the default", func() {
		Expect(resolve("-limit 3 -owner=false -seeds 127.0.0.1:1,[::1]:2", map[string]string{
			"LIMIT": "x", "DRAIN_TIMEOUT": "5s", "AVAILABILITY_ZONE": "Logroño", "NAME": "",
		})).To(Succeed())
		Expect([]any{*v.limit, *v.owner, *v.drain, *v.zone, *v.name}).
			To(Equal([]any{3, false, 5 * time.Second, zone.Zone("Logroño"), "entry"}))
		Expect(*v.seeds).To(Equal([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("[::1]:2")}))
		Expect(set.KeyValues()).To(ContainElements("AvailabilityZone", "Logroño", "PeerAddress", "127.0.0.1:7100"))
	})

	It("reports the errors of all flags and environment variables together, each under the name of its source", func() {
		Expect(resolve("-limit 65 -peer-address localhost:1 -owner=maybe -drain-timeout 1ms", map[string]string{
			"SEEDS": "127.0.0.1:1,127.0.0.1:1",
		})).To(MatchError(`setting: -availability-zone: must be set (environment: HICKORYNOTCH_AVAILABILITY_ZONE)
-peer-address: "localhost:1" is not an address such as 127.0.0.1:7000
HICKORYNOTCH_SEEDS: 127.0.0.1:1 is listed twice
-drain-timeout: 1ms is not within 1s to 1m0s
-limit: 65 is not within 1 to 64
-owner: "maybe" is not true or false`))
	})

	DescribeTable("reports which setting is invalid and why",
		func(arguments, message string) {
			Expect(resolve("-availability-zone Kochi "+arguments, nil)).To(MatchError("setting: " + message))
		},
		Entry("when a zone name starts with a digit", "-availability-zone 1", `-availability-zone: "1" is not an availability zone name (a letter, then up to 62 letters, digits, - or _)`),
		Entry("when a number is not an integer", "-limit two", `-limit: "two" is not a whole number`),
		Entry("when a duration has no unit", "-drain-timeout 10", `-drain-timeout: "10" is not a duration such as 170ms`),
		Entry("when a list has an empty element", "-seeds 127.0.0.1:1,", `-seeds: "" is not an address such as 127.0.0.1:7000`),
		Entry("when a list has too many elements", "-seeds 127.0.0.1:1"+strings.Repeat(",", setting.MaxAddresses), "-seeds: has 1025 entries, at most 1024 are accepted"),
		Entry("when two settings contradict each other", "-name Kochi", "-name: must differ from -availability-zone"),
	)

	It("shows the default and the environment variable in Help and in the usage text of package flag", func() {
		var out bytes.Buffer
		flags.SetOutput(&out)
		flags.PrintDefaults()
		for _, help := range []string{set.Help(), out.String()} {
			Expect(help).To(ContainSubstring("(environment HICKORYNOTCH_DRAIN_TIMEOUT) (default 10s)"))
			Expect(help).To(ContainSubstring("(environment HICKORYNOTCH_AVAILABILITY_ZONE, required)"))
		}
	})
})
