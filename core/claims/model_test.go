package claims

import (
	"fmt"
	"math/rand/v2"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// The model drives real Ledgers and Tables of a few daemons through one random
// schedule. Every step of an entry and of an owner is a separate action, so
// that a pause fits between any two; appends, submissions and handovers are
// delayed, lost and reordered at will.
const (
	modelDaemons  = 4
	modelRanges   = 2
	modelKeys     = 10
	modelSteps    = 160
	modelMaxGrant = 8
	modelStamps   = 40
)

// mutateProposal makes a daemon count a grant as soon as it asks for it.
const applyUnloggedGrants mutation = 1 << 10

type node struct {
	ledger *Ledger
	table  *Table
	// successor is the daemon that took in this one's claims.
	successor *Owner
}

type phase uint8

const (
	toOwner phase = iota
	beforeSend
	afterSend
)

// submission is one sending of a key on its way through entry and owner.
type submission struct {
	key    int
	phase  phase
	target model.DaemonID
	node   *node
}

type pendingHandover struct {
	from  *node
	to    Owner
	parts [][]byte
}

type world struct {
	rng          *rand.Rand
	profile      profile
	mutation     mutation
	log          []Record
	oldest       int
	appends      []Record
	nodes        [modelDaemons]*node
	keys         [modelKeys]Key
	runs         [modelKeys]int
	submissions  []submission
	handovers    []pendingHandover
	incarnations uint64
	eventCounts  map[string]int
	violation    string
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
		w.keys[i] = NewKey(Stamp(w.rng.IntN(modelStamps)), random)
	}
	w.grantInitialStamps(w.nodes[w.rng.IntN(modelDaemons)])
	return w
}

// explore runs one schedule and returns the invariant that it broke.
func explore(seed uint64, m mutation, eventCounts map[string]int) string {
	w := newWorld(seed, m, eventCounts)
	for step := 0; step < modelSteps && w.violation == ""; step++ {
		w.step()
	}
	return w.violation
}

// begin gives a first daemon half of the stamps, so that schedules start with
// keys that can run.
func (w *world) grantInitialStamps(n *node) {
	g := &Grant{Owner: n.table.Self(), Until: modelStamps / 2}
	for r := range Range(modelRanges) {
		g.Extensions = append(g.Extensions, Extension{Range: r})
	}
	w.log = append(w.log, Record{Grant: g})
	for _, n := range w.nodes {
		w.poll(n)
	}
}

func (w *world) start(i int) {
	w.incarnations++
	self := Owner{Daemon: model.DaemonID(rune('a' + i)), Life: w.incarnations}
	n := &node{ledger: NewLedger(modelRanges, uint64(w.oldest)), table: NewTable(self, Limits{Claims: 3, GroupClaims: 3})}
	n.ledger.mutation = w.mutation
	n.table.mutation = w.mutation
	w.nodes[i] = n
}

// profile gives the share of each action in a schedule, in percent.
type profile struct {
	poll, proposeGrant, deliverAppend, submit, advance, drain, deliverHandover, appendTransfer, crash, checkpoint, trim int
	keys                                                                                                                int
}

// profiles stress different failures; the schedule's seed picks one.
var profiles = [...]profile{
	{poll: 22, proposeGrant: 8, deliverAppend: 12, submit: 18, advance: 23, drain: 3, deliverHandover: 5, appendTransfer: 2, crash: 1, checkpoint: 3, trim: 2, keys: modelKeys},
	{poll: 28, proposeGrant: 6, deliverAppend: 16, submit: 18, advance: 17, drain: 3, deliverHandover: 6, appendTransfer: 4, crash: 1, keys: 2},
	{poll: 30, proposeGrant: 8, deliverAppend: 16, submit: 16, advance: 16, crash: 1, checkpoint: 9, trim: 3, keys: 4},
}

func (w *world) step() {
	i := w.rng.IntN(modelDaemons)
	n := w.nodes[i]
	k := w.rng.IntN(100)
	for _, a := range []struct {
		share int
		do    func(*node)
	}{
		{w.profile.poll, w.poll},
		{w.profile.proposeGrant, w.proposeGrant},
		{w.profile.deliverAppend, w.deliverAppend},
		{w.profile.submit, w.submit},
		{w.profile.advance, w.advance},
		{w.profile.drain, w.drain},
		{w.profile.deliverHandover, w.deliverHandover},
		{w.profile.appendTransfer, w.appendTransfer},
		{w.profile.crash, w.crash},
		{w.profile.checkpoint, w.checkpoint},
		{w.profile.trim, w.trim},
	} {
		if k < a.share {
			a.do(n)
			return
		}
		k -= a.share
	}
	n.table.Expire(Stamp(w.rng.IntN(modelStamps / 2)))
}

func (w *world) crash(n *node) {
	w.start(int(n.table.Self().Daemon[0] - 'a'))
	w.eventCounts["crash"]++
}

// poll folds some records, after a reset when the log was trimmed beyond them.
func (w *world) poll(n *node) {
	for range 1 + w.rng.IntN(6) {
		next := int(n.ledger.Next())
		if next < w.oldest {
			n.ledger.Reset(uint64(w.oldest))
			w.eventCounts["reset"]++
			continue
		}
		if next >= len(w.log) {
			return
		}
		complete := n.ledger.Proven()
		n.ledger.Apply(uint64(next), w.log[next])
		if !complete && n.ledger.Proven() {
			w.eventCounts["restored"]++
		}
	}
}

// propose asks for one or both ranges. The append may land much later or never.
func (w *world) proposeGrant(n *node) {
	if !n.ledger.Proven() || n.table.IsSealed() {
		return
	}
	g := &Grant{Owner: n.table.Self()}
	for r := range Range(modelRanges) {
		frontier, _ := n.ledger.Frontier(r)
		if w.rng.IntN(3) > 0 {
			g.Extensions = append(g.Extensions, Extension{Range: r, Base: frontier})
			g.Until = max(g.Until, frontier+1+Stamp(w.rng.IntN(modelMaxGrant)))
		}
	}
	if w.mutation == applyUnloggedGrants {
		n.ledger.grant(g)
	}
	w.appends = append(w.appends, Record{Grant: g})
}

// land lets one append in flight take effect, or loses it.
func (w *world) deliverAppend(*node) {
	if len(w.appends) == 0 {
		return
	}
	i := w.rng.IntN(len(w.appends))
	if w.rng.IntN(8) > 0 {
		w.log = append(w.log, w.appends[i])
	}
	w.appends = append(w.appends[:i], w.appends[i+1:]...)
}

// submit sends a key through an entry, which routes by what it has folded.
func (w *world) submit(n *node) {
	k := w.rng.IntN(w.profile.keys)
	in, standing := n.ledger.Lookup(w.keys[k].Range(modelRanges), w.keys[k].Stamp())
	if standing != Owned {
		return
	}
	w.submissions = append(w.submissions, submission{key: k, target: in.Owner.Daemon})
}

// advance moves one submission by one step. Sending and arriving, deciding and
// running, running and recording are separate steps.
func (w *world) advance(*node) {
	if len(w.submissions) == 0 {
		return
	}
	i := w.rng.IntN(len(w.submissions))
	s := &w.submissions[i]
	done := true
	switch s.phase {
	case toOwner:
		done = w.arrive(s)
	case beforeSend:
		done = w.send(s)
	case afterSend:
		w.finish(s)
	}
	if done {
		w.submissions = append(w.submissions[:i], w.submissions[i+1:]...)
	}
}

func (w *world) arrive(s *submission) bool {
	s.node = w.nodes[s.target[0]-'a']
	v, _ := s.node.table.Begin(s.node.ledger, Request{ID: ID{Key: w.keys[s.key]}})
	w.eventCounts[v.String()]++
	switch v {
	case Run:
		s.phase = beforeSend
		return false
	case Full:
		w.reportNotRun(s.key)
	case Replay, AnswerGone:
		if w.runs[s.key] != 1 {
			w.violation = fmt.Sprintf("key %d replayed after %d runs", s.key, w.runs[s.key])
		}
	}
	return true
}

// running reports whether the owner's process still runs.
func (w *world) running(n *node) bool { return w.nodes[n.table.Self().Daemon[0]-'a'] == n }

func (w *world) send(s *submission) bool {
	if !w.running(s.node) {
		return true
	}
	if w.rng.IntN(4) == 0 {
		s.node.table.Finish(ID{Key: w.keys[s.key]}, outcome.NotRun, nil)
		w.reportNotRun(s.key)
		return true
	}
	w.runs[s.key]++
	if w.runs[s.key] > 1 {
		w.violation = fmt.Sprintf("key %d ran %d times", s.key, w.runs[s.key])
	}
	s.phase = afterSend
	return false
}

func (w *world) finish(s *submission) {
	if !w.running(s.node) {
		return
	}
	kind := outcome.Answered
	if w.rng.IntN(3) == 0 {
		kind = outcome.Unknown
	}
	s.node.table.Finish(ID{Key: w.keys[s.key]}, kind, &Answer{Status: 200})
}

func (w *world) reportNotRun(key int) {
	if w.runs[key] != 0 {
		w.violation = fmt.Sprintf("key %d told not run after %d runs", key, w.runs[key])
	}
}

// drain seals a daemon and sends its table to a successor.
func (w *world) drain(n *node) {
	n.table.Seal()
	parts, err := n.table.Export(n.ledger)
	if err != nil {
		w.violation = err.Error()
		return
	}
	to := w.nodes[w.rng.IntN(modelDaemons)]
	if to != n {
		w.handovers = append(w.handovers, pendingHandover{from: n, to: to.table.Self(), parts: parts})
	}
}

// handOver delivers a handover, perhaps twice, or loses it or its reply.
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

// sign appends the transfer to the successor that took in the claims. A faulty
// daemon may name one that did not.
func (w *world) appendTransfer(n *node) {
	if !n.table.IsSealed() {
		return
	}
	to := n.successor
	if to == nil && w.rng.IntN(3) == 0 {
		o := w.nodes[w.rng.IntN(modelDaemons)].table.Self()
		to = &o
	}
	if to != nil && *to != n.table.Self() {
		w.appends = append(w.appends, Record{Transfer: &Transfer{From: n.table.Self().Life, To: *to}})
		w.eventCounts["transfer"]++
	}
}

func (w *world) checkpoint(n *node) {
	if n.ledger.Proven() {
		w.appends = append(w.appends, Record{Checkpoint: n.ledger.Checkpoint()})
	}
}

func (w *world) trim(*node) {
	if kept := len(w.log) - w.oldest; kept > 0 {
		w.oldest += w.rng.IntN(kept + 1)
	}
}
