// Package peer connects entry nodes to each other over WebSocket with CBOR messages.
//
// By default each node keeps a few links that it dialled and accepts those that other
// nodes dial, so its traffic does not grow with the number of nodes. In each interval
// it sends its state to one link, in rotation. Urgent messages go out on all links at
// once, and receivers pass them on. A link that receives nothing within the idle
// timeout is closed and replaced by a new connection. A full send queue drops
// messages so that a slow peer cannot block the node; a lost message does no lasting
// harm, since messages carry whole values instead of changes to them, and nodes send
// their state again periodically.
package peer
