package resolver

import (
	"sort"
	"time"

	"lacewingramp.example/lacewingramp"
)

// orderDomains returns, for each domain, all domains from the nearest to the
// farthest: itself, then its region, then the others by latency.
func orderDomains(domains []lacewingramp.Domain, links []lacewingramp.Link) [][]int32 {
	latencies := make(map[[2]string]time.Duration)
	for _, l := range links {
		latencies[[2]string{l.Region, l.OtherRegion}] = time.Duration(l.Latency)
		latencies[[2]string{l.OtherRegion, l.Region}] = time.Duration(l.Latency)
	}
	orders := make([][]int32, len(domains))
	for i, from := range domains {
		list := make([]int32, len(domains))
		for j := range domains {
			list[j] = int32(j)
		}
		sort.SliceStable(list, func(a, b int) bool {
			return distance(latencies, from, domains[list[a]]) < distance(latencies, from, domains[list[b]])
		})
		orders[i] = list
	}
	return orders
}

// unknownLatency is the assumed latency of two regions without a link in the
// Table.
const unknownLatency = time.Hour

func distance(latencies map[[2]string]time.Duration, from, to lacewingramp.Domain) time.Duration {
	// The constants rank the domain itself before its region, and its region
	// before regions with a latency of zero.
	switch {
	case from.Name == to.Name:
		return 0
	case from.Region == to.Region:
		return 1
	}
	if l, ok := latencies[[2]string{from.Region, to.Region}]; ok {
		return l + 2
	}
	return unknownLatency
}
