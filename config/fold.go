package config

import (
	"fmt"
	"time"

	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
	"github.com/rotisserie/eris"
)

// Format is the version of the records in the stream.
type Format uint8

// CurrentFormat is the newest format this program folds.
const CurrentFormat Format = 1

// ErrFormat says that a record has a newer format than this program folds. The
// node keeps what it has until it runs a newer program; folding on without the
// record would make it differ from its peers.
var ErrFormat = eris.New("a record of the configuration stream has a newer format")

// Change is one step of a publication; exactly one field is set.
type Change struct {
	PutProfile    *profile.Profile `cbor:"put-profile,omitempty"`
	DeleteProfile profile.Name     `cbor:"delete-profile,omitempty"`
	PutService    *service.Service `cbor:"put-service,omitempty"`
	DeleteService service.Name     `cbor:"delete-service,omitempty"`
	WithdrawZone  zone.Name        `cbor:"withdraw-zone,omitempty"`
	ReturnZone    zone.Name        `cbor:"return-zone,omitempty"`
	WithdrawVM    vm.ID            `cbor:"withdraw-vm,omitempty"`
	ReturnVM      vm.ID            `cbor:"return-vm,omitempty"`
}

// Publication is a set of changes that take force together or not at all.
type Publication struct {
	ID       PublicationID `cbor:"id"`
	Base     Revision      `cbor:"base"`
	Operator string        `cbor:"operator"`
	Changes  []Change      `cbor:"changes"`
}

// Snapshot is a whole configuration, written so that records may expire.
type Snapshot struct {
	Configuration *Configuration `cbor:"configuration"`
}

// recordPayload is one record of the stream; exactly one of its pointers is set.
type recordPayload struct {
	Format      Format       `cbor:"format"`
	Publication *Publication `cbor:"publication,omitempty"`
	Snapshot    *Snapshot    `cbor:"snapshot,omitempty"`
}

// EncodePublication returns the record of a publication.
func EncodePublication(p Publication) []byte {
	return codec.Encode(recordPayload{Format: CurrentFormat, Publication: &p})
}

// EncodeSnapshot returns the record of a snapshot of c.
func EncodeSnapshot(c *Configuration) []byte {
	return codec.Encode(recordPayload{Format: CurrentFormat, Snapshot: &Snapshot{Configuration: c}})
}

func decodeRecord(b []byte) (payload recordPayload, err error) {
	defer func() { err = eris.Wrap(err, "decode a configuration record") }()
	if err := codec.Decode(b, &payload); err != nil {
		return recordPayload{}, err
	}
	if payload.Format > CurrentFormat {
		return recordPayload{}, ErrFormat
	}
	return payload, nil
}

// Fold returns the configuration after one more record. The record's offset
// must be c.Next. Records that cannot be decoded, and snapshots, change nothing
// but Next. The only error is ErrFormat, and then nothing changes.
func Fold(c *Configuration, rec stream.Record) (*Configuration, error) {
	if rec.Offset != c.Next {
		panic(fmt.Sprintf("config: record %d folded at %d", rec.Offset, c.Next))
	}
	payload, err := decodeRecord(rec.Payload)
	if eris.Is(err, ErrFormat) {
		return c, ErrFormat
	}
	if err != nil || payload.Publication == nil {
		n := *c
		n.Next = rec.Offset + 1
		return &n, nil
	}
	return applyPublication(c, rec, payload.Publication), nil
}

func applyPublication(c *Configuration, rec stream.Record, p *Publication) *Configuration {
	reason := ""
	next := c.clone()
	if p.Base != c.Revision {
		reason = fmt.Sprintf("based on revision %d, but %d was in force", p.Base, c.Revision)
	} else {
		next.Revision++
		next.applyChanges(p, rec.Time.UTC().Truncate(time.Microsecond))
		reason = next.missingProfileReason()
	}
	if reason != "" {
		next = c.clone()
	}
	next.Next = rec.Offset + 1
	next.addResult(Verdict{ID: p.ID, Accepted: reason == "", Revision: next.Revision, Reason: reason})
	next.buildRoutes()
	return next
}

// applyChanges makes the changes of a publication to a configuration that only the
// caller holds.
func (c *Configuration) applyChanges(p *Publication, at time.Time) {
	withdrawal := Withdrawal{Revision: c.Revision, At: at}
	for _, change := range p.Changes {
		switch {
		case change.PutProfile != nil:
			c.Profiles[change.PutProfile.Name] = *change.PutProfile
		case change.DeleteProfile != "":
			delete(c.Profiles, change.DeleteProfile)
		case change.PutService != nil:
			c.Services[change.PutService.Name] = *change.PutService
		case change.DeleteService != "":
			delete(c.Services, change.DeleteService)
		case change.WithdrawZone != "":
			c.WithdrawnZones[change.WithdrawZone] = withdrawal
		case change.ReturnZone != "":
			delete(c.WithdrawnZones, change.ReturnZone)
		case change.WithdrawVM != "":
			c.WithdrawnVMs[change.WithdrawVM] = withdrawal
		case change.ReturnVM != "":
			delete(c.WithdrawnVMs, change.ReturnVM)
		}
	}
}

func (c *Configuration) missingProfileReason() string {
	for _, s := range c.Services {
		if _, ok := c.Profiles[s.Profile]; !ok {
			return fmt.Sprintf("a service names profile %q, which does not exist", s.Profile)
		}
	}
	return ""
}

func (c *Configuration) addResult(v Verdict) {
	if _, known := c.VerdictOf(v.ID); known {
		return
	}
	c.Verdicts = append(c.Verdicts, v)
	if excess := len(c.Verdicts) - maxResults; excess > 0 {
		c.Verdicts = c.Verdicts[excess:]
	}
}
