package slope

import (
	"errors"
	"fmt"
	"strings"
)

// The size to design for.
const (
	nodes       = 1600.0
	domains     = 42.0
	perDomain   = nodes / domains
	blocks      = 3.2e6
	sites       = 230.0
	lookups     = 1.3e6
	changesADay = 1100.0
	customers   = 1000.0
	targets     = 12 * sites
	ordersASec  = 100.0
	routes      = 4.0
	daySeconds  = 86400.0
)

// Budgets for control, per node, and of the store.
const (
	coreBudget   = 0.012
	memoryBudget = 128e6
	bytesBudget  = 8e3
	valueBudget  = 1 << 20
	readBudget   = 2000.0
	writeBudget  = 300.0
)

// Periods of today, in calls a second.
const (
	beatsASec    = 2.0
	ticksASec    = 10.0
	callOverhead = 120.0
	blockText    = 45.0
	auditEntries = 200.0
	auditBytes   = 20 * 120.0
	nano         = 1e-9
)

// row is one line of the page.
type row struct {
	role      string
	what      string
	sum       string
	value     float64
	unit      string
	budget    float64
	mechanism string
}

// rows works out every row from the slopes.
func rows(f File) []row {
	digest := f.Find("digest bytes").At(8) + callOverhead
	relayed := f.Find("relay bytes").PerUnit
	represents := 2 * (domains - 1) / perDomain
	beats := 2 * beatsASec * (perDomain - 1)
	beat := f.Find("beat time").At(perDomain)
	table := f.Find("table bytes").At(targets)
	apply := f.Find("table apply").At(targets)
	lookup := f.Find("look-up time").At(domains)
	var all []row
	add := func(role, what, sum string, value float64, unit string, budget float64, mechanism string) {
		all = append(all, row{role, what, sum, value, unit, budget, mechanism})
	}
	add("look-ups", "memory for blocks", fmt.Sprintf("%.3g blocks × %.1f bytes", blocks, f.Find("block memory").PerUnit),
		blocks*f.Find("block memory").PerUnit, "bytes", memoryBudget, "steer/region Guide")
	add("look-ups", "processor (traffic)", fmt.Sprintf("%.0f/s × %.0f ns", lookups/nodes, lookup), lookups/nodes*lookup*nano, "core", 0, "steer/region Guide")
	add("look-ups", "blocks in the table's value", fmt.Sprintf("%.3g × %.0f bytes", blocks, blockText), blocks*blockText, "bytes", valueBudget, "config/ledger Ledger")
	add("exchange", "heartbeats in the domain", fmt.Sprintf("%.0f/s × 2 × %.0f bytes", beats, digest), beats*2*digest, "bytes/s", bytesBudget, "peer/roster Roster, peer/link Client")
	add("exchange", "relay of other domains", fmt.Sprintf("%.0f/s × %.1f domains × %.0f bytes", beats, represents, relayed), beats*represents*relayed, "bytes/s", bytesBudget, "peer/roster Relay")
	add("exchange", "processor", fmt.Sprintf("%.0f/s × %.0f ns", beats, beat), beats*beat*nano, "core", coreBudget, "peer/link codec, peer/roster Hear")
	add("exchange", "memory", fmt.Sprintf("%.0f known × %.0f bytes", perDomain+3*domains, f.Find("roster memory").PerUnit), (perDomain+3*domains)*f.Find("roster memory").PerUnit, "bytes", memoryBudget, "peer/roster Roster")
	add("limits", "memory", fmt.Sprintf("%.0f customers × %.0f bytes", customers, f.Find("quota memory").PerUnit), f.Find("quota memory").At(customers), "bytes", memoryBudget, "limit/quota Book")
	add("limits", "processor of ticks", fmt.Sprintf("%.0f/s × %.0f ns", ticksASec, f.Find("quota tick").At(customers)), ticksASec*f.Find("quota tick").At(customers)*nano, "core", coreBudget, "limit/quota Tick")
	add("configuration", "size of the table", fmt.Sprintf("%.0f targets × %.0f bytes", targets, f.Find("table bytes").PerUnit), table, "bytes", valueBudget, "config/ledger Ledger")
	add("configuration", "bytes, over a day", fmt.Sprintf("%.0f changes × %.0f bytes / 86400 s", changesADay, table), changesADay*table/daySeconds, "bytes/s", bytesBudget, "entry/instance fetchFrom")
	add("configuration", "processor, over a day", fmt.Sprintf("%.0f changes × %.1f ms / 86400 s", changesADay, apply/1e6), changesADay*apply*nano/daySeconds, "core", coreBudget, "config/index New")
	add("records", "memory", fmt.Sprintf("%.0f orders/s × 600 s / %.0f × %.0f bytes", ordersASec, nodes, f.Find("record memory").PerUnit), ordersASec*600/nodes*f.Find("record memory").PerUnit, "bytes", memoryBudget, "call/record Book")
	evidence := f.Find("evidence bytes").At(routes)
	add("rollouts", "evidence of one rollout under way", fmt.Sprintf("%.0f/s × %.0f bytes of %.0f routes", beats, evidence, routes), beats*evidence, "bytes/s", bytesBudget, "change/rollout Manager")
	add("reports", "memory of counts", fmt.Sprintf("%.0f customers × %.0f routes × %.0f bytes", customers, routes, f.Find("tally memory").PerUnit), customers*routes*f.Find("tally memory").PerUnit, "bytes", memoryBudget, "report/tally Tally")
	add("reports", "memory of the audit trail", fmt.Sprintf("%.0f entries × %.0f bytes", auditEntries, auditBytes), auditEntries*auditBytes, "bytes", memoryBudget, "entry/instance Taken")
	return append(all, storeRows()...)
}

// storeRows are the calls to the platform's store by all nodes together.
func storeRows() []row {
	return []row{
		{"store", "polls of the table's revision", "2 × 42 / 2 s", 2 * domains / 2, "reads/s", readBudget, "entry/instance poll"},
		{"store", "waiting watches", "2 × 42", 2 * domains, "calls", 0, "entry/instance watch"},
		{"store", "reads of the list", "2 × 42 / 5 s + 1600 / 60 s", 2*domains/5 + nodes/60, "reads/s", readBudget, "entry/instance list"},
		{"store", "bytes of the list's reads", "44/s × 1600 × 150 bytes", (2*domains/5 + nodes/60) * nodes * 150, "bytes/s", 0, "entry/instance list"},
		{"store", "renewals of leases", "1600 / 30 s", nodes / 30, "writes/s", writeBudget, "entry/instance register"},
		{"store", "restarts and failures", "450 a day × 12 writes", 450 * 12 / daySeconds, "writes/s", writeBudget, "limit/holding, entry/instance writeHolding"},
		{"store", "a failure domain lost", "its 38 leases lapse; its key stays", 0, "writes/s", writeBudget, "limit/holding Holding"},
		{"store", "a rack of 20 lost", "16 shards × 2 writes, once", 32, "writes", 0, "limit/holding Plan"},
	}
}

// Page returns the table of docs/CAPACITY.md.
func Page(f File) string {
	var b strings.Builder
	b.WriteString("| role | what | worked out | at the size | budget | holds | carried by |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows(f) {
		budget, holds := "-", "-"
		if r.budget > 0 {
			budget, holds = amount(r.budget, r.unit), "yes"
			if r.value > r.budget {
				holds = "**no**"
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.role, r.what, r.sum, amount(r.value, r.unit), budget, holds, r.mechanism)
	}
	b.WriteString("\n| slope | per | unit | measured from | to | base | per unit | residual |\n|---|---|---|---|---|---|---|---|\n")
	for _, s := range f.Slopes {
		fmt.Fprintf(&b, "| %s | %s | %s | %.0f | %.0f | %.4g | %.4g | %.0f %% |\n", s.Name, s.X, s.Unit, s.From, s.To, s.Base, s.PerUnit, s.Residual*100)
	}
	return b.String()
}

func amount(v float64, unit string) string {
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

// Marks of the table in the page.
const (
	beginMark = "<!-- slopes: begin -->\n"
	endMark   = "<!-- slopes: end -->"
)

// Replace puts the table into the page between its marks.
func Replace(page string, f File) (string, error) {
	before, rest, ok := strings.Cut(page, beginMark)
	if !ok {
		return "", errors.New("the page has no mark where the table begins")
	}
	_, after, ok := strings.Cut(rest, endMark)
	if !ok {
		return "", errors.New("the page has no mark where the table ends")
	}
	return before + beginMark + Page(f) + endMark + after, nil
}
