// Package backup keeps copies of the topics of the platform's store in other partitions of
// the store, and restores a topic from them.
//
// A topic has one partition, and a node has no disk. While the part of the store that holds
// the partition is away, a fleet whose nodes have all lost their memory could not serve until
// it returns. The node that reads a topic therefore saves a snapshot of its copy in several
// partitions of a backup topic. Every partition holds its latest snapshot, and a write is
// conditional on the end of the partition that the writer has read: a snapshot never replaces
// a later one, also if the store executes a write seconds after it was sent.
//
// The records of a snapshot have the positions of the topic itself, so a restored copy is
// ordered with records that arrive from the store or from peers.
package backup
