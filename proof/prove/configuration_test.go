package prove

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/stream"
)

// configuration checks that all nodes compute the same configuration. Operators
// publish concurrently at several nodes while the log fails, records expire, nodes
// are replaced, and peers transfer configurations to each other.
var configuration = scenario{
	name:      "configuration",
	run:       runConfiguration,
	mutations: []mutation{"log-tells-nodes-apart", "reply-without-looking"},
}

// configurationNode is the replicated configuration of one node.
type configurationNode struct {
	state          *config.State
	checks         *invariant.Checker
	cancel         context.CancelFunc
	follower       *stream.Follower
	latestRevision config.Revision
}

// corruptingLog replaces the payload of every third record for one reader, so that
// this node doesn't read the same stream as the others.
type corruptingLog struct {
	stream.Log
}

func (l corruptingLog) Read(ctx context.Context, name stream.Name, from stream.Offset, limit int, wait time.Duration) (stream.Batch, error) {
	b, err := l.Log.Read(ctx, name, from, limit, wait)
	for i := range b.Records {
		if b.Records[i].Offset%3 == 1 {
			b.Records[i].Payload = []byte("gone")
		}
	}
	return b, err
}

func newConfigurationNode(log stream.Log) *configurationNode {
	node := &configurationNode{checks: &invariant.Checker{}}
	node.state = &config.State{Checks: node.checks}
	node.follower = &stream.Follower{Log: log, Name: config.Stream, Applier: node.state}
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	go node.follower.Run(ctx)
	return node
}

// publicationInput is a publication in the history that Porcupine checks for
// linearizability.
type publicationInput struct {
	baseRevision config.Revision
}

type publicationResult struct {
	accepted, determined bool
	revision             config.Revision
}

// publicationModel is the sequential specification of publications: one is
// accepted if its base is the active revision, and rejected otherwise. One whose result
// is undetermined may have been either, or be lost.
var publicationModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{config.Revision(0)} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(config.Revision), input.(publicationInput), output.(publicationResult)
		isCurrent := in.baseRevision == now
		switch {
		case !out.determined && isCurrent:
			return []any{now, now + 1}
		case !out.determined || !out.accepted && !isCurrent:
			return []any{now}
		case out.accepted && isCurrent && out.revision == now+1:
			return []any{now + 1}
		default:
			return nil
		}
	},
}).ToModel()

func runConfiguration(r *run, m mutation) {
	log := &standin.Log{Retention: 3 * time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	go r.injectLogFaults(ctx, log, 20*time.Second, 15*time.Second)
	reference := &referenceReader{log: log}
	go reference.run(ctx)
	nodes := make([]*configurationNode, 3+r.rng.IntN(4))
	for i := range nodes {
		nodes[i] = newConfigurationNode(log)
	}
	if m == "log-tells-nodes-apart" {
		nodes[0].cancel()
		nodes[0] = newConfigurationNode(corruptingLog{log})
	}
	ops := &operators{r: r, log: log, mutation: m}
	for step := range 60 {
		time.Sleep(r.durationBetween(50*time.Millisecond, 5*time.Second))
		switch r.rng.IntN(6) {
		case 0, 1:
			ops.publishConcurrently(nodes, step)
		case 2:
			i := r.rng.IntN(len(nodes))
			r.countFault("node-replaced")
			nodes[i].cancel()
			nodes[i] = newConfigurationNode(log)
		case 3:
			transferConfiguration(r, nodes)
		case 4:
			writeSnapshot(nodes[r.rng.IntN(len(nodes))], log)
		case 5:
			r.countFault("old-peer")
			ops.transferOldConfiguration(nodes)
		}
		checkNodes(r, nodes)
	}
	cancel()
	time.Sleep(40 * time.Second)
	writeSnapshot(mostAdvancedNode(nodes), log)
	time.Sleep(9 * time.Second)
	transferConfiguration(r, nodes)
	checkNodes(r, nodes)
	ops.check(nodes)
	reference.check(r, nodes)
	for _, n := range nodes {
		n.cancel()
	}
	time.Sleep(10 * time.Second)
}

func mostAdvancedNode(nodes []*configurationNode) *configurationNode {
	best := nodes[0]
	for _, n := range nodes {
		if n.state.Current().NextOffset > best.state.Current().NextOffset {
			best = n
		}
	}
	return best
}

// referenceReader computes the expected configuration: it keeps every record of
// the stream and applies all of them from the first.
type referenceReader struct {
	log *standin.Log

	mu      sync.Mutex
	records []stream.Record
	hasGap  bool
}

// referenceReadInterval is the time between two reads. It is shorter than the
// retention of the log, so that no record expires unread.
const referenceReadInterval = time.Second

func (ref *referenceReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		ref.read()
		time.Sleep(referenceReadInterval)
	}
}

func (ref *referenceReader) read() {
	ref.mu.Lock()
	defer ref.mu.Unlock()
	from := stream.Offset(len(ref.records))
	b, err := ref.log.Read(context.Background(), config.Stream, from, 1<<20, 0)
	if err != nil {
		return
	}
	if b.FirstOffset > from {
		ref.hasGap = true
		return
	}
	ref.records = append(ref.records, b.Records...)
}

// check applies all records and compares the digest of each node with the
// expected one at the node's offset.
func (ref *referenceReader) check(r *run, nodes []*configurationNode) {
	ref.read()
	ref.mu.Lock()
	defer ref.mu.Unlock()
	if ref.hasGap {
		r.countFault("archive-lost-records")
		return
	}
	digests := map[stream.Offset]config.Digest{}
	c := &config.Configuration{}
	for _, rec := range ref.records {
		next, err := config.ApplyRecord(c, rec)
		if err != nil {
			r.addViolation("reference reader failed to apply record %d: %v", rec.Offset, err)
			return
		}
		c = next
		digests[c.NextOffset] = c.Digest()
	}
	caughtUp := 0
	for _, n := range nodes {
		current := n.state.Current()
		want, ok := digests[current.NextOffset]
		if !ok || !n.state.HasConfiguration() {
			continue
		}
		if current.NextOffset == c.NextOffset {
			caughtUp++
		}
		if got := current.Digest(); got != want {
			r.addViolation("configuration digest of a node at offset %d differs from that of applying all records", current.NextOffset)
		}
	}
	if caughtUp == 0 && len(ref.records) > 0 {
		r.addViolation("no node has applied the last record of the stream")
	}
}

// operators publish configurations and record the results.
type operators struct {
	r                 *run
	log               *standin.Log
	mutation          mutation
	publicationCount  int
	accepted          map[config.PublicationID]bool
	history           []porcupine.Operation
	oldConfigurations []*config.Configuration
}

// publishConcurrently makes up to three operators publish at once, each at a
// random node.
func (o *operators) publishConcurrently(nodes []*configurationNode, step int) {
	type result struct {
		op porcupine.Operation
		id config.PublicationID
	}
	n := 1 + o.r.rng.IntN(3)
	if n > 1 {
		o.r.countFault("operators-race")
	}
	results := make(chan result, n)
	for i := range n {
		o.publicationCount++
		node := nodes[o.r.rng.IntN(len(nodes))]
		name := profile.Name(fmt.Sprintf("p-%d", o.publicationCount%7))
		publication := config.Publication{
			ID: config.PublicationID(fmt.Sprintf("%d-%d", step, o.publicationCount)), BaseRevision: node.state.Current().Revision,
			Changes: []config.Change{{PutProfile: &profile.Profile{Name: name, MaxRetries: o.publicationCount}}},
		}
		go func() {
			call := time.Now()
			out := o.publish(node, publication)
			returned := time.Now().UnixNano()
			if !out.determined {
				// It may still be accepted later.
				returned = math.MaxInt64
			}
			results <- result{id: publication.ID, op: porcupine.Operation{
				ClientId: i, Input: publicationInput{baseRevision: publication.BaseRevision}, Output: out, Call: call.UnixNano(), Return: returned,
			}}
		}()
	}
	for range n {
		res := <-results
		out := res.op.Output.(publicationResult)
		o.history = append(o.history, res.op)
		if out.determined && out.accepted {
			if o.accepted == nil {
				o.accepted = map[config.PublicationID]bool{}
			}
			o.accepted[res.id] = true
		}
	}
	o.oldConfigurations = append(o.oldConfigurations, nodes[0].state.Current())
}

// publish appends a publication and waits until the node has applied it, as the
// load balancer does. The result is undetermined after 400 polls (8 s).
func (o *operators) publish(node *configurationNode, p config.Publication) publicationResult {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := o.log.Append(ctx, config.Stream, config.EncodePublication(p))
	if o.mutation == "reply-without-looking" {
		return publicationResult{determined: true, accepted: err == nil, revision: p.BaseRevision + 1}
	}
	for range 400 {
		if result, ok := node.state.Current().ResultOf(p.ID); ok {
			return publicationResult{determined: true, accepted: result.Accepted, revision: result.Revision}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return publicationResult{}
}

// transferConfiguration sends one node's encoded configuration to another.
func transferConfiguration(r *run, nodes []*configurationNode) {
	from, to := nodes[r.rng.IntN(len(nodes))], nodes[r.rng.IntN(len(nodes))]
	if !from.state.HasConfiguration() {
		return
	}
	c, err := config.DecodeConfiguration(config.EncodeConfiguration(from.state.Current()))
	if err != nil {
		r.addViolation("decode of an encoded configuration failed: %v", err)
		return
	}
	to.state.InstallIfNewer(c)
}

// transferOldConfiguration sends an outdated configuration to a random node.
func (o *operators) transferOldConfiguration(nodes []*configurationNode) {
	if len(o.oldConfigurations) == 0 {
		return
	}
	nodes[o.r.rng.IntN(len(nodes))].state.InstallIfNewer(o.oldConfigurations[o.r.rng.IntN(len(o.oldConfigurations))])
}

func writeSnapshot(n *configurationNode, log *standin.Log) {
	if !n.state.HasConfiguration() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	// A failed append needs no retry: another node writes the next snapshot.
	_, _ = log.Append(ctx, config.Stream, config.EncodeSnapshot(n.state.Current()))
}

// checkNodes checks the invariants that hold at all times.
func checkNodes(r *run, nodes []*configurationNode) {
	digests := map[stream.Offset]config.Digest{}
	for _, n := range nodes {
		c := n.state.Current()
		if c.Revision < n.latestRevision {
			r.addViolation("revision decreased from %d to %d", n.latestRevision, c.Revision)
		}
		n.latestRevision = c.Revision
		if n.checks.TotalViolations() > 0 {
			r.addViolation("invariant violations counted by the load balancer: got %d, want 0", n.checks.TotalViolations())
		}
		if !n.state.HasConfiguration() {
			continue
		}
		d := c.Digest()
		if other, ok := digests[c.NextOffset]; ok && other != d {
			r.addViolation("two nodes have different configurations at offset %d", c.NextOffset)
		}
		digests[c.NextOffset] = d
	}
}

// check verifies that the operators' history is linearizable under the model, and
// that each accepted publication is part of the active configuration.
func (o *operators) check(nodes []*configurationNode) {
	latest := mostAdvancedNode(nodes).state.Current()
	for id := range o.accepted {
		if result, ok := latest.ResultOf(id); !ok || !result.Accepted {
			o.r.addViolation("publication %s was reported as accepted but is not active", id)
		}
	}
	o.r.checkedHistories++
	if !porcupine.CheckOperations(publicationModel, o.history) {
		o.r.addViolation("the results of the publications are not linearizable")
	}
}
