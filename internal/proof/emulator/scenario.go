package emulator

import "time"

// bank returns a scenario of the recipe service of the bank, one of the deployments in
// package examples. Each region sends the same number of requests, but the regions
// have different numbers of targets.
func bank(name, description string, rate float64) Scenario {
	return Scenario{
		Name: name, Description: description,
		Targets: []int{2, 4, 6}, InstancesPerRegion: 3, Slots: 3, MaxQueued: 9, CacheSize: 40, ObjectsPerRegion: 78,
		RequestRate: rate, ProcessingTime: 240 * time.Millisecond, CacheHitSavings: 0.7,
		LatencyObjective: 250 * time.Millisecond, Timeout: 1200 * time.Millisecond, InterRegionLatency: 35 * time.Millisecond,
		LoadDuration: 32 * time.Second,
	}
}

// kavach returns a scenario of the card lookup service of Kavach, the other deployment
// in package examples.
func kavach(name, description string, rate float64) Scenario {
	return Scenario{
		Name: name, Description: description,
		Targets: []int{4, 6, 2}, InstancesPerRegion: 3, Slots: 8, MaxQueued: 24, CacheSize: 37, ObjectsPerRegion: 72,
		RequestRate: rate, ProcessingTime: 880 * time.Millisecond, CacheHitSavings: 0.7,
		LatencyObjective: 600 * time.Millisecond, Timeout: 4 * time.Second, InterRegionLatency: 12 * time.Millisecond,
		LoadDuration: 32 * time.Second,
	}
}

// Scenarios returns the scenarios under which the policies are compared.
func Scenarios() []Scenario {
	outage := kavach("kavach-outage", "all instances are down for 1.5 s, and all callers retry right after it", 60)
	outage.OutageFrom, outage.OutageUntil = 8*time.Second, 9500*time.Millisecond
	removal := bank("bank-loss", "four of twelve targets stop for good", 36)
	removal.RemovedTargets, removal.RemovedAt = 4, 10*time.Second
	return []Scenario{
		bank("bank-calm", "normal load of the bank", 30),
		bank("bank-busy", "twice the normal load of the bank", 60),
		kavach("kavach-calm", "normal load of Kavach", 40),
		kavach("kavach-busy", "high load of Kavach", 65),
		outage,
		removal,
	}
}
