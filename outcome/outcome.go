package outcome

import "time"

// Outcome is what became of a call.
type Outcome string

// The outcomes.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Reason says why a call was not done.
type Reason string

// Reasons why a call was certainly not run.
const (
	NoService         Reason = "no-service"
	BadDeadline       Reason = "bad-deadline"
	DeadlinePassed    Reason = "deadline-passed"
	DeadlineTooClose  Reason = "deadline-too-close"
	TooDeep           Reason = "too-deep"
	QueueFull         Reason = "queue-full"
	QueueTimeout      Reason = "queue-timeout"
	DisplacedByUrgent Reason = "displaced-by-urgent"
	NodeFull          Reason = "node-full"
	NoTarget          Reason = "no-target"
	OnlyColdTargets   Reason = "only-cold-targets"
	TargetsRefused    Reason = "targets-refused"
	ConnectFailed     Reason = "connect-failed"
	KeyMissing        Reason = "key-missing"
	KeyInvalid        Reason = "key-invalid"
	KeyReused         Reason = "key-reused"
	KeyTooOld         Reason = "key-too-old"
	ClaimUnavailable  Reason = "claim-unavailable"
	ClaimsBehind      Reason = "claims-behind"
	ClaimLapsed       Reason = "claim-lapsed"
	CallerGone        Reason = "caller-gone"
	UpgradeRefused    Reason = "upgrade-refused"
	BodyBroken        Reason = "body-broken"
	NoPlan            Reason = "no-plan"
	BodyTooLong       Reason = "body-too-long"
	HeadersTooLong    Reason = "headers-too-long"
)

// Reasons why it is unknown whether a call ran.
const (
	AnswerLost          Reason = "answer-lost"
	AttemptTimeout      Reason = "attempt-timeout"
	CallerGoneAfterSend Reason = "caller-gone-after-send"
	KeyClaimed          Reason = "key-claimed"
	AnswerUnframed      Reason = "answer-unframed"
)

// NotRunReasons are all reasons why a call was not run.
var NotRunReasons = []Reason{
	NoService, BadDeadline, DeadlinePassed, DeadlineTooClose, TooDeep, QueueFull, QueueTimeout,
	DisplacedByUrgent, NodeFull, NoTarget, OnlyColdTargets, TargetsRefused, ConnectFailed, KeyMissing,
	KeyInvalid, KeyReused, KeyTooOld, ClaimUnavailable, ClaimsBehind, ClaimLapsed, CallerGone,
	UpgradeRefused, BodyBroken, NoPlan, BodyTooLong, HeadersTooLong,
}

// UnknownReasons are all reasons why the outcome of a call is unknown.
var UnknownReasons = []Reason{AnswerLost, AttemptTimeout, CallerGoneAfterSend, KeyClaimed, AnswerUnframed}

// Advice tells the caller of a call that was not run what to do.
type Advice struct {
	// Retry says that the same call may succeed later.
	CanRetry bool
	// After is how long to wait before that.
	RetryAfter time.Duration
}

// Usual waits that callers are advised to keep.
const (
	shortWait = time.Second
	longWait  = 5 * time.Second
)

// AdviceFor returns the advice that goes with a reason.
func AdviceFor(r Reason) Advice {
	switch r {
	case QueueFull, QueueTimeout, DeadlineTooClose, DisplacedByUrgent, NodeFull, TargetsRefused, ConnectFailed, OnlyColdTargets:
		return Advice{CanRetry: true, RetryAfter: shortWait}
	case NoTarget, ClaimUnavailable, ClaimsBehind, ClaimLapsed:
		return Advice{CanRetry: true, RetryAfter: longWait}
	case DeadlinePassed, CallerGone, BodyBroken:
		return Advice{CanRetry: true}
	default:
		return Advice{}
	}
}

// RetryReason says why a further attempt was made, or was not.
type ExtraAttemptReason string

// Reasons of further attempts, and of attempts forgone.
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
)

// RetryReasons are all reasons of further attempts.
var ExtraAttemptReasons = []ExtraAttemptReason{
	RetryConnectFailed, RetryTargetRefused, RetryAnswerLost, RetryAttemptTimeout, RetryServerFailed, RetryHedge, RetryHedgeWon,
	ForgoneNoTokens, ForgoneNoAllowance, ForgoneNotIdempotent, ForgoneBodyConsumed, ForgoneDeadline, ForgoneTargetsBusy,
}

// Refusal is an outcome other than done with its reason; the zero value is no
// refusal.
type Failure struct {
	Outcome Outcome
	Reason  Reason
}
