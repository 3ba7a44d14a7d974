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
	"github.com/apricotmount/apricotmount/measuring"
	"github.com/apricotmount/apricotmount/unit"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/wire"
	"github.com/apricotmount/apricotmount/zone"
)

// Settings is a checked settings file.
type Settings struct {
	VM   vm.ID
	Zone zone.Name

	CallerAddress, OperatorAddress, PeerAddress, HealthAddress string

	LogURL, VMsURL string
	// LogRetention is how long the platform's log keeps records.
	LogRetention time.Duration
	// ListEvery is how often the platform's list of VMs is read.
	ListInterval time.Duration

	OperatorToken, PeerToken string

	// StopGrace is how long the node goes on taking work after its readiness
	// fell, and StopLimit when a planned stop ends at the latest.
	StopGrace, StopTimeout time.Duration

	MaxHeldCalls      int
	CallerHeader      string
	ReplayBufferBytes int64
	IdleTimeout       time.Duration
	HeaderTimeout     time.Duration

	Measuring                  measuring.Settings
	FleetClaimAppendsPerSecond float64
	ClaimTimeout               time.Duration
	TargetProtocol             wire.Protocol
	LogLevel                   zapcore.Level
}

// Defaults returns a document that holds every key with its default; who and
// where the node is are examples.
func Defaults() Document {
	p := wire.DefaultProtocol
	return Document{
		Node:      NodeDocument{VM: "entry-1", Zone: "howrah"},
		Listen:    ListenDocument{Callers: "127.0.0.1:8080", Operators: "127.0.0.1:8081", Peers: "127.0.0.1:8082", Health: "127.0.0.1:8083"},
		Platform:  PlatformDocument{Log: "http://127.0.0.1:9000", VMs: "http://127.0.0.1:9000", LogRetention: "24h0m0s", ListEvery: "2s"},
		Stop:      StopDocument{Grace: "5s", Limit: "1m0s"},
		Calls:     CallsDocument{MaxHeld: admission.DefaultCapacity, CallerHeader: "X-Forwarded-For", ReplayBufferBytes: 64 << 10, IdleTimeout: "1m0s", HeaderTimeout: "10s"},
		Measuring: MeasuringDocument{MessagesPerSecond: 40, BytesPerSecond: 8192, TargetTimePerSecond: "40ms", RefusalsPerSecond: 1000},
		Claims:    ClaimsDocument{FleetAppendsPerSecond: 150, Patience: "2s"},
		TargetProtocol: ProtocolDocument{
			InstanceHeader: p.InstanceHeader, StateHeader: p.StateHeader, InFlightHeader: p.InFlightHeader,
			RefusalHeader: p.RefusalHeader, RefusalValue: p.RefusalValue, DeadlineHeader: p.DeadlineHeader, LoadPath: p.LoadPath,
		},
		Log: LogDocument{Level: "info"},
	}
}

// PrintDefaults returns the defaults as YAML.
func DefaultsYAML() (text string, err error) {
	defer func() { err = eris.Wrap(err, "print the default settings") }()
	b, err := yaml.Marshal(Defaults())
	return string(b), err
}

// Load reads and checks a settings file.
func Load(path string) (s Settings, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Parse(b)
}

// Parse checks settings whole; the error is a fault.List.
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

// Check turns a document into settings; the error is a fault.List.
func Check(doc Document) (s Settings, err error) {
	var r unit.Parser
	s = Settings{
		VM: vm.ID(doc.Node.VM), Zone: zone.Name(doc.Node.Zone),
		CallerAddress: doc.Listen.Callers, OperatorAddress: doc.Listen.Operators, PeerAddress: doc.Listen.Peers, HealthAddress: doc.Listen.Health,
		LogURL: strings.TrimSuffix(doc.Platform.Log, "/"), VMsURL: strings.TrimSuffix(doc.Platform.VMs, "/"),
		LogRetention:  r.Duration("platform.log-retention", doc.Platform.LogRetention, 0),
		ListInterval:  r.Duration("platform.list-every", doc.Platform.ListEvery, 0),
		OperatorToken: doc.Tokens.Operators, PeerToken: doc.Tokens.Peers,
		StopGrace: r.Duration("stop.grace", doc.Stop.Grace, 0), StopTimeout: r.Duration("stop.limit", doc.Stop.Limit, 0),
		MaxHeldCalls: doc.Calls.MaxHeld, CallerHeader: doc.Calls.CallerHeader, ReplayBufferBytes: int64(doc.Calls.ReplayBufferBytes),
		IdleTimeout:   r.Duration("calls.idle-timeout", doc.Calls.IdleTimeout, 0),
		HeaderTimeout: r.Duration("calls.header-timeout", doc.Calls.HeaderTimeout, 0),
		Measuring: measuring.Settings{
			MessagesPerSecond: doc.Measuring.MessagesPerSecond, RefusalsPerSecond: doc.Measuring.RefusalsPerSecond, BytesPerSecond: unit.Bytes(doc.Measuring.BytesPerSecond),
			TargetTimePerSecond: r.Duration("measuring.target-time-per-second", doc.Measuring.TargetTimePerSecond, 0),
		},
		FleetClaimAppendsPerSecond: doc.Claims.FleetAppendsPerSecond,
		ClaimTimeout:               r.Duration("claims.patience", doc.Claims.Patience, 0),
		TargetProtocol: wire.Protocol{
			InstanceHeader: doc.TargetProtocol.InstanceHeader, StateHeader: doc.TargetProtocol.StateHeader,
			InFlightHeader: doc.TargetProtocol.InFlightHeader, RefusalHeader: doc.TargetProtocol.RefusalHeader,
			RefusalValue: doc.TargetProtocol.RefusalValue, DeadlineHeader: doc.TargetProtocol.DeadlineHeader,
			LoadPath: doc.TargetProtocol.LoadPath,
		},
	}
	checkNode(&r, s)
	checkListen(&r, s)
	checkPlatform(&r, s)
	checkBounds(&r, s)
	level, err := zapcore.ParseLevel(cmp.Or(doc.Log.Level, "info"))
	if err != nil {
		r.Faults.Add("log.level", "%q is not one of debug, info, warn, error", doc.Log.Level)
	}
	s.LogLevel = level
	return s, r.Faults.Err()
}

func checkNode(r *unit.Parser, s Settings) {
	if s.VM == "" {
		r.Faults.Add("node.vm", "is missing; it is the VM's name in the platform's list")
	}
	if s.Zone == "" {
		r.Faults.Add("node.zone", "is missing; it is the VM's availability zone")
	}
}

func checkListen(r *unit.Parser, s Settings) {
	seen := map[string]string{}
	for _, l := range []struct{ field, address string }{
		{"listen.callers", s.CallerAddress}, {"listen.operators", s.OperatorAddress}, {"listen.peers", s.PeerAddress}, {"listen.health", s.HealthAddress},
	} {
		if err := checkAddress(l.address); err != "" {
			r.Faults.Add(l.field, "%q %s", l.address, err)
			continue
		}
		if other, taken := seen[l.address]; taken && !strings.HasSuffix(l.address, ":0") {
			r.Faults.Add(l.field, "%q is also %s", l.address, other)
		}
		seen[l.address] = l.field
	}
	needToken(r, "operators", s.OperatorAddress, s.OperatorToken)
	needToken(r, "peers", s.PeerAddress, s.PeerToken)
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

// needToken asks for a token where others than this VM can connect.
func needToken(r *unit.Parser, who, address, token string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return
	}
	ip, err := netip.ParseAddr(host)
	if err == nil && !ip.IsLoopback() && token == "" {
		r.Faults.Add("tokens."+who, "is missing, but listen.%s is not a loopback address", who)
	}
}

func checkPlatform(r *unit.Parser, s Settings) {
	for _, u := range []struct{ field, url string }{{"platform.log", s.LogURL}, {"platform.vms", s.VMsURL}} {
		parsed, err := url.Parse(u.url)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			r.Faults.Add(u.field, "%q is not an address such as \"http://10.0.0.9:9000\"", u.url)
		}
	}
	r.CheckDuration("platform.log-retention", s.LogRetention, time.Minute, 365*24*time.Hour)
	r.CheckDuration("platform.list-every", s.ListInterval, 100*time.Millisecond, time.Minute)
}

func checkBounds(r *unit.Parser, s Settings) {
	r.CheckDuration("stop.limit", s.StopTimeout, s.StopGrace, time.Hour)
	r.CheckInt("calls.max-held", s.MaxHeldCalls, 1, 1<<20)
	r.CheckInt("calls.replay-buffer-bytes", int(s.ReplayBufferBytes), 1, 64<<20)
	r.CheckDuration("calls.idle-timeout", s.IdleTimeout, time.Second, time.Hour)
	r.CheckDuration("calls.header-timeout", s.HeaderTimeout, 100*time.Millisecond, time.Hour)
	r.CheckDuration("claims.patience", s.ClaimTimeout, 10*time.Millisecond, time.Minute)
	positive(r, "measuring.messages-per-second", s.Measuring.MessagesPerSecond)
	positive(r, "measuring.bytes-per-second", float64(s.Measuring.BytesPerSecond))
	positive(r, "measuring.refusals-per-second", s.Measuring.RefusalsPerSecond)
	positive(r, "measuring.target-time-per-second", s.Measuring.TargetTimePerSecond.Seconds())
	positive(r, "claims.fleet-appends-per-second", s.FleetClaimAppendsPerSecond)
	for _, h := range []struct{ field, text string }{
		{"instance-header", s.TargetProtocol.InstanceHeader}, {"state-header", s.TargetProtocol.StateHeader},
		{"in-flight-header", s.TargetProtocol.InFlightHeader}, {"refusal-header", s.TargetProtocol.RefusalHeader},
		{"refusal-value", s.TargetProtocol.RefusalValue}, {"deadline-header", s.TargetProtocol.DeadlineHeader},
	} {
		if h.text == "" {
			r.Faults.Add("target-protocol."+h.field, "is empty")
		}
	}
	if !strings.HasPrefix(s.TargetProtocol.LoadPath, "/") {
		r.Faults.Add("target-protocol.load-path", "%q does not start with \"/\"", s.TargetProtocol.LoadPath)
	}
}

func positive(r *unit.Parser, field string, value float64) {
	if value <= 0 {
		r.Faults.Add(field, "must be more than zero")
	}
}
