package claim

import (
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/stream"
)

// Stream is the stream that holds claims.
const Stream stream.Name = "claims"

// Digest is the hash of a service and an idempotency key.
type Digest [16]byte

// Fingerprint tells requests apart that carry the same key.
type Fingerprint [8]byte

// Number tells the claims of one incarnation apart.
type Number uint64

// Request is one claim in a record.
type Request struct {
	Key         Digest      `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	Number      Number      `cbor:"3,keyasint"`
	// Window is how long the key keeps its meaning, in seconds.
	Window uint32 `cbor:"4,keyasint"`
}

// Release gives a key back whose call was certainly not run.
type Release struct {
	Key    Digest `cbor:"1,keyasint"`
	Number Number `cbor:"2,keyasint"`
}

// Batch is one record: the releases and claims of one node.
type Batch struct {
	Holder   member.Incarnation `cbor:"1,keyasint"`
	Releases []Release          `cbor:"2,keyasint,omitempty"`
	Requests []Request          `cbor:"3,keyasint,omitempty"`
}

// Grant is the claim that a key is held by.
type Grant struct {
	Holder      member.Incarnation
	Number      Number
	Fingerprint Fingerprint
	// Expires is when the key's window ends, by the log's clock.
	Expires time.Time
}

// Decision is what became of one request.
type Decision struct {
	Holder  member.Incarnation
	Request Request
	Granted bool
}

// bucketDuration is the step in which expired grants are dropped.
const bucketDuration = 30 * time.Second

// Book is the fold of the stream: who holds which key. It is a stream.Fold. Its
// zero value is ready. Expired records are passed over: they are older than the
// log's retention, which no key's window exceeds, so they hold nothing that
// still counts.
type Book struct {
	stream.Cursor
	// Decided, if set, is told of each request as it is folded, with the lock
	// held.
	Decided func(d Decision)

	mu            sync.Mutex
	grants        map[Digest]Grant
	expiryBuckets map[int64][]Digest
	prunedBucket  int64
}

// Apply folds one record; one that cannot be decoded holds no claim.
func (b *Book) Apply(rec stream.Record) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Advance(rec)
	var batch Batch
	if err := codec.Decode(rec.Payload, &batch); err != nil {
		return nil
	}
	if b.grants == nil {
		b.grants = map[Digest]Grant{}
		b.expiryBuckets = map[int64][]Digest{}
	}
	b.prune(rec.Time)
	for _, r := range batch.Releases {
		b.applyRelease(batch.Holder, r)
	}
	for _, r := range batch.Requests {
		granted := b.applyRequest(batch.Holder, r, rec.Time)
		if b.Decided != nil {
			b.Decided(Decision{Holder: batch.Holder, Request: r, Granted: granted})
		}
	}
	return nil
}

func (b *Book) applyRelease(holder member.Incarnation, r Release) {
	g, ok := b.grants[r.Key]
	if ok && g.Holder == holder && g.Number == r.Number {
		delete(b.grants, r.Key)
	}
}

func (b *Book) applyRequest(holder member.Incarnation, r Request, at time.Time) bool {
	current, held := b.grants[r.Key]
	if held && current.Expires.After(at) {
		return current.Holder == holder && current.Number == r.Number
	}
	expires := at.Add(time.Duration(r.Window) * time.Second)
	b.grants[r.Key] = Grant{Holder: holder, Number: r.Number, Fingerprint: r.Fingerprint, Expires: expires}
	bucket := bucketIndex(expires)
	b.expiryBuckets[bucket] = append(b.expiryBuckets[bucket], r.Key)
	return true
}

// prune drops grants whose window ended before the log's time now.
func (b *Book) prune(now time.Time) {
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
			if g, ok := b.grants[key]; ok && !g.Expires.After(now) {
				delete(b.grants, key)
			}
		}
		delete(b.expiryBuckets, bucket)
	}
}

func bucketIndex(t time.Time) int64 {
	return t.UnixMilli() / bucketDuration.Milliseconds()
}

// Holder returns the grant on a key, if this node has read of one.
func (b *Book) Holder(key Digest) (g Grant, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g, ok = b.grants[key]
	return g, ok
}

// Len is how many keys are held.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.grants)
}
