// Package admission decides whether an instance accepts a request, and after which delay a refused request may be retried.
//
// It is designed for overload of several times the capacity of instances and targets: callers that retry immediately, bursts from
// all users at once, and shards whose replicas are all down. A request that cannot be served is refused immediately and not at its
// deadline, so that its caller has time to retry. Retry delays are randomized, so that the callers do not retry all at once:
//
//	verdict := admission.Decide(admission.Facts{InFlight: 600, Limit: 512})
//	if !verdict.Admit {
//		retry := admission.Retry(admission.Refusal{TimeLeft: 1500 * time.Millisecond}, rand.Float64())
//	}
package admission

import "time"

const (
	// limitPerCore is the limit of requests in flight for each whole core. At 110 µs for each of 90 subrequests, a core serves 100
	// scatter-gather queries a second, and a query that waits for its last shards takes at most a second. At most 100 such queries
	// are thus in flight, a quarter of the limit.
	limitPerCore = 400
	// minimumLimit is the limit of instances with a small share of a core. It keeps them useful, because their requests wait for
	// peers and targets most of the time and need no processor time meanwhile.
	minimumLimit = 64
	// retryFraction is the mean retry delay, as a fraction of the time left until the deadline. Callers wait for at most a third of
	// the time left, and the largest random factor is 1.4.
	retryFraction = 0.2
	// shedRetryFraction replaces retryFraction if busy targets refused the request. It is smaller, because their queues drain in
	// the time of a few requests.
	shedRetryFraction = 0.08
	// jitterWidth is the width of the range of the random factor, which is centered on 1.
	jitterWidth = 0.8
	// minimumRetry is longer than a round trip between regions. maximumRetry is the time within which lost targets are replaced.
	minimumRetry = 30 * time.Millisecond
	maximumRetry = time.Second
)

// Limit returns the maximum number of requests in flight at an instance that has the given share of a core.
func Limit(processor float64) int {
	return max(minimumLimit, int(limitPerCore*processor))
}

// Facts is the state of the instance when a request arrives.
type Facts struct {
	// InFlight is the number of requests that are being served, without the new one. Limit is its upper bound.
	InFlight int
	Limit    int
	// Priority is the priority level of the request; 0 is the highest.
	Priority int
	// Accounts is the number of client accounts with requests in flight, including that of the new one, and AccountInFlight the number of
	// requests in flight of its account. Accounts is 0 if the configuration has no accounts, which then play no part.
	Accounts        int
	AccountInFlight int
	// Returning is set if the caller was refused before and has waited as it was told to.
	Returning bool
}

// Verdict says whether the request is accepted, and why.
type Verdict struct {
	Admit  bool
	Reason string
}

// priorityStep is the fraction of the limit by which each priority level lowers it, so that requests of higher priority find room.
const priorityStep = 0.05

const (
	// returningStep is the fraction of the limit that is kept for callers that return after a refusal. It is less than priorityStep, so
	// that they go before new ones of their own priority only.
	returningStep = 0.03
	// fairFraction is the fraction of the limit from which each account has its fair share only. Below, an account may use what the others
	// leave.
	fairFraction = 0.5
)

// Decide admits a request unless the instance is at its limit. The limit is lower for requests of lower priority and, where there are
// client accounts, for callers that do not return after a refusal. It answers the load of one account that sends many times its
// usual: above half of the limit, an account is admitted up to its equal share, so that the others find capacity, and below it has
// what they leave.
func Decide(f Facts) Verdict {
	fraction := 1 - priorityStep*float64(min(max(f.Priority, 0), 10))
	if f.Accounts > 0 && !f.Returning {
		fraction -= returningStep
	}
	limit := max(int(float64(f.Limit)*fraction), 1)
	switch {
	case f.InFlight >= limit:
		return Verdict{Reason: "InstanceFull"}
	case f.Accounts > 1 && float64(f.InFlight) >= fairFraction*float64(limit) && f.AccountInFlight >= max(limit/f.Accounts, 1):
		return Verdict{Reason: "AccountFull"}
	}

	return Verdict{Admit: true, Reason: "Admitted"}
}

// Refusal describes a request that was refused before any work was done.
type Refusal struct {
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// Shed is set if the targets refused the request because they were busy, and unset if they were not reachable.
	Shed bool
	// TurnIn is the time after which the instance may send the request to targets that limit their rate, 0 if none does.
	TurnIn time.Duration
}

// Retry returns the delay after which the caller may retry the request. random must be between 0 and 1.
func Retry(r Refusal, random float64) time.Duration {
	fraction := retryFraction
	if r.Shed {
		fraction = shedRetryFraction
	}
	mean := fraction * float64(r.TimeLeft)
	if r.TurnIn > 0 {
		// After a longer time, the turn of another instance is as likely to have come.
		mean = min(mean, (1+jitterWidth)*float64(r.TurnIn))
	}
	retry := time.Duration(mean * (1 - jitterWidth/2 + jitterWidth*random))

	return min(max(retry, minimumRetry), maximumRetry)
}
