package edge

import (
	"strings"
	"sync"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/peer/rotation"
)

// endedPerHeartbeat is the number of stats of ended instances that a heartbeat carries.
const endedPerHeartbeat = 2

// startSeparator separates an instance's name from its start time in the name under
// which the instance reports its RolloutStats. That name is new at every start because
// the counts start again from 0.
const startSeparator = "/"

func statsName(instance string, startedAt time.Time) string {
	return instance + startSeparator + startedAt.Format(time.RFC3339Nano)
}

// rolloutStats returns the stats for the next heartbeat: those of this instance, and in
// rotation those of instances that have ended, which an instance that has started since can
// learn from others only.
func (e *Edge) rolloutStats(now time.Time) []lacewingramp.RolloutStats {
	// Without a rollout under way there is nothing to look up.
	started := sync.OnceValue(func() map[string]int64 {
		all := make(map[string]int64)
		for _, p := range e.peers.Alive(now) {
			all[p.Name] = p.StartMillis
		}
		return all
	})
	ended := e.rollouts.EndedStats(func(reporter string) bool {
		name, start, _ := strings.Cut(reporter, startSeparator)
		startedAt, err := time.Parse(time.RFC3339Nano, start)
		return err == nil && started()[name] == startedAt.UnixMilli()
	})
	return append(e.rollouts.RolloutStats(), rotation.Select(&e.statsRotation, ended, 0, endedPerHeartbeat)...)
}
