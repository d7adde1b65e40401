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

// serviceOverlay returns an overlay that sets fields of one service.
func serviceOverlay(service, fields string) string {
	return fmt.Sprintf("Services: {%s: {%s}}", service, fields)
}

var _ = Describe("Merge", func() {
	It("replaces the fields that the overlay sets, removes those set to null and keeps the others", func() {
		c, err := contract.Merge(parse(baseText), parse("Services: {catalogue: {Deadline: 150ms}, payout: null}"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Services).To(HaveLen(1))
		Expect(c.Services["catalogue"].Deadline.String()).To(Equal("150ms"))
		Expect(c.Services["catalogue"].Replicas).To(HaveLen(2))
	})

	DescribeTable("reports all faults of an overlay, each with the file and the path of the field",
		func(overlay string, faults ...string) {
			_, err := contract.Merge(parse(baseText), parse(overlay))
			Expect(err).To(MatchError("contract: Overlay: " + strings.Join(faults, "\nOverlay: ")))
		},
		Entry("a negative deadline is a fault",
			serviceOverlay("catalogue", "Deadline: -1s"), "Services.catalogue.Deadline: must be positive"),
		Entry("a deadline over MaxDeadline is a fault",
			serviceOverlay("payout", "Deadline: 2m"), "Services.payout.Deadline: 2m0s is over the limit of 1m0s"),
		Entry("a deadline without a unit is a fault",
			serviceOverlay("catalogue", "Deadline: 170"), "Services.catalogue.Deadline: must be text"),
		Entry("a deadline that is not a duration is a fault", serviceOverlay("catalogue", "Deadline: soon"),
			`Services.catalogue.Deadline: "soon" is not a duration such as 170ms`),
		Entry("a string instead of a number is a fault",
			serviceOverlay("catalogue", `Worth: "10"`), "Services.catalogue.Worth: must be a number"),
		Entry("a fraction instead of an integer is a fault",
			serviceOverlay("payout", "Slots: 1.5"), "Services.payout.Slots: must be a whole number"),
		Entry("a number instead of a boolean is a fault",
			serviceOverlay("payout", "Idempotent: 0"), "Services.payout.Idempotent: must be true or false"),
		Entry("a worth of 0 is a fault", serviceOverlay("catalogue", "Worth: 0"), "Services.catalogue.Worth: must be positive"),
		Entry("a minimum coverage over 1 is a fault", serviceOverlay("catalogue", "MinimumCoverage: 80"),
			"Services.catalogue.MinimumCoverage: 80 is not within 0 to 1"),
		Entry("a negative extra load is a fault",
			serviceOverlay("catalogue", "ExtraLoad: -0.1"), "Services.catalogue.ExtraLoad: -0.1 is not within 0 to 1"),
		Entry("an unknown class is a fault", serviceOverlay("catalogue", "Class: Page"),
			`Services.catalogue.Class: "Page" is not one of FullPage, QuickMatch, OneRecord`),
		Entry("class QuickMatch requires FirstUseful", serviceOverlay("catalogue", "Class: QuickMatch"),
			"Services.catalogue.FirstUseful: must be set for class QuickMatch"),
		Entry("only class QuickMatch permits FirstUseful", serviceOverlay("catalogue", "FirstUseful: 30ms"),
			"Services.catalogue.FirstUseful: applies only to class QuickMatch"),
		Entry("a FirstUseful over the deadline is a fault", serviceOverlay("catalogue", "Class: QuickMatch, FirstUseful: 200ms"),
			"Services.catalogue.FirstUseful: 200ms is over the Deadline of 170ms"),
		Entry("a connect time over the deadline is a fault", serviceOverlay("catalogue", "ConnectTime: 1s"),
			"Services.catalogue.ConnectTime: 1s is not below the Deadline of 170ms"),
		Entry("a FullPage service must be idempotent", serviceOverlay("catalogue", "Idempotent: false"),
			"Services.catalogue.Idempotent: must be true, because only a service of class OneRecord may be non-idempotent"),
		Entry("an idempotent service must not set a claim", serviceOverlay("catalogue", "Claim: Store"),
			"Services.catalogue.Claim: applies only to services that are not idempotent"),
		Entry("an unknown claim is a fault",
			serviceOverlay("payout", "Claim: Memory"), `Services.payout.Claim: "Memory" is not one of Store, None`),
		Entry("a page size over MaxPageSize is a fault",
			serviceOverlay("catalogue", "PageSize: 1001"), "Services.catalogue.PageSize: 1001 is not within 1 to 1000"),
		Entry("fewer connections than slots are a fault", serviceOverlay("payout", "Connections: 3"),
			"Services.payout.Connections: 3 is below the Slots of 4"),
		Entry("a caller name with a space is a fault", serviceOverlay("payout", "Caller: a b"),
			`Services.payout.Caller: "a b" is not a caller name (a letter, then letters, digits, - or _, at most 63 bytes)`),
		Entry("a service name with a dot is a fault",
			"Services: {a.b: null, pay.out: {Caller: x}}", "Services.a.b: null removes a field that the base does not have",
			"Services.pay.out: is not a service name (a letter, then letters, digits, - or _, at most 63 bytes)",
			`Services.pay.out.Class: "" is not one of FullPage, QuickMatch, OneRecord`,
			"Services.pay.out.Deadline: must be positive", "Services.pay.out.Worth: must be positive",
			"Services.pay.out.PageSize: 0 is not within 1 to 1000", "Services.pay.out.Slots: 0 is not within 1 to 1024",
			"Services.pay.out.Connections: 0 is not within 1 to 65536",
			"Services.pay.out.Replicas: must have at least one replica"),
		Entry("an empty list of replicas is a fault",
			serviceOverlay("payout", "Replicas: []"), "Services.payout.Replicas: must have at least one replica"),
		Entry("a value of replicas that is not a list is a fault",
			serviceOverlay("payout", "Replicas: 3"), "Services.payout.Replicas: must be a list"),
		Entry("a null replica is a fault, because the merge would drop it",
			serviceOverlay("payout", `Replicas: [{Address: "127.0.0.1:7003", AvailabilityZone: Kochi}, null]`),
			"Services.payout.Replicas[1]: must not be null"),
		Entry("duplicate replicas, unknown zones and invalid addresses are faults", serviceOverlay("payout", `Replicas: [
			{Address: "127.0.0.1:7003", AvailabilityZone: Kochi}, {Address: "127.0.0.1:7003", AvailabilityZone: Kochi},
			{Address: "127.0.0.1:7004", AvailabilityZone: Paris}, {Address: "localhost:1", AvailabilityZone: Kochi},
			{Address: "0.0.0.0:1", AvailabilityZone: Kochi}, {Address: "127.0.0.1:0", AvailabilityZone: Kochi},
			{AvailabilityZone: Kochi, Port: 1}]`),
			`Services.payout.Replicas[3].Address: "localhost:1" is not an address such as 127.0.0.1:7000`,
			"Services.payout.Replicas[6].Port: unknown field",
			"Services.payout.Replicas[1].Address: 127.0.0.1:7003 is also Replicas[0]",
			`Services.payout.Replicas[2].AvailabilityZone: "Paris" is not one of AvailabilityZones`,
			"Services.payout.Replicas[4].Address: 0.0.0.0:1 is not the address of one process",
			"Services.payout.Replicas[5].Address: 127.0.0.1:0 has no port",
			"Services.payout.Replicas[6].Address: must be set"),
		Entry("a replica that two services declare with different zones and limits is a fault",
			serviceOverlay("payout", `Replicas: [{Address: "127.0.0.1:7001", AvailabilityZone: Thrissur}]`),
			`Services.payout.Replicas[0].AvailabilityZone: is "Thrissur", but 127.0.0.1:7001 is in "Kochi" in service catalogue`,
			"Services.payout.Slots: is 4, but service catalogue has 2 at the same replica 127.0.0.1:7001",
			"Services.payout.Connections: is 110, but service catalogue has 25 at the same replica 127.0.0.1:7001"),
		Entry("unknown fields are faults", "{Zones: [Kochi], Services: {payout: {Retries: 3}}}",
			"Services.payout.Retries: unknown field", "Zones: unknown field"),
		Entry("a field name with different case is a fault, because the merge would contain the field twice",
			serviceOverlay("catalogue", "deadline: 1s"),
			"Services.catalogue.deadline: unknown field; the name is written Deadline"),
		Entry("the removal of a service that the base does not have is a fault", "Services: {catalog: null}",
			"Services.catalog: null removes a field that the base does not have"),
		Entry("the removal of all services and zones is a fault", "{Services: null, AvailabilityZones: null}",
			"AvailabilityZones: must have at least one zone", "Services: must have at least one service"),
		Entry("duplicate zones and invalid zone names are faults", "AvailabilityZones: [Kochi, kochi, Thrissur, 1]",
			"AvailabilityZones[3]: must be text",
			`AvailabilityZones[1]: "kochi" is listed twice (letter case is not a difference)`),
		Entry("a list instead of a service is a fault", "Services: {payout: [1]}", "Services.payout: must be a mapping"),
		Entry("an overlay file that contains only a comment is a fault", "# nothing", "must be a mapping"),
	)

	It("rejects duplicate keys in JSON, because decoding would silently ignore all but the last", func() {
		_, err := contract.Merge(parse(baseText), json.RawMessage(`{"Services":{"payout":{"Worth":1,"Worth":2}}}`))
		Expect(err).To(MatchError("contract: Overlay: Services.payout.Worth: is written twice"))
	})

	It("rejects more than MaxServices services and more than MaxReplicas replicas", func() {
		var services, replicas []string
		for i := range contract.MaxServices {
			services = append(services, fmt.Sprintf("s%d: {}", i))
		}
		_, err := contract.Merge(parse(baseText), parse("Services: {"+strings.Join(services, ", ")+"}"))
		Expect(err).To(MatchError("contract: Overlay: Services: has 514 entries, at most 512 are accepted"))
		for range contract.MaxReplicas + 1 {
			replicas = append(replicas, "{}")
		}
		_, err = contract.Merge(parse(baseText), parse(serviceOverlay("payout", "Replicas: ["+strings.Join(replicas, ", ")+"]")))
		Expect(err).To(MatchError("contract: Overlay: Services.payout.Replicas: has 4097 entries, at most 4096 are accepted"))
	})
})

var _ = Describe("CheckAll", func() {
	It("reports a fault of the base once for all zones, and attributes a conflict to the overlay that introduces it", func() {
		base := strings.Replace(baseText, "Worth: 30", "Worth: -1", 1)
		err := contract.CheckAll(parse(base), map[zone.Zone]json.RawMessage{
			"Kochi": parse(serviceOverlay("catalogue", "ConnectTime: 200ms")),
			"Paris": parse("{}"),
		})
		Expect(err).To(MatchError(`contract: Overlays.Paris: overlay for "Paris", which is not one of AvailabilityZones of Base
Overlays.Kochi: Services.catalogue.ConnectTime: 200ms is not below the Deadline of 170ms
Base: Services.payout.Worth: must be positive`))
	})

	It("accepts a base with missing fields if the overlays of all zones set them", func() {
		base := strings.Replace(baseText, "Worth: 30, ", "", 1)
		overlay := parse(serviceOverlay("payout", "Worth: 5"))
		Expect(contract.CheckAll(parse(base), map[zone.Zone]json.RawMessage{"Kochi": overlay, "Thrissur": overlay})).To(Succeed())
		Expect(contract.CheckAll(parse(base), map[zone.Zone]json.RawMessage{"Kochi": overlay})).
			To(MatchError("contract: Base: Services.payout.Worth: must be positive"))
	})

	It("rejects a configuration that is too large for the record in the platform's store", func() {
		overlay := parse(`{"Services": {"payout": {"Caller": "` + strings.Repeat("x", contract.MaxBytes) + `"}}}`)
		Expect(contract.CheckAll(parse(baseText), map[zone.Zone]json.RawMessage{"Kochi": overlay})).
			To(MatchError(MatchRegexp(
				"^contract: Base: base and overlays together have 98.... bytes as JSON, at most 983040 are accepted$")))
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

	It("determines the zone of an overlay from the argument or, ignoring case, from the file name", func() {
		files, err := contract.Load(write("base.yaml", baseText), write("kochi.yaml", serviceOverlay("payout", "Worth: 5")),
			"Thrissur="+write("other.json", `{"Services": {"payout": {"Worth": 6}}}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(files.Merged["Kochi"].Services["payout"].Worth).To(Equal(5.0))
		Expect(files.Merged["Thrissur"].Services["payout"].Worth).To(Equal(6.0))
		base, overlays := files.Documents()
		Expect(contract.CheckAll(base, overlays)).To(Succeed())
	})

	DescribeTable("reports the faults of all files in one error",
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
		Entry("an invalid field of an overlay is reported with its path",
			baseText, map[string]string{"kochi.yaml": serviceOverlay("catalogue", "Deadline: 0s")},
			"kochi.yaml: Services.catalogue.Deadline: must be positive"),
		Entry("an overlay for a zone that the base does not list is reported", baseText, map[string]string{"paris.yaml": "{}"},
			`paris.yaml: overlay for "paris", which is not one of AvailabilityZones of base.yaml`),
		Entry("a second overlay for the same zone is reported",
			baseText, map[string]string{"kochi.yaml": "{}", "KOCHI.json": "{}"},
			`KOCHI.json: is a second overlay for "Kochi" besides kochi.yaml`),
		Entry("faults of the base and of other overlays are reported despite a syntax error in one overlay",
			strings.Replace(baseText, "Worth: 10", "Worth: 0", 1),
			map[string]string{"kochi.yaml": "a: [", "thrissur.yaml": "Services: {payout: {Slots: 0}}"},
			"kochi.yaml: is not valid YAML or JSON: yaml: line 1: did not find expected node content",
			"base.yaml: Services.catalogue.Worth: must be positive",
			"thrissur.yaml: Services.payout.Slots: 0 is not within 1 to 1024"),
		Entry("a duplicate key in YAML is reported", "Services: {}\nServices: {}", nil,
			`base.yaml: is not valid YAML or JSON: yaml: unmarshal errors: line 2: key "Services" already set in map`),
		Entry("a file over MaxBytes is reported",
			"# "+strings.Repeat("x", contract.MaxBytes), nil, "base.yaml: is larger than 983040 bytes"),
	)

	It("reports the path of a file that cannot be read", func() {
		_, err := contract.Load(filepath.Join(dir, "none.yaml"))
		Expect(err).To(MatchError("contract: " + dir + "/none.yaml: cannot be read: no such file or directory"))
	})
})
