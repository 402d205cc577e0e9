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

// bulb returns a scenario of the order desk of a large deployment whose requests take
// seconds and have a timeout shortly above that. Each region sends the same number of
// requests, and one has few targets.
func bulb(name, description string, rate float64) Scenario {
	return Scenario{
		Name: name, Description: description,
		Targets: []int{94, 114, 24}, InstancesPerRegion: 4, Slots: 9, MaxQueued: 27, CacheSize: 11, ObjectsPerRegion: 400,
		RequestRate: rate, ProcessingTime: 1570 * time.Millisecond, CacheHitSavings: 0.7,
		LatencyObjective: 1060 * time.Millisecond, Timeout: 2 * time.Second, InterRegionLatency: 20 * time.Millisecond,
		LoadDuration: 24 * time.Second,
	}
}

// largeBank returns a scenario of the recipe service of the bank on hundreds of machines.
func largeBank(name, description string, rate float64) Scenario {
	return Scenario{
		Name: name, Description: description,
		Targets: []int{18, 76, 90}, InstancesPerRegion: 9, Slots: 3, MaxQueued: 9, CacheSize: 10, ObjectsPerRegion: 321,
		RequestRate: rate, ProcessingTime: 640 * time.Millisecond, CacheHitSavings: 0.7,
		LatencyObjective: 490 * time.Millisecond, Timeout: 2500 * time.Millisecond, InterRegionLatency: 35 * time.Millisecond,
		LoadDuration: 24 * time.Second,
	}
}

// Scenarios returns the scenarios under which the policies are compared.
func Scenarios() []Scenario {
	outage := kavach("kavach-outage", "all instances are down for 1.5 s, and all callers retry right after it", 60)
	outage.OutageFrom, outage.OutageUntil = 8*time.Second, 9500*time.Millisecond
	removal := bank("bank-loss", "four of twelve targets stop for good", 36)
	removal.RemovedTargets, removal.RemovedAt = 4, 10*time.Second
	crowded := Scenario{
		Name: "crowded", Description: "customers that are bound to the region with the fewest targets need more than these serve",
		Targets: []int{6, 8, 2}, InstancesPerRegion: 3, Slots: 9, MaxQueued: 27, CacheSize: 30, ObjectsPerRegion: 160,
		RequestRate: 80, ProcessingTime: 690 * time.Millisecond, CacheHitSavings: 0.7,
		LatencyObjective: 450 * time.Millisecond, Timeout: 1200 * time.Millisecond, InterRegionLatency: 20 * time.Millisecond,
		LoadDuration: 32 * time.Second, BoundFractions: []float64{0, 0, 0.2},
	}
	return []Scenario{
		bank("bank-calm", "normal load of the bank", 30),
		bank("bank-busy", "twice the normal load of the bank", 60),
		kavach("kavach-calm", "normal load of Kavach", 40),
		kavach("kavach-busy", "high load of Kavach", 65),
		outage,
		removal,
		crowded,
	}
}

// LargeScenarios returns scenarios of deployments with hundreds of targets. They take much
// longer to simulate.
func LargeScenarios() []Scenario {
	bound := bulb("bulb-bound", "customers are bound to the region with the fewest targets", 340)
	bound.BoundFractions = []float64{0.04, 0.02, 0.15}
	slow := largeBank("large-slow", "two of five targets are slow for a while", 175)
	slow.SlowTargets, slow.SlowFactor, slow.SlowFrom, slow.SlowUntil = 74, 12, 10*time.Second, 19*time.Second
	return []Scenario{
		bulb("bulb-calm", "normal load of a large deployment with long requests", 366),
		bound,
		largeBank("large-calm", "normal load of a deployment of hundreds of machines", 257),
		slow,
	}
}
