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
	AnswerLost     Reason = "answer-lost"
	AttemptTimeout Reason = "attempt-timeout"
	CallerGoneSent Reason = "caller-gone-after-send"
	KeyClaimed     Reason = "key-claimed"
	AnswerUnframed Reason = "answer-unframed"
)

// NotRunReasons are all reasons why a call was not run.
var NotRunReasons = []Reason{
	NoService, BadDeadline, DeadlinePassed, DeadlineTooClose, TooDeep, QueueFull, QueueTimeout,
	DisplacedByUrgent, NodeFull, NoTarget, OnlyColdTargets, TargetsRefused, ConnectFailed, KeyMissing,
	KeyInvalid, KeyReused, KeyTooOld, ClaimUnavailable, ClaimsBehind, ClaimLapsed, CallerGone,
	UpgradeRefused, BodyBroken, NoPlan, BodyTooLong, HeadersTooLong,
}

// UnknownReasons are all reasons why the outcome of a call is unknown.
var UnknownReasons = []Reason{AnswerLost, AttemptTimeout, CallerGoneSent, KeyClaimed, AnswerUnframed}

// Advice tells the caller of a call that was not run what to do.
type Advice struct {
	// Retry says that the same call may succeed later.
	Retry bool
	// After is how long to wait before that.
	After time.Duration
}

// Usual waits that callers are advised to keep.
const (
	shortRetryAfter = time.Second
	longRetryAfter  = 5 * time.Second
)

// AdviceFor returns the advice that goes with a reason.
func AdviceFor(r Reason) Advice {
	switch r {
	case QueueFull, QueueTimeout, DeadlineTooClose, DisplacedByUrgent, NodeFull, TargetsRefused, ConnectFailed, OnlyColdTargets:
		return Advice{Retry: true, After: shortRetryAfter}
	case NoTarget, ClaimUnavailable, ClaimsBehind, ClaimLapsed:
		return Advice{Retry: true, After: longRetryAfter}
	case DeadlinePassed, CallerGone, BodyBroken:
		return Advice{Retry: true}
	default:
		return Advice{}
	}
}

// RetryReason says why a further attempt was made, or was not.
type RetryReason string

// Reasons of further attempts, and of attempts forgone.
const (
	RetryConnectFailed  RetryReason = "connect-failed"
	RetryTargetRefused  RetryReason = "target-refused"
	RetryAnswerLost     RetryReason = "answer-lost"
	RetryAttemptTimeout RetryReason = "attempt-timeout"
	RetryServerFailed   RetryReason = "server-failed"
	RetryHedge          RetryReason = "hedge"
	RetryHedgeWon       RetryReason = "hedge-won"
	ForgoneNoTokens     RetryReason = "forgone-no-tokens"
	ForgoneNoAllowance  RetryReason = "forgone-no-allowance"
	ForgoneNotSafe      RetryReason = "forgone-not-idempotent"
	ForgoneBodyConsumed RetryReason = "forgone-body-consumed"
	ForgoneDeadline     RetryReason = "forgone-deadline"
	ForgoneBusy         RetryReason = "forgone-targets-busy"
)

// RetryReasons are all reasons of further attempts.
var RetryReasons = []RetryReason{
	RetryConnectFailed, RetryTargetRefused, RetryAnswerLost, RetryAttemptTimeout, RetryServerFailed, RetryHedge, RetryHedgeWon,
	ForgoneNoTokens, ForgoneNoAllowance, ForgoneNotSafe, ForgoneBodyConsumed, ForgoneDeadline, ForgoneBusy,
}

// Refusal is an outcome other than done with its reason; the zero value is no
// refusal.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
}
