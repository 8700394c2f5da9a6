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

// raiseRevision records the revision of the data of another balancer.
func (g *registry) raiseRevision(now time.Time, revision uint64) {
	if revision > g.revision {
		g.revision, g.revisionRaisedAt = revision, now
	}
}

// resetRevisions forgets the revisions of the targets, so that a listing replaces all of them.
func (g *registry) resetRevisions() {
	for _, t := range g.byID {
		t.Revision, t.goneRevision = 0, 0
	}
}
