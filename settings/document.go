package settings

// Document is the settings file as people write it.
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

// NodeDocument says who and where the node is.
type NodeDocument struct {
	VM   string `yaml:"vm"`
	Zone string `yaml:"zone"`
}

// ListenDocument holds the addresses the node listens on.
type ListenDocument struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
	Health    string `yaml:"health"`
}

// PlatformDocument says where the platform's services are.
type PlatformDocument struct {
	Log          string `yaml:"log"`
	VMs          string `yaml:"vms"`
	LogRetention string `yaml:"log-retention"`
	ListEvery    string `yaml:"list-every"`
}

// TokensDocument holds the secrets that operators and peers must show.
type TokensDocument struct {
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// StopDocument says how a planned stop goes.
type StopDocument struct {
	Grace string `yaml:"grace"`
	Limit string `yaml:"limit"`
}

// CallsDocument bounds what the node holds of calls.
type CallsDocument struct {
	MaxHeld           int    `yaml:"max-held"`
	CallerHeader      string `yaml:"caller-header"`
	ReplayBufferBytes int    `yaml:"replay-buffer-bytes"`
	IdleTimeout       string `yaml:"idle-timeout"`
	HeaderTimeout     string `yaml:"header-timeout"`
}

// MeasuringDocument is the agreed budget of measuring load, per second.
type MeasuringDocument struct {
	MessagesPerSecond   float64 `yaml:"messages-per-second"`
	BytesPerSecond      int     `yaml:"bytes-per-second"`
	TargetTimePerSecond string  `yaml:"target-time-per-second"`
	RefusalsPerSecond   float64 `yaml:"refusals-per-second"`
}

// ClaimsDocument bounds what claims on idempotency keys take of the log.
type ClaimsDocument struct {
	FleetAppendsPerSecond float64 `yaml:"fleet-appends-per-second"`
	Patience              string  `yaml:"patience"`
}

// ProtocolDocument names the headers that targets use.
type ProtocolDocument struct {
	InstanceHeader string `yaml:"instance-header"`
	StateHeader    string `yaml:"state-header"`
	InFlightHeader string `yaml:"in-flight-header"`
	RefusalHeader  string `yaml:"refusal-header"`
	RefusalValue   string `yaml:"refusal-value"`
	DeadlineHeader string `yaml:"deadline-header"`
	LoadPath       string `yaml:"load-path"`
}

// LogDocument says what the node writes to its own log.
type LogDocument struct {
	Level string `yaml:"level"`
}
