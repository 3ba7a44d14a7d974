// Package stream is a client of the platform's append-only log.
//
// A log holds named streams. Each appended record gets the next offset of its
// stream; records are kept for a limited time and then expire, oldest first. An
// append may take effect although its acknowledgement is lost, reads may be stale,
// and the log may be unavailable for a long time. A Follower applies the records
// of one stream in order of offsets and never goes back.
package stream
