package decision

// Kind names a kind of decision. It is the message of the line.
type Kind string

// Class orders kinds by how long they are kept when lines are dropped.
type Class uint8

// The classes.
const (
	// Plain lines tell of the usual course of a request. They are sampled.
	Plain Class = iota
	// Trouble lines tell of refusals, re-sends and failures.
	Trouble
	// State lines tell of what the daemon believes and of its dependencies.
	State
)

// The kinds.
const (
	Answered          Kind = "request answered"
	Refused           Kind = "request refused"
	Failed            Kind = "request failed"
	Aborted           Kind = "request aborted"
	Retried           Kind = "request sent again"
	Hedged            Kind = "request hedged"
	Rejected          Kind = "request given back"
	Withdrawn         Kind = "request withdrawn"
	Ran               Kind = "request ran"
	RunFailed         Kind = "run failed"
	Suspected         Kind = "request suspected"
	UpstreamState     Kind = "upstream state"
	UpstreamFailing   Kind = "upstream failing"
	UpstreamRecovered Kind = "upstream trusted"
	ReportRefused     Kind = "report refused"
	PeerState         Kind = "peer state"
	PeersLearned      Kind = "peers learned"
	PeerUnreachable   Kind = "peer lost"
	PeerReachable     Kind = "peer regained"
	ConfigInForce     Kind = "configuration in force"
	ConfigRefused     Kind = "configuration refused"
	StoreUnreachable  Kind = "store lost"
	StoreReachable    Kind = "store regained"
	StoreWatched      Kind = "store watched"
	RecordRefused     Kind = "record refused"
	Started           Kind = "daemon started"
	Stopping          Kind = "daemon stopping"
	Stopped           Kind = "daemon stopped"
	Reloaded          Kind = "settings reloaded"
	ReloadRefused     Kind = "settings refused"
	LinesDropped      Kind = "lines dropped"
	AnnounceFailed    Kind = "announcement failed"
)

// Declaration tells what lines of a kind hold.
type Declaration struct {
	Kind  Kind
	Class Class
	// Description is one sentence for the page on logs.
	Description string
	// Fields are the names of the line's attributes besides time, level and
	// request.
	Fields []string
}

// completionFields are told of every end of a request. Expected_ms is what the entry
// expected of the last choice, among so many candidates; sends and given_back count
// the attempts that reached an upstream and that a guard handed back. Cut tells that the
// daemon had closed the caller's connection, so that the caller got no answer.
var completionFields = []string{
	"route", "service", "upstream", "reason", "status", "retry_after_ms", "took_ms",
	"sends", "given_back", "candidates", "expected_ms", "config", "idempotent", "cut",
}

// Declarations lists every kind once, in the order of the page on logs.
func Declarations() []Declaration {
	return []Declaration{
		{Answered, Plain, "The entry delivered an upstream's answer.", completionFields},
		{Refused, Trouble, "The entry refused a request that has not run.", completionFields},
		{Failed, Trouble, "The entry answered with a failure of its own; the request may have run.", completionFields},
		{Aborted, State, "What served a request panicked. Where it was a handler, of callers or peers, the connection was closed without an answer.", []string{"part", "error", "stack"}},
		{Retried, Trouble, "The entry sent a request to another upstream after an attempt ended.", []string{"service", "upstream", "reason", "sends", "budget_left"}},
		{Hedged, Trouble, "The entry sent an idempotent request to a second upstream while the first was at work.", []string{"service", "upstream", "instead_of", "waited_ms", "expected_ms", "budget_left"}},
		{Rejected, Trouble, "The guard gave a request back before it ran.", []string{"reason", "expected_ms", "alternative_ms", "slow", "slow_age_ms", "running", "waiting", "limit"}},
		{Withdrawn, Trouble, "The entry asked a guard over a new connection what became of a request.", []string{"upstream", "result"}},
		{Ran, Plain, "The guard had the upstream run a request.", []string{"upstream", "status", "ran_ms", "waited_ms", "slow", "running"}},
		{RunFailed, Trouble, "An upstream was sent a request and gave no whole answer, or a failure.", []string{"upstream", "outcome", "reason", "status", "ran_ms", "error", "idempotent"}},
		{Suspected, State, "The upstream crashed while it ran a request. One that ran in several crashes is refused.", []string{"upstream", "born", "fingerprint"}},
		{UpstreamState, State, "The upstream of this VM changed its state.", []string{"upstream", "born", "sequence", "state", "cause"}},
		{UpstreamFailing, State, "The upstream of this VM fails most requests, so that others are preferred.", []string{"upstream", "failing"}},
		{UpstreamRecovered, State, "It no longer does.", []string{"upstream", "failing"}},
		{ReportRefused, State, "A report of an upstream could not be used.", []string{"upstream", "error"}},
		{PeerState, State, "The upstream of another daemon changed its state.", []string{"peer", "upstream", "born", "state", "stopping"}},
		{PeersLearned, State, "Many upstreams of other daemons became known as ready within a second; those in `learned` have no line of their own. Of the daemons in `missing`, 16 at most, no upstream is known yet.", []string{"learned", "ready", "peers", "unheard", "missing"}},
		{PeerUnreachable, State, "Another daemon could not be reached.", []string{"peer", "error"}},
		{PeerReachable, State, "Another daemon was reached again.", []string{"peer"}},
		{ConfigInForce, State, "A version of the configuration came into force.", []string{"version", "previous", "routes", "from"}},
		{ConfigRefused, State, "A configuration was passed over.", []string{"version", "in_force", "from", "error"}},
		{StoreUnreachable, State, "The store could not be reached or refused.", []string{"call", "error"}},
		{StoreReachable, State, "The store answered again.", []string{"call", "away_ms"}},
		{StoreWatched, State, "This daemon began or ended to watch the store for the daemons of its cell.", []string{"watches", "cell"}},
		{RecordRefused, State, "A record of the store could not be read.", []string{"topic", "key", "error"}},
		{Started, State, "The daemon started.", []string{"address", "zone", "service", "incarnation", "version"}},
		{Stopping, State, "The daemon was told to stop.", []string{"in_flight"}},
		{Stopped, State, "The daemon ended.", []string{"in_flight", "took_ms"}},
		{Reloaded, State, "The settings file was read again.", []string{"changed", "kept"}},
		{ReloadRefused, State, "The settings file could not be used; the settings in force stay.", []string{"error"}},
		{LinesDropped, State, "Lines were dropped since the last such line.", []string{"plain", "trouble", "state"}},
		{AnnounceFailed, State, "The daemon's record could not be written to the store yet.", []string{"error"}},
	}
}
