package dsr

import "time"

// falseNumberTimeout is how long after another balancer has sent a revision or a version a read of
// the store must have begun to show that the store never had it. It exceeds the delay of any
// response.
const falseNumberTimeout = 10 * time.Second

// isFalse reports whether a revision or version that another balancer sent at the given time, zero
// if none did, must be wrong if a read of the store that began at readAt shows a lower one. readAt
// is zero if the response may be a copy of an earlier one, which shows nothing.
func isFalse(sentAt, readAt time.Time) bool {
	return !sentAt.IsZero() && !readAt.IsZero() && readAt.Sub(sentAt) > falseNumberTimeout
}

// raisePosition records the position of the data of another balancer.
func (g *registry) raisePosition(now time.Time, p Position) {
	if g.position.Before(p) {
		g.position, g.positionRaisedAt = p, now
	}
}

// disproves reports whether a listing with an earlier position shows that the store does not have the
// present one: it was read anew, and the present one came from the store, too, or is false.
func (g *registry) disproves(l Listing) bool {
	return !l.ReadAt.IsZero() && (g.positionRaisedAt.IsZero() || isFalse(g.positionRaisedAt, l.ReadAt))
}
