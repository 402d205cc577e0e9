package placement

// AnyLoadAware reports whether any service is load-aware.
func (p *Placer) AnyLoadAware() bool {
	return p.uploads || len(p.workReported) > 0
}
