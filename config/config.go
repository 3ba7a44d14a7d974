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

// Stream is the stream that holds publications and snapshots.
const Stream stream.Name = "configuration"

// Revision counts accepted publications.
type Revision uint64

// PublicationID names one publication, unique for ever.
type PublicationID string

// Withdrawal says since when a zone or VM has been out of service.
type Withdrawal struct {
	Revision Revision `cbor:"revision"`
	// At is the log's time of the record.
	At time.Time `cbor:"at"`
}

// Verdict is what became of a publication.
type Verdict struct {
	ID PublicationID `cbor:"id" json:"id"`
	// Accepted says whether it took force.
	Accepted bool `cbor:"accepted" json:"accepted"`
	// Revision is the revision in force after the record.
	Revision Revision `cbor:"revision" json:"revision"`
	// Reason says why it was not accepted.
	Reason string `cbor:"reason" json:"reason,omitempty"`
}

// Configuration is the state in force after the records before Next. It is
// immutable: changes make a new one. The zero value is the empty configuration
// before the first record.
type Configuration struct {
	Next           stream.Offset                    `cbor:"next"`
	Revision       Revision                         `cbor:"revision"`
	Profiles       map[profile.Name]profile.Profile `cbor:"profiles"`
	Services       map[service.Name]service.Service `cbor:"services"`
	WithdrawnZones map[zone.Name]Withdrawal         `cbor:"withdrawn-zones"`
	WithdrawnVMs   map[vm.ID]Withdrawal             `cbor:"withdrawn-vms"`
	Verdicts       []Verdict                        `cbor:"verdicts"`

	routes map[routeKey][]route
}

// maxResults is how many verdicts stay known, newest last.
const maxResults = 256

// Digest is a hash of the whole configuration: equal configurations give equal
// digests on every node.
type Digest uint64

// Digest returns the hash of the configuration.
func (c *Configuration) Digest() Digest {
	return Digest(xxhash.Sum64(codec.Encode(c)))
}

// VerdictOf returns what became of a publication, if it is still known.
func (c *Configuration) VerdictOf(id PublicationID) (v Verdict, ok bool) {
	for _, v := range slices.Backward(c.Verdicts) {
		if v.ID == id {
			return v, true
		}
	}
	return Verdict{}, false
}

// Withdrawn reports whether a VM in a zone is out of service.
func (c *Configuration) Withdrawn(id vm.ID, z zone.Name) bool {
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
	n.Verdicts = slices.Clone(c.Verdicts)
	return &n
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
