package placement

import "sort"

// Names returns the names of all targets, sorted.
func (p *Placer) Names() []string {
	all := make([]string, 0, len(p.targets))
	for n := range p.targets {
		all = append(all, n)
	}
	sort.Strings(all)
	return all
}

// VersionTargets returns the number of a service's targets that have a version.
func (p *Placer) VersionTargets(service, version string) (n int) {
	for _, t := range p.services[service] {
		if t.Version == version {
			n++
		}
	}
	return n
}

// Versions returns the numbers of a service's targets by version.
func (p *Placer) Versions(service string) map[string]int {
	counts := make(map[string]int)
	for _, t := range p.services[service] {
		counts[t.Version]++
	}
	return counts
}
