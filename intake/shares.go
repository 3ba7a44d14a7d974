package intake

import "math"

// The parts of a process' memory. Garbage of the runtime may grow to GarbagePercent of what lives,
// so that what lives may take 100/(100+GarbagePercent) of the memory: these parts together.
const (
	// GarbagePercent limits the growth of the heap between two collections on small VMs.
	GarbagePercent = 60
	// BodyShare is the part that buffered request bodies take together, ResponseShare that of
	// buffered responses, HeadShare that of heads beyond FreeBytes each, and ConnectionShare that
	// of open connections.
	BodyShare       = 0.0625
	ResponseShare   = 0.0625
	HeadShare       = 0.1
	ConnectionShare = 0.25
	// OtherShare is the part of the program, its state and logs, and of connections that the
	// node itself opens.
	OtherShare = 0.15
)

// ConnectionBytes is the memory of a connection whose request is being served: buffers and stacks
// of 18 KB, and FreeBytes for the head, which is kept either as received or parsed.
const ConnectionBytes = 18<<10 + FreeBytes

// Shares are the memory and the descriptors of a process; a zero value means no limit.
type Shares struct {
	// MemoryBytes is the memory that the process may take.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may open.
	Descriptors int
}

// defaultHeadBudget is the budget for heads where the memory is not limited, in bytes.
const defaultHeadBudget = 256 << 20

// HeadBudget returns the memory that heads may take together, in bytes.
func (s Shares) HeadBudget() int64 {
	if s.MemoryBytes <= 0 {
		return defaultHeadBudget
	}
	return int64(HeadShare * float64(s.MemoryBytes))
}

// BodyBudget returns the memory that buffered request bodies may take together, in bytes; zero means no
// limit.
func (s Shares) BodyBudget() int64 { return int64(BodyShare * float64(s.MemoryBytes)) }

// ResponseBudget returns the memory that buffered responses may take together, in bytes; zero means no
// limit.
func (s Shares) ResponseBudget() int64 { return int64(ResponseShare * float64(s.MemoryBytes)) }

const (
	// fileDescriptors is the number of descriptors that are left to files.
	fileDescriptors = 200
	// callerShare is the part of the other descriptors, and of the connections' memory, for
	// connections of callers; peerShare is that of other nodes, and smallPortShare that of
	// each port for checks and scrapes. The rest is for connections that the node opens: one
	// for each call that is being served, the store and links to other nodes.
	callerShare    = 0.375
	peerShare      = 0.125
	smallPortShare = 1.0 / 32
)

// CallerConnections returns the maximum number of connections of callers.
func (s Shares) CallerConnections() int { return s.connections(callerShare) }

// PeerConnections returns the maximum number of connections of other nodes.
func (s Shares) PeerConnections() int { return s.connections(peerShare) }

// SmallPortConnections returns the maximum number of connections to a port for checks or scrapes.
func (s Shares) SmallPortConnections() int { return s.connections(smallPortShare) }

// connections returns the number of connections for a part of the descriptors.
func (s Shares) connections(share float64) int {
	n := math.Inf(1)
	if s.Descriptors > 0 {
		n = share * float64(max(s.Descriptors-fileDescriptors, s.Descriptors/2))
	}
	if s.MemoryBytes > 0 {
		// The parts of the ports together are the memory of all connections.
		portShare := share / (callerShare + peerShare + 2*smallPortShare)
		n = min(n, portShare*ConnectionShare*float64(s.MemoryBytes)/ConnectionBytes)
	}
	if math.IsInf(n, 1) {
		return 0
	}
	return max(1, int(n))
}
