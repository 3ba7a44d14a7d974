package claim

import (
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/stream"
)

// Stream is the name of the log stream that holds claims.
const Stream stream.Name = "claims"

// KeyDigest is the hash of a service name and an idempotency key.
type KeyDigest [16]byte

// Fingerprint distinguishes different calls that carry the same key.
type Fingerprint [8]byte

// SequenceNumber identifies a claim among those of one incarnation.
type SequenceNumber uint64

// Request is a request for a claim in a Batch.
type Request struct {
	Key            KeyDigest      `cbor:"1,keyasint"`
	Fingerprint    Fingerprint    `cbor:"2,keyasint"`
	SequenceNumber SequenceNumber `cbor:"3,keyasint"`
	// WindowSeconds is how long a grant on the key is valid, in seconds.
	WindowSeconds uint32 `cbor:"4,keyasint"`
}

// Release frees a key whose call certainly did not run.
type Release struct {
	Key            KeyDigest      `cbor:"1,keyasint"`
	SequenceNumber SequenceNumber `cbor:"2,keyasint"`
}

// Batch is the payload of one record: releases and requests of one node.
type Batch struct {
	Holder   member.Incarnation `cbor:"1,keyasint"`
	Releases []Release          `cbor:"2,keyasint,omitempty"`
	Requests []Request          `cbor:"3,keyasint,omitempty"`
}

// Grant is a granted claim on a key.
type Grant struct {
	Holder         member.Incarnation
	SequenceNumber SequenceNumber
	Fingerprint    Fingerprint
	// ExpiresAt is the end of the key's window by the log's clock.
	ExpiresAt time.Time
}

// Decision is the result of one request.
type Decision struct {
	Holder  member.Incarnation
	Request Request
	Granted bool
}

// bucketDuration is the width of an expiry bucket. Expired grants are removed
// one bucket at a time.
const bucketDuration = 30 * time.Second

// State holds the grants that result from the records of the stream. It
// implements stream.Applier, and its zero value is ready to use. Records that
// expired unread are skipped: they are older than the log's retention, which no
// key's window exceeds, so none of their claims is still valid.
type State struct {
	stream.Cursor
	// OnDecision, if set, is called for each request as it is applied, with
	// s.mu held.
	OnDecision func(d Decision)

	mu            sync.Mutex
	grants        map[KeyDigest]Grant
	expiryBuckets map[int64][]KeyDigest // keys by the bucket in which their grant expires
	prunedBucket  int64                 // bucket of the record time of the latest prune
}

// Apply applies one record; one that cannot be decoded only advances the offset.
// The error is always nil.
func (s *State) Apply(rec stream.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Advance(rec)
	var batch Batch
	if err := codec.Decode(rec.Payload, &batch); err != nil {
		return nil
	}
	if s.grants == nil {
		s.grants = map[KeyDigest]Grant{}
		s.expiryBuckets = map[int64][]KeyDigest{}
	}
	s.prune(rec.AppendedAt)
	for _, r := range batch.Releases {
		s.applyRelease(batch.Holder, r)
	}
	for _, r := range batch.Requests {
		granted := s.applyRequest(batch.Holder, r, rec.AppendedAt)
		if s.OnDecision != nil {
			s.OnDecision(Decision{Holder: batch.Holder, Request: r, Granted: granted})
		}
	}
	return nil
}

// applyRelease removes the grant that r names, if it still holds the key. s.mu
// must be held.
func (s *State) applyRelease(holder member.Incarnation, r Release) {
	g, ok := s.grants[r.Key]
	if ok && g.Holder == holder && g.SequenceNumber == r.SequenceNumber {
		delete(s.grants, r.Key)
	}
}

// applyRequest grants the request if the key has no grant that is valid at
// recordTime, or if the grant is that of the same request. It reports whether
// the request is granted. s.mu must be held.
func (s *State) applyRequest(holder member.Incarnation, r Request, recordTime time.Time) bool {
	current, held := s.grants[r.Key]
	if held && current.ExpiresAt.After(recordTime) {
		return current.Holder == holder && current.SequenceNumber == r.SequenceNumber
	}
	expiresAt := recordTime.Add(time.Duration(r.WindowSeconds) * time.Second)
	s.grants[r.Key] = Grant{Holder: holder, SequenceNumber: r.SequenceNumber, Fingerprint: r.Fingerprint, ExpiresAt: expiresAt}
	bucket := bucketIndex(expiresAt)
	s.expiryBuckets[bucket] = append(s.expiryBuckets[bucket], r.Key)
	return true
}

// prune removes the grants of buckets that ended by recordTime. It does so once
// per bucket. s.mu must be held.
func (s *State) prune(recordTime time.Time) {
	current := bucketIndex(recordTime)
	if current == s.prunedBucket {
		return
	}
	s.prunedBucket = current
	for bucket, keys := range s.expiryBuckets {
		if bucket >= current {
			continue
		}
		for _, key := range keys {
			if g, ok := s.grants[key]; ok && !g.ExpiresAt.After(recordTime) {
				delete(s.grants, key)
			}
		}
		delete(s.expiryBuckets, bucket)
	}
}

func bucketIndex(t time.Time) int64 {
	return t.UnixMilli() / bucketDuration.Milliseconds()
}

// GrantOf returns the grant on a key, if this node has read one. An expired
// grant is returned until it is pruned.
func (s *State) GrantOf(key KeyDigest) (g Grant, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok = s.grants[key]
	return g, ok
}

// Len returns the number of grants, including expired ones not yet pruned.
func (s *State) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.grants)
}
