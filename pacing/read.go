package pacing

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// TargetsReadInterval is the time from one read of the targets topic to the next. These
	// reads do not wait for a record: targets write heartbeats all the time, so the wait
	// would end at once.
	TargetsReadInterval = time.Second
	// OperatorReadWait is how long one read of the operator topic waits for a record,
	// since the operator writes rarely. Until the read returns nothing is known of the
	// topic, so other nodes must not take over before that. The store may also fail to
	// wake a read that began while a record was being written.
	OperatorReadWait = 920 * time.Millisecond
	// takeoverAge is the age of the last mark from which another node may take over
	// reading; each node adds a random delay of up to takeoverSpread.
	takeoverAge    = 1250 * time.Millisecond
	takeoverSpread = 400 * time.Millisecond
	// MaxTakeoverAge is the longest age of the last mark at which a node takes over reading.
	MaxTakeoverAge = takeoverAge + takeoverSpread
	// StoreTimeout bounds a call to the store, in addition to the time that it waits
	// for records.
	StoreTimeout = 700 * time.Millisecond
	// MarkCheckInterval is the time between two checks of the last mark's age by a node
	// that does not read.
	MarkCheckInterval = 50 * time.Millisecond
	// RecordsRequestInterval is the minimum time between two requests for all records of a
	// peer.
	RecordsRequestInterval = 250 * time.Millisecond
)

// TakeoverAge returns the random age of the last mark from which a node takes over reading.
func TakeoverAge() time.Duration { return takeoverAge + lateBiased(takeoverSpread) }

// lateBiased returns a random delay of at most maxDelay that is rarely short. Of many nodes
// only a few act early, and the first has time to inform the others.
func lateBiased(maxDelay time.Duration) time.Duration {
	return time.Duration(float64(maxDelay) * math.Sqrt(math.Sqrt(rand.Float64())))
}
