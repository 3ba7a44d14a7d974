package target

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// In a large fleet each node has few calls. If it queried any of hundreds of targets for
// them, nearly every query would open a connection, which is closed as idle before it is
// used again. A node therefore prefers a few targets, others than its neighbours do, and
// widens the choice when none of them has capacity.

// minNodesPerTarget is the mean number of nodes of a zone that prefer the same target, at
// least. With fewer, one busy node would decide on a target's load, and more targets would
// be preferred by no node at all.
const minNodesPerTarget = 5

// minSubsetSize is the least number of preferred targets: twice as many as are queried
// for one choice, so that the choice differs from call to call.
const minSubsetSize = 8

// SubsetSize returns how many targets of a zone each of the zone's nodes prefers, so that
// minNodesPerTarget nodes prefer each target.
func SubsetSize(targetCount, nodeCount int) int {
	perNode := (minNodesPerTarget*targetCount + nodeCount - 1) / max(1, nodeCount)
	return max(minSubsetSize, perNode)
}

// ZoneSubsetSize returns SubsetSize for the targets and nodes of a zone.
func ZoneSubsetSize(targets, nodes []vm.VM, z zone.Name) int {
	return SubsetSize(countInZone(targets, z), countInZone(nodes, z))
}

func countInZone(list []vm.VM, z zone.Name) (n int) {
	for _, v := range list {
		if v.Zone == z {
			n++
		}
	}
	return n
}

// SetSubsetSize sets the number of targets that this node prefers in its own zone, and in
// the other zones together; zero means all.
func (t *Table) SetSubsetSize(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subsetSize = n
}

// rankOf returns the place of a target in this node's order of all targets. The order
// stays as targets come and go.
func (t *Table) rankOf(id vm.ID) uint64 {
	var d xxhash.Digest
	d.Reset()
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], t.settings.Seed)
	// Writing to a hash never returns an error.
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// markPreferred marks the candidates of the node's zone, or of the other zones, that may
// be queried for a choice: the subsetSize ones with the lowest ranks. A call that waits
// has found no capacity there, so it may query all. t.mu must be held.
func (t *Table) markPreferred(opts PickOptions, sameZone bool) {
	t.ranked = t.ranked[:0]
	for _, e := range t.eligible {
		e.isPreferred = false
		if e.sameZone == sameZone {
			t.ranked = append(t.ranked, e)
		}
	}
	if t.subsetSize > 0 && len(t.ranked) > t.subsetSize && !opts.IsWaiting {
		slices.SortFunc(t.ranked, func(a, b *entry) int { return cmp.Compare(a.rank, b.rank) })
		t.ranked = t.ranked[:t.subsetSize]
	}
	for _, e := range t.ranked {
		e.isPreferred = true
	}
}
