package event

import (
	"fmt"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a kind of log line.
type Event struct {
	// Number identifies the event permanently. Numbers are never reused.
	Number int
	// Name is the log message, in kebab case.
	Name string
	// Level is the log level.
	Level zapcore.Level
	// Meaning describes what happened and, if necessary, what to do.
	Meaning string
}

// Log writes the event with the given fields. It does nothing if logger is nil.
func (e Event) Log(logger *zap.Logger, fields ...zap.Field) {
	if logger == nil {
		return
	}
	if entry := logger.Check(e.Level, e.Name); entry != nil {
		entry.Write(append([]zap.Field{zap.Int("event", e.Number)}, fields...)...)
	}
}

// maxIDBytes is the maximum length of a request's ID in a log line. Callers choose the IDs.
const maxIDBytes = 128

// RequestID returns the field with the ID of a request, shortened if it is too long.
func RequestID(id string) zap.Field { return zap.String("id", id[:min(len(id), maxIDBytes)]) }

// Events of the node lifecycle.
var (
	NodeStarting   = register(100, "node-starting", zap.InfoLevel, "The node has read its settings and is opening its ports.")
	NodeReady      = register(101, "node-ready", zap.InfoLevel, "The node has a configuration and reports itself ready to the platform's balancer.")
	NodeUnready    = register(102, "node-unready", zap.WarnLevel, "The node reports itself unready; the field reason states why, or the field leaving is true during a planned stop. It still serves the calls that arrive.")
	NodeLeaving    = register(103, "node-leaving", zap.InfoLevel, "A planned stop has begun: the node reports itself unready, and calls in progress continue.")
	NodeStopped    = register(104, "node-stopped", zap.InfoLevel, "The node has stopped; the field cut holds the number of calls that were cut off.")
	NodeForcedStop = register(105, "node-forced-stop", zap.ErrorLevel, "The time limit or a second signal ended a planned stop; calls were cut off.")
	PortFailed     = register(109, "port-failed", zap.ErrorLevel, "A port of the node stopped accepting connections.")
	MembershipLost = register(110, "membership-lost", zap.WarnLevel, "A request to renew or end the node's membership or to list the members failed; the last known members stay in use.")
	NodeReloaded   = register(107, "node-reloaded", zap.InfoLevel, "The settings file was reloaded.")
	SettingsBad    = register(108, "settings-bad", zap.ErrorLevel, "The settings file is invalid; the previous settings stay active.")
	NodeIncomplete = register(111, "node-incomplete", zap.WarnLevel, "The node has started and cannot serve yet; the fields state whether it has a plan, whether it has received how far the targets topic was read, which of its copies of the topics are complete, and its links and known nodes. The line is repeated every second.")
	NodePaused     = register(106, "node-paused", zap.WarnLevel, "The process or VM was paused for the duration in the field stood; claims and cold-start leases that expired meanwhile are not used.")
)

// Events of the configuration.
var (
	ConfigInForce       = register(200, "config-in-force", zap.InfoLevel, "A newer configuration became active at this node.")
	ConfigBehind        = register(201, "config-behind", zap.ErrorLevel, "Configuration records expired before this node read them; it waits for a snapshot or a peer.")
	ConfigFromPeer      = register(202, "config-from-peer", zap.InfoLevel, "The configuration was received from a peer before it was read from the log.")
	ConfigSnapshot      = register(203, "config-snapshot", zap.InfoLevel, "This node wrote a snapshot of the configuration to the log.")
	ConfigFormat        = register(204, "config-format", zap.ErrorLevel, "A configuration record has a newer format than this version can read; upgrade this node.")
	ConfigMalformed     = register(205, "config-malformed", zap.ErrorLevel, "A record of the configuration stream cannot be decoded and is skipped.")
	PublicationAccepted = register(210, "publication-accepted", zap.InfoLevel, "An operator's publication became active.")
	PublicationRefused  = register(211, "publication-refused", zap.WarnLevel, "An operator's publication was refused or was overtaken by another one; the field reason states why.")
	PublicationUnknown  = register(212, "publication-unknown", zap.ErrorLevel, "A publication was not read from the log in time; it may still become active. The field error is present if the log did not confirm the append.")
)

// Events of temporary withdrawals.
var (
	ZoneWithdrawn = register(220, "zone-withdrawn", zap.WarnLevel, "A temporary withdrawal of an availability zone started or ended; it expires after left-ms.")
)

// Events of records in the platform's store.
var (
	PlanInForce       = register(230, "plan-in-force", zap.InfoLevel, "A newer plan (the operator's configuration) became active at this node.")
	PlanUnreadable    = register(231, "plan-unreadable", zap.ErrorLevel, "A plan cannot be decoded; the previous plan stays active.")
	PlanOutdated      = register(232, "plan-outdated", zap.WarnLevel, "A later record holds a plan that is not newer than the active one; the active plan stays.")
	ZoneOutOfService  = register(233, "zone-out-of-service", zap.WarnLevel, "The operator took an availability zone out of service (field out is true) or returned it to service (false).")
	TargetListed      = register(234, "target-listed", zap.InfoLevel, "The store entry of a target changed or was removed; the field state holds the new state.")
	TargetMisdirected = register(235, "target-misdirected", zap.WarnLevel, "Another process responds at a target's address; the target gets no calls.")
	RecordMalformed   = register(236, "record-malformed", zap.WarnLevel, "A member of the nodes' group or the status of a roll-out cannot be used and is ignored; the field error states why.")
)

// Events of the platform's services.
var (
	LogAway            = register(300, "log-away", zap.WarnLevel, "The platform's log does not respond; calls continue, publications and claims are refused.")
	LogBack            = register(301, "log-back", zap.InfoLevel, "The platform's log responds again.")
	StoreAway          = register(302, "store-away", zap.WarnLevel, "A read of the topic in the field topic of the platform's store failed; the last known state (age-ms old) stays in use, and updates from peers are still applied.")
	StoreBack          = register(303, "store-back", zap.InfoLevel, "The platform's store responds to this node's reads of the topic again.")
	ReaderTurn         = register(304, "reader-turn", zap.InfoLevel, "This node started reading the topic for its peers (field reading is true) or left that to another node (false).")
	StoreRestored      = register(305, "store-restored", zap.WarnLevel, "The platform's store came back from an older copy and begins a new epoch; what it lacks stays in use until it is written again or the time for that is over.")
	BackupSaved        = register(306, "backup-saved", zap.InfoLevel, "This node saved a snapshot of the topic in other partitions of the store; the fields state how many hold it (copies), how many it was written to and its bytes.")
	BackupFailed       = register(307, "backup-failed", zap.WarnLevel, "Fewer partitions of the store than wanted hold the latest snapshot of the topic (field copies); while the topic is away, a fleet that loses its memory may not serve.")
	BackupRestored     = register(308, "backup-restored", zap.WarnLevel, "The topic is away and this node had no copy of it: it uses the latest snapshot that the store holds in other partitions.")
	BackupMissing      = register(309, "backup-missing", zap.WarnLevel, "The topic is away, this node has no copy of it, and no partition that responds holds a snapshot.")
	ListAway           = register(310, "list-away", zap.WarnLevel, "The platform's list of VMs does not respond; the last list stays in use.")
	ListBack           = register(311, "list-back", zap.InfoLevel, "The platform's list of VMs responds again.")
	ListIncomplete     = register(312, "list-incomplete", zap.WarnLevel, "The list lacks most targets of a service although they respond; they stay in use until the list is complete again.")
	ListEntryMalformed = register(313, "list-entry-malformed", zap.WarnLevel, "An entry of the platform's list of VMs cannot be used and is ignored; the field error states why.")
)

// Events of calls and of their log lines.
var (
	CallPlaced    = register(703, "call-placed", zap.InfoLevel, "An attempt of a call was sent to a target; the line holds the forecast, the load report that it is based on and the age of the report.")
	CallHedged    = register(704, "call-hedged", zap.InfoLevel, "A hedge was sent because an attempt takes longer than forecast.")
	CallWaits     = register(705, "call-waits", zap.InfoLevel, "No target is forecast to respond in time, or other calls wait before this one; the call waits in the node for capacity.")
	CallFailed    = register(706, "call-failed", zap.InfoLevel, "An attempt ended without a response; the field written states whether any byte of it may have reached the target, broken why what the target sent is no response, and the field request holds a digest of the caller, method, host, path, query and body, which is the same for each copy of the request at every node.")
	CallHeldBack  = register(707, "call-held-back", zap.InfoLevel, "The rate limits that all usable targets name leave no capacity now; the call waits for this node's next turn, or is refused (field refused). The line holds the number of these targets, the sum of their limits and the age of the oldest.")
	CallForwarded = register(708, "call-forwarded", zap.InfoLevel, "This node has no path to the targets of the call and sent it through the node in the field via, whose log has its lines with the same id. The field runs holds the number of attempts so far that may have run, and extra-left the number of extra attempts that the call may still make.")
	ForwardFailed = register(709, "forward-failed", zap.InfoLevel, "The node in the field via did not take a call or was lost; the field result states how, reason why it refused the call, and written whether the call may have reached it.")
	CallRelayed   = register(711, "call-relayed", zap.InfoLevel, "This node took a call that another node (field from) sent because it has no path to the targets.")
	RelayRefused  = register(712, "relay-refused", zap.WarnLevel, "This node did not take a call of another node (field from); the field reason states why: unknown-sender, other-node, too-many-calls, not-ready, or a reason for which a call is not run that lies with this node, such as path-lost or no-service. The call did not start here.")
	IntakeRefused = register(713, "intake-refused", zap.WarnLevel, "A request from the address in the field from was refused at the port in the field port before its head was parsed, or its connection was closed; the field reason states why: head-too-long, head-too-slow, no-memory or no-connection. Nothing has run.")
	CallDone      = register(700, "call-done", zap.InfoLevel, "A target responded to a call, and its whole response was forwarded.")
	CallNotRun    = register(701, "call-not-run", zap.InfoLevel, "A call was refused and did not run; the field reason states why.")
	CallUnknown   = register(702, "call-unknown", zap.WarnLevel, "A call may have run, but has no response; the field reason states why.")
	LinesCut      = register(710, "lines-cut", zap.WarnLevel, "Log lines were dropped since the last event of this kind, because their rate was too high or the reader of the log was too slow.")
)

// Events of targets.
var (
	TargetState         = register(400, "target-state", zap.InfoLevel, "The state of a target changed in this node's view.")
	TargetInstance      = register(401, "target-instance", zap.WarnLevel, "A target responds as another instance than before; it is treated as in cold start.")
	TargetEjected       = register(402, "target-ejected", zap.WarnLevel, "A target fails or is much slower than the other targets of its service; it gets no calls for a while.")
	TargetReturned      = register(403, "target-returned", zap.InfoLevel, "The trial call to an ejected target succeeded; the target gets its share of calls again.")
	MostTargetsFailing  = register(404, "most-targets-failing", zap.WarnLevel, "Most targets of a service appear faulty at the same time; this is taken for a false alarm, and no further target is ejected.")
	TargetMute          = register(405, "target-mute", zap.InfoLevel, "A target did not respond to a load query; for a moment it gets no load query and counts as slow.")
	TargetLeaving       = register(406, "target-leaving", zap.InfoLevel, "A target said on a response that it is about to stop; this node sends it no further calls.")
	TargetBackedOff     = register(407, "target-backed-off", zap.InfoLevel, "A target refused a request and asked for a time without further ones; this node keeps to it.")
	TargetLimited       = register(408, "target-limited", zap.WarnLevel, "A target named or changed the number of requests a second that it takes from all nodes together (fields limit and previous); the field source states the kind of response, or that a peer told of it.")
	TargetUnlimited     = register(409, "target-unlimited", zap.InfoLevel, "A target named no rate limit any more; the field previous holds the last one.")
	TargetLimitInvalid  = register(411, "target-limit-invalid", zap.WarnLevel, "A target named a rate limit that is no number, negative or infinite; what was in force before stays.")
	TargetHeaderUnknown = register(412, "target-header-unknown", zap.WarnLevel, "Responses carry a header of the protocol between targets and nodes that this version does not know (field header): it is forwarded to callers and changes nothing here. Logged once for each header and service.")
	TargetEnded         = register(413, "target-ended", zap.WarnLevel, "The process of a target ended while calls were open at it: after the loss of a response its address refused a new connection or another process answered there. The lines call-failed with the same target name these calls and the digests of their requests.")
	PathLost            = register(420, "path-lost", zap.ErrorLevel, "Several targets of a service (field silent) did not respond to this node and none has responded since: its path to them is lost, or all of them are down. The field last-response-ms is the time since the last response.")
	PathBack            = register(421, "path-back", zap.InfoLevel, "A target of the service responds to this node again.")
	MeasuringForgone    = register(410, "measuring-forgone", zap.DebugLevel, "A probe failed or was not sent, usually because the probe budget is spent; the field cause states why.")
)

// Events of requests that end targets.
var (
	RequestSuspected = register(800, "request-suspected", zap.WarnLevel, "A target ended while a copy of a request was open at it. The field request holds its digest, the field ended the processes that ended under it so far and the nodes that saw it; own states whether this node did.")
	RequestHeld      = register(801, "request-held", zap.ErrorLevel, "A request ended so many targets that no copy of it is sent any more, other than a few trials; the fields are those of request-suspected. Callers get reason quarantined.")
	RequestTrial     = register(802, "request-trial", zap.WarnLevel, "A node sends one copy of a held request, as a trial; the field trials counts them. Its completion clears the request.")
	EndRefuted       = register(804, "end-refuted", zap.InfoLevel, "A target that another node took for ended responded to this one: that node had lost its path to it, and the end counts against no request.")
	RequestCleared   = register(803, "request-cleared", zap.InfoLevel, "A copy of a suspected request was completed, or an operator released it: it is sent like any other again.")
)

// Events of roll-outs.
var (
	RolloutOrdered     = register(820, "rollout-ordered", zap.InfoLevel, "This node learned of an order to move a service to a version (field to) within a time.")
	RolloutPhase       = register(821, "rollout-phase", zap.WarnLevel, "An order entered a phase; own states whether this node decided it. The fields samples and paired count the samples of both versions, nodes those that made them. At phase stopped, bad of the field of are the failed or slow ones that decided, paired-bad of paired-of those of the old version.")
	RolloutStatus      = register(822, "rollout-status", zap.InfoLevel, "This node wrote the status of an order to the store.")
	RolloutStoreFailed = register(823, "rollout-store-failed", zap.WarnLevel, "The status of an order was not read or written; the node tries again.")
	RolloutInvalid     = register(824, "rollout-invalid", zap.ErrorLevel, "An order cannot be read and is ignored; the field error names the field.")
)

// Events of quotas.
var (
	QuotaOwnerSilent = register(830, "quota-owner-silent", zap.WarnLevel, "A node that grants quotas of tenants (field peer) does not respond to datagrams; deputies grant a small part of these quotas, and all of them after 1.5 s.")
)

// Events of peers.
var (
	PeerUp      = register(500, "peer-up", zap.InfoLevel, "A connection to a peer was established.")
	PeerDown    = register(501, "peer-down", zap.InfoLevel, "A connection to a peer ended; the field reason states why.")
	PeerRefused = register(502, "peer-refused", zap.WarnLevel, "A connection without the peers' token was refused.")
	MemberLive  = register(510, "member-live", zap.InfoLevel, "An entry node is live.")
	MemberGone  = register(511, "member-gone", zap.WarnLevel, "An entry node was silent for too long or has left.")
)

// Events of claims.
var (
	ClaimsReady   = register(600, "claims-ready", zap.InfoLevel, "The node has read the claim stream to its end.")
	ClaimsRefused = register(601, "claims-refused", zap.WarnLevel, "Calls with idempotency keys are refused as not run because claims are unavailable.")
)

// Events of invariants.
var (
	InvariantBroken = register(900, "invariant-broken", zap.ErrorLevel, "An invariant was violated; the field invariant names it. Report it with the surrounding log lines.")
)

var catalogue []Event

func register(number int, name string, level zapcore.Level, meaning string) Event {
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events in the order of their declaration.
func Catalogue() []Event {
	return append([]Event(nil), catalogue...)
}

// Markdown returns the catalogue in the form of docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nPrinted by `apricotctl events`. Every log line carries its event's number in\nthe field `event`.\n\n")
	b.WriteString("| number | name | level | meaning |\n|---|---|---|---|\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning)
	}
	return b.String()
}
