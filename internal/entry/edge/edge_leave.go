package edge

import (
	"encoding/json"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/message"
	"lacewingramp.example/lacewingramp/internal/steer/placement"
)

// A target that is leaving may say so in its responses. The instance that gets one sends
// the target nothing new, whether the store and peers can be reached or not, and tells its
// peers by heartbeat, and the instance that has relayed the request by a header.

// incarnation returns the present incarnation of a target.
func (e *Edge) incarnation(name string) lacewingramp.LeavingTarget {
	e.mu.Lock()
	defer e.mu.Unlock()
	registration, _ := e.placer.Registration(name)
	return lacewingramp.LeavingTarget{Target: name, StartMillis: registration.StartMillis}
}

// recordLeaving records what a response to a request says of whether its target is leaving.
// The caller must hold e.mu.
func (e *Edge) recordLeaving(now time.Time, j *job, c placement.Choice, h lacewingramp.ResponseHeaders) {
	switch {
	case h.WrongTarget:
		// The response is another target's.
	case h.Leaving:
		l := lacewingramp.LeavingTarget{Target: c.Target.Name, StartMillis: c.StartMillis}
		j.leaving = &l
		e.markLeaving(now, l, j.headers.ID, "")
	case h.InvalidLeaving && e.loglimit.Allow(now, "leaving"):
		e.Log.Warn().Str("id", j.headers.ID).Str("target", c.Target.Name).Msg("ignored what a target says of leaving, as it cannot be understood")
	}
}

// recordRelayLeaving records what a peer says of the target to which it has sent a relayed
// request, if that is leaving.
func (e *Edge) recordRelayLeaving(j *job, peer string, resp *message.Response) {
	if resp == nil || len(resp.Header[headerRelayLeaving]) == 0 {
		return
	}
	text := resp.Header.Get(headerRelayLeaving)
	delete(resp.Header, headerRelayLeaving)
	var l lacewingramp.LeavingTarget
	err := json.Unmarshal([]byte(text), &l)
	if err == nil {
		err = l.Check()
	}
	if err != nil {
		e.Log.Warn().Err(err).Str("id", j.headers.ID).Str("peer", peer).Msg("ignored what a peer says of a leaving target")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.markLeaving(e.Timer.Now(), l, j.headers.ID, peer)
}

// markLeaving sends nothing new to an incarnation of a target from now on. id is the
// request whose response says that it is leaving, if any, and peer the instance that
// reported it, "" for the target itself. The caller must hold e.mu.
func (e *Edge) markLeaving(now time.Time, l lacewingramp.LeavingTarget, id, peer string) {
	if !e.placer.MarkLeaving(now, l) {
		return
	}
	e.Meter.TargetLeaving(peer != "")
	registration, _ := e.placer.Registration(l.Target)
	if e.loglimit.Allow(now, "departure") {
		e.Log.Info().Str("request", id).Str("leaving", l.Target).Int64("start", l.StartMillis).Str("service", registration.Service).
			Str("peer", peer).Msg("a target is leaving by its own word")
	}
}
