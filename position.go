package lacewingramp

// Position is a point in the history of the store's changes.
//
// A store that is restored from a backup gives out revisions again that it had given
// out before. Epoch rises with each such restoration, so that positions keep their
// order. It is 0 if the source of the changes does not report it.
type Position struct {
	Epoch    int64
	Revision int64
}

// Before reports whether p is earlier than q.
func (p Position) Before(q Position) bool {
	if p.Epoch != q.Epoch {
		return p.Epoch < q.Epoch
	}
	return p.Revision < q.Revision
}
