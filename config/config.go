package config

import (
	"maps"
	"slices"
	"time"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
	"github.com/cespare/xxhash/v2"

	"github.com/apricotmount/apricotmount/codec"
)

// Stream is the name of the log stream that holds publications and snapshots.
const Stream stream.Name = "configuration"

// Revision is the number of publications accepted so far.
type Revision uint64

// PublicationID is the globally unique identifier of a publication.
type PublicationID string

// Withdrawal records the revision and the time at which a zone or VM was taken
// out of service.
type Withdrawal struct {
	Revision Revision `cbor:"revision"`
	// At is the time of the record by the log's clock.
	At time.Time `cbor:"at"`
}

// PublicationResult is the result of a publication.
type PublicationResult struct {
	ID PublicationID `cbor:"id" json:"id"`
	// Accepted reports whether the changes of the publication became active.
	Accepted bool `cbor:"accepted" json:"accepted"`
	// Revision is the active revision after the record.
	Revision Revision `cbor:"revision" json:"revision"`
	// Reason is why the publication was rejected; it is empty if accepted.
	Reason string `cbor:"reason" json:"reason,omitempty"`
}

// Configuration is the active configuration after the records before offset
// NextOffset. It is immutable; a change creates a new one. The zero value is
// the empty configuration before the first record.
type Configuration struct {
	NextOffset     stream.Offset                    `cbor:"next"`
	Revision       Revision                         `cbor:"revision"`
	Profiles       map[profile.Name]profile.Profile `cbor:"profiles"`
	Services       map[service.Name]service.Service `cbor:"services"`
	WithdrawnZones map[zone.Name]Withdrawal         `cbor:"withdrawn-zones"`
	WithdrawnVMs   map[vm.ID]Withdrawal             `cbor:"withdrawn-vms"`
	Results        []PublicationResult              `cbor:"verdicts"`

	routes map[routeKey][]route // built by buildRoutes; not encoded
}

// maxResults is the number of results kept in Results, newest last.
const maxResults = 256

// Digest is a hash of a whole configuration. Equal configurations have equal
// digests on every node.
type Digest uint64

// Digest returns the hash of the configuration.
func (c *Configuration) Digest() Digest {
	return Digest(xxhash.Sum64(codec.Encode(c)))
}

// ResultOf returns the result of a publication, if Results still contains it.
func (c *Configuration) ResultOf(id PublicationID) (r PublicationResult, ok bool) {
	for _, r := range slices.Backward(c.Results) {
		if r.ID == id {
			return r, true
		}
	}
	return PublicationResult{}, false
}

// IsWithdrawn reports whether a VM is out of service, by itself or with its
// zone.
func (c *Configuration) IsWithdrawn(id vm.ID, z zone.Name) bool {
	if _, isWithdrawn := c.WithdrawnZones[z]; isWithdrawn {
		return true
	}
	_, isWithdrawn := c.WithdrawnVMs[id]
	return isWithdrawn
}

func (c *Configuration) clone() *Configuration {
	n := *c
	n.Profiles = cloneMap(c.Profiles)
	n.Services = cloneMap(c.Services)
	n.WithdrawnZones = cloneMap(c.WithdrawnZones)
	n.WithdrawnVMs = cloneMap(c.WithdrawnVMs)
	n.Results = slices.Clone(c.Results)
	return &n
}

// cloneMap returns a copy of m that is never nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
