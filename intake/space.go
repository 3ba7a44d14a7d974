package intake

import "sync/atomic"

// Space bounds the memory that buffers take together. The zero value and nil have no limit. It is safe for
// concurrent use.
type Space struct {
	// Limit is the maximum of all buffers, in bytes; zero means no limit.
	Limit int64

	used atomic.Int64
}

// Reserve takes n bytes, unless more than the limit would be in use.
func (s *Space) Reserve(n int64) bool {
	if s == nil {
		return true
	}
	if s.used.Add(n) > s.Limit && s.Limit > 0 {
		s.used.Add(-n)
		return false
	}
	return true
}

// Release returns n bytes that were reserved.
func (s *Space) Release(n int64) {
	if s != nil {
		s.used.Add(-n)
	}
}

// Used returns the number of bytes in use. The Space must not be nil.
func (s *Space) Used() int64 { return s.used.Load() }
