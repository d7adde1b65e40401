// Package admission decides whether an instance takes a request, and when a request that was not run may come back.
//
// It answers a load that is several times what the instances and targets hold: callers that repeat at once, bursts of all users,
// and shards whose replicas are all down. A request that cannot be served is refused at once instead of at its deadline, so that its
// caller has time for another try; the times to come back are spread, so that the callers do not return together:
//
//	verdict := admission.Decide(admission.Facts{InFlight: 600, Limit: 512})
//	if !verdict.Admit {
//		retry := admission.Retry(admission.Refusal{Left: 1500 * time.Millisecond}, rand.Float64())
//	}
package admission

import "time"

const (
	// perProcessor is the number of requests in flight for each whole core: at 110 µs for each of 90 parts a core gathers 100
	// queries a second, and those that wait for their last parts take a second at most.
	perProcessor = 400
	// minimumLimit keeps small instances useful, whose requests wait for peers and targets most of the time.
	minimumLimit = 64
	// retryShare is the part of the time that is left after which a refused request comes back on average. Callers wait up to a
	// third of it.
	retryShare = 0.2
	// shedShare is the part for a request that busy targets refused. Their queues drain within a few requests.
	shedShare = 0.08
	// spread is the range of the random factor around 1.
	spread = 0.8
	// minimumRetry is longer than a round trip between regions, and maximumRetry the time within which lost targets are replaced.
	minimumRetry = 30 * time.Millisecond
	maximumRetry = time.Second
)

// Limit returns the number of requests that an instance with this share of a core serves at a time.
func Limit(processor float64) int {
	return max(minimumLimit, int(perProcessor*processor))
}

// Facts is the state of the instance when a request arrives.
type Facts struct {
	// InFlight is the number of requests that are being served, Limit the bound.
	InFlight int
	Limit    int
	// Priority is the rank of the request; 0 is the highest.
	Priority int
}

// Verdict says whether the request is taken.
type Verdict struct {
	Admit  bool
	Reason string
}

// rankShare is the part of the limit that requests of each lower rank leave to the higher ones.
const rankShare = 0.05

// Decide admits a request unless the instance is at its limit. Requests of a lower rank are refused a little earlier.
func Decide(f Facts) Verdict {
	limit := int(float64(f.Limit) * (1 - rankShare*float64(min(max(f.Priority, 0), 10))))
	if f.InFlight >= max(limit, 1) {
		return Verdict{Reason: "InstanceFull"}
	}

	return Verdict{Admit: true, Reason: "Admitted"}
}

// Refusal is a request that was refused and has not run.
type Refusal struct {
	// Left is the time that the caller has left.
	Left time.Duration
	// Shed is set if targets refused the request because they were busy, instead of being away.
	Shed bool
}

// Retry returns when the request may come back. Random is between 0 and 1.
func Retry(r Refusal, random float64) time.Duration {
	share := retryShare
	if r.Shed {
		share = shedShare
	}
	retry := time.Duration(share * float64(r.Left) * (1 - spread/2 + spread*random))

	return min(max(retry, minimumRetry), maximumRetry)
}
