// Package retryafter computes how long a refused caller should wait before it sends its
// request again.
//
//	after := retryafter.Spread(expected, remaining, rand.Float64())
package retryafter

import "time"

const (
	// NoServer is the expected time until a server has a free slot when no server of
	// the service is known: about the time that a server needs to connect to its node.
	NoServer = 400 * time.Millisecond
	// Full is the expected time when all servers have just refused a request: about the
	// time until one of their requests ends.
	Full = 80 * time.Millisecond
	// Shed is the expected time when backend servers refused the request themselves,
	// although their nodes counted free slots. They may accept it soon after, and most
	// target latencies leave time for another attempt.
	Shed = 100 * time.Millisecond
	// Stopping is the expected time at a node that is shutting down: about the time
	// until it has restarted.
	Stopping = 300 * time.Millisecond
	// Flood is the expected time when an account sends more than its limit and no slot is
	// free. A flood lasts for seconds.
	Flood = 1 * time.Second

	// maxRetryAfter bounds the result of Spread. The caller's remaining time divided by
	// remainingDivisor is a second bound, which is never below minAdvice.
	maxRetryAfter     = 2 * time.Second
	minRemainingBound = time.Millisecond
	remainingDivisor  = 3
)

// Spread returns the Retry-After for a caller that waits for the time remaining, when
// a free slot is expected after the time expected. The result is 0.5 to 1.5 times
// expected, by a random number in [0, 1), so that callers that were refused together
// do not retry together. It is at most 2 s, and at most a third of
// remaining or, if that is longer, 1 ms.
func Spread(expected, remaining time.Duration, random float64) time.Duration {
	after := expected/2 + time.Duration(random*float64(expected))
	return min(after, max(remaining/remainingDivisor, minRemainingBound), maxRetryAfter)
}
