// Package quota decides which requests of a client account with a quota are admitted, although they arrive at many instances.
//
// It is designed for accounts whose requests arrive through a few instances, in bursts, and that may grow eightfold within a second. The
// ledger of an account is kept by one instance, its owner. While an account is far below its quota, all instances admit its requests at
// once and report them to the owner afterwards. When the owner's token bucket runs low, the account is limited, and instances ask the
// owner for tokens before they admit a request:
//
//	verdict := meter.Charge(now, "acme", limits, situation)
//	if verdict.Outcome == quota.Ask {
//		grant := ledger.Grant(now, "acme", meter.Wanted(now, "acme", 1), limits, standing) // at the owner
//		meter.Granted(now, "acme", "owner", grant)
//	}
//
// Reports are numbered, so that one that is lost or repeated does no harm.
package quota

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits is the quota of an account.
type Limits struct {
	// PerSecond is the rate and Burst the number of requests beyond it that may be sent at once.
	PerSecond float64
	Burst     float64
	// Slack is the number of requests in a window by which an account may exceed its quota.
	Slack float64
}

// slackFraction is the fraction of Slack that is added to the capacity of token buckets, so that an account that uses its quota in full
// is not refused when its requests arrive in uneven pieces. The rest covers requests that are admitted before they are reported.
const slackFraction = 0.5

// capacity returns the capacity of the account's token bucket.
func (l Limits) capacity() float64 { return max(l.Burst+slackFraction*l.Slack, 1) }

// Buckets is the number of groups of accounts, each of which has one owner. The load of the ledgers is thus divided among several
// instances, and an instance reports to at most as many.
const Buckets = 8

// BucketOf returns the group of an account.
func BucketOf(account string) int { return int(xxhash.Sum64String(account) % Buckets) }

// minimumProcessor is the fraction of the largest share of a processor that an instance needs in order to be an owner. The smallest
// instances have a sixth of the largest, and a ledger gets up to 1,000 reports a second.
const minimumProcessor = 0.5

// Candidate is an instance that may be an owner.
type Candidate struct {
	Name      string
	Processor float64
}

// Owners are the instances that keep the ledgers of each group of accounts. It is computed from the list of instances alone, so that
// instances with the same list agree without a message, and a lost instance changes the owners of its own groups only.
type Owners [Buckets]struct{ Owner, Backup string }

// NewOwners chooses the owners by rendezvous hashing among the instances that are large enough.
func NewOwners(candidates []Candidate) *Owners {
	largest := 0.0
	for _, c := range candidates {
		largest = max(largest, c.Processor)
	}
	o := &Owners{}
	for bucket := range o {
		var first, second uint64
		for _, c := range candidates {
			if c.Processor < minimumProcessor*largest {
				continue
			}
			hash := xxhash.Sum64String(strconv.Itoa(bucket) + "/" + c.Name)
			switch {
			case o[bucket].Owner == "" || hash > first:
				o[bucket].Backup, second = o[bucket].Owner, first
				o[bucket].Owner, first = c.Name, hash
			case o[bucket].Backup == "" || hash > second:
				o[bucket].Backup, second = c.Name, hash
			}
		}
	}

	return o
}

// Usage is what an instance reports of one account.
type Usage struct {
	Account string
	// Admitted is the number of requests that were admitted without a token, and Returned the number of tokens that were not used.
	Admitted int
	Returned int
}

// Report is what an instance reports of the accounts of one group. An instance sends a report again, unchanged, until it is answered, and
// only then makes the next one. The owner thus needs to keep only the last sequence number of each instance, whatever the number of
// accounts, and counts each report once.
type Report struct {
	Instance string
	Bucket   int
	// Session distinguishes the processes of an instance, and Sequence orders the reports of a session. A report without usage has
	// sequence number 0 and only checks whether the owner answers.
	Session  uint64
	Sequence uint64
	Usage    []Usage
}

// Grant is the response to a request for tokens.
type Grant struct {
	Tokens int
	// Limited is false if the account needs no tokens any more.
	Limited bool
	// Again is the time after which the instance may ask again.
	Again time.Duration
}
