package contract_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/internal/world/zone"
)

func TestContract(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "contract")
}

const baseText = `
AvailabilityZones: [Kochi, Thrissur]
Services:
  catalogue:
    {Caller: chattimala, Class: FullPage, Deadline: 170ms, MinimumCoverage: 0.8, Worth: 10, ExtraLoad: 0.03, Idempotent: true,
     PageSize: 20, Slots: 2, Connections: 25, ConnectTime: 6ms,
     Replicas: [{Address: "127.0.0.1:7001", AvailabilityZone: Kochi}, {Address: "127.0.0.1:7002", AvailabilityZone: Thrissur}]}
  payout:
    {Caller: chattimala, Class: OneRecord, Deadline: 500ms, MinimumCoverage: 1, Worth: 30, ExtraLoad: 0, Idempotent: false,
     Claim: Store, PageSize: 1, Slots: 4, Connections: 110, ConnectTime: 1ms,
     Replicas: [{Address: "127.0.0.1:7003", AvailabilityZone: Kochi}]}
`

func parse(text string) json.RawMessage {
	data, err := contract.ParseFile([]byte(text))
	Expect(err).NotTo(HaveOccurred())

	return data
}

// patch is an overlay that changes fields of one service.
func patch(service, fields string) string {
	return fmt.Sprintf("Services: {%s: {%s}}", service, fields)
}

var _ = Describe("Merge", func() {
	It("changes the fields that the overlay sets, removes with null and leaves the rest", func() {
		c, err := contract.Merge(parse(baseText), parse("Services: {catalogue: {Deadline: 150ms}, payout: null}"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Services).To(HaveLen(1))
		Expect(c.Services["catalogue"].Deadline.String()).To(Equal("150ms"))
		Expect(c.Services["catalogue"].Replicas).To(HaveLen(2))
	})

	DescribeTable("names the overlay and the path of each fault",
		func(overlay string, faults ...string) {
			_, err := contract.Merge(parse(baseText), parse(overlay))
			Expect(err).To(MatchError("contract: Overlay: " + strings.Join(faults, "\nOverlay: ")))
		},
		Entry("negative deadline", patch("catalogue", "Deadline: -1s"), "Services.catalogue.Deadline: must be positive"),
		Entry("long deadline", patch("payout", "Deadline: 2m"), "Services.payout.Deadline: 2m0s exceeds the maximum of 1m0s"),
		Entry("deadline without unit", patch("catalogue", "Deadline: 170"), "Services.catalogue.Deadline: must be a string"),
		Entry("deadline of words", patch("catalogue", "Deadline: soon"),
			`Services.catalogue.Deadline: "soon" is not a duration such as 170ms`),
		Entry("number as text", patch("catalogue", `Worth: "10"`), "Services.catalogue.Worth: must be a number"),
		Entry("fraction of a slot", patch("payout", "Slots: 1.5"), "Services.payout.Slots: must be an integer"),
		Entry("bool as number", patch("payout", "Idempotent: 0"), "Services.payout.Idempotent: must be true or false"),
		Entry("worth of nothing", patch("catalogue", "Worth: 0"), "Services.catalogue.Worth: must be positive"),
		Entry("coverage over 1", patch("catalogue", "MinimumCoverage: 80"),
			"Services.catalogue.MinimumCoverage: 80 is not within 0 to 1"),
		Entry("negative extra load", patch("catalogue", "ExtraLoad: -0.1"), "Services.catalogue.ExtraLoad: -0.1 is not within 0 to 1"),
		Entry("unknown class", patch("catalogue", "Class: Page"),
			`Services.catalogue.Class: "Page" is not one of FullPage, QuickMatch, OneRecord`),
		Entry("QuickMatch without FirstUseful", patch("catalogue", "Class: QuickMatch"),
			"Services.catalogue.FirstUseful: must be set for class QuickMatch"),
		Entry("FirstUseful of another class", patch("catalogue", "FirstUseful: 30ms"),
			"Services.catalogue.FirstUseful: applies only to class QuickMatch"),
		Entry("FirstUseful over the deadline", patch("catalogue", "Class: QuickMatch, FirstUseful: 200ms"),
			"Services.catalogue.FirstUseful: 200ms exceeds the Deadline of 170ms"),
		Entry("connecting for longer than the deadline", patch("catalogue", "ConnectTime: 1s"),
			"Services.catalogue.ConnectTime: 1s is not less than the Deadline of 170ms"),
		Entry("non-idempotent page", patch("catalogue", "Idempotent: false"),
			"Services.catalogue.Idempotent: must be true, because only a service of class OneRecord may be non-idempotent"),
		Entry("claim of an idempotent service", patch("catalogue", "Claim: Store"),
			"Services.catalogue.Claim: applies only to services that are not idempotent"),
		Entry("unknown claim", patch("payout", "Claim: Memory"), `Services.payout.Claim: "Memory" is not one of Store, None`),
		Entry("page over the limit", patch("catalogue", "PageSize: 1001"), "Services.catalogue.PageSize: 1001 is not within 1 to 1000"),
		Entry("fewer connections than slots", patch("payout", "Connections: 3"),
			"Services.payout.Connections: 3 is less than the Slots of 4"),
		Entry("caller with a space", patch("payout", "Caller: a b"),
			`Services.payout.Caller: "a b" is not a caller name (a letter, then letters, digits, - or _, at most 63 bytes)`),
		Entry("service name with a dot", "Services: {a.b: null, pay.out: {Caller: x}}", "Services.a.b: null removes a field that the base does not have",
			"Services.pay.out: is not a service name (a letter, then letters, digits, - or _, at most 63 bytes)",
			`Services.pay.out.Class: "" is not one of FullPage, QuickMatch, OneRecord`,
			"Services.pay.out.Deadline: must be positive", "Services.pay.out.Worth: must be positive",
			"Services.pay.out.PageSize: 0 is not within 1 to 1000", "Services.pay.out.Slots: 0 is not within 1 to 1024",
			"Services.pay.out.Connections: 0 is not within 1 to 65536", "Services.pay.out.Replicas: must have at least one replica"),
		Entry("no replicas", patch("payout", "Replicas: []"), "Services.payout.Replicas: must have at least one replica"),
		Entry("replicas that are no list", patch("payout", "Replicas: 3"), "Services.payout.Replicas: must be a list"),
		Entry("null as a replica, which a merge would drop",
			patch("payout", `Replicas: [{Address: "127.0.0.1:7003", AvailabilityZone: Kochi}, null]`),
			"Services.payout.Replicas[1]: must not be null"),
		Entry("duplicate replica, unknown zone and bad addresses", patch("payout", `Replicas: [
			{Address: "127.0.0.1:7003", AvailabilityZone: Kochi}, {Address: "127.0.0.1:7003", AvailabilityZone: Kochi},
			{Address: "127.0.0.1:7004", AvailabilityZone: Paris}, {Address: "localhost:1", AvailabilityZone: Kochi},
			{Address: "0.0.0.0:1", AvailabilityZone: Kochi}, {Address: "127.0.0.1:0", AvailabilityZone: Kochi},
			{AvailabilityZone: Kochi, Port: 1}]`),
			`Services.payout.Replicas[3].Address: "localhost:1" is not an address such as 127.0.0.1:7000`,
			"Services.payout.Replicas[6].Port: unknown field",
			"Services.payout.Replicas[1].Address: 127.0.0.1:7003 duplicates Replicas[0]",
			`Services.payout.Replicas[2].AvailabilityZone: "Paris" is not one of AvailabilityZones`,
			"Services.payout.Replicas[4].Address: 0.0.0.0:1 is not a unicast address",
			"Services.payout.Replicas[5].Address: 127.0.0.1:0 has no port",
			"Services.payout.Replicas[6].Address: must be set"),
		Entry("replica of another service with other limits and zone",
			patch("payout", `Replicas: [{Address: "127.0.0.1:7001", AvailabilityZone: Thrissur}]`),
			`Services.payout.Replicas[0].AvailabilityZone: is "Thrissur", but 127.0.0.1:7001 is in "Kochi" in service catalogue`,
			"Services.payout.Slots: is 4, but service catalogue sets 2 for the same replica 127.0.0.1:7001",
			"Services.payout.Connections: is 110, but service catalogue sets 25 for the same replica 127.0.0.1:7001"),
		Entry("unknown fields", "{Zones: [Kochi], Services: {payout: {Retries: 3}}}",
			"Services.payout.Retries: unknown field", "Zones: unknown field"),
		Entry("field in another letter case, which would be a second field of the merge", patch("catalogue", "deadline: 1s"),
			"Services.catalogue.deadline: unknown field; did you mean Deadline?"),
		Entry("removal of what is not there", "Services: {catalog: null}",
			"Services.catalog: null removes a field that the base does not have"),
		Entry("removal of everything", "{Services: null, AvailabilityZones: null}",
			"AvailabilityZones: must have at least one zone", "Services: must have at least one service"),
		Entry("a zone twice and a bad name", "AvailabilityZones: [Kochi, kochi, Thrissur, 1]",
			"AvailabilityZones[3]: must be a string",
			`AvailabilityZones[1]: "kochi" is a duplicate (zones are compared case-insensitively)`),
		Entry("service that is a list", "Services: {payout: [1]}", "Services.payout: must be a mapping"),
		Entry("empty file", "# nothing", "must be a mapping"),
	)

	It("finds a key that is written twice in JSON, where the last one would win silently", func() {
		_, err := contract.Merge(parse(baseText), json.RawMessage(`{"Services":{"payout":{"Worth":1,"Worth":2}}}`))
		Expect(err).To(MatchError("contract: Overlay: Services.payout.Worth: is a duplicate key"))
	})

	It("refuses more services and replicas than the bounds", func() {
		var services, replicas []string
		for i := range contract.MaxServices {
			services = append(services, fmt.Sprintf("s%d: {}", i))
		}
		_, err := contract.Merge(parse(baseText), parse("Services: {"+strings.Join(services, ", ")+"}"))
		Expect(err).To(MatchError("contract: Overlay: Services: has 514 entries, at most 512 are accepted"))
		for range contract.MaxReplicas + 1 {
			replicas = append(replicas, "{}")
		}
		_, err = contract.Merge(parse(baseText), parse(patch("payout", "Replicas: ["+strings.Join(replicas, ", ")+"]")))
		Expect(err).To(MatchError("contract: Overlay: Services.payout.Replicas: has 4097 entries, at most 4096 are accepted"))
	})
})

var _ = Describe("CheckAll", func() {
	It("names the base once for a fault that all zones share, and the overlay for a contradiction that only it makes", func() {
		base := strings.Replace(baseText, "Worth: 30", "Worth: -1", 1)
		err := contract.CheckAll(parse(base), map[zone.Zone]json.RawMessage{
			"Kochi": parse(patch("catalogue", "ConnectTime: 200ms")),
			"Paris": parse("{}"),
		})
		Expect(err).To(MatchError(`contract: Overlays.Paris: overlay for "Paris", which is not one of AvailabilityZones of Base
Overlays.Kochi: Services.catalogue.ConnectTime: 200ms is not less than the Deadline of 170ms
Base: Services.payout.Worth: must be positive`))
	})

	It("accepts a base whose missing fields every overlay supplies", func() {
		base := strings.Replace(baseText, "Worth: 30, ", "", 1)
		overlay := parse(patch("payout", "Worth: 5"))
		Expect(contract.CheckAll(parse(base), map[zone.Zone]json.RawMessage{"Kochi": overlay, "Thrissur": overlay})).To(Succeed())
		Expect(contract.CheckAll(parse(base), map[zone.Zone]json.RawMessage{"Kochi": overlay})).
			To(MatchError("contract: Base: Services.payout.Worth: must be positive"))
	})

	It("refuses what does not fit into the store's record", func() {
		overlay := parse(`{"Services": {"payout": {"Caller": "` + strings.Repeat("x", contract.MaxBytes) + `"}}}`)
		Expect(contract.CheckAll(parse(baseText), map[zone.Zone]json.RawMessage{"Kochi": overlay})).
			To(MatchError(MatchRegexp("^contract: Base: base and overlays together have 98.... bytes as JSON, at most 983040 are accepted$")))
	})
})

var _ = Describe("Load", func() {
	var dir string
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())

		return path
	}
	BeforeEach(func() { dir = GinkgoT().TempDir() })

	It("takes the zone from the file name in any letter case, or from the argument", func() {
		files, err := contract.Load(write("base.yaml", baseText), write("kochi.yaml", patch("payout", "Worth: 5")),
			"Thrissur="+write("other.json", `{"Services": {"payout": {"Worth": 6}}}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(files.Merged["Kochi"].Services["payout"].Worth).To(Equal(5.0))
		Expect(files.Merged["Thrissur"].Services["payout"].Worth).To(Equal(6.0))
		base, overlays := files.Parts()
		Expect(contract.CheckAll(base, overlays)).To(Succeed())
	})

	DescribeTable("lists the faults of all files",
		func(base string, overlays map[string]string, faults ...string) {
			arguments := []string{}
			for _, name := range []string{"kochi.yaml", "KOCHI.json", "paris.yaml", "thrissur.yaml"} {
				if text, ok := overlays[name]; ok {
					arguments = append(arguments, write(name, text))
				}
			}
			_, err := contract.Load(write("base.yaml", base), arguments...)
			Expect(strings.ReplaceAll(err.Error(), dir+"/", "")).To(Equal("contract: " + strings.Join(faults, "\n")))
		},
		Entry("bad field", baseText, map[string]string{"kochi.yaml": patch("catalogue", "Deadline: 0s")},
			"kochi.yaml: Services.catalogue.Deadline: must be positive"),
		Entry("unknown site", baseText, map[string]string{"paris.yaml": "{}"},
			`paris.yaml: overlay for "paris", which is not one of AvailabilityZones of base.yaml`),
		Entry("two overlays for a site", baseText, map[string]string{"kochi.yaml": "{}", "KOCHI.json": "{}"},
			`KOCHI.json: is a second overlay for "Kochi" besides kochi.yaml`),
		Entry("broken overlay beside a bad base", strings.Replace(baseText, "Worth: 10", "Worth: 0", 1),
			map[string]string{"kochi.yaml": "a: [", "thrissur.yaml": "Services: {payout: {Slots: 0}}"},
			"kochi.yaml: is not valid YAML or JSON: yaml: line 1: did not find expected node content",
			"base.yaml: Services.catalogue.Worth: must be positive",
			"thrissur.yaml: Services.payout.Slots: 0 is not within 1 to 1024"),
		Entry("key twice in YAML", "Services: {}\nServices: {}", nil,
			`base.yaml: is not valid YAML or JSON: yaml: unmarshal errors: line 2: key "Services" already set in map`),
		Entry("too large", "# "+strings.Repeat("x", contract.MaxBytes), nil, "base.yaml: is larger than 983040 bytes"),
	)

	It("names files that cannot be read", func() {
		_, err := contract.Load(filepath.Join(dir, "none.yaml"))
		Expect(err).To(MatchError("contract: " + dir + "/none.yaml: cannot be read: no such file or directory"))
	})
})
