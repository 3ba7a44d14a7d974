// Package stream speaks to the platform's append-only log.
//
// A log holds named streams. Appending a record gives it the stream's next
// offset; records are kept for a limited time and then expire from the front.
// An append may take effect although its acknowledgement is lost, reads may be
// stale, and the whole service may be away for long. A Follower folds one
// stream in order of offsets and never goes back.
package stream
