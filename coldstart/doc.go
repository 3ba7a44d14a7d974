// Package coldstart bounds what all nodes together send to targets in cold
// start.
//
// With leases (State and Manager), at most one node at a time may send to a
// cold target, since the capacity of a cold target bounds the sum over all
// nodes. Targets are divided into shards by their VM; a node sends to the
// targets of a shard only while it holds the lease on it. Leases are records in
// the stream "cold-rights" of the platform's log. State replays the stream: a
// lease is granted if no other node's lease on the shard is active at the
// record's timestamp, which the log sets. Manager renews the leases on the
// shards assigned to this node. It measures their duration with the node's own
// clocks, starting before the record is appended, so a node that cannot renew a
// lease stops using it before another node can be granted it.
//
// With RateLimiter, targets state how many calls a second they accept from the
// whole fleet, and a few nodes for each target send at even intervals.
package coldstart
