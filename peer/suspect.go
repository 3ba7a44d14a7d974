package peer

import (
	"time"

	"github.com/apricotmount/apricotmount/quarantine"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// Suspect is the sender's evidence on a request that may end the targets that run it.
type Suspect struct {
	Digest []byte       `cbor:"1,keyasint"`
	Ends   []SuspectEnd `cbor:"2,keyasint,omitempty"`
	// Refuted are processes whose ends do not count for this request.
	Refuted    []SuspectEnd `cbor:"3,keyasint,omitempty"`
	TrialCount uint8        `cbor:"5,keyasint,omitempty"`
}

// SuspectEnd is the end of a target's process while a copy of the request was open at it.
type SuspectEnd struct {
	Target   vm.ID           `cbor:"1,keyasint"`
	Instance target.Instance `cbor:"2,keyasint,omitempty"`
	Witness  vm.ID           `cbor:"3,keyasint,omitempty"`
	// AgeMillis is the time since the end, in milliseconds.
	AgeMillis uint32 `cbor:"4,keyasint,omitempty"`
}

// NewSuspects returns cases in the form of messages.
func NewSuspects(cases []quarantine.Case, now time.Time) (suspects []Suspect) {
	for _, c := range cases {
		s := Suspect{Digest: c.Digest[:], TrialCount: uint8(min(c.TrialCount, maxTrialCount))}
		for _, p := range c.Refuted {
			s.Refuted = append(s.Refuted, SuspectEnd{Target: p.Target, Instance: p.Instance})
		}
		for _, e := range c.Ends {
			s.Ends = append(s.Ends, SuspectEnd{Target: e.Target, Instance: e.Instance, Witness: e.Witness, AgeMillis: Milliseconds(now.Sub(e.At))})
		}
		suspects = append(suspects, s)
	}
	return suspects
}

// maxTrialCount is the largest number of trials in a message.
const maxTrialCount = 255

// Cases returns the cases in a message; a suspect whose digest is malformed is left out.
func (m Message) Cases(now time.Time) (cases []quarantine.Case) {
	for _, s := range m.Suspects {
		c := quarantine.Case{TrialCount: int(s.TrialCount)}
		if copy(c.Digest[:], s.Digest) != len(c.Digest) || len(s.Digest) != len(c.Digest) {
			continue
		}
		for _, p := range s.Refuted {
			c.Refuted = append(c.Refuted, quarantine.Process{Target: p.Target, Instance: p.Instance})
		}
		for _, e := range s.Ends {
			c.Ends = append(c.Ends, quarantine.End{Process: quarantine.Process{Target: e.Target, Instance: e.Instance}, Witness: e.Witness, At: now.Add(-time.Duration(e.AgeMillis) * time.Millisecond)})
		}
		cases = append(cases, c)
	}
	return cases
}
