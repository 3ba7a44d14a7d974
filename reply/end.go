package reply

// ConnState is the state of a connection when the end of its stream was read.
type ConnState int

// The states.
const (
	// StateUnknown is the state of a connection that is reset, closed, or cannot be asked.
	StateUnknown ConnState = iota
	// StateFinished is that of a connection whose server has ended its stream in order.
	StateFinished
)

// End is what is known of a connection on which the end of the stream was read. A reset is reported
// once, to a write or to a read. If a write got it, the read that follows returns the end of the
// stream as if the server had ended it in order.
type End struct {
	// IsWriting reports whether a write is in progress, and WriteFailed whether one has failed.
	IsWriting, WriteFailed bool
	// State need only be set if a write is in progress or has failed.
	State ConnState
}

// IsProved reports whether the server has ended the stream in order. What cannot be proved counts as
// a reset.
func (e End) IsProved() bool {
	return !e.IsWriting && !e.WriteFailed || e.State == StateFinished
}
