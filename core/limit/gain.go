package limit

import "math"

// group sums up runs: products of the times spent in the two arms, as shares of the
// expected time, and the times themselves.
type group struct {
	runs          int
	s00, s01, s11 float64
	t0, t1        float64
}

// gain returns the logarithm of how much more gets done in the other arm, which lets
// through so many times as many runs, and its standard error. It reports false where too
// little is known.
func (l *Learner) gain(ratio float64) (gain, deviation float64, ok bool) {
	groups := l.groups
	if n := len(groups); n > 0 && groups[n-1].runs == 0 {
		groups = groups[:n-1]
	}
	if len(groups) < minGroups {
		return 0, 0, false
	}
	var all group
	for i := range groups {
		all.add(&groups[i], 1)
	}
	speed, ok := all.speed()
	if !ok {
		return 0, 0, false
	}
	// The jackknife over groups: runs of a group are disturbed alike.
	var sum, squares float64
	for i := range groups {
		without := all
		without.add(&groups[i], -1)
		s, ok := without.speed()
		if !ok {
			return 0, 0, false
		}
		sum += s
		squares += s * s
	}
	k := float64(len(groups))
	variance := (k - 1) / k * (squares - sum*sum/k)
	return speed + math.Log(ratio), math.Sqrt(max(variance, 0)), true
}

func (g *group) add(o *group, sign float64) {
	g.runs += int(sign) * o.runs
	g.s00, g.s01, g.s11 = g.s00+sign*o.s00, g.s01+sign*o.s01, g.s11+sign*o.s11
	g.t0, g.t1 = g.t0+sign*o.t0, g.t1+sign*o.t1
}

// speed returns the logarithm of the speed of runs in the other arm over that at the
// limit, by least squares: the times in both arms, each at its speed, make up the work. It
// reports false where there is too little in one of them.
func (g *group) speed() (float64, bool) {
	const least = 6
	if g.t0 < least || g.t1 < least {
		return 0, false
	}
	det := g.s00*g.s11 - g.s01*g.s01
	v0, v1 := g.t0*g.s11-g.t1*g.s01, g.t1*g.s00-g.t0*g.s01
	if det <= 0 || v0 <= 0 || v1 <= 0 {
		return 0, false
	}
	return math.Log(v1 / v0), true
}
