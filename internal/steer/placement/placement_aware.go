package placement

import "lacewingramp.example/lacewingramp"

// SetRoutes sets the routes of the table in force. If one of them is for uploads, all services
// are load-aware.
func (p *Placer) SetRoutes(routes []lacewingramp.Route) {
	p.uploads = false
	for i := range routes {
		p.uploads = p.uploads || routes[i].Upload
	}
}

// LoadAware reports whether targets of a service are chosen by their expected completion time and
// its requests are subject to admission control: the table has a route for uploads, or a target of the
// service has reported how long work takes there.
func (p *Placer) LoadAware(service string) bool {
	return p.uploads || p.workReported[service]
}

// AnyLoadAware reports whether any service is load-aware.
func (p *Placer) AnyLoadAware() bool {
	return p.uploads || len(p.workReported) > 0
}

// recordWorkReport records that a target reports how long work takes there.
func (p *Placer) recordWorkReport(t *target, load *lacewingramp.TargetLoad) {
	if load.WorkPercent <= 0 || p.workReported[t.Service] {
		return
	}
	if p.workReported == nil {
		p.workReported = make(map[string]bool)
	}
	p.workReported[t.Service] = true
}
