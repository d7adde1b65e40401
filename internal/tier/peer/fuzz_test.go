package peer

import (
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hickorynotch/hickorynotch/internal/decision/quota"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
	"github.com/hickorynotch/hickorynotch/internal/world/region"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

// FuzzMessageIsRejectedOrValid feeds the decoders of all messages with whatever a peer may send.
func FuzzMessageIsRejectedOrValid(f *testing.F) {
	suspects := []suspect.Record{{Fingerprint: suspect.Fingerprint{1}, Crashes: []suspect.Crash{{Process: "p"}}}}
	gather := &GatherRequest{RequestID: "r", Route: "g", Version: 7, Method: "GET", Head: []byte("GET / HTTP/1.1\r\n"), Left: time.Second}
	gather.Scope, gather.Account = region.Only("Kerala", "Goa"), "Acme"
	for _, message := range []any{
		gather,
		newScopedGatherRequest(gather),
		&GatherAccepted{Version: 7, Active: 1},
		&GatherAnswer{Status: "Answered", Stamps: []string{"s"}, Records: make([]byte, 16)},
		&NoticeRequest{Leader: 7, Name: "a"},
		&FollowRequest{Name: "a", AvailabilityZone: "z", Processor: 1},
		&FollowAck{Suspects: newSuspectRecords(suspects)},
		&SuspectsRequest{Records: newSuspectRecords(suspects)},
		newLeavingAck([]*directory.Target{{ID: "i-1"}}),
		&FollowUpdate{Term: 7, Changes: []byte{1, 2, 3}},
		newReportUsage(&quota.Report{Instance: "a", Session: 7, Sequence: 1, Usage: []quota.Usage{{Account: "acme", Admitted: 2}}}),
		&ReportUsageResponse{Limited: []string{"acme"}},
		&RequestTokensRequest{Account: "acme", Wanted: 3},
		&RequestTokensResponse{Tokens: 3, Limited: true, Again: time.Second},
		&NotifyLimitedRequest{Limited: []string{"acme"}},
		&ForwardRequest{RequestID: "r", Route: "f", Version: 7, Method: "GET", Head: gather.Head, Left: time.Second, Tried: []string{"t"}},
		&ForwardBody{Body: []byte("body")},
		&ForwardAnswer{Status: "Answered", Response: &ForwardedResponse{Target: "t", Status: 200, Header: http.Header{"A": {"b"}}, Size: 3}},
		&ResponseChunk{Data: []byte("abc")},
		&ReachabilityRequest{Name: "a", Unreachable: true},
	} {
		data, err := cbor.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var request GatherRequest
		if (encoding{}).Unmarshal(data, &request) == nil && (request.Left <= 0 || len(request.Shards) > maxShards) {
			t.Fatalf("accepted request %+v", request)
		}
		var scoped scopedGatherRequest
		if (encoding{}).Unmarshal(data, &scoped) == nil && (scoped.Gather.Left <= 0 || !scoped.toGather().Scope.IsRestricted() ||
			len(scoped.Regions) == 0 || len(scoped.Regions) > maxRegions || len(scoped.Account) > maxNameBytes) {
			t.Fatalf("accepted request %+v", scoped)
		}
		var answer GatherAnswer
		if (encoding{}).Unmarshal(data, &answer) == nil && answer.Missing < 0 {
			t.Fatalf("accepted answer %+v", answer)
		}
		var forward ForwardRequest
		if (encoding{}).Unmarshal(data, &forward) == nil && (forward.Left <= 0 || len(forward.Tried) > maxTried || len(forward.Regions) > maxRegions) {
			t.Fatalf("accepted request %+v", forward)
		}
		var forwarded ForwardAnswer
		if (encoding{}).Unmarshal(data, &forwarded) == nil && forwarded.Response != nil &&
			(forwarded.Response.Status < 200 || forwarded.Response.Status > 599 || forwarded.Response.Size < 0) {
			t.Fatalf("accepted answer %+v", forwarded)
		}
		var chunk ResponseChunk
		if (encoding{}).Unmarshal(data, &chunk) == nil && len(chunk.Data) == 0 {
			t.Fatal("accepted an empty chunk")
		}
		var reachability ReachabilityRequest
		if (encoding{}).Unmarshal(data, &reachability) == nil && reachability.Name == "" {
			t.Fatal("accepted a report without a name")
		}
		var usage ReportUsageRequest
		if (encoding{}).Unmarshal(data, &usage) == nil && (len(usage.Usage) > maxUsage || usage.Bucket < 0 || usage.Bucket >= quota.Buckets) {
			t.Fatalf("accepted report %+v", usage)
		}
		var grant RequestTokensResponse
		if (encoding{}).Unmarshal(data, &grant) == nil && (grant.Tokens < 0 || grant.Again < 0) {
			t.Fatalf("accepted grant %+v", grant)
		}
		for _, message := range []any{&ReportUsageResponse{}, &RequestTokensRequest{}, &NotifyLimitedRequest{}} {
			_ = (encoding{}).Unmarshal(data, message)
		}
		for _, message := range []any{&GatherAccepted{}, &NoticeRequest{}, &FollowRequest{}, &FollowAck{}, &SuspectsRequest{}} {
			_ = (encoding{}).Unmarshal(data, message)
		}
		var update FollowUpdate
		if (encoding{}).Unmarshal(data, &update) == nil {
			_, _ = decodeUpdate(&update)
		}
	})
}
