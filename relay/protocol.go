package relay

import "github.com/apricotmount/apricotmount/wire"

// Headers and path between nodes.
const (
	// headerInstance identifies the process of the receiving node on its responses. Builds
	// whose responses do not state an outcome use another name, so that no call is sent to
	// them.
	headerInstance = "Apricot-Relay-Process"
	headerState    = "Apricot-Relay-State"
	headerInFlight = "Apricot-Relay-In-Flight"
	// headerRefused marks a response of a node that has not started the call.
	headerRefused = "Apricot-Relay-Refused"
	// headerOutcome carries the outcome of a call on each response: done if the response is
	// that of a target. headerReason carries the reason of another outcome, or of a refusal,
	// and headerRetry the delay advised to the caller, in milliseconds.
	headerOutcome = "Apricot-Relay-Outcome"
	headerReason  = "Apricot-Relay-Reason"
	headerRetry   = "Apricot-Relay-Retry-Ms"
	// headerTo carries the ID of the node that the call is meant for. A request with it
	// is a relayed call.
	headerTo = "Apricot-Relay-To"
	// headerCaller carries the address of the caller.
	headerCaller = "Apricot-Relay-Caller"

	refusedBeforeStart = "before-start"
	stateLive          = "live"
	// probePath is the path by which a new connection to a node is verified.
	probePath = "/relay"
)

// ownHeaders are the headers of responses between nodes, which no target sets.
var ownHeaders = []string{headerInstance, headerState, headerInFlight, headerRefused, headerOutcome, headerReason, headerRetry}

// protocol returns the protocol between nodes. The remaining time of a call is in the header
// in which the receiving node expects it from callers.
func protocol(deadlineHeader string) wire.Protocol {
	return wire.Protocol{
		InstanceHeader: headerInstance, StateHeader: headerState, InFlightHeader: headerInFlight,
		RefusalHeader: headerRefused, RefusalValue: refusedBeforeStart, DeadlineHeader: deadlineHeader,
		LoadPath: probePath, ExpectHeader: headerTo,
		OutcomeHeader: headerOutcome, ReasonHeader: headerReason, RetryHeader: headerRetry,
	}
}
