package decision

import "slices"

// Kind is a kind of decision. Its value is the message (msg) of the log line.
type Kind string

// Class determines which lines are dropped first when lines come faster than the rate
// limit allows.
type Class uint8

// The classes, ordered from the first to be dropped to the last.
const (
	// Plain lines report requests that succeeded. They are sampled and rate limited.
	Plain Class = iota
	// Trouble lines report refusals, rejections, retries and failures. They are rate
	// limited.
	Trouble
	// State lines report state changes of the daemon, of other daemons, of upstreams
	// and of the store, and rare faults such as panics. They are not rate limited.
	State
)

// The kinds of decisions. Their values must not change, since package why also parses the
// logs of earlier builds, and operators search logs for the values. Some values therefore
// differ from the names of their constants. See Declarations for the meaning of each kind.
const (
	Answered            Kind = "request answered"
	Refused             Kind = "request refused"
	Failed              Kind = "request failed"
	Aborted             Kind = "request aborted"
	Retried             Kind = "request sent again"
	Hedged              Kind = "request hedged"
	Rejected            Kind = "request given back"
	Withdrawn           Kind = "request withdrawn"
	Ran                 Kind = "request ran"
	RunFailed           Kind = "run failed"
	Suspected           Kind = "request suspected"
	UpstreamState       Kind = "upstream state"
	UpstreamDeparture   Kind = "upstream departure"
	UpstreamLimited     Kind = "upstream limit"
	UpstreamFailing     Kind = "upstream failing"
	UpstreamRecovered   Kind = "upstream trusted"
	ReportRefused       Kind = "report refused"
	PeerState           Kind = "peer state"
	PeerLeaving         Kind = "peer leaving"
	PeersLearned        Kind = "peers learned"
	PeerUnreachable     Kind = "peer lost"
	PeerReachable       Kind = "peer regained"
	ConfigInForce       Kind = "configuration in force"
	ConfigRefused       Kind = "configuration refused"
	Evacuated           Kind = "zones evacuated"
	StoreUnreachable    Kind = "store lost"
	StoreReachable      Kind = "store regained"
	StoreWatched        Kind = "store watched"
	RecordRefused       Kind = "record refused"
	Started             Kind = "daemon started"
	Stopping            Kind = "daemon stopping"
	Stopped             Kind = "daemon stopped"
	Reloaded            Kind = "settings reloaded"
	ReloadRefused       Kind = "settings refused"
	LinesDropped        Kind = "lines dropped"
	QuotaHolderSilent   Kind = "quota holder silent"
	QuotaHolderAnswers  Kind = "quota holder answers"
	QuotaHolderReplaced Kind = "quota holder replaced"
	AnnounceFailed      Kind = "announcement failed"
)

// Declaration documents the lines of one kind.
type Declaration struct {
	Kind  Kind
	Class Class
	// Description says what a line of this kind means. It is printed in the table of
	// docs/LOGS.md.
	Description string
	// Fields are the names of the attributes of a line of this kind, except time, level,
	// msg and request.
	Fields []string
}

// completionFields are the fields of the lines that report the end of a request. The
// following need an explanation:
//   - expected_ms: completion time that the entry predicted when it last picked an
//     upstream for the request
//   - candidates: number of upstreams from which the entry picked
//   - sends: number of attempts that reached an upstream
//   - given_back: number of attempts that a guard rejected
//   - in_flight: number of attempts in flight when the entry ended the request
//   - left_ms: time left until the deadline of the request, negative after the deadline
//   - stopping_ms: how long the daemon had been stopping, 0 if it was not
//   - peer_error: error of the connection to the daemon of the last attempt, only if that
//     connection was lost; without it, reason connection-lost is about the upstream's connection
//   - account: client account of the request, only if it has one
//   - cause: why the reason applies, only for some reasons
//   - cut: whether the daemon closed the caller's connection, so that the caller got
//     no response
var completionFields = []string{
	"route", "service", "upstream", "reason", "status", "retry_after_ms", "took_ms",
	"sends", "given_back", "candidates", "expected_ms", "config", "idempotent", "cut", "in_flight", "left_ms", "stopping_ms", "peer_error", "account", "cause",
}

// exchangeFields are the fields of the lines about the execution of a request by the upstream. The
// following need an explanation:
//   - attempt: number of the attempt of the request, from 0
//   - conn: number of the guard's connection to the upstream, 0 if there was none
//   - conn_request: number of the request on that connection, from 1
//   - unmatched: number of responses to other requests that came first and were discarded
var exchangeFields = []string{"upstream", "attempt", "status", "ran_ms", "conn", "conn_request", "unmatched"}

// Declarations lists every kind once, in the order of the table in docs/LOGS.md.
func Declarations() []Declaration {
	return []Declaration{
		{Answered, Plain, "The entry delivered an upstream's response.", completionFields},
		{Refused, Trouble, "The entry refused a request; no upstream executed it.", completionFields},
		{Failed, Trouble, "The entry responded with an error of its own; the request may have been executed.", completionFields},
		{Aborted, State, "Code that served a request panicked. If `part` is `callers` or `peers`, the connection was closed without a response.", []string{"part", "error", "stack"}},
		{Retried, Trouble, "The entry retried a request at another upstream after an attempt ended. `class` orders retries while the budget is scarce.", []string{"service", "upstream", "reason", "class", "sends", "budget_left"}},
		{Hedged, Trouble, "The entry sent an idempotent request to a second upstream while the first was still running it.", []string{"service", "upstream", "instead_of", "waited_ms", "expected_ms", "budget_left"}},
		{Rejected, Trouble, "The guard rejected a request without executing it, so that the entry can pick another upstream.", []string{"reason", "expected_ms", "alternative_ms", "slow", "slow_age_ms", "running", "waiting", "limit", "start_delay_ms", "account", "accounts_waiting"}},
		{Withdrawn, Trouble, "The entry asked a guard over a new connection for the outcome of an attempt; the guard cancels it if it has not started.", []string{"upstream", "result"}},
		{Ran, Plain, "The upstream executed a request that the guard forwarded.", slices.Concat(exchangeFields, []string{"waited_ms", "slow", "running"})},
		{RunFailed, Trouble, "The guard forwarded a request and got no complete response, or one with a status of 500 or above. `response_named` says whether the response held the id of the request.", slices.Concat(exchangeFields, []string{"outcome", "reason", "error", "response_named", "idempotent", "sender_gone", "stopping_ms"})},
		{Suspected, State, "The upstream crashed while it ran a request. A request that was running in several crashes is refused.", []string{"upstream", "born", "fingerprint"}},
		{UpstreamState, State, "The upstream of this VM changed its state.", []string{"upstream", "born", "sequence", "state", "cause"}},
		{UpstreamDeparture, State, "A report or a deregistration that an upstream leaves was acknowledged. `effect` is what it changed, `current` the upstream that the guard took it for, and `state` the state of that one afterwards. Repetitions of the latest one have no line.", []string{"upstream", "born", "cause", "effect", "current", "current_born", "state"}},
		{UpstreamLimited, State, "By its responses, the upstream of this VM takes `per_second` requests a second from now on; by the line before it took `previous`. If `limited` is false, it takes any number. There is at most one line a second.", []string{"upstream", "born", "limited", "per_second", "previous"}},
		{UpstreamFailing, State, "The upstream of this VM fails most requests, so other upstreams are preferred.", []string{"upstream", "failing"}},
		{UpstreamRecovered, State, "The upstream of this VM no longer fails most requests.", []string{"upstream", "failing"}},
		{ReportRefused, State, "A report of the upstream, or a field of it, was invalid and was ignored.", []string{"upstream", "error"}},
		{PeerState, State, "The upstream of another daemon changed its state.", []string{"peer", "upstream", "born", "state", "stopping"}},
		{PeerLeaving, State, "A response that this daemon forwarded states that the upstream of another daemon is leaving. It gets no more requests from this daemon, whatever that daemon reports.", []string{"peer", "upstream", "born"}},
		{PeersLearned, State, "Many upstreams of other daemons became known as ready within a second; `learned` of them have no line of their own. `missing` lists up to 16 daemons whose upstream is not known yet.", []string{"learned", "ready", "peers", "unheard", "missing"}},
		{PeerUnreachable, State, "Another daemon became unreachable.", []string{"peer", "error"}},
		{PeerReachable, State, "Another daemon is reachable again.", []string{"peer"}},
		{ConfigInForce, State, "A version of the configuration came into force.", []string{"version", "previous", "routes", "from"}},
		{ConfigRefused, State, "A configuration was invalid; the one in force stays.", []string{"version", "in_force", "from", "error"}},
		{Evacuated, State, "The availability zones in `zones`, possibly none, are evacuated from now on: their upstreams get no requests.", []string{"zones", "version", "from"}},
		{StoreUnreachable, State, "The store was unreachable or returned an error.", []string{"call", "error"}},
		{StoreReachable, State, "The store responds again.", []string{"call", "away_ms"}},
		{StoreWatched, State, "This daemon started or stopped watching the store for the daemons of its cell.", []string{"watches", "cell"}},
		{RecordRefused, State, "A record in the store could not be decoded and was skipped.", []string{"topic", "key", "error"}},
		{Started, State, "The daemon started.", []string{"address", "zone", "service", "incarnation", "version"}},
		{Stopping, State, "The daemon received a signal to stop.", []string{"in_flight"}},
		{Stopped, State, "The daemon stopped.", []string{"in_flight", "took_ms"}},
		{Reloaded, State, "The settings file was reloaded.", []string{"changed", "kept"}},
		{ReloadRefused, State, "The settings file was invalid at a reload; the previous settings stay in force.", []string{"error"}},
		{LinesDropped, State, "Log lines were dropped since the previous line of this kind.", []string{"plain", "trouble", "state"}},
		{QuotaHolderSilent, State, "A daemon that holds a share of the quotas of client accounts did not answer; other zones are asked in its place. There are at most 20 lines about holders in 10 s.", []string{"peer"}},
		{QuotaHolderAnswers, State, "It answers again.", []string{"peer"}},
		{QuotaHolderReplaced, State, "A daemon of the zone has been unreachable for so long that other daemons hold its shares of the quotas.", []string{"peer"}},
		{AnnounceFailed, State, "The daemon's record could not be written to the store yet.", []string{"error"}},
	}
}
