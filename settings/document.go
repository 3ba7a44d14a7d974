package settings

// Document is the settings file as operators write it. Durations are texts with
// a unit.
type Document struct {
	Node           NodeDocument      `yaml:"node"`
	Listen         ListenDocument    `yaml:"listen"`
	Platform       PlatformDocument  `yaml:"platform"`
	Tokens         TokensDocument    `yaml:"tokens"`
	Stop           StopDocument      `yaml:"stop"`
	Calls          CallsDocument     `yaml:"calls"`
	Measuring      MeasuringDocument `yaml:"measuring"`
	Claims         ClaimsDocument    `yaml:"claims"`
	TargetProtocol ProtocolDocument  `yaml:"target-protocol"`
	Log            LogDocument       `yaml:"log"`
}

// NodeDocument identifies the node by its VM and availability zone, and states the memory that its
// process may take, in megabytes.
type NodeDocument struct {
	VM       string `yaml:"vm"`
	Zone     string `yaml:"zone"`
	MemoryMB int    `yaml:"memory-mb"`
}

// ListenDocument holds the addresses that the node listens on, as IP:port.
type ListenDocument struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
	Health    string `yaml:"health"`
}

// PlatformDocument holds the URLs of the platform's log and VM list, the retention
// of the log and the interval between reads of the list.
type PlatformDocument struct {
	Log          string `yaml:"log"`
	VMs          string `yaml:"vms"`
	LogRetention string `yaml:"log-retention"`
	ListEvery    string `yaml:"list-every"`
}

// TokensDocument holds the secrets that requests of operators and connections of
// peers must present.
type TokensDocument struct {
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// StopDocument holds the durations of a planned stop.
type StopDocument struct {
	Grace string `yaml:"grace"`
	Limit string `yaml:"limit"`
}

// CallsDocument holds the limits and timeouts of calls in the node, and the
// request header that identifies the caller.
type CallsDocument struct {
	MaxHeld           int    `yaml:"max-held"`
	CallerHeader      string `yaml:"caller-header"`
	ReplayBufferBytes int    `yaml:"replay-buffer-bytes"`
	IdleTimeout       string `yaml:"idle-timeout"`
	HeaderTimeout     string `yaml:"header-timeout"`
	MaxHeaderBytes    int    `yaml:"max-header-bytes"`
}

// MeasuringDocument is the budget for measuring the load of targets, per second.
type MeasuringDocument struct {
	MessagesPerSecond   float64 `yaml:"messages-per-second"`
	BytesPerSecond      int     `yaml:"bytes-per-second"`
	TargetTimePerSecond string  `yaml:"target-time-per-second"`
	RefusalsPerSecond   float64 `yaml:"refusals-per-second"`
}

// ClaimsDocument holds the limits of claims on idempotency keys: the rate of log
// appends by all nodes together, per second, and the maximum wait of a call for
// the decision on its claim.
type ClaimsDocument struct {
	FleetAppendsPerSecond float64 `yaml:"fleet-appends-per-second"`
	Patience              string  `yaml:"patience"`
}

// ProtocolDocument holds the headers and the load path of the protocol between
// nodes and targets.
type ProtocolDocument struct {
	InstanceHeader string `yaml:"instance-header"`
	StateHeader    string `yaml:"state-header"`
	InFlightHeader string `yaml:"in-flight-header"`
	RefusalHeader  string `yaml:"refusal-header"`
	RefusalValue   string `yaml:"refusal-value"`
	DeadlineHeader string `yaml:"deadline-header"`
	LoadPath       string `yaml:"load-path"`
}

// LogDocument configures the log output of the node.
type LogDocument struct {
	Level string `yaml:"level"`
}
