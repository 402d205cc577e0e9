package slope

import (
	"errors"
	"fmt"
	"strings"
)

// The planned size and load of the deployment. A node runs one instance. Blocks are
// CIDR blocks of client addresses, each assigned to a failure domain. There are 12
// targets at each site. A change is a commit of the Table, and an order is a request
// with an idempotency key.
const (
	plannedNodes     = 1600.0
	plannedDomains   = 42.0
	nodesPerDomain   = plannedNodes / plannedDomains
	plannedBlocks    = 3.2e6
	plannedSites     = 230.0
	lookupsPerSecond = 1.3e6
	changesPerDay    = 1100.0
	plannedCustomers = 1000.0
	plannedTargets   = 12 * plannedSites
	ordersPerSecond  = 100.0
	plannedRoutes    = 4.0
	secondsPerDay    = 86400.0
)

// Budgets of the control plane. Those of a node are in cores, in bytes of memory and in
// bytes of network traffic per second. Those of the store are in bytes of one value, in
// reads per second and in writes per second.
const (
	coreBudget       = 0.012
	memoryBudget     = 128e6
	networkBudget    = 8e3
	storeValueBudget = 1 << 20
	storeReadBudget  = 2000.0
	storeWriteBudget = 300.0
)

// Rates and sizes of the current implementation. callOverheadBytes is the size of a
// heartbeat call without the digest that it carries. bytesPerBlock is the size of a
// block in the JSON of the Table.
const (
	heartbeatsPerSecond  = 2.0
	ticksPerSecond       = 10.0
	callOverheadBytes    = 120.0
	bytesPerBlock        = 45.0
	auditEntries         = 200.0
	bytesPerAuditEntry   = 20 * 120.0
	secondsPerNanosecond = 1e-9
)

// row is a row of the first table of Markdown. It describes a cost: the task of an
// instance that causes it (role), how it is calculated, its value at the planned size,
// its budget or 0 for none, and the code that causes it (component) as a package and
// an identifier in it.
type row struct {
	role        string
	quantity    string
	calculation string
	value       float64
	unit        string
	budget      float64
	component   string
}

// rows returns all rows of the first table, calculated from the slopes. heartbeatCallRate
// counts the heartbeats that a node sends to all others of its domain, and those that
// it receives from them. Two nodes of a domain exchange digests with each other
// domain, so relayedDomains is the mean number of domains whose digests a node relays.
func rows(results Results) []row {
	digestSize := results.Find("digest bytes").At(8) + callOverheadBytes
	relaySize := results.Find("relay bytes").PerUnit
	relayedDomains := 2 * (plannedDomains - 1) / nodesPerDomain
	heartbeatCallRate := 2 * heartbeatsPerSecond * (nodesPerDomain - 1)
	heartbeatNs := results.Find("beat time").At(nodesPerDomain)
	tableSize := results.Find("table bytes").At(plannedTargets)
	applyNs := results.Find("table apply").At(plannedTargets)
	lookupNs := results.Find("look-up time").At(plannedDomains)
	var all []row
	add := func(role, quantity, calculation string, value float64, unit string, budget float64, component string) {
		all = append(all, row{role, quantity, calculation, value, unit, budget, component})
	}
	add("lookups", "memory for blocks", fmt.Sprintf("%.3g blocks × %.1f bytes", plannedBlocks, results.Find("block memory").PerUnit),
		plannedBlocks*results.Find("block memory").PerUnit, "bytes", memoryBudget, "steer/resolver Resolver")
	add("lookups", "processor (traffic)", fmt.Sprintf("%.0f/s × %.0f ns", lookupsPerSecond/plannedNodes, lookupNs), lookupsPerSecond/plannedNodes*lookupNs*secondsPerNanosecond, "core", 0, "steer/resolver Resolver")
	add("lookups", "blocks in the table's value", fmt.Sprintf("%.3g × %.0f bytes", plannedBlocks, bytesPerBlock), plannedBlocks*bytesPerBlock, "bytes", storeValueBudget, "config/tablestore TableStore")
	add("exchange", "heartbeats in the domain", fmt.Sprintf("%.0f/s × 2 × %.0f bytes", heartbeatCallRate, digestSize), heartbeatCallRate*2*digestSize, "bytes/s", networkBudget, "peer/roster Roster, peer/link Client")
	add("exchange", "relay of other domains", fmt.Sprintf("%.0f/s × %.1f domains × %.0f bytes", heartbeatCallRate, relayedDomains, relaySize), heartbeatCallRate*relayedDomains*relaySize, "bytes/s", networkBudget, "peer/roster DigestsToRelay")
	add("exchange", "processor", fmt.Sprintf("%.0f/s × %.0f ns", heartbeatCallRate, heartbeatNs), heartbeatCallRate*heartbeatNs*secondsPerNanosecond, "core", coreBudget, "peer/link codec, peer/roster Record")
	add("exchange", "memory", fmt.Sprintf("%.0f known × %.0f bytes", nodesPerDomain+3*plannedDomains, results.Find("roster memory").PerUnit), (nodesPerDomain+3*plannedDomains)*results.Find("roster memory").PerUnit, "bytes", memoryBudget, "peer/roster Roster")
	add("limits", "memory", fmt.Sprintf("%.0f customers × %.0f bytes", plannedCustomers, results.Find("quota memory").PerUnit), results.Find("quota memory").At(plannedCustomers), "bytes", memoryBudget, "limit/quota Ledger")
	add("limits", "processor of ticks", fmt.Sprintf("%.0f/s × %.0f ns", ticksPerSecond, results.Find("quota tick").At(plannedCustomers)), ticksPerSecond*results.Find("quota tick").At(plannedCustomers)*secondsPerNanosecond, "core", coreBudget, "limit/quota Tick")
	add("configuration", "size of the table", fmt.Sprintf("%.0f targets × %.0f bytes", plannedTargets, results.Find("table bytes").PerUnit), tableSize, "bytes", storeValueBudget, "config/tablestore TableStore")
	add("configuration", "bytes, over a day", fmt.Sprintf("%.0f changes × %.0f bytes / 86400 s", changesPerDay, tableSize), changesPerDay*tableSize/secondsPerDay, "bytes/s", networkBudget, "entry/instance fetchTableFromPeer")
	add("configuration", "processor, over a day", fmt.Sprintf("%.0f changes × %.1f ms / 86400 s", changesPerDay, applyNs/1e6), changesPerDay*applyNs*secondsPerNanosecond/secondsPerDay, "core", coreBudget, "config/index New")
	add("records", "memory", fmt.Sprintf("%.0f orders/s × 600 s / %.0f × %.0f bytes", ordersPerSecond, plannedNodes, results.Find("record memory").PerUnit), ordersPerSecond*600/plannedNodes*results.Find("record memory").PerUnit, "bytes", memoryBudget, "call/record Ledger")
	rolloutStatsSize := results.Find("evidence bytes").At(plannedRoutes)
	add("rollouts", "statistics of one rollout in progress", fmt.Sprintf("%.0f/s × %.0f bytes of %.0f routes", heartbeatCallRate, rolloutStatsSize, plannedRoutes), heartbeatCallRate*rolloutStatsSize, "bytes/s", networkBudget, "change/rollout Manager")
	add("reports", "memory of counts", fmt.Sprintf("%.0f customers × %.0f routes × %.0f bytes", plannedCustomers, plannedRoutes, results.Find("tally memory").PerUnit), plannedCustomers*plannedRoutes*results.Find("tally memory").PerUnit, "bytes", memoryBudget, "report/tally Tally")
	add("reports", "memory of the audit trail", fmt.Sprintf("%.0f entries × %.0f bytes", auditEntries, bytesPerAuditEntry), auditEntries*bytesPerAuditEntry, "bytes", memoryBudget, "entry/instance AuditEntry")
	return append(all, storeRows()...)
}

// storeRows returns the rows for the load that all nodes together put on the platform's
// store. They do not depend on measurements.
func storeRows() []row {
	return []row{
		{"store", "polls of the table's revision", "2 × 42 / 2 s", 2 * plannedDomains / 2, "reads/s", storeReadBudget, "entry/instance pollTable"},
		{"store", "waiting watches", "2 × 42", 2 * plannedDomains, "calls", 0, "entry/instance watchTable"},
		{"store", "reads of the registrations", "2 × 42 / 5 s + 1600 / 60 s", 2*plannedDomains/5 + plannedNodes/60, "reads/s", storeReadBudget, "entry/instance readRegistrations"},
		{"store", "bytes of the registrations read", "44/s × 1600 × 150 bytes", (2*plannedDomains/5 + plannedNodes/60) * plannedNodes * 150, "bytes/s", 0, "entry/instance readRegistrations"},
		{"store", "renewals of leases", "1600 / 30 s", plannedNodes / 30, "writes/s", storeWriteBudget, "entry/instance register"},
		{"store", "restarts and failures", "450 a day × 12 writes", 450 * 12 / secondsPerDay, "writes/s", storeWriteBudget, "limit/assignment Plan, entry/instance updateAssignment"},
		{"store", "a failure domain lost", "its 38 leases lapse; its key stays", 0, "writes/s", storeWriteBudget, "limit/assignment Assignment"},
		{"store", "a rack of 20 lost", "16 shards × 2 writes, once", 32, "writes", 0, "limit/assignment Plan"},
	}
}

// Markdown returns the generated tables of docs/CAPACITY.md: the costs at the planned
// size, and the slopes.
func Markdown(results Results) string {
	var b strings.Builder
	b.WriteString("| role | what | worked out | at the size | budget | holds | component |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows(results) {
		budget, holds := "-", "-"
		if r.budget > 0 {
			budget, holds = formatAmount(r.budget, r.unit), "yes"
			if r.value > r.budget {
				holds = "**no**"
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.role, r.quantity, r.calculation, formatAmount(r.value, r.unit), budget, holds, r.component)
	}
	b.WriteString("\n| slope | per | unit | measured from | to | base | per unit | residual |\n|---|---|---|---|---|---|---|---|\n")
	for _, s := range results.Slopes {
		fmt.Fprintf(&b, "| %s | %s | %s | %.0f | %.0f | %.4g | %.4g | %.0f %% |\n", s.Name, s.Items, s.Unit, s.MinX, s.MaxX, s.Intercept, s.PerUnit, s.MaxResidual*100)
	}
	return b.String()
}

func formatAmount(v float64, unit string) string {
	switch unit {
	case "core":
		return fmt.Sprintf("%.3f %% of a core", v*100)
	case "bytes", "bytes/s":
		suffix := strings.TrimPrefix(unit, "bytes")
		if v >= 1e6 {
			return fmt.Sprintf("%.1f MB%s", v/1e6, suffix)
		}
		return fmt.Sprintf("%.2f KB%s", v/1e3, suffix)
	default:
		return fmt.Sprintf("%.4g %s", v, unit)
	}
}

// Markers before and after the generated tables in docs/CAPACITY.md.
const (
	beginMarker = "<!-- slopes: begin -->\n"
	endMarker   = "<!-- slopes: end -->"
)

// UpdatePage returns the page with regenerated tables between its markers.
func UpdatePage(page string, results Results) (string, error) {
	before, rest, ok := strings.Cut(page, beginMarker)
	if !ok {
		return "", errors.New("page has no line <!-- slopes: begin --> before the tables")
	}
	_, after, ok := strings.Cut(rest, endMarker)
	if !ok {
		return "", errors.New("page has no <!-- slopes: end --> after the tables")
	}
	return before + beginMarker + Markdown(results) + endMarker + after, nil
}
