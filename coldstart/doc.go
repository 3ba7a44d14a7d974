// Package coldstart hands out the right to send to targets in cold start.
//
// What a cold target can bear is a bound on the sum over all nodes, so at any
// time at most one node may send to it. Targets fall into shards by their VM;
// the right to a shard is a lease in the stream "cold-rights" of the platform's
// log. Book folds the stream: a lease is granted if the shard is free by the
// log's clock at the record. Keeper renews the leases that fall to this node
// and tells, by clocks of its own that started before the append, until when it
// may use them. A node that cannot renew stops by itself before anybody else
// may start.
package coldstart
