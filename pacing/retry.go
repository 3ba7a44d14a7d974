package pacing

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryDelay and maxRetryDelay bound the mean delay after a failed call. Between
	// them the delay grows with the number of nodes, so that the fleet retries
	// retriesPerSecond times per second: the first node that reaches the store forwards
	// the records to the others.
	minRetryDelay    = 700 * time.Millisecond
	maxRetryDelay    = 5 * time.Second
	retriesPerSecond = 5
	// reachablePerLink is how many nodes each link of a node is assumed to lead to.
	reachablePerLink = 3
)

// RetryDelay returns a random delay before a node with the given number of links, in a fleet of
// nodeCount nodes, retries a failed call. A node with few links may be parted from most of the
// fleet, so that no retry of those helps it.
func RetryDelay(linkCount, nodeCount int) time.Duration {
	return retryDelay(min(1+reachablePerLink*linkCount, nodeCount))
}

// RetryDelayWithoutCopy is RetryDelay for a node that has no copy of the topic: it cannot serve
// until then.
func RetryDelayWithoutCopy(linkCount, nodeCount int) time.Duration {
	return min(RetryDelay(linkCount, nodeCount), maxRetryDelay)
}

// retryDelay returns a random delay before one of nodeCount nodes retries a failed call.
func retryDelay(nodeCount int) time.Duration {
	mean := min(max(time.Duration(nodeCount)*time.Second/retriesPerSecond, minRetryDelay), maxRetryDelay)
	return mean/2 + rand.N(mean)
}
