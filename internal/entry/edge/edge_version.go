package edge

import (
	"time"

	"lacewingramp.example/lacewingramp/internal/change/rollout"
)

// chooseVersions returns the preferred and the fallback version for the next attempt of a
// request. Both are empty, which allows any version, if the service has no order. A request
// is tried again on the fallback version only.
func (e *Edge) chooseVersions(now time.Time, j *job) (prefer, fallback string) {
	o, ok := e.orders[j.service]
	if !ok {
		return "", ""
	}
	switch {
	case o.standIn != "":
		return o.standIn, o.standIn
	case o.startAt.IsZero():
		return o.baseVersion, o.baseVersion
	}
	prefer, fallback = e.rollouts.Choose(now, j.service, j.object())
	if len(j.tried) > 0 {
		return fallback, fallback
	}
	return prefer, fallback
}

// setBaseVersion sets the base version to the one that most targets of the service have, the
// new version and the rejected ones excluded, if it is unknown or no target has it any more.
// An instance that has missed the outcome of an earlier order does not know what that left.
func (e *Edge) setBaseVersion(o *order) {
	if o.baseVersion != "" && e.placer.VersionTargets(o.Service, o.baseVersion) > 0 {
		return
	}
	before, maxCount := o.baseVersion, 0
	for v, n := range e.placer.Versions(o.Service) {
		if v == o.Version || o.rejected[v] {
			continue
		}
		if n > maxCount || (n == maxCount && v < o.baseVersion) {
			o.baseVersion, maxCount = v, n
		}
	}
	if before != "" && before != o.baseVersion {
		e.Log.Warn().Str("service", o.Service).Str("replaced", before).Str("version", o.baseVersion).Msg("the old version of a rollout has no target left")
	}
}

// setStandIn sets the stand-in of an order: the base version if the rollout is done and no
// target has the new version any more.
func (e *Edge) setStandIn(o *order) {
	gone := e.localStatus(o).State == rollout.StateDone && e.placer.VersionTargets(o.Service, o.Version) == 0
	version := ""
	if gone && e.placer.VersionTargets(o.Service, o.baseVersion) > 0 {
		version = o.baseVersion
	}
	if version != o.standIn {
		e.Log.Warn().Str("service", o.Service).Str("version", o.Version).Str("in", version).Msg("stand-in of a version without targets")
	}
	o.standIn = version
}
