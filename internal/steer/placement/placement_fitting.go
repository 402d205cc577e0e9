package placement

import "time"

// firstFitting picks the first target for which fits returns true and which has a token
// for the request if its rate is limited. A target that may be cold without this
// instance knowing is picked to be probed, unless a probe has failed, and one whose token
// has to be requested is picked for that.
func (p *Placer) firstFitting(now time.Time, q *Query, all []ranked, fits func(int, *target) bool) (Choice, bool) {
	for i, t := range all {
		if !fits(i, t.target) {
			continue
		}
		if choice, ok := p.take(now, q, i, t.target); ok {
			return choice.of(t.target), true
		}
	}
	return Choice{}, false
}

// take counts a request as in flight at a target, if the target has a token for it or its
// rate is not limited. It returns false if not, and a choice without the target otherwise.
func (p *Placer) take(now time.Time, q *Query, position int, t *target) (Choice, bool) {
	choice := Choice{RankingPosition: position, Region: t.region, Reason: q.reasonOf(position)}
	if p.mayBeCold(now, t) && !t.probeFailed {
		choice.NeedsProbe = true
		return choice, true
	}
	choice.WarmingUp = t.cold(now)
	switch p.admit(now, t, choice.WarmingUp, !q.NoTokenRequests) {
	case admitted:
		t.begin(now)
		choice.ChosenAt = now
		choice.Load = t.utilization(now)
		return choice, true
	case tokenNeeded:
		choice.NeedsToken = true
		return choice, true
	case rejected:
	}
	return Choice{}, false
}

// of returns the choice with a copy of a target.
func (c Choice) of(t *target) Choice {
	chosen := t.Target
	c.Target, c.StartMillis = &chosen, t.StartMillis
	return c
}
