package capacity

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/claim"
	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/node"
	"github.com/apricotmount/apricotmount/operator"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/settings"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

var capacityFlag = flag.Bool("capacity", false, "measure the slopes and write ../../out/capacity.json")

// Result holds the fitted lines. The JSON names give the unit of each slope and
// the size by which it was varied.
type Result struct {
	AddedCPUPerCall          fittedLine `json:"cpu-us-added-by-calls"`
	DirectCPUPerCall         fittedLine `json:"cpu-us-direct-both-ends-by-calls"`
	CPUPerPeerMessage        fittedLine `json:"cpu-us-per-peer-message-by-entries"`
	CPUPerConfigRecord       fittedLine `json:"cpu-us-per-config-record-by-services"`
	CPUPerClaimRecord        fittedLine `json:"cpu-us-per-claims-record-by-claims"`
	PeerMessageBytes         fittedLine `json:"bytes-per-peer-message-by-entries"`
	ClaimRecordBytes         fittedLine `json:"bytes-per-claims-record-by-claims"`
	ConfigBytes              fittedLine `json:"bytes-of-configuration-by-services"`
	HeapPerTarget            fittedLine `json:"heap-bytes-by-targets"`
	HeapPerClaim             fittedLine `json:"heap-bytes-by-claims-held"`
	HeapPerPeer              fittedLine `json:"heap-bytes-by-members"`
	HeapPerService           fittedLine `json:"heap-bytes-by-services"`
	HeapPerOpenCall          fittedLine `json:"heap-bytes-by-open-calls"`
	SentBytesRateByNodes     fittedLine `json:"peer-bytes-per-second-sent-per-node-by-nodes"`
	ReceivedBytesRateByNodes fittedLine `json:"peer-bytes-per-second-received-per-node-by-nodes"`
	LogReadBytesRateByNodes  fittedLine `json:"log-payload-bytes-per-second-read-per-node-by-nodes"`
	LogAppendRateByNodes     fittedLine `json:"log-appends-per-second-all-nodes-by-nodes"`
	IdleCPUByNodes           fittedLine `json:"control-cpu-percent-of-core-per-node-by-nodes"`
	SentBytesRateByTargets   fittedLine `json:"peer-bytes-per-second-sent-per-node-by-targets"`
	IdleCPUByTargets         fittedLine `json:"control-cpu-percent-of-core-per-node-by-targets"`
	VMListBytesPerVM         float64    `json:"bytes-of-list-per-vm"`
}

// TestCapacity runs all measurements and writes the fitted lines to out. It runs
// only with -capacity.
func TestCapacity(t *testing.T) {
	if !*capacityFlag {
		t.Skip("measurement; run with -capacity")
	}
	r := Result{}
	r.CPUPerPeerMessage, r.PeerMessageBytes = measurePeerMessages()
	r.CPUPerConfigRecord, r.ConfigBytes = measureConfigRecords()
	r.CPUPerClaimRecord, r.ClaimRecordBytes = measureClaimRecords()
	r.HeapPerTarget = measureHeap([]int{24, 240, 1500}, buildTargetTable)
	r.HeapPerClaim = measureHeap([]int{1000, 10000, 100000}, buildClaimState)
	r.HeapPerPeer = measureHeap([]int{10, 100, 1000}, buildMemberTable)
	r.VMListBytesPerVM = measureListBytesPerVM()
	measureCalls(t, &r)
	r.HeapPerService = measureServiceHeap(t)
	measureNodes(t, &r)
	measureTargets(t, &r)
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	out := filepath.Join("..", "..", "out")
	if err := os.MkdirAll(out, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(out, "capacity.json"), append(b, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
	plotControlTraffic(t, r, out)
}

// microsecondsPerCall benchmarks f and returns the mean time of one call of f.
func microsecondsPerCall(f func()) float64 {
	res := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			f()
		}
	})
	return float64(res.T.Nanoseconds()) / float64(res.N) / 1000
}

func memberEntries(n int) (out []member.Entry) {
	for i := range n {
		out = append(out, member.Entry{
			Incarnation: member.Incarnation(i)*0x9e3779b97f4a7c15 + 7, Address: vm.Address(fmt.Sprintf("10.1.2.%d:8082", i)), Zone: "accra-ridge",
			Heartbeat: 123456, Status: member.Ready, ConfigNext: 123456, ConfigDigest: config.Digest(0x1234567890abcdef),
		})
	}
	return out
}

func measurePeerMessages() (cpu, bytes fittedLine) {
	var cpuPoints, bytesPoints []point
	for _, n := range []int{4, 16, 64} {
		list := memberEntries(n)
		table := member.NewTable(member.Entry{Incarnation: 1}, member.Settings{})
		now := time.Now()
		m := peer.Message{Entries: list}
		bytesPoints = append(bytesPoints, point{float64(n), float64(len(m.Encode()))})
		cpuPoints = append(cpuPoints, point{float64(n), microsecondsPerCall(func() {
			got, err := peer.Decode(m.Encode())
			if err != nil {
				panic(err)
			}
			table.Merge(now, got.Entries)
		})})
	}
	return fit(cpuPoints), fit(bytesPoints)
}

func configWithServices(services int) *config.Configuration {
	c := &config.Configuration{}
	changes := []config.Change{{PutProfile: &profile.Profile{Name: "p"}}}
	for i := range services {
		changes = append(changes, config.Change{PutService: &service.Service{
			Name: service.Name(fmt.Sprint("service-", i)), Profile: "p", PathPrefix: fmt.Sprint("/service-", i), Slots: 6, MaxConnections: 200, ColdSlots: 1,
		}})
	}
	next, err := config.ApplyRecord(c, stream.Record{Payload: config.EncodePublication(config.Publication{ID: "x", Changes: changes})})
	if err != nil {
		panic(err)
	}
	return next
}

func measureConfigRecords() (cpu, bytes fittedLine) {
	var cpuPoints, bytesPoints []point
	for _, n := range []int{3, 30, 280} {
		cfg := configWithServices(n)
		change := config.EncodePublication(config.Publication{ID: "y", BaseRevision: cfg.Revision, Changes: []config.Change{{WithdrawZone: "z"}}})
		cpuPoints = append(cpuPoints, point{float64(n), microsecondsPerCall(func() {
			next, err := config.ApplyRecord(cfg, stream.Record{Offset: cfg.NextOffset, Payload: change})
			if err != nil {
				panic(err)
			}
			next.Digest()
		})})
		bytesPoints = append(bytesPoints, point{float64(n), float64(len(config.EncodeConfiguration(cfg)))})
	}
	return fit(cpuPoints), fit(bytesPoints)
}

func claimBatch(n, from int) claim.Batch {
	b := claim.Batch{Holder: 0x123456789abcdef}
	for i := range n {
		b.Requests = append(b.Requests, claim.Request{
			Key: claim.HashKey("khata", fmt.Sprint(from+i)), Fingerprint: claim.Fingerprint{1, 2, 3, 4, 5, 6, 7, 8}, SequenceNumber: claim.SequenceNumber(from + i), WindowSeconds: 3600,
		})
	}
	return b
}

func measureClaimRecords() (cpu, bytes fittedLine) {
	var cpuPoints, bytesPoints []point
	for _, n := range []int{1, 16, 128} {
		payload := codec.Encode(claimBatch(n, 0))
		state := &claim.State{}
		rec := stream.Record{AppendedAt: time.Now(), Payload: payload}
		bytesPoints = append(bytesPoints, point{float64(n), float64(len(payload))})
		cpuPoints = append(cpuPoints, point{float64(n), microsecondsPerCall(func() {
			if err := state.Apply(rec); err != nil {
				panic(err)
			}
		})})
	}
	return fit(cpuPoints), fit(bytesPoints)
}

// liveHeapBytes collects garbage and returns the size of the live heap.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureHeap fits the heap that the result of build occupies against the sizes.
func measureHeap(sizes []int, build func(n int) any) fittedLine {
	var points []point
	for _, n := range sizes {
		before := liveHeapBytes()
		built := build(n)
		points = append(points, point{float64(n), liveHeapBytes() - before})
		runtime.KeepAlive(built)
	}
	return fit(points)
}

func buildTargetTable(n int) any {
	table := target.NewTable(service.Service{Name: "s", Slots: 6}, target.Settings{})
	var list []vm.VM
	for i := range n {
		list = append(list, vm.VM{ID: vm.ID(fmt.Sprint("target-", i)), Address: vm.Address(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)), Zone: "z"})
	}
	table.SetList(time.Now(), list, func(vm.ID, zone.Name) bool { return false })
	for _, v := range list {
		table.RecordReport(v.ID, time.Now(), target.Report{IsPresent: true, Instance: "abcdefgh", State: target.Live})
	}
	return table
}

func buildClaimState(n int) any {
	state := &claim.State{}
	for i := 0; i < n; i += 100 {
		rec := stream.Record{Offset: stream.Offset(i), AppendedAt: time.Now(), Payload: codec.Encode(claimBatch(100, i))}
		if err := state.Apply(rec); err != nil {
			panic(err)
		}
	}
	return state
}

func buildMemberTable(n int) any {
	table := member.NewTable(member.Entry{Incarnation: 1}, member.Settings{})
	table.Merge(time.Now(), memberEntries(n))
	return table
}

func measureListBytesPerVM() float64 {
	const n = 1000
	var list vm.List
	for i := range n {
		list.VMs = append(list.VMs, vm.VM{ID: vm.ID(fmt.Sprint("age-query-", i)), Role: vm.RoleTarget, Service: "age-query", Address: "10.0.100.200:8080", Zone: "accra-ridge", State: vm.StateLive})
	}
	b, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return float64(len(b)) / n
}

// countingLog counts the payload bytes that nodes read from the log.
type countingLog struct {
	*standin.Log
	mu        sync.Mutex
	readBytes int64
}

func (l *countingLog) Read(ctx context.Context, name stream.Name, from stream.Offset, maxRecords int, wait time.Duration) (stream.Batch, error) {
	b, err := l.Log.Read(ctx, name, from, maxRecords, wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range b.Records {
		l.readBytes += int64(len(r.Payload))
	}
	return b, err
}

// fleet is a set of nodes and targets in this process, connected over loopback.
type fleet struct {
	log      *countingLog
	vmLister *standin.List
	nodes    []*node.Node
	targets  []*standin.Target
}

func newFleet(t *testing.T, nodes, targets, services int) *fleet {
	t.Helper()
	f := &fleet{log: &countingLog{Log: &standin.Log{}}, vmLister: &standin.List{}}
	for i := range targets {
		tg := standin.NewTarget(standin.TargetSettings{VM: vm.VM{
			ID: vm.ID(fmt.Sprint("target-", i)), Role: vm.RoleTarget, Service: service.Name(fmt.Sprint("service-", i%services)),
			Zone: zone.Name(fmt.Sprint("z", i%4)), State: vm.StateLive,
		}, ServiceTime: time.Microsecond, ProbeTime: time.Microsecond})
		if err := tg.Listen("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		f.targets = append(f.targets, tg)
		f.vmLister.Put(tg.VM())
	}
	for i := range nodes {
		doc := settings.Defaults()
		doc.Node = settings.NodeDocument{VM: fmt.Sprint("entry-", i), Zone: fmt.Sprint("z", i%4)}
		doc.Listen = settings.ListenDocument{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0", Health: "127.0.0.1:0"}
		cfg, err := settings.Check(doc)
		if err != nil {
			t.Fatal(err)
		}
		n := node.New(cfg, node.Platform{Log: f.log, VMLister: f.vmLister}, zap.NewNop(), metrics.NewDiscardRegistry())
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		f.nodes = append(f.nodes, n)
		f.vmLister.Put(vm.VM{ID: cfg.VM, Role: vm.RoleEntry, Address: vm.Address(n.Addresses().Peers), Zone: cfg.Zone, State: vm.StateLive})
	}
	f.publish(t, services)
	return f
}

func (f *fleet) publish(t *testing.T, services int) {
	t.Helper()
	doc := config.Document{Profiles: []profile.Document{{Name: "p", Idempotent: true}}}
	for i := range services {
		doc.Services = append(doc.Services, service.Document{Name: service.Name(fmt.Sprint("service-", i)), Profile: "p", PathPrefix: fmt.Sprint("/service-", i)})
	}
	client := operator.Client{URL: "http://" + f.nodes[0].Addresses().Operators}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		resp, err := client.PublishDocument(t.Context(), doc)
		if err == nil && resp.Result == operator.Accepted {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("publication: got result %+v, error %v, want an accepted publication", resp, err)
		}
	}
}

func (f *fleet) close() {
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(n.Kill)
	}
	wg.Wait()
	for _, tg := range f.targets {
		tg.Close()
	}
}

// resourceUsage holds the cumulative counters of the process and its nodes at one
// instant.
type resourceUsage struct {
	cpuTime                  time.Duration
	sentBytes, receivedBytes int64
	logReadBytes             int64
	appendCount              int
	measuredAt               time.Time
}

func (f *fleet) measureUsage(t *testing.T) (u resourceUsage) {
	t.Helper()
	u.cpuTime = processCPUTime(t)
	for _, n := range f.nodes {
		traffic := n.PeerTraffic()
		u.sentBytes += traffic.SentBytes
		u.receivedBytes += traffic.ReceivedBytes
	}
	f.log.mu.Lock()
	u.logReadBytes = f.log.readBytes
	f.log.mu.Unlock()
	u.appendCount = f.log.AppendCount()
	u.measuredAt = time.Now()
	return u
}

func processCPUTime(t *testing.T) time.Duration {
	t.Helper()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		t.Fatal(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

const (
	// settleTime is the wait after the start of a fleet before it is measured.
	// idleMeasureTime is the length of the measurement without calls or changes.
	settleTime      = 12 * time.Second
	idleMeasureTime = 20 * time.Second
)

// measureIdle measures a fleet without calls or changes. It returns bytes per
// second and node (sent to peers, received from peers, read from the log), log
// appends per second of the whole fleet, and CPU time in percent of one core per
// node.
func (f *fleet) measureIdle(t *testing.T) (sent, received, read, appends, cpuPercent float64) {
	time.Sleep(settleTime)
	before := f.measureUsage(t)
	time.Sleep(idleMeasureTime)
	after := f.measureUsage(t)
	s, n := after.measuredAt.Sub(before.measuredAt).Seconds(), float64(len(f.nodes))
	return float64(after.sentBytes-before.sentBytes) / s / n, float64(after.receivedBytes-before.receivedBytes) / s / n, float64(after.logReadBytes-before.logReadBytes) / s / n,
		float64(after.appendCount-before.appendCount) / s, 100 * (after.cpuTime - before.cpuTime).Seconds() / s / n
}

// measureNodes fits the idle cost of a node against the number of nodes, with 24
// targets and 3 services.
func measureNodes(t *testing.T, r *Result) {
	var sent, received, read, appends, cpu []point
	for _, n := range []int{3, 10, 30, 100} {
		f := newFleet(t, n, 24, 3)
		s, rec, l, a, c := f.measureIdle(t)
		f.close()
		x := float64(n)
		sent, received, read = append(sent, point{x, s}), append(received, point{x, rec}), append(read, point{x, l})
		appends, cpu = append(appends, point{x, a}), append(cpu, point{x, c})
	}
	r.SentBytesRateByNodes, r.ReceivedBytesRateByNodes, r.LogReadBytesRateByNodes, r.LogAppendRateByNodes, r.IdleCPUByNodes = fit(sent), fit(received), fit(read), fit(appends), fit(cpu)
}

// measureTargets fits the idle cost of each of 3 nodes against the number of targets.
func measureTargets(t *testing.T, r *Result) {
	var sent, cpu []point
	for _, n := range []int{24, 240, 1500} {
		f := newFleet(t, 3, n, max(3, n*280/1500))
		s, _, _, _, c := f.measureIdle(t)
		f.close()
		sent, cpu = append(sent, point{float64(n), s}), append(cpu, point{float64(n), c})
	}
	r.SentBytesRateByTargets, r.IdleCPUByTargets = fit(sent), fit(cpu)
}

// measureServiceHeap fits the heap of one node against its number of services.
func measureServiceHeap(t *testing.T) fittedLine {
	var points []point
	for _, n := range []int{3, 30, 280} {
		before := liveHeapBytes()
		f := newFleet(t, 1, 3, n)
		time.Sleep(time.Second)
		points = append(points, point{float64(n), liveHeapBytes() - before})
		f.close()
	}
	return fit(points)
}

// measureCalls measures the CPU time that a node adds to a call and the heap of
// open calls. Callers and targets run in the same process, so the CPU time of
// direct calls is subtracted.
func measureCalls(t *testing.T, r *Result) {
	f := newFleet(t, 1, 6, 1)
	defer f.close()
	time.Sleep(3 * time.Second)
	viaNodeURL := "http://" + f.nodes[0].Addresses().Callers + "/service-0/x"
	directURL := "http://" + string(f.targets[0].VM().Address) + "/service-0/x"
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	sendCalls(t, client, viaNodeURL, 2000)
	sendCalls(t, client, directURL, 2000)
	var addedCPU, directCPU []point
	for _, calls := range []int{4000, 8000, 16000} {
		viaNode, direct := sendCalls(t, client, viaNodeURL, calls), sendCalls(t, client, directURL, calls)
		addedCPU = append(addedCPU, point{float64(calls), float64((viaNode - direct).Microseconds())})
		directCPU = append(directCPU, point{float64(calls), float64(direct.Microseconds())})
	}
	r.AddedCPUPerCall, r.DirectCPUPerCall = fit(addedCPU), fit(directCPU)
	r.HeapPerOpenCall = measureOpenCallHeap(t, f, viaNodeURL)
}

// sendCalls sends calls from 4 concurrent callers and returns the CPU time that the
// process used meanwhile.
func sendCalls(t *testing.T, client *http.Client, url string, calls int) time.Duration {
	t.Helper()
	before := processCPUTime(t)
	const callers = 4
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range calls / callers {
				resp, err := client.Get(url)
				if err != nil {
					t.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					t.Errorf("status: got %d, want 200", resp.StatusCode)
					return
				}
			}
		})
	}
	wg.Wait()
	return processCPUTime(t) - before
}

// measureOpenCallHeap fits the heap against the number of calls held open at slow
// targets. It includes the caller and target sides of each call, so it is an
// upper bound.
func measureOpenCallHeap(t *testing.T, f *fleet, url string) fittedLine {
	for _, tg := range f.targets {
		tg.SetServiceTimeFactor(2e6)
	}
	var points []point
	before := liveHeapBytes()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	open := 0
	for _, n := range []int{6, 18, 36} {
		for ; open < n; open++ {
			wg.Go(func() {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
				if err != nil {
					return
				}
				if resp, err := http.DefaultClient.Do(req); err == nil {
					resp.Body.Close()
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		points = append(points, point{float64(n), liveHeapBytes() - before})
	}
	cancel()
	wg.Wait()
	return fit(points)
}
