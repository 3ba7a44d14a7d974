package tenant

import (
	"crypto/rand"
	"crypto/sha256"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/fault"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/quota"
)

// Name is the name of a tenant.
type Name string

// Tenant is a group of callers that share API keys. It is immutable.
type Tenant struct {
	Name Name
	// Urgency replaces that of the calls' profiles if HasUrgency is set.
	Urgency    profile.Urgency
	HasUrgency bool
	// Quota bounds the tenant's calls over the whole fleet.
	Quota quota.Limit
}

// Config is a tenant with its keys as an operator configures it.
type Config struct {
	Tenant
	Keys []string
}

const (
	// maxKeyBytes is the maximum length of a key.
	maxKeyBytes = 256
	saltBytes   = 16
)

// salt makes the digests of each process different.
var salt = newSalt()

func newSalt() (s [saltBytes]byte) {
	// Read never returns an error.
	_, _ = rand.Read(s[:])
	return s
}

type digest [sha256.Size]byte

// digestOf returns the digest of a key that is not too long.
func digestOf(key string) digest {
	var buf [saltBytes + maxKeyBytes]byte
	n := copy(buf[:], salt[:])
	n += copy(buf[n:], key)
	return sha256.Sum256(buf[:n])
}

// Directory finds tenants by their keys. A nil *Directory has none. It is immutable.
type Directory struct {
	byDigest map[digest]*Tenant
	byName   map[Name]*Tenant
}

// NewDirectory returns the directory of the configured tenants; nil without any. It adds to
// faults each missing, repeated or shared name and key, by its index and never by its text.
func NewDirectory(configs []Config, faults *fault.List) *Directory {
	if len(configs) == 0 {
		return nil
	}
	d := &Directory{byDigest: map[digest]*Tenant{}, byName: map[Name]*Tenant{}}
	for i := range configs {
		c := &configs[i]
		if c.Name == "" {
			faults.Add(field(i, "name"), "is missing")
		}
		if d.byName[c.Name] != nil {
			faults.Add(field(i, "name"), "%q is the name of another tenant", c.Name)
		}
		d.byName[c.Name] = &c.Tenant
		d.addKeys(i, c, faults)
	}
	return d
}

// addKeys adds the keys of the tenant with index i.
func (d *Directory) addKeys(i int, c *Config, faults *fault.List) {
	for j, key := range c.Keys {
		name := keyField(i, j)
		if key == "" || len(key) > maxKeyBytes {
			faults.Add(name, "is empty or longer than %d bytes", maxKeyBytes)
			continue
		}
		digest := digestOf(key)
		if other := d.byDigest[digest]; other != nil && other.Name != c.Name {
			faults.Add(name, "is also a key of tenant %q", other.Name)
			continue
		}
		d.byDigest[digest] = &c.Tenant
	}
}

// Find returns the tenant that holds a key, or nil.
func (d *Directory) Find(key string) *Tenant {
	if d == nil || len(key) > maxKeyBytes {
		return nil
	}
	return d.byDigest[digestOf(key)]
}

// Named returns the tenant with a name, Anonymous if there is none.
func (d *Directory) Named(name Name) *Tenant {
	if t := d.byName[name]; t != nil && name != "" {
		return t
	}
	return Anonymous
}

// ErrUnknownKey is returned for a call whose key no tenant holds, or that has none.
var ErrUnknownKey = eris.New("the key is unknown or missing")

// FindOne returns the tenant of a call that carries the given keys, of which there must be
// exactly one.
func (d *Directory) FindOne(keys []string) (*Tenant, error) {
	if len(keys) != 1 {
		return nil, ErrUnknownKey
	}
	if t := d.Find(keys[0]); t != nil {
		return t, nil
	}
	return nil, ErrUnknownKey
}
