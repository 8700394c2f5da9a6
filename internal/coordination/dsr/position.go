package dsr

import "cmp"

// Position is a state of the store. Its revision grows with each change. The era grows when the store
// returns from an older copy, after which it gives out revisions again, so a revision alone does
// not name a state. An era of 0 is unknown.
type Position struct{ Era, Revision uint64 }

// Before reports whether p is an earlier state than q.
func (p Position) Before(q Position) bool {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision)) < 0
}
