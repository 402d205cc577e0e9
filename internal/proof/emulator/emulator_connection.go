package emulator

import "time"

// connectionKey identifies the connections of an instance to a target.
type connectionKey struct {
	instance int
	target   *target
}

// connect takes an idle connection of the request's instance to a target, or opens one. It
// returns the time in which the request arrives there.
func (sim *simulation) connect(r *request, t *target) time.Duration {
	const openingFactor = 3
	if sim.ConnectionIdle == 0 {
		return sim.latency(r, t)
	}
	key := connectionKey{instance: r.instance, target: t}
	idle := sim.idle[key]
	if n := len(idle); n > 0 && sim.now.Sub(idle[n-1]) < sim.ConnectionIdle {
		sim.idle[key] = idle[:n-1]
		return sim.latency(r, t)
	}
	delete(sim.idle, key)
	return openingFactor * sim.latency(r, t)
}

// disconnect keeps the connection on which a response has come as an idle one.
func (sim *simulation) disconnect(r *request, t *target) {
	if sim.ConnectionIdle == 0 {
		return
	}
	if sim.idle == nil {
		sim.idle = make(map[connectionKey][]time.Time)
	}
	key := connectionKey{instance: r.instance, target: t}
	sim.idle[key] = append(sim.idle[key], sim.now)
}
