package canary

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/rollout"
	"github.com/apricotmount/apricotmount/service"
)

// faultyStore holds one status. It loses responses, executes writes late, and refuses calls
// at random.
type faultyStore struct {
	// ignoresEnd accepts every write: the mutation that the check must catch.
	ignoresEnd bool

	mu      sync.Mutex
	rng     *rand.Rand
	end     StatusEnd
	newest  Status
	results []rollout.Phase
}

var errStore = eris.New("no response")

func (f *faultyStore) ReadStatus(context.Context, service.Name) (Status, StatusEnd, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rng.IntN(4) == 0 {
		return Status{}, 0, errStore
	}
	return f.newest, f.end, nil
}

func (f *faultyStore) WriteStatus(_ context.Context, s Status, end StatusEnd) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.rng.IntN(4) {
	case 0:
		return errStore
	case 1:
		// The response is lost, and the write is executed later if its condition still
		// holds.
		time.AfterFunc(time.Duration(f.rng.IntN(20))*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_ = f.append(s, end)
		})
		return errStore
	}
	return f.append(s, end)
}

// append appends a status. f.mu must be held.
func (f *faultyStore) append(s Status, end StatusEnd) error {
	if end != f.end && !f.ignoresEnd {
		return ErrConflict
	}
	f.end++
	f.newest = s
	if s.Phase.IsFinal() {
		f.results = append(f.results, s.Phase)
	}
	return nil
}

// raceDeciders lets several nodes decide about one order, some for a success and some for a
// rollback, and returns all results that the store accepted.
func raceDeciders(seed uint64, ignoresEnd bool) []rollout.Phase {
	store := &faultyStore{rng: rand.New(rand.NewPCG(seed, 1)), ignoresEnd: ignoresEnd}
	order := rollout.Order{ID: rollout.OrderID{Offset: 1}, Service: "a", Version: "v2", Duration: time.Second}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var deciders sync.WaitGroup
	for i := range 4 {
		deciders.Go(func() {
			x := NewExchange(&peer.Hub{}, Settings{
				Store: store, IsReader: func() bool { return true }, IsLinked: func() bool { return true }, OnChange: func() {},
				Logger: zap.NewNop(), Metrics: metrics.NewRollouts(metrics.NewDiscardRegistry().Scope),
			})
			s := x.Service("a")
			s.SetOrder(&order, rollout.Fleet{CallTimeout: -time.Second, NodeCount: 4}, time.Now())
			s.Advance(order.ID, rollout.Moving, time.Time{}, time.Now().Add(-time.Minute))
			if i%2 == 0 {
				s.Advance(order.ID, rollout.Stopped, time.Time{}, time.Now())
			}
			d := &decider{exchange: x, written: map[rollout.OrderID]bool{}}
			for ctx.Err() == nil {
				state, _ := s.State()
				if state.Phase.IsFinal() {
					return
				}
				d.step(ctx, s, state)
			}
		})
	}
	deciders.Wait()
	time.Sleep(25 * time.Millisecond)
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.results
}

const decisionRaces = 24

// Guards against two results for one order when several nodes decide at a time, and
// writes are lost, late or refused.
func TestOrderHasOneResult(t *testing.T) {
	var races sync.WaitGroup
	for seed := range uint64(decisionRaces) {
		races.Go(func() {
			if got := raceDeciders(seed, false); len(got) != 1 {
				t.Errorf("seed %d: results: got %v, want one", seed, got)
			}
		})
	}
	races.Wait()
}

// The check above must fail for a store that does not compare the end of the topic.
func TestOrderHasSeveralResultsWithoutCondition(t *testing.T) {
	var races sync.WaitGroup
	var mu sync.Mutex
	several := 0
	for seed := range uint64(decisionRaces) {
		races.Go(func() {
			if len(raceDeciders(seed, true)) > 1 {
				mu.Lock()
				several++
				mu.Unlock()
			}
		})
	}
	races.Wait()
	if several == 0 {
		t.Errorf("races with several results: got none of %d, want some", decisionRaces)
	}
}
