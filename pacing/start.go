package pacing

import "time"

const (
	// fleetStartWait is the maximum wait for records of peers before a node reads the
	// store itself, if the whole fleet starts.
	fleetStartWait = 6 * time.Second
	// RejoinWait is the same for a node that starts while others run: they send it all
	// records sooner than the store does, unless they have just started too.
	RejoinWait = 60 * time.Millisecond
	// restartSpreadPerNode, for each node of the fleet and up to maxRestartSpread, is the
	// time over which the nodes of a fleet that was killed begin to read after that: long
	// enough that the first to do so can send the records to most of the others.
	restartSpreadPerNode = 500 * time.Microsecond
	maxRestartSpread     = 200 * time.Millisecond
	// restoreSpreadPerNode, for each node of the fleet and up to maxRestoreSpread, is the
	// time over which nodes restore a topic: the first to do so send it to the others,
	// which need not read all partitions then.
	restoreSpreadPerNode = 3 * time.Millisecond
	maxRestoreSpread     = time.Second
	// RestoreRetryInterval is the minimum time between two attempts of a node to restore a
	// topic. One that no partition holds comes back with the store.
	RestoreRetryInterval = 2 * time.Second
)

// FleetStartWait returns the random wait of a node for records of peers if the whole fleet
// starts.
func FleetStartWait() time.Duration { return lateBiased(fleetStartWait) }

// RestartWait returns the random wait of one of nodeCount nodes that restart together.
func RestartWait(nodeCount int) time.Duration { return lateBiased(restartSpread(nodeCount)) }

// restartSpread returns the time over which nodeCount nodes that restart together begin
// to read.
func restartSpread(nodeCount int) time.Duration {
	return min(time.Duration(nodeCount)*restartSpreadPerNode, maxRestartSpread)
}

// RestoreWait returns the random wait of one of nodeCount nodes before it restores a topic.
func RestoreWait(nodeCount int) time.Duration {
	return lateBiased(min(time.Duration(nodeCount)*restoreSpreadPerNode, maxRestoreSpread))
}
