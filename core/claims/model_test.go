package claims

import (
	"fmt"
	"math/rand/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// The model runs the real Ledgers and Tables of a few daemons through a random
// schedule. An entry is the daemon that accepts a caller's request. The entry sends
// a submission to the owner of the request's key. Each step of an entry and of an
// owner is a separate action, so a pause can occur between any two steps. Log
// appends, submissions and handovers are delayed, lost and reordered at random.
const (
	modelDaemonCount = 4
	modelRangeCount  = 2
	modelKeyCount    = 10
	modelStepCount   = 160
	// modelMaxGrant is how far a grant may reach beyond the largest frontier of its ranges.
	modelMaxGrant = 8
	// modelStampCount is the number of different timestamps that keys may have.
	modelStampCount = 40
)

// applyUnloggedGrants makes a daemon apply a grant as soon as the daemon requests
// it, before the grant is on the log.
const applyUnloggedGrants mutation = 1 << 10

// node is one incarnation of a daemon.
type node struct {
	ledger *Ledger
	table  *Table
	// successor is the owner that has imported the claims of this node.
	successor *Owner
}

// phase is the progress of a submission.
type phase uint8

const (
	// toOwner submissions are on the way from the entry to the owner.
	toOwner phase = iota
	// beforeSend submissions have a claim but were not yet sent to an upstream.
	beforeSend
	// afterSend submissions were sent to an upstream and have run.
	afterSend
)

// submission is one submission of a key. It goes from the entry to the owner, and from the
// owner to an upstream.
type submission struct {
	// key is an index of world.keys.
	key    int
	phase  phase
	target model.DaemonID
	// node is the incarnation of the target that received the submission, if any did.
	node *node
}

// pendingHandover is a handover that was sent but not delivered yet.
type pendingHandover struct {
	from  *node
	to    Owner
	parts [][]byte
}

// world is the state of the model.
type world struct {
	rng      *rand.Rand
	profile  profile
	mutation mutation
	log      []Record
	// oldestOffset is the offset of the oldest record that the log keeps.
	oldestOffset int
	// pendingAppends are the records on the way to the log.
	pendingAppends []Record
	nodes          [modelDaemonCount]*node
	keys           [modelKeyCount]Key
	// runsPerKey counts the executions of each key.
	runsPerKey  [modelKeyCount]int
	submissions []submission
	handovers   []pendingHandover
	// incarnationCount is the number of incarnations started so far.
	incarnationCount uint64
	eventCounts      map[string]int
	// violation describes the first violated invariant, or is empty.
	violation string
}

func newWorld(seed uint64, m mutation, eventCounts map[string]int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), mutation: m, eventCounts: eventCounts}
	w.profile = profiles[seed%uint64(len(profiles))]
	for i := range w.nodes {
		w.start(i)
	}
	for i := range w.keys {
		var random [10]byte
		random[9] = byte(i)
		random[8] = byte(w.rng.IntN(256))
		w.keys[i] = NewKey(Stamp(w.rng.IntN(modelStampCount)), random)
	}
	w.grantInitialStamps(w.nodes[w.rng.IntN(modelDaemonCount)])
	return w
}

// explore runs one schedule. It returns a description of the invariant that was
// violated, or an empty string.
func explore(seed uint64, m mutation, eventCounts map[string]int) string {
	w := newWorld(seed, m, eventCounts)
	for step := 0; step < modelStepCount && w.violation == ""; step++ {
		w.step()
	}
	return w.violation
}

// grantInitialStamps grants the lower half of the timestamps to one node. Some keys
// can therefore run from the beginning of a schedule.
func (w *world) grantInitialStamps(n *node) {
	g := &Grant{Owner: n.table.Self(), Until: modelStampCount / 2}
	for r := range Range(modelRangeCount) {
		g.Extensions = append(g.Extensions, Extension{Range: r})
	}
	w.log = append(w.log, Record{Grant: g})
	for _, n := range w.nodes {
		w.poll(n)
	}
}

// start starts a new incarnation of daemon i.
func (w *world) start(i int) {
	w.incarnationCount++
	self := Owner{Daemon: model.DaemonID(rune('a' + i)), Incarnation: w.incarnationCount}
	n := &node{ledger: NewLedger(modelRangeCount, uint64(w.oldestOffset)), table: NewTable(self, Limits{Claims: 3, GroupClaims: 3})}
	n.ledger.mutation = w.mutation
	n.table.mutation = w.mutation
	w.nodes[i] = n
}

// profile holds the probability of each action in percent. An action is a method of world.
type profile struct {
	poll, proposeGrant, writeOrLoseAppend, submit, advance, drain, deliverHandover, appendTransfer, crash, checkpoint, trim int
	// keyCount is the number of keys in use.
	keyCount int
}

// profiles holds the profiles in use. Each makes different failures likely. A schedule's seed selects one.
var profiles = [...]profile{
	{poll: 22, proposeGrant: 8, writeOrLoseAppend: 12, submit: 18, advance: 23, drain: 3, deliverHandover: 5, appendTransfer: 2, crash: 1, checkpoint: 3, trim: 2, keyCount: modelKeyCount},
	{poll: 28, proposeGrant: 6, writeOrLoseAppend: 16, submit: 18, advance: 17, drain: 3, deliverHandover: 6, appendTransfer: 4, crash: 1, keyCount: 2},
	{poll: 30, proposeGrant: 8, writeOrLoseAppend: 16, submit: 16, advance: 16, crash: 1, checkpoint: 9, trim: 3, keyCount: 4},
}

// step performs a random action on a random node. Some actions ignore the node. If it draws none
// of the actions in the profile, step expires claims of the node.
func (w *world) step() {
	i := w.rng.IntN(modelDaemonCount)
	n := w.nodes[i]
	drawn := w.rng.IntN(100)
	for _, a := range []struct {
		percent int
		perform func(*node)
	}{
		{w.profile.poll, w.poll},
		{w.profile.proposeGrant, w.proposeGrant},
		{w.profile.writeOrLoseAppend, w.writeOrLoseAppend},
		{w.profile.submit, w.submit},
		{w.profile.advance, w.advance},
		{w.profile.drain, w.drain},
		{w.profile.deliverHandover, w.deliverHandover},
		{w.profile.appendTransfer, w.appendTransfer},
		{w.profile.crash, w.crash},
		{w.profile.checkpoint, w.checkpoint},
		{w.profile.trim, w.trim},
	} {
		if drawn < a.percent {
			a.perform(n)
			return
		}
		drawn -= a.percent
	}
	n.table.Expire(Stamp(w.rng.IntN(modelStampCount / 2)))
}

// crash replaces a node with a new incarnation of its daemon.
func (w *world) crash(n *node) {
	w.start(int(n.table.Self().Daemon[0] - 'a'))
	w.eventCounts["crash"]++
}

// poll applies up to six log records to the ledger of a node. If the log no longer
// keeps the ledger's next record, poll resets the ledger.
func (w *world) poll(n *node) {
	for range 1 + w.rng.IntN(6) {
		next := int(n.ledger.Next())
		if next < w.oldestOffset {
			n.ledger.Reset(uint64(w.oldestOffset))
			w.eventCounts["reset"]++
			continue
		}
		if next >= len(w.log) {
			return
		}
		complete := n.ledger.IsComplete()
		n.ledger.Apply(uint64(next), w.log[next])
		if !complete && n.ledger.IsComplete() {
			w.eventCounts["restored"]++
		}
	}
}

// proposeGrant requests each range with probability 2/3. Its record may reach the log late or never.
func (w *world) proposeGrant(n *node) {
	if !n.ledger.IsComplete() || n.table.IsSealed() {
		return
	}
	g := &Grant{Owner: n.table.Self()}
	for r := range Range(modelRangeCount) {
		frontier, _ := n.ledger.Frontier(r)
		if w.rng.IntN(3) > 0 {
			g.Extensions = append(g.Extensions, Extension{Range: r, Base: frontier})
			g.Until = max(g.Until, frontier+1+Stamp(w.rng.IntN(modelMaxGrant)))
		}
	}
	if w.mutation == applyUnloggedGrants {
		n.ledger.grant(g)
	}
	w.pendingAppends = append(w.pendingAppends, Record{Grant: g})
}

// writeOrLoseAppend writes one of the pending appends to the log, or loses it.
func (w *world) writeOrLoseAppend(*node) {
	if len(w.pendingAppends) == 0 {
		return
	}
	i := w.rng.IntN(len(w.pendingAppends))
	if w.rng.IntN(8) > 0 {
		w.log = append(w.log, w.pendingAppends[i])
	}
	w.pendingAppends = append(w.pendingAppends[:i], w.pendingAppends[i+1:]...)
}

// submit submits a key at an entry. The entry finds the owner in its ledger, which may be outdated.
func (w *world) submit(n *node) {
	keyIndex := w.rng.IntN(w.profile.keyCount)
	interval, ownership := n.ledger.Lookup(w.keys[keyIndex].Range(modelRangeCount), w.keys[keyIndex].Stamp())
	if ownership != Owned {
		return
	}
	w.submissions = append(w.submissions, submission{key: keyIndex, target: interval.Owner.Daemon})
}

// advance performs the next step of one random submission. The arrival at the
// owner, the execution, and the recording of the outcome are separate steps.
func (w *world) advance(*node) {
	if len(w.submissions) == 0 {
		return
	}
	i := w.rng.IntN(len(w.submissions))
	s := &w.submissions[i]
	ended := true
	switch s.phase {
	case toOwner:
		ended = w.arrive(s)
	case beforeSend:
		ended = w.send(s)
	case afterSend:
		w.finish(s)
	}
	if ended {
		w.submissions = append(w.submissions[:i], w.submissions[i+1:]...)
	}
}

// arrive submits the key to the table of the target. It returns true if the submission has ended.
func (w *world) arrive(s *submission) bool {
	s.node = w.nodes[s.target[0]-'a']
	decision, _ := s.node.table.Begin(s.node.ledger, Request{ID: ID{Key: w.keys[s.key]}})
	w.eventCounts[decision.String()]++
	switch decision {
	case Run:
		s.phase = beforeSend
		return false
	case Full:
		w.checkNotRun(s.key)
	case Replay, AnswerGone:
		if w.runsPerKey[s.key] != 1 {
			w.violation = fmt.Sprintf("key %d replayed after %d runs", s.key, w.runsPerKey[s.key])
		}
	}
	return true
}

// isAlive reports whether the node is still the current incarnation of its daemon.
func (w *world) isAlive(n *node) bool { return w.nodes[n.table.Self().Daemon[0]-'a'] == n }

// send runs the request, or reports that the request did not run. It returns true
// if the submission has ended. If the node has crashed, the submission is lost.
func (w *world) send(s *submission) bool {
	if !w.isAlive(s.node) {
		return true
	}
	if w.rng.IntN(4) == 0 {
		s.node.table.Finish(ID{Key: w.keys[s.key]}, outcome.NotRun, nil)
		w.checkNotRun(s.key)
		return true
	}
	w.runsPerKey[s.key]++
	if w.runsPerKey[s.key] > 1 {
		w.violation = fmt.Sprintf("key %d ran %d times", s.key, w.runsPerKey[s.key])
	}
	s.phase = afterSend
	return false
}

// finish records a random outcome for a request that has run, unless its node has crashed.
func (w *world) finish(s *submission) {
	if !w.isAlive(s.node) {
		return
	}
	kind := outcome.Answered
	if w.rng.IntN(3) == 0 {
		kind = outcome.Unknown
	}
	s.node.table.Finish(ID{Key: w.keys[s.key]}, kind, &Answer{Status: 200})
}

// checkNotRun checks that a key that is reported as not run has indeed never run.
func (w *world) checkNotRun(key int) {
	if w.runsPerKey[key] != 0 {
		w.violation = fmt.Sprintf("key %d reported as not run after %d runs", key, w.runsPerKey[key])
	}
}

// drain seals a node's table and sends the contents to a random other node, or to none.
func (w *world) drain(n *node) {
	n.table.Seal()
	parts, err := n.table.Export(n.ledger)
	if err != nil {
		w.violation = err.Error()
		return
	}
	to := w.nodes[w.rng.IntN(modelDaemonCount)]
	if to != n {
		w.handovers = append(w.handovers, pendingHandover{from: n, to: to.table.Self(), parts: parts})
	}
}

// deliverHandover delivers a random pending handover, or loses the handover or its
// reply. The handover may stay pending, so that it is delivered again.
func (w *world) deliverHandover(*node) {
	if len(w.handovers) == 0 {
		return
	}
	i := w.rng.IntN(len(w.handovers))
	p := w.handovers[i]
	if w.rng.IntN(4) > 0 {
		w.handovers = append(w.handovers[:i], w.handovers[i+1:]...)
	}
	to := w.nodes[p.to.Daemon[0]-'a']
	if w.rng.IntN(4) == 0 || to.table.Self() != p.to || to.table.Import(p.parts[0]) != nil {
		return
	}
	if w.rng.IntN(4) > 0 {
		p.from.successor = &p.to
	}
}

// appendTransfer requests an append of a transfer from a sealed node to the importer of its claims.
// To model a faulty daemon, the transfer sometimes names an owner that has not imported them.
func (w *world) appendTransfer(n *node) {
	if !n.table.IsSealed() {
		return
	}
	to := n.successor
	if to == nil && w.rng.IntN(3) == 0 {
		o := w.nodes[w.rng.IntN(modelDaemonCount)].table.Self()
		to = &o
	}
	if to != nil && *to != n.table.Self() {
		w.pendingAppends = append(w.pendingAppends, Record{Transfer: &Transfer{From: n.table.Self().Incarnation, To: *to}})
		w.eventCounts["transfer"]++
	}
}

// checkpoint requests an append of a checkpoint of the node's ledger, if the ledger is complete.
func (w *world) checkpoint(n *node) {
	if n.ledger.IsComplete() {
		w.pendingAppends = append(w.pendingAppends, Record{Checkpoint: n.ledger.Checkpoint()})
	}
}

// trim removes a random number of the oldest records from the log.
func (w *world) trim(*node) {
	if kept := len(w.log) - w.oldestOffset; kept > 0 {
		w.oldestOffset += w.rng.IntN(kept + 1)
	}
}
