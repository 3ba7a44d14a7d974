package target

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/quota"
	"github.com/apricotmount/apricotmount/routing"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// Settings configures a Table; zero values select the defaults.
type Settings struct {
	// Chooser selects a target when load queries are disabled. Default
	// routing.LeastLoad.
	Chooser routing.Chooser
	// Zone is the availability zone of the node.
	Zone zone.Name
	// ColdStartLeases holds the node's cold-start leases. Default none.
	ColdStartLeases ColdStartLeases
	// Checks counts violated invariants.
	Checks *invariant.Checker
	// OnChange, if set, is called for each change of a target. The table is
	// locked during the call, so OnChange must not call it.
	OnChange func(ref Ref, kind Change)
	// OnLimitChange, if set, is called when a target's rate limit begins, changes or
	// ends, and for an unreadable one. The table is locked during the call.
	OnLimitChange func(c LimitChange)
	// OnUnknownHeader, if set, is called once for each header of the protocol that
	// responses carry and this version does not know. The table is locked during the call.
	OnUnknownHeader func(ref Ref, name string)
	// LoadQuery, unless zero, makes choices use forecasts from load queries.
	LoadQuery LoadQuerySettings
	// OnFinish, if set, is called for each attempt that has ended. It must not block.
	OnFinish func(a FinishedAttempt)
	// ListIsAuthoritative removes a target as soon as it is missing from the
	// list.
	ListIsAuthoritative bool
	// Quota divides what targets with a rate limit take among the nodes of the fleet.
	// Default that of a fleet of one node.
	Quota *quota.Limiter
	// ActualInFlight, if set, returns the actual number of calls open at a
	// target. No node has this information; simulations set it for
	// routing.Oracle.
	ActualInFlight func(id vm.ID) int
	// Seed seeds the random number generator of choices. Default random.
	Seed uint64
}

// Change is the kind of a change of a target that Settings.OnChange receives.
type Change uint8

// The kinds of changes.
const (
	// StateChanged: the state changed, other than between Unverified and Live.
	StateChanged Change = iota
	// VerificationChanged: the state changed between Unverified and Live. Peers
	// need not be notified.
	VerificationChanged
	// InstanceChanged: a new process serves at the target's address.
	InstanceChanged
	// TargetEjected: the target was ejected.
	TargetEjected
	// TargetReinstated: the trial after an ejection succeeded.
	TargetReinstated
	// EjectionSkipped: an ejection was skipped because more than half of the
	// targets would be ejected.
	EjectionSkipped
	// ListIncomplete: the list seems incomplete. The Ref names only the
	// service.
	ListIncomplete
	// TargetLeaving: the target itself said that it is about to stop.
	TargetLeaving
	// TargetBackedOff: the target asked for a time without requests.
	TargetBackedOff
)

const (
	// othersMaxAge is the age at which a report of other nodes' load has no
	// weight.
	othersMaxAge = 200 * time.Millisecond
	// ejectAfterFailures is the number of consecutive failures that ejects a
	// target.
	ejectAfterFailures = 3
	// baseEjectionPeriod and maxEjectionPeriod bound an ejection before jitter,
	// which adds up to the same time again.
	baseEjectionPeriod = time.Second
	maxEjectionPeriod  = 30 * time.Second
	// trialResponses is the number of successful responses that end the trial
	// of a target after its ejection.
	trialResponses = 3
	// unlistedGracePeriod is how long a target that is missing from the list
	// stays in use.
	unlistedGracePeriod = 60 * time.Second
	// averageWeight is the weight of one sample in the exponential moving
	// averages of latency, failure rate and other nodes' load.
	averageWeight = 0.1
	// avgLoadWeight is the weight of one choice in the moving average of the
	// load.
	avgLoadWeight = 0.005
	// openLatencyFactor is the multiple of the service's average latency from
	// which the age of open attempts indicates slowness.
	openLatencyFactor = 2.0
	// statsMaxAge is the age at which a target's latency and failure rate have
	// no weight: a target that gets no calls must not be avoided forever.
	statsMaxAge = 2 * time.Second
	// maxSlowness is the upper bound of the slowness of a target.
	maxSlowness = 16.0
	// failurePenalty, times the failure rate above the service's average, is
	// added to the slowness of a target and is the relative increase of its
	// forecast.
	failurePenalty = 8.0
)

// Table holds the targets of one service as one node sees them. Its methods are
// safe for concurrent use.
type Table struct {
	settings Settings

	mu      sync.Mutex
	svc     service.Service
	entries []*entry
	byID    map[vm.ID]*entry
	// listIncomplete reports whether the last list seemed incomplete.
	listIncomplete bool
	loadChanged    chan struct{}
	// subsetSize is the number of preferred targets; zero means all.
	subsetSize int
	// candidates are the candidates of the current choice, eligible their
	// entries in the same order; both are reused.
	candidates []routing.Candidate
	eligible   []*entry
	// ranked is reused by markPreferred.
	ranked []*entry
	rng    *rand.Rand
	// unknownHeaders holds the headers that were passed to Settings.OnUnknownHeader.
	unknownHeaders map[string]bool
	// epoch is the first time passed to the table; ticks count from it.
	epoch time.Time
	// avgLatencySeconds, failureRate and avgOthersInFlight are moving averages
	// over all targets of the service.
	avgLatencySeconds float64
	// baselineSeconds is the baseline service time: the average latency of a
	// call at a target of normal speed with a free slot. Zero before the first
	// sample.
	baselineSeconds     float64
	baselineSampleCount int
	failureRate         float64
	avgOthersInFlight   float64
	// avgLoad is the moving average of open calls per slot.
	avgLoad float64
}

// NewTable returns an empty table.
func NewTable(svc service.Service, settings Settings) *Table {
	if settings.Chooser == nil {
		settings.Chooser = routing.LeastLoad{}
	}
	if settings.ColdStartLeases == nil {
		settings.ColdStartLeases = noLeases{}
	}
	if settings.Quota == nil {
		settings.Quota = &quota.Limiter{}
	}
	if settings.Seed == 0 {
		settings.Seed = rand.Uint64()
	}
	return &Table{svc: svc, settings: settings, byID: map[vm.ID]*entry{}, rng: rand.New(rand.NewPCG(settings.Seed, settings.Seed))}
}

// toTick converts a time to a tick. t.mu must be held.
func (t *Table) toTick(now time.Time) tick {
	if t.epoch.IsZero() {
		// The first tick is 1, since 0 means no time.
		t.epoch = now.Add(-1)
	}
	return max(1, tick(now.Sub(t.epoch)))
}

// SetService replaces the parameters of the service.
func (t *Table) SetService(svc service.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.svc = svc
}

// find returns the entry of a VM, or nil. t.mu must be held.
func (t *Table) find(id vm.ID) *entry {
	return t.byID[id]
}

// notifyChange calls Settings.OnChange, if set. t.mu must be held.
func (t *Table) notifyChange(e *entry, kind Change) {
	if t.settings.OnChange != nil {
		t.settings.OnChange(e.ref, kind)
	}
}

// Counts is the number of targets: Total counts all, Available those that
// accept work and are neither ejected nor in cold start, Cold those in cold
// start that accept work and are not ejected, Limited those with a rate limit.
type Counts struct {
	Total, Available, Cold, Limited int
}

// Counts returns the current numbers of targets.
func (t *Table) Counts(now time.Time) (c Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		c.Total++
		if e.limit.inForce() {
			c.Limited++
		}
		if !e.acceptsWork() || t.toTick(now) < e.ejectedUntil {
			continue
		}
		if e.state == Cold {
			c.Cold++
			continue
		}
		c.Available++
	}
	return c
}

// Incarnation returns the incarnation of a listed VM; zero if unknown.
func (t *Table) Incarnation(id vm.ID) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.find(id); e != nil {
		return e.incarnation
	}
	return 0
}

// Sample returns at most n targets, chosen at random, that accept work and have not asked for
// a time without requests.
func (t *Table) Sample(n int, now time.Time) (refs []Ref) {
	t.mu.Lock()
	defer t.mu.Unlock()
	nowTick := t.toTick(now)
	for _, i := range t.rng.Perm(len(t.entries)) {
		e := t.entries[i]
		if len(refs) == n {
			break
		}
		if e.acceptsWork() && nowTick >= e.backOffUntil {
			refs = append(refs, e.ref)
		}
	}
	return refs
}

// View is a snapshot of one target for operators and peers.
type View struct {
	Ref      Ref
	Instance Instance
	// State is Leaving if the platform's list marks the VM as leaving.
	State          State
	IsWithdrawn    bool
	IsEjected      bool
	OwnInFlight    int
	OthersInFlight float64
	Slowness       float64
	ServedCount    int64
	// LastResponseAt is when the target last responded.
	LastResponseAt time.Time
}

// Views returns a snapshot of all targets, ordered by VM ID.
func (t *Table) Views(now time.Time) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	views := make([]View, 0, len(t.entries))
	for _, e := range t.entries {
		state := e.state
		if e.listedLeaving || e.saidLeaving {
			state = Leaving
		}
		views = append(views, View{
			Ref: e.ref, Instance: e.instance, State: state, IsWithdrawn: e.withdrawn,
			IsEjected: t.toTick(now) < e.ejectedUntil, OwnInFlight: e.ownInFlight, OthersInFlight: t.estimateOthersInFlight(e, t.toTick(now)),
			Slowness: t.slowness(e, t.toTick(now)), ServedCount: e.servedCount, LastResponseAt: e.lastResponseAt,
		})
	}
	return views
}
