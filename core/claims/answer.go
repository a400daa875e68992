package claims

import "github.com/dottereltiller/dottereltiller/core/model"

// Answer is an upstream's complete response, retained so that it can be replayed
// to retries.
type Answer struct {
	Status  int
	Header  map[string][]string
	Body    []byte
	Trailer map[string][]string
}

// headerOverhead is the approximate memory overhead of a header field in bytes,
// in addition to its name and values.
const headerOverhead = 64

// Size returns the approximate memory size of the answer in bytes.
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

// answerCache holds the retained answers of one table. It limits the total size
// per group and of all groups, and evicts the oldest answers of a group first.
type answerCache struct {
	// maxGroupBytes and maxTotalBytes are the maximum sizes of the answers of one group
	// and of all groups.
	maxGroupBytes  int
	maxTotalBytes  int
	usedBytes      int
	answersByGroup map[model.GroupName]*groupAnswers
}

// groupAnswers holds the claims of one group that have retained answers, in the
// order in which the answers were retained. It may also contain claims whose
// answer was discarded.
type groupAnswers struct {
	usedBytes int
	claims    []*claim
}

func newAnswerCache(maxGroupBytes, maxTotalBytes int) *answerCache {
	return &answerCache{maxGroupBytes: maxGroupBytes, maxTotalBytes: maxTotalBytes, answersByGroup: make(map[model.GroupName]*groupAnswers)}
}

// retain stores the answer of a claim and evicts older answers to stay within the
// limits. It returns false if the answer alone exceeds a limit. It also returns false
// if the answer was itself evicted to stay within the limits.
func (ac *answerCache) retain(c *claim, a *Answer) bool {
	size := a.Size()
	if size > ac.maxGroupBytes || size > ac.maxTotalBytes {
		return false
	}
	g := ac.answersByGroup[c.group]
	if g == nil {
		g = &groupAnswers{}
		ac.answersByGroup[c.group] = g
	}
	c.answer = a
	c.answerSize = size
	g.claims = append(g.claims, c)
	g.usedBytes += size
	ac.usedBytes += size
	for g.usedBytes > ac.maxGroupBytes {
		ac.evictOldest(c.group)
	}
	for ac.usedBytes > ac.maxTotalBytes {
		ac.evictOldest(ac.largestGroup())
	}
	return c.answer != nil
}

// discard removes the answer of a claim that is being deleted from the table.
func (ac *answerCache) discard(c *claim) {
	if c.answer == nil {
		return
	}
	c.answer = nil
	ac.answersByGroup[c.group].usedBytes -= c.answerSize
	ac.usedBytes -= c.answerSize
	ac.prune(c.group)
}

// evictOldest removes the oldest answer of a group.
func (ac *answerCache) evictOldest(name model.GroupName) {
	g := ac.answersByGroup[name]
	for len(g.claims) > 0 {
		c := g.claims[0]
		g.claims = g.claims[1:]
		if c.answer == nil {
			continue
		}
		c.answer = nil
		g.usedBytes -= c.answerSize
		ac.usedBytes -= c.answerSize
		break
	}
	ac.prune(name)
}

// prune removes claims without an answer from the head of a group's list, and
// removes the group if its list becomes empty.
func (ac *answerCache) prune(name model.GroupName) {
	g := ac.answersByGroup[name]
	for len(g.claims) > 0 && g.claims[0].answer == nil {
		g.claims = g.claims[1:]
	}
	if len(g.claims) == 0 {
		delete(ac.answersByGroup, name)
	}
}

// largestGroup returns the group whose answers use the most bytes. If several
// groups use the most, it returns the first of them in the order of names.
func (ac *answerCache) largestGroup() model.GroupName {
	var largest model.GroupName
	largestBytes := -1
	for n, g := range ac.answersByGroup {
		if g.usedBytes > largestBytes || g.usedBytes == largestBytes && n < largest {
			largest, largestBytes = n, g.usedBytes
		}
	}
	return largest
}
