package config

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/apricotmount/apricotmount/fault"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// Document is a publication as an operator writes it.
type Document struct {
	// BaseRevision is the revision that the changes are based on; absent means
	// the active revision at the node that receives the document.
	BaseRevision   *uint64            `json:"base,omitempty" yaml:"base,omitempty"`
	Operator       string             `json:"operator,omitempty" yaml:"operator,omitempty"`
	Profiles       []profile.Document `json:"profiles,omitempty" yaml:"profiles,omitempty"`
	Services       []service.Document `json:"services,omitempty" yaml:"services,omitempty"`
	DeleteProfiles []profile.Name     `json:"delete-profiles,omitempty" yaml:"delete-profiles,omitempty"`
	DeleteServices []service.Name     `json:"delete-services,omitempty" yaml:"delete-services,omitempty"`
	WithdrawZones  []zone.Name        `json:"zones-out,omitempty" yaml:"zones-out,omitempty"`
	ReturnZones    []zone.Name        `json:"zones-in,omitempty" yaml:"zones-in,omitempty"`
	WithdrawVMs    []vm.ID            `json:"vms-out,omitempty" yaml:"vms-out,omitempty"`
	ReturnVMs      []vm.ID            `json:"vms-in,omitempty" yaml:"vms-in,omitempty"`
	// Force permits a withdrawal that leaves a service without targets, or with
	// fewer slots than are in use.
	Force bool `json:"force,omitempty" yaml:"force,omitempty"`
}

// TargetCapacity is the capacity and the use of a service's target on one VM.
type TargetCapacity struct {
	Service service.Name
	Zone    zone.Name
	VM      vm.ID
	Slots   int
	// SlotsInUse is the number of calls in flight at the target: those of this
	// node and an estimate of those of the other nodes.
	SlotsInUse float64
}

// Environment is the state outside the configuration that a publication is
// checked against.
type Environment struct {
	Capacities []TargetCapacity
	// LogRetention is how long the log keeps records. The window of idempotency
	// keys must not be longer; zero disables the check.
	LogRetention time.Duration
	// Zones and VMs are those that the platform lists; nil disables the check.
	Zones map[zone.Name]bool
	VMs   map[vm.ID]bool
}

// PreparePublication checks a whole document against the active configuration
// and returns the publication to append. The error is a fault.List.
func PreparePublication(c *Configuration, doc Document, env Environment) (p Publication, err error) {
	var faults fault.List
	p = Publication{ID: PublicationID(uuid.NewString()), BaseRevision: c.Revision, Operator: doc.Operator}
	if doc.BaseRevision != nil {
		p.BaseRevision = Revision(*doc.BaseRevision)
	}
	p.Changes = append(p.Changes, profileChanges(doc, env, &faults)...)
	p.Changes = append(p.Changes, serviceChanges(doc, &faults)...)
	p.Changes = append(p.Changes, deletionChanges(c, doc, &faults)...)
	p.Changes = append(p.Changes, withdrawalChanges(c, doc, env, &faults)...)
	if len(p.Changes) == 0 && len(faults) == 0 {
		faults.Add("document", "changes nothing")
	}
	if len(faults) == 0 {
		checkResultingConfiguration(c, p, doc, env, &faults)
	}
	return p, faults.Err()
}

func profileChanges(doc Document, env Environment, faults *fault.List) (changes []Change) {
	seen := map[profile.Name]bool{}
	for i, d := range doc.Profiles {
		path := fieldPath("profiles", i, string(d.Name))
		p, err := profile.Parse(d)
		faults.AddNested(path, fault.FromError(err))
		if env.LogRetention > 0 && p.KeyWindow > env.LogRetention {
			faults.Add(path+".key-window", "%s is longer than the log keeps records, %s", p.KeyWindow, env.LogRetention)
		}
		if seen[d.Name] {
			faults.Add(path+".name", "%q is given twice", d.Name)
		}
		seen[d.Name] = true
		changes = append(changes, Change{PutProfile: &p})
	}
	return changes
}

func serviceChanges(doc Document, faults *fault.List) (changes []Change) {
	seen := map[service.Name]bool{}
	for i, d := range doc.Services {
		path := fieldPath("services", i, string(d.Name))
		s, err := service.Parse(d)
		faults.AddNested(path, fault.FromError(err))
		if seen[d.Name] {
			faults.Add(path+".name", "%q is given twice", d.Name)
		}
		seen[d.Name] = true
		changes = append(changes, Change{PutService: &s})
	}
	return changes
}

// fieldPath returns the path of a list element for a fault.List: by its name,
// or by its index if it has none.
func fieldPath(list string, i int, name string) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", list, i)
	}
	return list + "." + name
}

func deletionChanges(c *Configuration, doc Document, faults *fault.List) (changes []Change) {
	for _, name := range doc.DeleteServices {
		if _, ok := c.Services[name]; !ok {
			faults.Add("delete-services", "there is no service %q", name)
		}
		changes = append(changes, Change{DeleteService: name})
	}
	for _, name := range doc.DeleteProfiles {
		if _, ok := c.Profiles[name]; !ok {
			faults.Add("delete-profiles", "there is no profile %q", name)
		}
		changes = append(changes, Change{DeleteProfile: name})
	}
	return changes
}

func withdrawalChanges(c *Configuration, doc Document, env Environment, faults *fault.List) (changes []Change) {
	for _, z := range doc.WithdrawZones {
		if env.Zones != nil && !env.Zones[z] {
			faults.Add("zones-out", "the platform lists no VM in availability zone %q", z)
		}
		changes = append(changes, Change{WithdrawZone: z})
	}
	for _, z := range doc.ReturnZones {
		if _, isWithdrawn := c.WithdrawnZones[z]; !isWithdrawn {
			faults.Add("zones-in", "availability zone %q is not out of service", z)
		}
		changes = append(changes, Change{ReturnZone: z})
	}
	for _, id := range doc.WithdrawVMs {
		if env.VMs != nil && !env.VMs[id] {
			faults.Add("vms-out", "the platform does not list VM %q", id)
		}
		changes = append(changes, Change{WithdrawVM: id})
	}
	for _, id := range doc.ReturnVMs {
		if _, isWithdrawn := c.WithdrawnVMs[id]; !isWithdrawn {
			faults.Add("vms-in", "VM %q is not out of service", id)
		}
		changes = append(changes, Change{ReturnVM: id})
	}
	return changes
}

// checkResultingConfiguration checks the configuration that a publication would
// produce.
func checkResultingConfiguration(c *Configuration, p Publication, doc Document, env Environment, faults *fault.List) {
	next := c.clone()
	next.applyChanges(&p, time.Time{})
	for _, s := range next.Services {
		if _, ok := next.Profiles[s.Profile]; !ok {
			faults.Add("services."+string(s.Name)+".profile", "there is no profile %q", s.Profile)
		}
	}
	checkOverlap(next, faults)
	if !doc.Force && (len(doc.WithdrawZones) > 0 || len(doc.WithdrawVMs) > 0) {
		checkCapacity(next, env, faults)
	}
}

// checkOverlap adds a fault for two services with the same host and path
// prefix.
func checkOverlap(c *Configuration, faults *fault.List) {
	type match struct{ host, prefix string }
	owner := map[match]service.Name{}
	for _, s := range c.Services {
		m := match{s.Host, s.PathPrefix}
		if other, taken := owner[m]; taken {
			first, second := min(other, s.Name), max(other, s.Name)
			faults.Add("services."+string(second)+".path-prefix", "matches the same calls as service %q", first)
		}
		owner[m] = s.Name
	}
}

// checkCapacity adds a fault for each service that would have no targets left,
// or fewer slots than are in use. It is not called if Document.Force is set.
func checkCapacity(next *Configuration, env Environment, faults *fault.List) {
	type slotTotals struct {
		before, after int
		inUse         float64
	}
	totalsByService := map[service.Name]*slotTotals{}
	for _, capacity := range env.Capacities {
		totals := totalsByService[capacity.Service]
		if totals == nil {
			totals = &slotTotals{}
			totalsByService[capacity.Service] = totals
		}
		totals.before += capacity.Slots
		totals.inUse += capacity.SlotsInUse
		if !next.IsWithdrawn(capacity.VM, capacity.Zone) {
			totals.after += capacity.Slots
		}
	}
	for name, totals := range totalsByService {
		switch {
		case totals.after == 0 && totals.before > 0:
			faults.Add("force", "is needed: service %q would have no targets left", name)
		case float64(totals.after) < totals.inUse:
			faults.Add("force", "is needed: service %q uses %.0f slots and would have %d left", name, totals.inUse, totals.after)
		}
	}
}
