package follower

import (
	"slices"
	"time"
)

// wanted is the highest head that peers told above the one in force.
type wanted struct {
	head   Head
	peers  []string // peers that have it in force and were not asked yet
	whole  string   // peer whose delta could not be used
	failed bool     // every known source failed
}

// maxSources bounds the peers remembered for one head.
const maxSources = 8

// slot is one kind of command, of which at most one is under way.
type slot struct {
	busy    bool
	started time.Time
	next    time.Time
}

func (s *slot) start(now time.Time) {
	s.busy = true
	s.started = now
}

func (s *slot) due(now time.Time) bool { return !s.busy && !now.Before(s.next) }

func (s *slot) done(next time.Time) {
	s.busy = false
	s.next = next
}

// PeerHead notes the head that a peer has in force.
func (f *Follower) PeerHead(now time.Time, peer string, head Head) {
	inForce := f.current.Head
	if head.Generation == inForce.Generation && head.Generation > 0 && !head.Same(inForce) {
		f.raise(AlarmDigestConflict)
		return
	}
	if head.Generation <= inForce.Generation || head.Generation < f.wanted.head.Generation {
		return
	}
	if head.Generation > f.wanted.head.Generation {
		f.wanted = wanted{head: head}
		f.fetch.next = now
	}
	if !head.Same(f.wanted.head) {
		f.raise(AlarmDigestConflict)
		return
	}
	if f.refusedDigest(head.Digest) || len(f.wanted.peers) >= maxSources || slices.Contains(f.wanted.peers, peer) {
		return
	}
	f.wanted.peers = append(f.wanted.peers, peer)
}

// HandleVMs ends a ReadVMs command with the length of the list; err means that
// no list came. Long lists are read less often, to bound the bytes.
func (f *Follower) HandleVMs(now time.Time, length int, err error) {
	if err != nil {
		f.list.done(now)
		f.platformFailed(now)
		return
	}
	f.platformAnswered(now)
	interval := max(f.cfg.ListInterval, time.Duration(length)*f.cfg.ListIntervalPerVM)
	f.list.done(now.Add(f.jitter(interval)))
}

// HandleResult takes the answer to a command other than ReadVMs. It returns a
// snapshot that has just come into force.
func (f *Follower) HandleResult(now time.Time, r Result) (Snapshot, bool) {
	switch r.Command.Kind {
	case ReadHead, WatchHead:
		f.handleHead(now, r)
		return Snapshot{}, false
	case LoadSnapshot:
		return f.handleLoad(now, r)
	case FetchPeer:
		return f.handleFetch(now, r)
	}
	return Snapshot{}, false
}

func (f *Follower) handleHead(now time.Time, r Result) {
	s := &f.read
	if r.Command.Kind == WatchHead {
		s = &f.watch
	}
	if r.Err != nil {
		// A watch that ends without an answer may have missed a change: read the head next.
		s.done(now)
		f.read.next = now
		f.platformFailed(now)
		return
	}
	f.platformAnswered(now)
	s.done(now)
	f.read.next = now.Add(f.jitter(f.cfg.ReadInterval))
	f.revision = r.Revision
	f.sawHead = true
	f.wanted.failed = false
	f.platformHead(r.Head, r.Parts)
}

// WatchEnded ends a WatchHead command that saw no change within its time.
func (f *Follower) WatchEnded(now time.Time) {
	f.watch.done(now)
	f.read.next = now
}

func (f *Follower) platformHead(head Head, parts int) {
	inForce := f.current.Head
	if head.Generation < inForce.Generation {
		f.counts.LowerHeads++
		f.raise(AlarmLowerHead)
		return
	}
	f.clear(AlarmLowerHead)
	if head.Generation == inForce.Generation {
		if head.Generation > 0 && !head.Same(inForce) {
			f.raise(AlarmDigestConflict)
		}
		return
	}
	if !f.refusedDigest(head.Digest) {
		f.stored, f.parts = head, parts
	}
}

func (f *Follower) handleLoad(now time.Time, r Result) (Snapshot, bool) {
	f.load.done(now.Add(f.jitter(f.cfg.RetryInterval)))
	if r.Err != nil && !r.Corrupted {
		f.platformFailed(now)
		return Snapshot{}, false
	}
	f.platformAnswered(now)
	set, verdict := f.verify(r.Command.Head, r.Snapshot)
	if verdict != verdictGood {
		f.refuse(r.Command.Head, verdict)
		return Snapshot{}, false
	}
	return f.adopt(Snapshot{Head: r.Command.Head, Set: set, raw: r.Snapshot})
}

func (f *Follower) handleFetch(now time.Time, r Result) (Snapshot, bool) {
	other := r.Head.Generation == r.Command.Head.Generation && !r.Head.Same(r.Command.Head)
	if r.Err != nil || other || r.Head.Generation < r.Command.Head.Generation {
		f.fetchFailed(now)
		return Snapshot{}, false
	}
	raw := r.Snapshot
	if len(raw) == 0 {
		raw = f.applyDelta(r.Command.Base, r.Delta)
	}
	set, verdict := f.verify(r.Head, raw)
	if verdict == verdictGood {
		f.fetch.done(now)
		return f.adopt(Snapshot{Head: r.Head, Set: set, raw: raw})
	}
	if verdict == verdictCorrupted && len(r.Snapshot) == 0 {
		f.wanted.whole = r.Command.Peer
		f.fetch.done(now)
		return Snapshot{}, false
	}
	f.refuse(r.Head, verdict)
	f.fetchFailed(now)
	return Snapshot{}, false
}

func (f *Follower) fetchFailed(now time.Time) {
	f.fetch.done(now)
	if len(f.wanted.peers) == 0 {
		f.wanted.failed = true
		f.fetch.next = now.Add(f.jitter(f.cfg.RetryInterval))
	}
}

// refuse notes a snapshot that is not put in force. One that is invalid though
// its digest is right is not asked for again.
func (f *Follower) refuse(head Head, v verdict) {
	f.counts.Refusals++
	f.raise(AlarmSnapshotRefused)
	if v != verdictInvalid {
		return
	}
	f.refused[head.Digest] = true
	if head.Same(f.wanted.head) {
		f.wanted = wanted{}
	}
	if head.Same(f.stored) {
		f.stored = Head{}
	}
}

// refusedDigest reports whether a digest, or the start of one, was refused.
func (f *Follower) refusedDigest(digest string) bool {
	for d := range f.refused {
		if (Head{Digest: d}).Same(Head{Digest: digest}) {
			return true
		}
	}
	return false
}

func (f *Follower) platformAnswered(now time.Time) {
	f.answered = now
	f.failures = 0
	f.retryAt = time.Time{}
	f.clear(AlarmPlatformUnreachable)
}

// platformFailed makes the next platform call wait: longer after each failure,
// and by a random share so that balancers spread out.
func (f *Follower) platformFailed(now time.Time) {
	f.failures++
	f.raise(AlarmPlatformUnreachable)
	wait := f.cfg.BackoffMin << min(f.failures-1, 16)
	f.retryAt = now.Add(f.jitter(min(wait, f.cfg.BackoffMax)))
}

// jitter returns a duration between half and all of d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(f.rng.Int64N(int64(d/2)+1))
}
