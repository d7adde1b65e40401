package peer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"storj.io/drpc"

	"github.com/hickorynotch/hickorynotch/internal/decision/quota"
)

// The RPC names of the quotas of client accounts. An instance of a version without them fails the call, which counts as an owner that does
// not answer.
const (
	rpcReportUsage   = "/hickorynotch.Tier/ReportUsage"
	rpcRequestTokens = "/hickorynotch.Tier/RequestTokens"
	rpcNotifyLimited = "/hickorynotch.Tier/NotifyLimited"
)

const (
	// maxUsage is the maximum number of accounts in a message about quotas.
	maxUsage = 1024
	// maxAccountName is the maximum length of the name of an account.
	maxAccountName = 256
	// maxRequests is the maximum number of requests in a report, and of tokens in a grant. It is far above what an instance can serve in the
	// time that a report covers.
	maxRequests = 1 << 24
	// quotaTimeout is the time limit of a call about quotas. A caller waits for it at most.
	quotaTimeout = 150 * time.Millisecond
)

// ReportUsageRequest carries a quota.Report.
type ReportUsageRequest struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	Bucket   int
	Session  uint64
	Sequence uint64
	Usage    []usage
}

type usage struct {
	_        struct{} `cbor:",toarray"`
	Account  string
	Admitted int
	Returned int
}

// Check implements validator.
func (r *ReportUsageRequest) Check() error {
	if r.Instance == "" || len(r.Instance) > maxAccountName {
		return fmt.Errorf("field Instance: %d bytes, not between 1 and %d", len(r.Instance), maxAccountName)
	}
	if r.Bucket < 0 || r.Bucket >= quota.Buckets {
		return fmt.Errorf("field Bucket: %d is not between 0 and %d", r.Bucket, quota.Buckets-1)
	}
	if len(r.Usage) > maxUsage {
		return fmt.Errorf("field Usage: %d, at most %d", len(r.Usage), maxUsage)
	}
	for i := range r.Usage {
		u := &r.Usage[i]
		if err := checkAccount(u.Account); err != nil {
			return fmt.Errorf("field Usage, element %d: %w", i, err)
		}
		if u.Admitted < 0 || u.Admitted > maxRequests || u.Returned < 0 || u.Returned > maxRequests {
			return fmt.Errorf("field Usage, element %d: %d, %d are not between 0 and %d", i, u.Admitted, u.Returned, maxRequests)
		}
	}

	return nil
}

func checkAccount(name string) error {
	if name == "" || len(name) > maxAccountName {
		return fmt.Errorf("account name of %d bytes, not between 1 and %d", len(name), maxAccountName)
	}

	return nil
}

func checkAccounts(names []string) error {
	if len(names) > maxUsage {
		return fmt.Errorf("%d accounts, at most %d", len(names), maxUsage)
	}
	for i, name := range names {
		if err := checkAccount(name); err != nil {
			return fmt.Errorf("element %d: %w", i, err)
		}
	}

	return nil
}

// ReportUsageResponse names the accounts in the report that are limited.
type ReportUsageResponse struct {
	_       struct{} `cbor:",toarray"`
	Limited []string
}

// Check implements validator.
func (r *ReportUsageResponse) Check() error { return checkAccounts(r.Limited) }

// RequestTokensRequest asks for tokens of an account.
type RequestTokensRequest struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Wanted  int
}

// Check implements validator.
func (r *RequestTokensRequest) Check() error {
	if r.Wanted < 0 || r.Wanted > maxRequests {
		return fmt.Errorf("field Wanted: %d is not between 0 and %d", r.Wanted, maxRequests)
	}

	return checkAccount(r.Account)
}

// RequestTokensResponse carries a quota.Grant.
type RequestTokensResponse struct {
	_       struct{} `cbor:",toarray"`
	Tokens  int
	Limited bool
	Again   time.Duration
}

// Check implements validator.
func (r *RequestTokensResponse) Check() error {
	if r.Tokens < 0 || r.Tokens > maxRequests {
		return fmt.Errorf("field Tokens: %d is not between 0 and %d", r.Tokens, maxRequests)
	}
	if r.Again < 0 || r.Again > maxDuration {
		return fmt.Errorf("field Again: %v is not between 0 and %v", r.Again, maxDuration)
	}

	return nil
}

// NotifyLimitedRequest names accounts that are limited from now on, and accounts that are not limited any more.
type NotifyLimitedRequest struct {
	_         struct{} `cbor:",toarray"`
	Limited   []string
	Unlimited []string
}

// Check implements validator.
func (r *NotifyLimitedRequest) Check() error {
	if err := checkAccounts(r.Limited); err != nil {
		return fmt.Errorf("field Limited: %w", err)
	}
	if err := checkAccounts(r.Unlimited); err != nil {
		return fmt.Errorf("field Unlimited: %w", err)
	}

	return nil
}

// NotifyLimitedResponse acknowledges a NotifyLimitedRequest.
type NotifyLimitedResponse struct {
	_ struct{} `cbor:",toarray"`
}

// Quotas are the functions that serve the calls about the quotas of client accounts. They return an error if this instance keeps no ledger
// of the accounts.
type Quotas struct {
	Report        func(r *quota.Report) (limited []string, err error)
	RequestTokens func(account string, wanted int) (quota.Grant, error)
	NotifyLimited func(limited, unlimited []string)
}

// WithQuotas sets the functions that serve the calls about quotas. Without them, the calls fail like unknown ones.
func WithQuotas(quotas Quotas) ServerOption {
	return func(s *Server) { s.quotas = &quotas }
}

// handleQuota serves the calls about quotas.
func (s *Server) handleQuota(stream drpc.Stream, rpc string) error {
	if s.quotas == nil {
		return newUnknownCall(rpc)
	}
	switch rpc {
	case rpcReportUsage:
		var request ReportUsageRequest
		if err := stream.MsgRecv(&request, encoding{}); err != nil {
			return err
		}
		limited, err := s.quotas.Report(request.toReport())
		if err != nil {
			return err
		}

		return stream.MsgSend(&ReportUsageResponse{Limited: limited}, encoding{})
	case rpcRequestTokens:
		var request RequestTokensRequest
		if err := stream.MsgRecv(&request, encoding{}); err != nil {
			return err
		}
		grant, err := s.quotas.RequestTokens(request.Account, request.Wanted)
		if err != nil {
			return err
		}

		return stream.MsgSend(&RequestTokensResponse{Tokens: grant.Tokens, Limited: grant.Limited, Again: grant.Again}, encoding{})
	default:
		var request NotifyLimitedRequest
		if err := stream.MsgRecv(&request, encoding{}); err != nil {
			return err
		}
		s.quotas.NotifyLimited(request.Limited, request.Unlimited)

		return stream.MsgSend(&NotifyLimitedResponse{}, encoding{})
	}
}

func newReportUsage(r *quota.Report) *ReportUsageRequest {
	request := &ReportUsageRequest{Instance: r.Instance, Bucket: r.Bucket, Session: r.Session, Sequence: r.Sequence}
	for _, u := range r.Usage {
		request.Usage = append(request.Usage, usage{Account: u.Account, Admitted: u.Admitted, Returned: u.Returned})
	}

	return request
}

func (r *ReportUsageRequest) toReport() *quota.Report {
	report := &quota.Report{Instance: r.Instance, Bucket: r.Bucket, Session: r.Session, Sequence: r.Sequence}
	for _, u := range r.Usage {
		report.Usage = append(report.Usage, quota.Usage{Account: u.Account, Admitted: u.Admitted, Returned: u.Returned})
	}

	return report
}

// ReportUsage sends a report to the owner at address, and returns the accounts in it that are limited.
func (c *Client) ReportUsage(ctx context.Context, address netip.AddrPort, r *quota.Report) (limited []string, err error) {
	var response ReportUsageResponse
	err = c.invokeQuota(ctx, address, rpcReportUsage, newReportUsage(r), &response)

	return response.Limited, err
}

// RequestTokens asks the owner at address for tokens.
func (c *Client) RequestTokens(ctx context.Context, address netip.AddrPort, account string, wanted int) (quota.Grant, error) {
	var response RequestTokensResponse
	err := c.invokeQuota(ctx, address, rpcRequestTokens, &RequestTokensRequest{Account: account, Wanted: wanted}, &response)

	return quota.Grant{Tokens: response.Tokens, Limited: response.Limited, Again: response.Again}, err
}

// NotifyLimited tells the peer at address which accounts are limited from now on, and which are not limited any more.
func (c *Client) NotifyLimited(ctx context.Context, address netip.AddrPort, limited, unlimited []string) error {
	request := &NotifyLimitedRequest{Limited: limited, Unlimited: unlimited}

	return c.invokeQuota(ctx, address, rpcNotifyLimited, request, &NotifyLimitedResponse{})
}

// invokeQuota makes a call with the time limit of calls about quotas.
func (c *Client) invokeQuota(ctx context.Context, address netip.AddrPort, rpc string, request, response any) error {
	ctx, cancel := c.timers.WithTimeout(ctx, quotaTimeout)
	defer cancel()

	err := c.invoke(ctx, address, rpc, request, response)
	if isUnknownCall(err, rpc) {
		err = errors.Join(ErrUnknownCall, err)
	}

	return err
}
