package config

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
	"github.com/rotisserie/eris"
)

// Format is the version of the record format.
type Format uint8

// CurrentFormat is the newest format that this program supports.
const CurrentFormat Format = 1

// ErrNewerFormat means that a record has a newer format than this program
// supports. The node keeps its configuration until it runs a newer program:
// skipping the record would make its configuration differ from that of its
// peers.
var ErrNewerFormat = eris.New("configuration record has a newer format than this program supports")

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

// Publication is a set of changes that is applied as a whole or not at all.
type Publication struct {
	ID           PublicationID `cbor:"id"`
	BaseRevision Revision      `cbor:"base"`
	Operator     string        `cbor:"operator"`
	Changes      []Change      `cbor:"changes"`
}

// Snapshot is a whole configuration, written to the stream so that the records
// that it covers may expire.
type Snapshot struct {
	Configuration *Configuration `cbor:"configuration"`
}

// recordPayload is the payload of a record; exactly one of its pointers is set.
type recordPayload struct {
	Format      Format       `cbor:"format"`
	Publication *Publication `cbor:"publication,omitempty"`
	Snapshot    *Snapshot    `cbor:"snapshot,omitempty"`
}

// EncodePublication returns the payload of the record of a publication.
func EncodePublication(p Publication) []byte {
	return codec.Encode(recordPayload{Format: CurrentFormat, Publication: &p})
}

// EncodeSnapshot returns the payload of the record of a snapshot of c.
func EncodeSnapshot(c *Configuration) []byte {
	return codec.Encode(recordPayload{Format: CurrentFormat, Snapshot: &Snapshot{Configuration: c}})
}

// decodeRecord decodes the payload of a record. The error wraps ErrNewerFormat
// if the format is newer than CurrentFormat.
func decodeRecord(b []byte) (payload recordPayload, err error) {
	defer func() { err = eris.Wrap(err, "decode configuration record") }()
	if err := codec.Decode(b, &payload); err != nil {
		return recordPayload{}, err
	}
	if payload.Format > CurrentFormat {
		return recordPayload{}, ErrNewerFormat
	}
	return payload, nil
}

// ApplyRecord returns the configuration that results from applying rec to c. It
// panics if the offset of rec is not c.NextOffset. Records that cannot be
// decoded, and snapshots, change nothing but NextOffset. The only error is
// ErrNewerFormat, with which ApplyRecord returns c itself.
func ApplyRecord(c *Configuration, rec stream.Record) (*Configuration, error) {
	if rec.Offset != c.NextOffset {
		panic(fmt.Sprintf("config: record at offset %d applied to a configuration at offset %d", rec.Offset, c.NextOffset))
	}
	payload, err := decodeRecord(rec.Payload)
	if eris.Is(err, ErrNewerFormat) {
		return c, ErrNewerFormat
	}
	if err != nil || payload.Publication == nil {
		n := *c
		n.NextOffset = rec.Offset + 1
		return &n, nil
	}
	return applyPublication(c, rec, payload.Publication), nil
}

// applyPublication applies a publication, or rejects it if its base is not the
// active revision or if a service would refer to a missing profile. Either way
// addResult adds the result to the configuration.
func applyPublication(c *Configuration, rec stream.Record, p *Publication) *Configuration {
	reason := ""
	next := c.clone()
	if p.BaseRevision != c.Revision {
		reason = fmt.Sprintf("based on revision %d, but %d was in force", p.BaseRevision, c.Revision)
	} else {
		next.Revision++
		// The encoding keeps only microseconds.
		next.applyChanges(p, rec.AppendedAt.UTC().Truncate(time.Microsecond))
		reason = next.missingProfileReason()
	}
	if reason != "" {
		next = c.clone()
	}
	next.NextOffset = rec.Offset + 1
	next.addResult(PublicationResult{ID: p.ID, Accepted: reason == "", Revision: next.Revision, Reason: reason})
	next.buildRoutes()
	return next
}

// applyChanges applies the changes of a publication to c in place. No other
// goroutine may have access to c.
func (c *Configuration) applyChanges(p *Publication, recordTime time.Time) {
	withdrawal := Withdrawal{Revision: c.Revision, At: recordTime}
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

// missingProfileReason returns the reason to reject c if a service refers to a
// missing profile, and "" otherwise.
func (c *Configuration) missingProfileReason() string {
	// In the order of their names, since the reason is part of the digest that nodes
	// compare.
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		wanted := c.Services[name].Profile
		if _, ok := c.Profiles[wanted]; !ok {
			return fmt.Sprintf("a service names profile %q, which does not exist", wanted)
		}
	}
	return ""
}

// addResult adds the result of a publication, unless Results already contains
// one with the same ID, and drops the oldest beyond maxResults.
func (c *Configuration) addResult(r PublicationResult) {
	if _, known := c.ResultOf(r.ID); known {
		return
	}
	c.Results = append(c.Results, r)
	if excess := len(c.Results) - maxResults; excess > 0 {
		c.Results = c.Results[excess:]
	}
}
