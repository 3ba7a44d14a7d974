package outcome

import "time"

// Outcome is the outcome of a call, as sent to its caller.
type Outcome string

// The outcomes.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Reason is the reason why the outcome of a call is NotRun or Unknown.
type Reason string

// Reasons for the outcome NotRun.
const (
	NoService         Reason = "no-service"
	BadDeadline       Reason = "bad-deadline"
	DeadlinePassed    Reason = "deadline-passed"
	DeadlineTooClose  Reason = "deadline-too-close"
	TooDeep           Reason = "too-deep" // too many layers of load balancers
	QueueFull         Reason = "queue-full"
	QueueTimeout      Reason = "queue-timeout"
	DisplacedByUrgent Reason = "displaced-by-urgent" // another call took its place in the queue
	NodeFull          Reason = "node-full"           // the node is at its limit of calls over all services
	NoTarget          Reason = "no-target"
	OnlyColdTargets   Reason = "only-cold-targets"
	TargetsRefused    Reason = "targets-refused"
	Quarantined       Reason = "quarantined"     // the request ended the targets that ran it
	TargetsLimited    Reason = "targets-limited" // the targets' rate limits leave no capacity in time
	ConnectFailed     Reason = "connect-failed"
	PathLost          Reason = "path-lost"     // the node has no path to the targets
	NodeStopping      Reason = "node-stopping" // the node stops before the call could be sent
	KeyMissing        Reason = "key-missing"
	KeyInvalid        Reason = "key-invalid"
	KeyReused         Reason = "key-reused" // the key was claimed for a different request
	KeyTooOld         Reason = "key-too-old"
	ClaimUnavailable  Reason = "claim-unavailable" // the claim was not decided in time
	ClaimsBehind      Reason = "claims-behind"     // the node has not caught up with the claim stream
	ClaimLapsed       Reason = "claim-lapsed"      // the claim expired before the send
	CallerGone        Reason = "caller-gone"
	UpgradeRefused    Reason = "upgrade-refused"
	BodyBroken        Reason = "body-broken"    // the request body could not be read
	NoPlan            Reason = "no-plan"        // no operator configuration has been received
	NoTargetList      Reason = "no-target-list" // the list of targets has not been received
	BodyTooLong       Reason = "body-too-long"
	HeadersTooLong    Reason = "headers-too-long"
	OverQuota         Reason = "over-quota"        // the tenant has used up its quota
	QuotaUnavailable  Reason = "quota-unavailable" // no node that grants the tenant's calls responds
	UnknownKey        Reason = "unknown-key"       // no tenant holds the call's API key
	KeyUnverified     Reason = "key-unverified"    // the node's configuration may be too old to know the API key
)

// Reasons for the outcome Unknown.
const (
	AnswerLost          Reason = "answer-lost"
	AttemptTimeout      Reason = "attempt-timeout"
	CallerGoneAfterSend Reason = "caller-gone-after-send"
	KeyClaimed          Reason = "key-claimed"     // an earlier call with the key may have run
	AnswerUnframed      Reason = "answer-unframed" // the end of the response cannot be told from a broken connection
)

// NotRunReasons lists all reasons for the outcome NotRun.
var NotRunReasons = []Reason{
	NoService, BadDeadline, DeadlinePassed, DeadlineTooClose, TooDeep, QueueFull, QueueTimeout,
	DisplacedByUrgent, NodeFull, NoTarget, OnlyColdTargets, TargetsRefused, TargetsLimited, Quarantined, ConnectFailed, PathLost, NodeStopping, KeyMissing,
	KeyInvalid, KeyReused, KeyTooOld, ClaimUnavailable, ClaimsBehind, ClaimLapsed, CallerGone,
	UpgradeRefused, BodyBroken, NoPlan, NoTargetList, BodyTooLong, HeadersTooLong, OverQuota, QuotaUnavailable, UnknownKey, KeyUnverified,
}

// UnknownReasons lists all reasons for the outcome Unknown.
var UnknownReasons = []Reason{AnswerLost, AttemptTimeout, CallerGoneAfterSend, KeyClaimed, AnswerUnframed}

// Advice is the retry advice sent to the caller of a call that was not run.
type Advice struct {
	// CanRetry reports whether the same call may succeed later.
	CanRetry bool
	// RetryAfter is the delay before such a retry; zero means that no delay is
	// advised.
	RetryAfter time.Duration
}

// Delays that callers are advised to wait before a retry.
const (
	shortRetryAfter = time.Second
	longRetryAfter  = 5 * time.Second
)

// AdviceFor returns the retry advice for a reason. It is the zero Advice for the
// reasons of Unknown and for those that a retry of the same call does not remove.
func AdviceFor(r Reason) Advice {
	switch r {
	case QueueFull, QueueTimeout, DeadlineTooClose, DisplacedByUrgent, NodeFull, TargetsRefused, TargetsLimited, ConnectFailed, PathLost, NodeStopping, OnlyColdTargets, KeyUnverified, OverQuota, QuotaUnavailable:
		return Advice{CanRetry: true, RetryAfter: shortRetryAfter}
	case NoTarget, Quarantined, ClaimUnavailable, ClaimsBehind, ClaimLapsed:
		return Advice{CanRetry: true, RetryAfter: longRetryAfter}
	case DeadlinePassed, CallerGone, BodyBroken:
		return Advice{CanRetry: true}
	default:
		return Advice{}
	}
}

// LiesWithNode reports whether a call that another node has sent was not run for a reason that
// lies with the node alone: a third one may serve it. The first node has found no fault in the
// call's deadline, headers and key.
func LiesWithNode(r Reason) bool {
	switch r {
	case NoService, BadDeadline, TooDeep, NodeFull, NoTarget, ConnectFailed, PathLost, NodeStopping, UpgradeRefused, BodyBroken, NoPlan, NoTargetList, KeyMissing, KeyInvalid:
		return true
	default:
		return false
	}
}

// ExtraAttemptReason is the reason why an extra attempt (a retry or a hedge) was
// made or skipped.
type ExtraAttemptReason string

// Reasons for extra attempts and, from ForgoneNoTokens on, for skipped ones.
const (
	RetryConnectFailed   ExtraAttemptReason = "connect-failed"
	RetryTargetRefused   ExtraAttemptReason = "target-refused"
	RetryAnswerLost      ExtraAttemptReason = "answer-lost"
	RetryAttemptTimeout  ExtraAttemptReason = "attempt-timeout"
	RetryServerFailed    ExtraAttemptReason = "server-failed"
	RetryHedge           ExtraAttemptReason = "hedge"
	RetryHedgeWon        ExtraAttemptReason = "hedge-won"
	ForgoneNoTokens      ExtraAttemptReason = "forgone-no-tokens"
	ForgoneNoAllowance   ExtraAttemptReason = "forgone-no-allowance"
	ForgoneNotIdempotent ExtraAttemptReason = "forgone-not-idempotent"
	ForgoneBodyConsumed  ExtraAttemptReason = "forgone-body-consumed"
	ForgoneDeadline      ExtraAttemptReason = "forgone-deadline"
	ForgoneTargetsBusy   ExtraAttemptReason = "forgone-targets-busy"
	ForgoneSuspected     ExtraAttemptReason = "forgone-suspected" // the request may end the targets that run it
)

// ExtraAttemptReasons lists all reasons for extra attempts made or skipped.
var ExtraAttemptReasons = []ExtraAttemptReason{
	RetryConnectFailed, RetryTargetRefused, RetryAnswerLost, RetryAttemptTimeout, RetryServerFailed, RetryHedge, RetryHedgeWon,
	ForgoneNoTokens, ForgoneNoAllowance, ForgoneNotIdempotent, ForgoneBodyConsumed, ForgoneDeadline, ForgoneTargetsBusy, ForgoneSuspected,
}

// Failure is an outcome other than Done, with its reason. The zero value means that
// the call may proceed.
type Failure struct {
	Outcome Outcome
	Reason  Reason
}
