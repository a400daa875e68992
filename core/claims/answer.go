package claims

import "github.com/dottereltiller/dottereltiller/core/model"

// Answer is an upstream's whole answer as it is retained for retries.
type Answer struct {
	Status  int
	Header  map[string][]string
	Body    []byte
	Trailer map[string][]string
}

// headerOverhead is what one header line costs beside its text, in bytes.
const headerOverhead = 64

// Size returns about how many bytes the answer holds.
func (a *Answer) Size() int {
	n := len(a.Body)
	for _, h := range []map[string][]string{a.Header, a.Trailer} {
		for name, values := range h {
			n += len(name) + headerOverhead
			for _, v := range values {
				n += len(v)
			}
		}
	}
	return n
}

// shelf holds the retained answers of one table, oldest first in each group,
// within a bound on bytes for each group and for all.
type answerCache struct {
	groupLimit int
	totalLimit int
	usedBytes  int
	groups     map[model.GroupName]*groupAnswers
}

type groupAnswers struct {
	usedBytes int
	claims    []*claim
}

func newAnswerCache(groupLimit, totalLimit int) *answerCache {
	return &answerCache{groupLimit: groupLimit, totalLimit: totalLimit, groups: make(map[model.GroupName]*groupAnswers)}
}

// put retains the answer of a claim, and drops older ones to make room. It
// reports whether the answer fits at all.
func (ac *answerCache) put(c *claim, a *Answer) bool {
	size := a.Size()
	if size > ac.groupLimit || size > ac.totalLimit {
		return false
	}
	g := ac.groups[c.group]
	if g == nil {
		g = &groupAnswers{}
		ac.groups[c.group] = g
	}
	c.answer = a
	c.size = size
	g.claims = append(g.claims, c)
	g.usedBytes += size
	ac.usedBytes += size
	for g.usedBytes > ac.groupLimit {
		ac.evictOldest(c.group)
	}
	for ac.usedBytes > ac.totalLimit {
		ac.evictOldest(ac.largestGroup())
	}
	return c.answer != nil
}

// forget drops the answer of a claim that leaves the table.
func (ac *answerCache) discard(c *claim) {
	if c.answer == nil {
		return
	}
	c.answer = nil
	ac.groups[c.group].usedBytes -= c.size
	ac.usedBytes -= c.size
	ac.prune(c.group)
}

func (ac *answerCache) evictOldest(name model.GroupName) {
	g := ac.groups[name]
	for len(g.claims) > 0 {
		c := g.claims[0]
		g.claims = g.claims[1:]
		if c.answer == nil {
			continue
		}
		c.answer = nil
		g.usedBytes -= c.size
		ac.usedBytes -= c.size
		break
	}
	ac.prune(name)
}

// prune removes the forgotten claims at the head, and an empty group.
func (ac *answerCache) prune(name model.GroupName) {
	g := ac.groups[name]
	for len(g.claims) > 0 && g.claims[0].answer == nil {
		g.claims = g.claims[1:]
	}
	if len(g.claims) == 0 {
		delete(ac.groups, name)
	}
}

func (ac *answerCache) largestGroup() model.GroupName {
	var name model.GroupName
	most := -1
	for n, g := range ac.groups {
		if g.usedBytes > most || g.usedBytes == most && n < name {
			name, most = n, g.usedBytes
		}
	}
	return name
}
