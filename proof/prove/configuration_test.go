package prove

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/stream"
)

// configuration lets operators race through several nodes while the log fails,
// records expire, nodes are replaced, and peers hand each other what they have.
var configuration = scenario{
	name:      "configuration",
	play:      playConfiguration,
	mutations: []mutation{"log-tells-nodes-apart", "reply-without-looking"},
}

// follower is one node's view of the configuration.
type follower struct {
	state  *config.State
	checks *invariant.Checker
	cancel context.CancelFunc
	caught *stream.Follower
	latest config.Revision
}

// lyingLog drops some publications for one reader: nodes no longer read the
// same stream.
type lyingLog struct {
	stream.Log
}

func (l lyingLog) Read(ctx context.Context, name stream.Name, from stream.Offset, most int, wait time.Duration) (stream.Batch, error) {
	b, err := l.Log.Read(ctx, name, from, most, wait)
	for i := range b.Records {
		if b.Records[i].Offset%3 == 1 {
			b.Records[i].Payload = []byte("gone")
		}
	}
	return b, err
}

func newFollower(log stream.Log) *follower {
	f := &follower{checks: &invariant.Checker{}}
	f.state = &config.State{Checks: f.checks}
	f.caught = &stream.Follower{Log: log, Name: config.Stream, Applier: f.state}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.caught.Run(ctx)
	return f
}

// history is what operators were told, for the checker.
type published struct {
	base config.Revision
}

type told struct {
	accepted, determined bool
	revision             config.Revision
}

// publicationModel: a publication takes force if its base is the revision in
// force, and is overtaken otherwise.
var publicationModel = porcupine.Model{
	Init: func() any { return config.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(config.Revision), input.(published), output.(told)
		if !out.determined {
			// It may have taken force or not; the branch that did is kept by the
			// revisions that others are told.
			return true, now
		}
		if out.accepted {
			return in.base == now && out.revision == now+1, now + 1
		}
		return in.base != now, now
	},
}

func playConfiguration(r *run, m mutation) {
	log := &standin.Log{Retention: 3 * time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	go r.breakLog(ctx, log, 20*time.Second, 15*time.Second)
	all := &archive{log: log}
	go all.run(ctx)
	nodes := make([]*follower, 3+r.rng.IntN(4))
	for i := range nodes {
		nodes[i] = newFollower(log)
	}
	if m == "log-tells-nodes-apart" {
		nodes[0].cancel()
		nodes[0] = newFollower(lyingLog{log})
	}
	ops := &operators{r: r, log: log, mutation: m}
	for step := range 60 {
		time.Sleep(r.between(50*time.Millisecond, 5*time.Second))
		switch r.rng.IntN(6) {
		case 0, 1:
			ops.race(nodes, step)
		case 2:
			i := r.rng.IntN(len(nodes))
			r.fault("node-replaced")
			nodes[i].cancel()
			nodes[i] = newFollower(log)
		case 3:
			exchange(r, nodes)
		case 4:
			snapshot(nodes[r.rng.IntN(len(nodes))], log)
		case 5:
			r.fault("old-peer")
			ops.offerOld(nodes)
		}
		look(r, nodes)
	}
	cancel()
	time.Sleep(40 * time.Second)
	snapshot(freshest(nodes), log)
	time.Sleep(9 * time.Second)
	exchange(r, nodes)
	look(r, nodes)
	ops.check(nodes)
	all.check(r, nodes)
	for _, n := range nodes {
		n.cancel()
	}
	time.Sleep(10 * time.Second)
}

func freshest(nodes []*follower) *follower {
	best := nodes[0]
	for _, n := range nodes {
		if n.state.Current().NextOffset > best.state.Current().NextOffset {
			best = n
		}
	}
	return best
}

// archive is the naive reader that nodes are held against: it keeps every
// record of the stream for ever and folds them all from the first.
type archive struct {
	log *standin.Log

	mu      sync.Mutex
	records []stream.Record
	lost    bool
}

// archiveEvery is how often the archive reads; records are kept for longer.
const archiveEvery = time.Second

func (a *archive) run(ctx context.Context) {
	for ctx.Err() == nil {
		a.read()
		time.Sleep(archiveEvery)
	}
}

func (a *archive) read() {
	a.mu.Lock()
	defer a.mu.Unlock()
	from := stream.Offset(len(a.records))
	b, err := a.log.Read(context.Background(), config.Stream, from, 1<<20, 0)
	if err != nil {
		return
	}
	if b.FirstOffset > from {
		a.lost = true
		return
	}
	a.records = append(a.records, b.Records...)
}

// check folds all records and compares each node that has come as far.
func (a *archive) check(r *run, nodes []*follower) {
	a.read()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lost {
		r.fault("archive-lost-records")
		return
	}
	digests := map[stream.Offset]config.Digest{}
	c := &config.Configuration{}
	for _, rec := range a.records {
		next, err := config.ApplyRecord(c, rec)
		if err != nil {
			r.breach("the archive cannot fold record %d: %v", rec.Offset, err)
			return
		}
		c = next
		digests[c.NextOffset] = c.Digest()
	}
	caughtUp := 0
	for _, n := range nodes {
		held := n.state.Current()
		want, ok := digests[held.NextOffset]
		if !ok || !n.state.HasConfiguration() {
			continue
		}
		if held.NextOffset == c.NextOffset {
			caughtUp++
		}
		if got := held.Digest(); got != want {
			r.breach("a node at offset %d differs from the fold of all records", held.NextOffset)
		}
	}
	if caughtUp == 0 && len(a.records) > 0 {
		r.breach("no node has come to the end of the stream")
	}
}

// operators publish and keep what they were told.
type operators struct {
	r         *run
	log       *standin.Log
	mutation  mutation
	number    int
	accepted  map[config.PublicationID]bool
	history   []porcupine.Operation
	undecided bool
	old       []*config.Configuration
}

// race lets up to three operators publish at once, each at a node of its own.
func (o *operators) race(nodes []*follower, step int) {
	type result struct {
		op porcupine.Operation
		id config.PublicationID
	}
	n := 1 + o.r.rng.IntN(3)
	if n > 1 {
		o.r.fault("operators-race")
	}
	results := make(chan result, n)
	for i := range n {
		o.number++
		node := nodes[o.r.rng.IntN(len(nodes))]
		name := profile.Name(fmt.Sprintf("p-%d", o.number%7))
		p := config.Publication{
			ID: config.PublicationID(fmt.Sprintf("%d-%d", step, o.number)), BaseRevision: node.state.Current().Revision,
			Changes: []config.Change{{PutProfile: &profile.Profile{Name: name, MaxRetries: o.number}}},
		}
		go func() {
			call := time.Now()
			out := o.publish(node, p)
			results <- result{id: p.ID, op: porcupine.Operation{
				ClientId: i, Input: published{base: p.BaseRevision}, Output: out, Call: call.UnixNano(), Return: time.Now().UnixNano(),
			}}
		}()
	}
	for range n {
		res := <-results
		out := res.op.Output.(told)
		o.undecided = o.undecided || !out.determined
		o.history = append(o.history, res.op)
		if out.determined && out.accepted {
			if o.accepted == nil {
				o.accepted = map[config.PublicationID]bool{}
			}
			o.accepted[res.id] = true
		}
	}
	o.old = append(o.old, nodes[0].state.Current())
}

// publish appends a publication and waits for its fate, as nodes do.
func (o *operators) publish(node *follower, p config.Publication) told {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := o.log.Append(ctx, config.Stream, config.EncodePublication(p))
	if o.mutation == "reply-without-looking" {
		return told{determined: true, accepted: err == nil, revision: p.BaseRevision + 1}
	}
	for range 400 {
		if v, ok := node.state.Current().ResultOf(p.ID); ok {
			return told{determined: true, accepted: v.Accepted, revision: v.Revision}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return told{}
}

// exchange lets a node hand its whole configuration to another, as bytes.
func exchange(r *run, nodes []*follower) {
	from, to := nodes[r.rng.IntN(len(nodes))], nodes[r.rng.IntN(len(nodes))]
	if !from.state.HasConfiguration() {
		return
	}
	c, err := config.DecodeConfiguration(config.EncodeConfiguration(from.state.Current()))
	if err != nil {
		r.breach("a whole configuration cannot be read back: %v", err)
		return
	}
	to.state.InstallIfNewer(c)
}

// offerOld lets a peer hand over a configuration of long ago.
func (o *operators) offerOld(nodes []*follower) {
	if len(o.old) == 0 {
		return
	}
	nodes[o.r.rng.IntN(len(nodes))].state.InstallIfNewer(o.old[o.r.rng.IntN(len(o.old))])
}

func snapshot(n *follower, log *standin.Log) {
	if !n.state.HasConfiguration() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	// A snapshot that fails is written again by the next one in line.
	_, _ = log.Append(ctx, config.Stream, config.EncodeSnapshot(n.state.Current()))
}

// look checks what must hold at every instant.
func look(r *run, nodes []*follower) {
	digests := map[stream.Offset]config.Digest{}
	for _, n := range nodes {
		c := n.state.Current()
		if c.Revision < n.latest {
			r.breach("revision went back from %d to %d", n.latest, c.Revision)
		}
		n.latest = c.Revision
		if n.checks.TotalViolations() > 0 {
			r.breach("invariants broken inside the program: %d", n.checks.TotalViolations())
		}
		if !n.state.HasConfiguration() {
			continue
		}
		d := c.Digest()
		if other, ok := digests[c.NextOffset]; ok && other != d {
			r.breach("two configurations at offset %d", c.NextOffset)
		}
		digests[c.NextOffset] = d
	}
}

// check holds the operators' history against the model, and what was accepted
// against what is in force.
func (o *operators) check(nodes []*follower) {
	best := freshest(nodes).state.Current()
	for id := range o.accepted {
		if v, ok := best.ResultOf(id); !ok || !v.Accepted {
			o.r.breach("publication %s was told accepted and is not in force", id)
		}
	}
	if o.undecided {
		// The model cannot place a publication that may have taken force.
		return
	}
	o.r.checked++
	if !porcupine.CheckOperations(publicationModel, o.history) {
		o.r.breach("what operators were told fits no order")
	}
}
