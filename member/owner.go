package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that owns key by rendezvous hashing (highest random
// weight): when a member is added or removed, only the keys of that member
// change owner. There must be at least one member.
func Owner(members []Entry, key uint64) Incarnation {
	var best Incarnation
	var bestWeight uint64
	for _, m := range members {
		if w := weight(uint64(m.Incarnation), key); w >= bestWeight {
			best, bestWeight = m.Incarnation, w
		}
	}
	return best
}

// weight returns the rendezvous hashing weight of a member for a key.
func weight(incarnation, key uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], incarnation)
	binary.LittleEndian.PutUint64(buf[8:], key)
	return xxhash.Sum64(buf[:])
}
