package slots

import "time"

// Kind identifies the requests of one route. Its numeric value has no meaning.
type Kind uint16

// Account identifies the client account of a request. Zero stands for all requests without an
// account. No other value has a meaning.
type Account uint32

// fairShares gives flows of requests equal shares of the service time by start-time fair queueing
// (SFQ). Each flow has a tag, a point in virtual time. Starting a request advances the tag of its
// flow by the request's usual service time. The flow with the lowest tag starts next. A flow earns
// no credit while it has no waiting requests.
type fairShares[Flow comparable] struct {
	// virtualTime is the start tag of the request that was started last.
	virtualTime time.Duration
	// finishTagByFlow holds the tags of the flows whose tags are greater than virtualTime. The
	// tag of each other flow is virtualTime.
	finishTagByFlow map[Flow]time.Duration
}

func (s *fairShares[Flow]) startTag(f Flow) time.Duration {
	return max(s.virtualTime, s.finishTagByFlow[f])
}

// charge advances the tag of a flow when one of its requests starts.
func (s *fairShares[Flow]) charge(f Flow, serviceTime time.Duration) {
	s.virtualTime = s.startTag(f)
	if s.finishTagByFlow == nil {
		s.finishTagByFlow = make(map[Flow]time.Duration)
	}
	s.finishTagByFlow[f] = s.virtualTime + serviceTime
	for flow, finishTag := range s.finishTagByFlow {
		if finishTag <= s.virtualTime {
			delete(s.finishTagByFlow, flow)
		}
	}
}

// maxAccounts bounds the accounts whose tags are kept.
const maxAccounts = 1024

// bound forgets all tags if there are more than n, as if every flow had stopped waiting once.
func (s *fairShares[Flow]) bound(n int) {
	if len(s.finishTagByFlow) <= n {
		return
	}
	for _, finishTag := range s.finishTagByFlow {
		s.virtualTime = max(s.virtualTime, finishTag)
	}
	clear(s.finishTagByFlow)
}

// rankShares divides the service time that goes to one rank: first among the client accounts in
// proportion to their weights, then equally among the kinds of requests of each account.
type rankShares struct {
	accounts fairShares[Account]
	// kindsByAccount holds the shares of the kinds of those accounts whose tags are greater than the
	// virtual time, and of the requests without an account.
	kindsByAccount map[Account]*fairShares[Kind]
}

// kindsOf returns the shares of the kinds of an account, creating them if necessary.
func (s *rankShares) kindsOf(a Account) *fairShares[Kind] {
	kinds, ok := s.kindsByAccount[a]
	if !ok {
		kinds = &fairShares[Kind]{}
		s.kindsByAccount[a] = kinds
	}
	return kinds
}

// kindTag returns the tag of a kind of requests of an account.
func (s *rankShares) kindTag(a Account, k Kind) time.Duration {
	if kinds, ok := s.kindsByAccount[a]; ok {
		return kinds.startTag(k)
	}
	return 0
}

// charge advances the tags of the account and the kind of a request that starts.
func (s *rankShares) charge(i *Item) {
	s.accounts.charge(i.Account, i.weightedServiceTime())
	s.accounts.bound(maxAccounts)
	s.kindsOf(i.Account).charge(i.Kind, i.ServiceTime)
	for account := range s.kindsByAccount {
		if _, ahead := s.accounts.finishTagByFlow[account]; !ahead && account != 0 {
			delete(s.kindsByAccount, account)
		}
	}
}

// weight returns the weight of the account of the request, relative to the other accounts.
func (i *Item) weight() float64 { return weightOrDefault(i.Weight) }

func (i *Item) weightedServiceTime() time.Duration { return scale(i.ServiceTime, 1/i.weight()) }

// weightOrDefault returns a weight, or 1 if it is not set.
func weightOrDefault(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}
