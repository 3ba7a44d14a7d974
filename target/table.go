package target

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/routing"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// Settings of a Table; zero values mean the defaults.
type Settings struct {
	// Chooser is the method of choice. Default routing.LeastLoad.
	Chooser routing.Chooser
	// Zone is the node's own availability zone.
	Zone zone.Name
	// Rights tells of cold targets this node may send to. Default none.
	Rights Rights
	// Checks is told of broken promises.
	Checks *invariant.Checks
	// Noted, if set, is told of state changes worth an event, with the lock held.
	Noted func(ref Ref, kind Note)
	// Sight, unless zero, makes choices by forecast from reports that are asked
	// for right before.
	Sight Sight
	// TrustList drops a target as soon as the list lacks it.
	TrustList bool
	// Truth, if set, tells how many calls are really open at a target. No node
	// can know that; measurements set it for the exact baseline.
	Truth func(id vm.ID) int
	// Seed starts the random numbers of the choice. Default random.
	Seed uint64
}

// Note is a change of a target worth an event.
type Note uint8

// The notes.
const (
	NoteState Note = iota
	// NoteVerified is a change between unverified and live, which is not worth
	// telling others.
	NoteVerified
	NoteInstance
	NoteEjected
	NoteReturned
	NoteMostFailing
	NoteListIncomplete
)

const (
	// othersLifetime is the age at which a report of others' load counts nothing.
	othersMaxAge = 200 * time.Millisecond
	// ejectAfter is how many failures in a row make a target bad.
	ejectAfterFailures = 3
	// ejectBase and ejectMax bound how long a bad target gets no work.
	baseEjectionPeriod = time.Second
	maxEjectionPeriod  = 30 * time.Second
	// trialAnswers is how many answers end the trial of a returned target.
	trialResponses = 3
	// unlistedGrace is how long a target that the list lacks stays in use.
	unlistedGracePeriod = 60 * time.Second
	// latencyWeight is the weight of one answer in the moving averages.
	averageWeight = 0.1
	// loadWeight is the weight of one choice in the average load.
	avgLoadWeight = 0.005
	// openPatience is how many usual latencies an open attempt may take before
	// it counts as slowness.
	openLatencyFactor = 2.0
	// judgementLifetime is the age at which what finished calls said of a target
	// counts nothing: one that gets no calls must not stay avoided.
	statsMaxAge = 2 * time.Second
	// maxSlowness bounds the slowness of a target.
	maxSlowness = 16.0
	// failurePenalty is the slowness of a target that always fails.
	failurePenalty = 8.0
)

// Table holds the targets of one service as one node sees them. All methods
// may be called from any goroutine.
type Table struct {
	settings Settings

	mu             sync.Mutex
	svc            service.Service
	entries        []*entry
	byID           map[vm.ID]*entry
	listIncomplete bool
	loadChanged    chan struct{}
	candidates     []routing.Candidate
	eligible       []*entry
	rng            *rand.Rand
	// made is the first instant the table was told of.
	epoch             time.Time
	avgLatencySeconds float64
	// work is the average time of one call at usual pace with a slot free, in
	// seconds.
	baselineSeconds   float64
	baselineSamples   int
	failureRate       float64
	avgOthersInFlight float64
	avgLoad           float64
}

// NewTable returns an empty table.
func NewTable(svc service.Service, settings Settings) *Table {
	if settings.Chooser == nil {
		settings.Chooser = routing.LeastLoad{}
	}
	if settings.Rights == nil {
		settings.Rights = noLeases{}
	}
	if settings.Seed == 0 {
		settings.Seed = rand.Uint64()
	}
	return &Table{svc: svc, settings: settings, byID: map[vm.ID]*entry{}, rng: rand.New(rand.NewPCG(settings.Seed, settings.Seed))}
}

// tick returns an instant as a tick. The lock must be held.
func (t *Table) toTick(now time.Time) tick {
	if t.epoch.IsZero() {
		t.epoch = now
	}
	return max(1, tick(now.Sub(t.epoch)))
}

// SetService takes changed values of the service.
func (t *Table) SetService(svc service.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.svc = svc
}

// SetList takes the platform's list: the VMs of this service.
func (t *Table) SetList(now time.Time, list []vm.VM, withdrawn func(vm.ID, zone.Name) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[vm.ID]bool, len(list))
	for _, v := range list {
		listed[v.ID] = true
		t.upsertListed(v)
	}
	incomplete := t.updateListIncomplete(listed)
	t.removeWhere(func(e *entry) bool { return !listed[e.ref.ID] && t.shouldRemoveUnlisted(e, now) && !incomplete })
	for _, e := range t.entries {
		if listed[e.ref.ID] {
			e.unlistedSince = time.Time{}
		}
		e.withdrawn = withdrawn(e.ref.ID, e.ref.Zone)
	}
	slices.SortFunc(t.entries, func(a, b *entry) int { return strings.Compare(string(a.ref.ID), string(b.ref.ID)) })
}

// drop forgets the targets that are unwanted. The lock must be held.
func (t *Table) removeWhere(remove func(e *entry) bool) {
	t.entries = slices.DeleteFunc(t.entries, func(e *entry) bool {
		if !remove(e) {
			return false
		}
		delete(t.byID, e.ref.ID)
		return true
	})
}

// listIncomplete reports whether a list lacks most of the targets that this node
// knows, some of which answer: then the list is doubted, and what it lacks stays
// in use. The lock must be held.
func (t *Table) updateListIncomplete(listed map[vm.ID]bool) bool {
	missingCount, respondingCount := 0, 0
	for _, e := range t.entries {
		if listed[e.ref.ID] {
			continue
		}
		missingCount++
		if e.consecutiveFailures == 0 && !e.lastResponseAt.IsZero() {
			respondingCount++
		}
	}
	incomplete := !t.settings.TrustList && 2*missingCount > len(t.entries) && 2*respondingCount > missingCount
	if incomplete && !t.listIncomplete {
		t.notifyChange(&entry{ref: Ref{Service: t.svc.Name}}, NoteListIncomplete)
	}
	t.listIncomplete = incomplete
	return incomplete
}

// takeListed adds or renews the entry of a listed VM. The lock must be held.
func (t *Table) upsertListed(v vm.VM) {
	e := t.find(v.ID)
	if e == nil {
		// A new VM on the address of an old one puts an end to the old one.
		t.removeWhere(func(old *entry) bool { return old.ref.Address == v.Address })
		e = &entry{ref: Ref{ID: v.ID, Service: t.svc.Name, Address: v.Address, Zone: v.Zone}, sameZone: v.Zone == t.settings.Zone}
		t.entries = append(t.entries, e)
		t.byID[v.ID] = e
	}
	e.listedLeaving = v.State == vm.StateLeaving
	e.slots = v.Slots
}

// unlistedFor reports whether a target has been missing from the list for so
// long that it is dropped. The lock must be held.
func (t *Table) shouldRemoveUnlisted(e *entry, now time.Time) bool {
	if e.unlistedSince.IsZero() {
		e.unlistedSince = now
	}
	if t.settings.TrustList {
		return true
	}
	unlistedFor := now.Sub(e.unlistedSince)
	if unlistedFor >= unlistedGracePeriod {
		return true
	}
	return e.ownInFlight == 0 && e.consecutiveFailures >= ejectAfterFailures
}

// SetWithdrawn takes what operators have out of service.
func (t *Table) SetWithdrawn(withdrawn func(vm.ID, zone.Name) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		e.withdrawn = withdrawn(e.ref.ID, e.ref.Zone)
	}
}

// find returns the entry of a VM, or nil. The lock must be held.
func (t *Table) find(id vm.ID) *entry {
	return t.byID[id]
}

func (t *Table) notifyChange(e *entry, kind Note) {
	if t.settings.Noted != nil {
		t.settings.Noted(e.ref, kind)
	}
}

// Counts says how many targets a service has and how many take work.
type Counts struct {
	Known, Open, Cold int
}

// Counts returns the numbers of targets by what they take.
func (t *Table) Counts(now time.Time) (c Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		c.Known++
		if !e.acceptsWork() || t.toTick(now) < e.ejectedUntil {
			continue
		}
		if e.state == Cold {
			c.Cold++
			continue
		}
		c.Open++
	}
	return c
}

// View is what the table holds of one target, for operators and peers.
type View struct {
	Ref       Ref
	Instance  Instance
	State     State
	Withdrawn bool
	Ejected   bool
	Own       int
	Others    float64
	Slowness  float64
	Served    int64
	// Heard is when the target last answered.
	Heard time.Time
}

// Views returns what the table holds, ordered by VM.
func (t *Table) Views(now time.Time) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	views := make([]View, 0, len(t.entries))
	for _, e := range t.entries {
		state := e.state
		if e.listedLeaving {
			state = Leaving
		}
		views = append(views, View{
			Ref: e.ref, Instance: e.instance, State: state, Withdrawn: e.withdrawn,
			Ejected: t.toTick(now) < e.ejectedUntil, Own: e.ownInFlight, Others: t.estimateOthers(e, t.toTick(now)),
			Slowness: t.slowness(e, t.toTick(now)), Served: e.servedCount, Heard: e.lastResponseAt,
		})
	}
	return views
}
