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

// Digest is the hash of a service name and an idempotency key.
type KeyDigest [16]byte

// Fingerprint distinguishes different calls that carry the same key.
type Fingerprint [8]byte

// Number identifies a claim among those of one incarnation.
type SequenceNumber uint64

// Request is a request for a claim in a Batch.
type Request struct {
	Key            KeyDigest      `cbor:"1,keyasint"`
	Fingerprint    Fingerprint    `cbor:"2,keyasint"`
	SequenceNumber SequenceNumber `cbor:"3,keyasint"`
	// Window is how long a grant on the key is valid, in seconds.
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

// Grant is the claim that holds a key.
type Grant struct {
	Holder         member.Incarnation
	SequenceNumber SequenceNumber
	Fingerprint    Fingerprint
	// Expires is the end of the key's window by the log's clock.
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

// Book holds the grants that result from the records of the stream. It
// implements stream.Fold, and its zero value is ready to use. Records that
// expired unread are skipped: they are older than the log's retention, which no
// key's window exceeds, so none of their claims is still valid.
type State struct {
	stream.Cursor
	// Decided, if set, is called for each request as it is applied, with b.mu
	// held.
	OnDecision func(d Decision)

	mu            sync.Mutex
	grants        map[KeyDigest]Grant
	expiryBuckets map[int64][]KeyDigest // keys by the bucket of their grant's end
	prunedBucket  int64                 // bucket of the log's time at the latest prune
}

// Apply applies one record; one that cannot be decoded contains no claims. The
// error is always nil.
func (b *State) Apply(rec stream.Record) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Advance(rec)
	var batch Batch
	if err := codec.Decode(rec.Payload, &batch); err != nil {
		return nil
	}
	if b.grants == nil {
		b.grants = map[KeyDigest]Grant{}
		b.expiryBuckets = map[int64][]KeyDigest{}
	}
	b.prune(rec.AppendedAt)
	for _, r := range batch.Releases {
		b.applyRelease(batch.Holder, r)
	}
	for _, r := range batch.Requests {
		granted := b.applyRequest(batch.Holder, r, rec.AppendedAt)
		if b.OnDecision != nil {
			b.OnDecision(Decision{Holder: batch.Holder, Request: r, Granted: granted})
		}
	}
	return nil
}

// applyRelease removes the grant that r names, if it still holds the key. b.mu
// must be held.
func (b *State) applyRelease(holder member.Incarnation, r Release) {
	g, ok := b.grants[r.Key]
	if ok && g.Holder == holder && g.SequenceNumber == r.SequenceNumber {
		delete(b.grants, r.Key)
	}
}

// applyRequest grants the request if the key is free at the log's time at, or
// if the same request already holds the key. It reports whether the request is
// granted. b.mu must be held.
func (b *State) applyRequest(holder member.Incarnation, r Request, at time.Time) bool {
	current, held := b.grants[r.Key]
	if held && current.ExpiresAt.After(at) {
		return current.Holder == holder && current.SequenceNumber == r.SequenceNumber
	}
	expires := at.Add(time.Duration(r.WindowSeconds) * time.Second)
	b.grants[r.Key] = Grant{Holder: holder, SequenceNumber: r.SequenceNumber, Fingerprint: r.Fingerprint, ExpiresAt: expires}
	bucket := bucketIndex(expires)
	b.expiryBuckets[bucket] = append(b.expiryBuckets[bucket], r.Key)
	return true
}

// prune removes the grants of buckets that ended before the log's time now. It
// does so once per bucket. b.mu must be held.
func (b *State) prune(now time.Time) {
	current := bucketIndex(now)
	if current == b.prunedBucket {
		return
	}
	b.prunedBucket = current
	for bucket, keys := range b.expiryBuckets {
		if bucket >= current {
			continue
		}
		for _, key := range keys {
			if g, ok := b.grants[key]; ok && !g.ExpiresAt.After(now) {
				delete(b.grants, key)
			}
		}
		delete(b.expiryBuckets, bucket)
	}
}

func bucketIndex(t time.Time) int64 {
	return t.UnixMilli() / bucketDuration.Milliseconds()
}

// Holder returns the grant on a key, if this node has read one. An expired
// grant is returned until it is pruned.
func (b *State) GrantOf(key KeyDigest) (g Grant, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g, ok = b.grants[key]
	return g, ok
}

// Len returns the number of grants, including expired ones not yet pruned.
func (b *State) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.grants)
}
