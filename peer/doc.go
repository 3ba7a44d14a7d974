// Package peer links entry nodes to each other over WebSocket with CBOR.
//
// Each node keeps a few links that it dialled and takes those that others
// dialled to it, so its traffic does not grow with the fleet. In turn, one link
// a tick gets the node's state; urgent words go out on all links at once and
// are passed on. A link that has been silent for too long is closed and
// replaced by a new connection; a slow one loses messages rather than stall the
// node, which does no harm since every message carries whole state.
package peer
