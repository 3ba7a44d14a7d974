package operator

// SuspectedRequest is a request that ended targets, as recorded by the responding node.
type SuspectedRequest struct {
	// Request is the digest of the request, as it stands in log lines.
	Request string `json:"request"`
	// Verdict states how copies of the request are sent: watched, suspected or held; free
	// after a copy was completed.
	Verdict string `json:"verdict"`
	// Trials is the number of copies that were sent while the request was held.
	Trials int           `json:"trials"`
	Ended  []EndedTarget `json:"ended"`
}

// EndedTarget is a process of a target that ended while a copy of a request was open at it.
type EndedTarget struct {
	VM       string `json:"vm"`
	Instance string `json:"instance"`
	// Witness is the node that saw the end, and Age the duration since.
	Witness string `json:"witness"`
	Age     string `json:"age"`
}

// ReleaseRequest is a request to make a suspected request be sent like any other again.
type ReleaseRequest struct {
	// Request is the digest of the request.
	Request string `json:"request" yaml:"request"`
}
