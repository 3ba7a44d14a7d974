package reach

import (
	"context"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// minSilentTargets is the number of targets that must have failed to respond, or all
	// targets of a service that has fewer. A node that reaches half of the targets would
	// rarely choose so many others in a row.
	minSilentTargets = 6
	// minSilence is the time without any response after which a path counts as lost. Other
	// targets that were asked at the same time have responded by then.
	minSilence = 300 * time.Millisecond
)

// Failure is an exchange with a target that ended without a response.
type Failure struct {
	Service service.Name
	Target  vm.ID
	// TargetCount is the number of targets of the service.
	TargetCount int
	// StartedAt is when the exchange began: a response of another target since then shows
	// that there was a path.
	StartedAt time.Time
}

// Change is a path that was lost or is back.
type Change struct {
	Service service.Name
	IsLost  bool
	// SilentTargets are the targets that failed to respond, and LastResponseAt is when the
	// last one of the service responded; zero if none has.
	SilentTargets  []vm.ID
	LastResponseAt time.Time
}

// Watch holds what a node has seen of its paths. Its zero value has no failure and is
// ready to use; its methods are safe for concurrent use.
type Watch struct {
	mu       sync.Mutex
	services map[service.Name]*path
	// lastResponseAt is when any target last responded.
	lastResponseAt time.Time
}

// path is what was seen of the targets of one service.
type path struct {
	lastResponseAt time.Time
	// silentSince maps each target that failed to respond since lastResponseAt to the
	// start of its first failed exchange.
	silentSince map[vm.ID]time.Time
	targetCount int
	isLost      bool
	// lost is done while the path is lost, and setLost makes it so.
	lost    context.Context
	setLost context.CancelFunc
}

func newPath() *path {
	p := &path{silentSince: map[vm.ID]time.Time{}}
	p.lost, p.setLost = context.WithCancel(context.Background())
	return p
}

// pathTo returns the path to a service. w.mu must be held.
func (w *Watch) pathTo(s service.Name) *path {
	p := w.services[s]
	if p != nil {
		return p
	}
	if w.services == nil {
		w.services = map[service.Name]*path{}
	}
	p = newPath()
	w.services[s] = p
	return p
}

// RecordResponse records that a target of a service responded. It returns the change if that
// ends the loss of the path.
func (w *Watch) RecordResponse(s service.Name, now time.Time) (changes []Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pathTo(s)
	w.lastResponseAt, p.lastResponseAt = now, now
	clear(p.silentSince)
	if !p.isLost {
		return nil
	}
	p.isLost = false
	p.lost, p.setLost = context.WithCancel(context.Background())
	return []Change{{Service: s, LastResponseAt: now}}
}

// RecordFailure records an exchange that ended without a response, and returns the paths that
// are lost by that.
func (w *Watch) RecordFailure(f Failure, now time.Time) (changes []Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pathTo(f.Service)
	p.targetCount = f.TargetCount
	if f.StartedAt.Before(p.lastResponseAt) {
		return nil
	}
	if _, known := p.silentSince[f.Target]; !known {
		p.silentSince[f.Target] = f.StartedAt
	}
	return w.check(now)
}

// Check returns the paths that are lost by now.
func (w *Watch) Check(now time.Time) (changes []Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.check(now)
}

// check marks the paths that are lost and returns them. w.mu must be held.
func (w *Watch) check(now time.Time) (changes []Change) {
	isAllSilent := w.isAllSilent(now)
	for s, p := range w.services {
		if p.isLost || !p.isSilent(now) && !isAllSilent {
			continue
		}
		p.isLost = true
		p.setLost()
		change := Change{Service: s, IsLost: true, LastResponseAt: p.lastResponseAt}
		for id := range p.silentSince {
			change.SilentTargets = append(change.SilentTargets, id)
		}
		changes = append(changes, change)
	}
	return changes
}

// isInDoubt reports whether enough targets of one service have been silent.
func (p *path) isInDoubt() bool {
	return len(p.silentSince) >= max(1, min(minSilentTargets, p.targetCount))
}

// isSilent reports whether they have been for long enough.
func (p *path) isSilent(now time.Time) bool {
	return p.isInDoubt() && now.Sub(earliest(p.silentSince)) >= minSilence
}

// isAllSilent reports whether targets of several services have been silent, and no target of
// any service has responded since. A service with few calls shows little by itself. w.mu must
// be held.
func (w *Watch) isAllSilent(now time.Time) bool {
	targetCount, serviceCount := 0, 0
	var since time.Time
	for _, p := range w.services {
		if len(p.silentSince) == 0 {
			continue
		}
		serviceCount++
		targetCount += len(p.silentSince)
		if first := earliest(p.silentSince); since.IsZero() || first.Before(since) {
			since = first
		}
	}
	return serviceCount > 1 && targetCount >= minSilentTargets && now.Sub(since) >= minSilence && w.lastResponseAt.Before(since)
}

func earliest(times map[vm.ID]time.Time) (first time.Time) {
	for _, at := range times {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// IsLost reports whether the path to the targets of a service is lost.
func (w *Watch) IsLost(s service.Name) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.services[s]
	return p != nil && p.isLost
}

// IsInDoubt reports whether the path is lost, or may be found to be so shortly.
func (w *Watch) IsInDoubt(s service.Name) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.services[s]
	return p != nil && (p.isLost || p.isInDoubt())
}

// Lost returns a context that is done while the path to a service is lost.
func (w *Watch) Lost(s service.Name) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pathTo(s).lost
}

// Doubtful returns the services of which targets failed to respond and none has responded
// since.
func (w *Watch) Doubtful() (names []service.Name) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s, p := range w.services {
		if p.isLost || len(p.silentSince) > 0 {
			names = append(names, s)
		}
	}
	return names
}

// ServicePath is the path to the targets of one service; it implements dispatch.Path.
type ServicePath struct {
	Watch   *Watch
	Service service.Name
}

// IsLost reports whether the path is lost.
func (p ServicePath) IsLost() bool { return p.Watch.IsLost(p.Service) }

// IsInDoubt reports whether the path is lost, or may be found to be so shortly.
func (p ServicePath) IsInDoubt() bool { return p.Watch.IsInDoubt(p.Service) }

// Lost returns a context that is done while the path is lost.
func (p ServicePath) Lost() context.Context { return p.Watch.Lost(p.Service) }

// LostCount returns the number of services to whose targets the path is lost.
func (w *Watch) LostCount() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.services {
		if p.isLost {
			n++
		}
	}
	return n
}

// Forget drops what was seen of a service that is no longer used.
func (w *Watch) Forget(s service.Name) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.services, s)
}
