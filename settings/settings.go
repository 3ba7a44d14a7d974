package settings

import (
	"cmp"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
	"go.uber.org/zap/zapcore"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/document"
	"github.com/apricotmount/apricotmount/fault"
	"github.com/apricotmount/apricotmount/intake"
	"github.com/apricotmount/apricotmount/measuring"
	"github.com/apricotmount/apricotmount/unit"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/wire"
	"github.com/apricotmount/apricotmount/zone"
)

// Settings is the validated form of a Document.
type Settings struct {
	VM   vm.ID
	Zone zone.Name

	// CallerAddress, OperatorAddress, PeerAddress and HealthAddress are the
	// addresses to listen on, as IP:port.
	CallerAddress, OperatorAddress, PeerAddress, HealthAddress string

	// LogURL and VMsURL are the base URLs of the platform's log and VM list.
	LogURL, VMsURL string
	// LogRetention is the duration for which the platform's log keeps records.
	LogRetention time.Duration
	// ListInterval is the interval between reads of the platform's list of VMs.
	ListInterval time.Duration

	// OperatorToken and PeerToken are the secrets that operators and peers must
	// present. An empty one is not checked.
	OperatorToken, PeerToken string

	// StopGrace is how long the node accepts new calls after it became unready
	// in a planned stop. StopTimeout is the maximum duration of the whole stop.
	StopGrace, StopTimeout time.Duration

	// MaxHeldCalls is the maximum number of calls in the node, in flight and
	// waiting.
	MaxHeldCalls int
	// CallerHeader is the request header that identifies the caller for fair
	// queueing.
	CallerHeader string
	// ReplayBufferBytes is the maximum size in bytes of a request body that is kept
	// for an extra attempt.
	ReplayBufferBytes int64
	// IdleTimeout is the maximum idle time of a caller's connection.
	IdleTimeout time.Duration
	// HeaderTimeout is the maximum time for reading the headers of a caller's
	// request.
	HeaderTimeout time.Duration
	// MaxHeaderBytes is the maximum length of the names and values of a request's headers,
	// in bytes.
	MaxHeaderBytes int64
	// MemoryMB is the memory that the process may take, in megabytes. It bounds the request
	// bodies that are buffered, the heads that are open and the connections.
	MemoryMB int

	Measuring measuring.Settings
	// FleetClaimAppendsPerSecond is the maximum rate of log appends for claims by
	// all nodes together.
	FleetClaimAppendsPerSecond float64
	// ClaimTimeout is the maximum time that a call waits for a decision on its
	// claim.
	ClaimTimeout   time.Duration
	TargetProtocol wire.Protocol
	LogLevel       zapcore.Level
}

// Shares returns the memory that the node divides among what it holds.
func (s Settings) Shares() intake.Shares {
	return intake.Shares{MemoryBytes: int64(s.MemoryMB) << 20}
}

// IntakeLimits returns the limits on the heads of callers.
func (s Settings) IntakeLimits() intake.Limits {
	return intake.Limits{HeadBytes: s.MaxHeaderBytes, HeadTime: s.HeaderTimeout, IdleTime: s.IdleTimeout}
}

// defaultMemoryMB is the memory of a process whose settings do not state it, in megabytes.
const defaultMemoryMB = 256

// Defaults returns a document with the default of every key. The values of
// node.vm and node.zone are examples.
func Defaults() Document {
	p := wire.DefaultProtocol
	return Document{
		Node:      NodeDocument{VM: "entry-1", Zone: "howrah", MemoryMB: defaultMemoryMB},
		Listen:    ListenDocument{Callers: "127.0.0.1:8080", Operators: "127.0.0.1:8081", Peers: "127.0.0.1:8082", Health: "127.0.0.1:8083"},
		Platform:  PlatformDocument{Log: "http://127.0.0.1:9000", VMs: "http://127.0.0.1:9000", LogRetention: "24h0m0s", ListEvery: "2s"},
		Stop:      StopDocument{Grace: "5s", Limit: "1m0s"},
		Calls:     CallsDocument{MaxHeld: admission.DefaultCapacity, CallerHeader: "X-Forwarded-For", ReplayBufferBytes: 64 << 10, IdleTimeout: "1m0s", HeaderTimeout: "10s", MaxHeaderBytes: intake.DefaultHeadBytes},
		Measuring: MeasuringDocument{MessagesPerSecond: 40, BytesPerSecond: 8192, TargetTimePerSecond: "40ms", RefusalsPerSecond: 1000},
		Claims:    ClaimsDocument{FleetAppendsPerSecond: 150, Patience: "2s"},
		TargetProtocol: ProtocolDocument{
			InstanceHeader: p.InstanceHeader, StateHeader: p.StateHeader, InFlightHeader: p.InFlightHeader,
			RefusalHeader: p.RefusalHeader, RefusalValue: p.RefusalValue, DeadlineHeader: p.DeadlineHeader, LoadPath: p.LoadPath,
		},
		Log: LogDocument{Level: "info"},
	}
}

// DefaultsYAML returns the document of Defaults as YAML.
func DefaultsYAML() (text string, err error) {
	defer func() { err = eris.Wrap(err, "print the default settings") }()
	b, err := yaml.Marshal(Defaults())
	return string(b), err
}

// Load reads and validates a settings file. The error is a fault.List if the file
// is invalid.
func Load(path string) (s Settings, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Parse(b)
}

// Parse decodes and validates settings. The error is a fault.List with every
// unknown key and invalid value.
func Parse(b []byte) (s Settings, err error) {
	doc := Defaults()
	doc.Node = NodeDocument{}
	decodeErr := document.Decode(b, &doc)
	if !document.OnlyUnknownKeys(decodeErr) {
		return Settings{}, decodeErr
	}
	s, err = Check(doc)
	return s, append(fault.FromError(decodeErr), fault.FromError(err)...).Err()
}

// Check validates doc and returns its settings. The error is a fault.List with
// every invalid value.
func Check(doc Document) (s Settings, err error) {
	var parser unit.Parser
	s = Settings{
		VM: vm.ID(doc.Node.VM), Zone: zone.Name(doc.Node.Zone),
		CallerAddress: doc.Listen.Callers, OperatorAddress: doc.Listen.Operators, PeerAddress: doc.Listen.Peers, HealthAddress: doc.Listen.Health,
		LogURL: strings.TrimSuffix(doc.Platform.Log, "/"), VMsURL: strings.TrimSuffix(doc.Platform.VMs, "/"),
		LogRetention:  parser.Duration("platform.log-retention", doc.Platform.LogRetention, 0),
		ListInterval:  parser.Duration("platform.list-every", doc.Platform.ListEvery, 0),
		OperatorToken: doc.Tokens.Operators, PeerToken: doc.Tokens.Peers,
		StopGrace: parser.Duration("stop.grace", doc.Stop.Grace, 0), StopTimeout: parser.Duration("stop.limit", doc.Stop.Limit, 0),
		MaxHeldCalls: doc.Calls.MaxHeld, CallerHeader: doc.Calls.CallerHeader, ReplayBufferBytes: int64(doc.Calls.ReplayBufferBytes),
		IdleTimeout:    parser.Duration("calls.idle-timeout", doc.Calls.IdleTimeout, 0),
		HeaderTimeout:  parser.Duration("calls.header-timeout", doc.Calls.HeaderTimeout, 0),
		MaxHeaderBytes: int64(doc.Calls.MaxHeaderBytes), MemoryMB: cmp.Or(doc.Node.MemoryMB, defaultMemoryMB),
		Measuring: measuring.Settings{
			MessagesPerSecond: doc.Measuring.MessagesPerSecond, RefusalsPerSecond: doc.Measuring.RefusalsPerSecond, BytesPerSecond: unit.Bytes(doc.Measuring.BytesPerSecond),
			TargetTimePerSecond: parser.Duration("measuring.target-time-per-second", doc.Measuring.TargetTimePerSecond, 0),
		},
		FleetClaimAppendsPerSecond: doc.Claims.FleetAppendsPerSecond,
		ClaimTimeout:               parser.Duration("claims.patience", doc.Claims.Patience, 0),
		TargetProtocol: wire.Protocol{
			InstanceHeader: doc.TargetProtocol.InstanceHeader, StateHeader: doc.TargetProtocol.StateHeader,
			InFlightHeader: doc.TargetProtocol.InFlightHeader, RefusalHeader: doc.TargetProtocol.RefusalHeader,
			RefusalValue: doc.TargetProtocol.RefusalValue, DeadlineHeader: doc.TargetProtocol.DeadlineHeader,
			LoadPath: doc.TargetProtocol.LoadPath,
		},
	}
	checkNode(&parser, s)
	checkListen(&parser, s)
	checkPlatform(&parser, s)
	checkBounds(&parser, s)
	level, err := zapcore.ParseLevel(cmp.Or(doc.Log.Level, "info"))
	if err != nil {
		parser.Faults.Add("log.level", "%q is not one of debug, info, warn, error", doc.Log.Level)
	}
	s.LogLevel = level
	return s, parser.Faults.Err()
}

func checkNode(parser *unit.Parser, s Settings) {
	if s.VM == "" {
		parser.Faults.Add("node.vm", "is missing; it is the VM's name in the platform's list")
	}
	if s.Zone == "" {
		parser.Faults.Add("node.zone", "is missing; it is the VM's availability zone")
	}
}

func checkListen(parser *unit.Parser, s Settings) {
	fieldOf := map[string]string{}
	for _, listener := range []struct{ field, address string }{
		{"listen.callers", s.CallerAddress}, {"listen.operators", s.OperatorAddress}, {"listen.peers", s.PeerAddress}, {"listen.health", s.HealthAddress},
	} {
		if problem := checkAddress(listener.address); problem != "" {
			parser.Faults.Add(listener.field, "%q %s", listener.address, problem)
			continue
		}
		if other, inUse := fieldOf[listener.address]; inUse && !strings.HasSuffix(listener.address, ":0") {
			parser.Faults.Add(listener.field, "%q is also %s", listener.address, other)
		}
		fieldOf[listener.address] = listener.field
	}
	requireToken(parser, "operators", s.OperatorAddress, s.OperatorToken)
	requireToken(parser, "peers", s.PeerAddress, s.PeerToken)
}

func checkAddress(address string) (problem string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "is not an address such as \"10.0.0.1:8080\""
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return "does not hold an IP number"
	}
	return ""
}

// requireToken adds a fault if the listener has no token although its address is
// reachable from other VMs.
func requireToken(parser *unit.Parser, listener, address, token string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return
	}
	ip, err := netip.ParseAddr(host)
	if err == nil && !ip.IsLoopback() && token == "" {
		parser.Faults.Add("tokens."+listener, "is missing, but listen.%s is not a loopback address", listener)
	}
}

func checkPlatform(parser *unit.Parser, s Settings) {
	for _, u := range []struct{ field, url string }{{"platform.log", s.LogURL}, {"platform.vms", s.VMsURL}} {
		parsed, err := url.Parse(u.url)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			parser.Faults.Add(u.field, "%q is not an address such as \"http://10.0.0.9:9000\"", u.url)
		}
	}
	parser.CheckDuration("platform.log-retention", s.LogRetention, time.Minute, 365*24*time.Hour)
	parser.CheckDuration("platform.list-every", s.ListInterval, 100*time.Millisecond, time.Minute)
}

func checkBounds(parser *unit.Parser, s Settings) {
	parser.CheckDuration("stop.limit", s.StopTimeout, s.StopGrace, time.Hour)
	parser.CheckInt("calls.max-held", s.MaxHeldCalls, 1, 1<<20)
	parser.CheckInt("calls.replay-buffer-bytes", int(s.ReplayBufferBytes), 1, 64<<20)
	parser.CheckDuration("calls.idle-timeout", s.IdleTimeout, time.Second, time.Hour)
	parser.CheckDuration("calls.header-timeout", s.HeaderTimeout, 100*time.Millisecond, time.Hour)
	parser.CheckInt("calls.max-header-bytes", int(s.MaxHeaderBytes), 1<<10, 64<<20)
	parser.CheckInt("node.memory-mb", s.MemoryMB, 64, 1<<20)
	parser.CheckDuration("claims.patience", s.ClaimTimeout, 10*time.Millisecond, time.Minute)
	requirePositive(parser, "measuring.messages-per-second", s.Measuring.MessagesPerSecond)
	requirePositive(parser, "measuring.bytes-per-second", float64(s.Measuring.BytesPerSecond))
	requirePositive(parser, "measuring.refusals-per-second", s.Measuring.RefusalsPerSecond)
	requirePositive(parser, "measuring.target-time-per-second", s.Measuring.TargetTimePerSecond.Seconds())
	requirePositive(parser, "claims.fleet-appends-per-second", s.FleetClaimAppendsPerSecond)
	for _, h := range []struct{ field, text string }{
		{"instance-header", s.TargetProtocol.InstanceHeader}, {"state-header", s.TargetProtocol.StateHeader},
		{"in-flight-header", s.TargetProtocol.InFlightHeader}, {"refusal-header", s.TargetProtocol.RefusalHeader},
		{"refusal-value", s.TargetProtocol.RefusalValue}, {"deadline-header", s.TargetProtocol.DeadlineHeader},
	} {
		if h.text == "" {
			parser.Faults.Add("target-protocol."+h.field, "is empty")
		}
	}
	if !strings.HasPrefix(s.TargetProtocol.LoadPath, "/") {
		parser.Faults.Add("target-protocol.load-path", "%q does not start with \"/\"", s.TargetProtocol.LoadPath)
	}
}

func requirePositive(parser *unit.Parser, field string, value float64) {
	if value <= 0 {
		parser.Faults.Add(field, "must be more than zero")
	}
}
