package edge

import (
	"lacewingramp.example/lacewingramp"
)

// mirrorSource serves the mirror to the peers that follow this instance.
type mirrorSource struct{ e *Edge }

func (s mirrorSource) Snapshot() ([]lacewingramp.KeyValue, lacewingramp.Position) {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	return s.e.mirror.Snapshot()
}

func (s mirrorSource) Since(after lacewingramp.Position) ([]lacewingramp.Change, lacewingramp.Position, bool) {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	return s.e.mirror.Since(after)
}

func (s mirrorSource) Changed() <-chan struct{} {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	return s.e.mirror.Changed()
}
