package follower

import (
	"slices"
	"time"
)

// wanted is the highest head that peers told above the one in force.
type announcedHead struct {
	head             Head
	untriedPeers     []string // peers that have it in force and were not asked yet
	fullSnapshotPeer string   // peer whose delta could not be used
	allPeersFailed   bool     // every known source failed
}

// maxSources bounds the peers remembered for one head.
const maxUntriedPeers = 8

// slot is one kind of command, of which at most one is under way.
type commandState struct {
	inFlight  bool
	startedAt time.Time
	notBefore time.Time
}

func (s *commandState) start(now time.Time) {
	s.inFlight = true
	s.startedAt = now
}

func (s *commandState) due(now time.Time) bool { return !s.inFlight && !now.Before(s.notBefore) }

func (s *commandState) finish(notBefore time.Time) {
	s.inFlight = false
	s.notBefore = notBefore
}

// PeerHead notes the head that a peer has in force.
func (f *Follower) HandlePeerHead(now time.Time, peer string, head Head) {
	inForce := f.current.Head
	if head.Generation == inForce.Generation && head.Generation > 0 && !head.Matches(inForce) {
		f.raiseAlarm(AlarmDigestConflict)
		return
	}
	if head.Generation <= inForce.Generation || head.Generation < f.announced.head.Generation {
		return
	}
	if head.Generation > f.announced.head.Generation {
		f.announced = announcedHead{head: head}
		f.peerFetch.notBefore = now
	}
	if !head.Matches(f.announced.head) {
		f.raiseAlarm(AlarmDigestConflict)
		return
	}
	if f.isRefused(head.Digest) || len(f.announced.untriedPeers) >= maxUntriedPeers || slices.Contains(f.announced.untriedPeers, peer) {
		return
	}
	f.announced.untriedPeers = append(f.announced.untriedPeers, peer)
}

// HandleVMs ends a ReadVMs command with the length of the list; err means that
// no list came. Long lists are read less often, to bound the bytes.
func (f *Follower) HandleVMs(now time.Time, length int, err error) {
	if err != nil {
		f.vmListRead.finish(now)
		f.handlePlatformFailure(now)
		return
	}
	f.handlePlatformAnswer(now)
	interval := max(f.cfg.VMListInterval, time.Duration(length)*f.cfg.VMListIntervalPerEntry)
	f.vmListRead.finish(now.Add(f.jitter(interval)))
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
	case FetchFromPeer:
		return f.handleFetch(now, r)
	}
	return Snapshot{}, false
}

func (f *Follower) handleHead(now time.Time, r Result) {
	s := &f.headRead
	if r.Command.Kind == WatchHead {
		s = &f.headWatch
	}
	if r.Err != nil {
		// A watch that ends without an answer may have missed a change: read the head next.
		s.finish(now)
		f.headRead.notBefore = now
		f.handlePlatformFailure(now)
		return
	}
	f.handlePlatformAnswer(now)
	s.finish(now)
	f.headRead.notBefore = now.Add(f.jitter(f.cfg.HeadReadInterval))
	f.headRevision = r.Revision
	f.headRevisionKnown = true
	f.announced.allPeersFailed = false
	f.handlePlatformHead(r.Head, r.Parts)
}

// WatchEnded ends a WatchHead command that saw no change within its time.
func (f *Follower) HandleWatchEnded(now time.Time) {
	f.headWatch.finish(now)
	f.headRead.notBefore = now
}

func (f *Follower) handlePlatformHead(head Head, parts int) {
	inForce := f.current.Head
	if head.Generation < inForce.Generation {
		f.counts.LowerHeads++
		f.raiseAlarm(AlarmLowerHead)
		return
	}
	f.clearAlarm(AlarmLowerHead)
	if head.Generation == inForce.Generation {
		if head.Generation > 0 && !head.Matches(inForce) {
			f.raiseAlarm(AlarmDigestConflict)
		}
		return
	}
	if !f.isRefused(head.Digest) {
		f.unloadedHead, f.unloadedParts = head, parts
	}
}

func (f *Follower) handleLoad(now time.Time, r Result) (Snapshot, bool) {
	f.snapshotLoad.finish(now.Add(f.jitter(f.cfg.FetchRetryInterval)))
	if r.Err != nil && !r.Corrupted {
		f.handlePlatformFailure(now)
		return Snapshot{}, false
	}
	f.handlePlatformAnswer(now)
	set, status := f.verify(r.Command.Head, r.Snapshot)
	if status != snapshotValid {
		f.refuseSnapshot(r.Command.Head, status)
		return Snapshot{}, false
	}
	return f.adopt(Snapshot{Head: r.Command.Head, Set: set, encoded: r.Snapshot})
}

func (f *Follower) handleFetch(now time.Time, r Result) (Snapshot, bool) {
	digestConflict := r.Head.Generation == r.Command.Head.Generation && !r.Head.Matches(r.Command.Head)
	if r.Err != nil || digestConflict || r.Head.Generation < r.Command.Head.Generation {
		f.handleFetchFailure(now)
		return Snapshot{}, false
	}
	encoded := r.Snapshot
	if len(encoded) == 0 {
		encoded = f.applyDelta(r.Command.BaseDigest, r.Delta)
	}
	set, status := f.verify(r.Head, encoded)
	if status == snapshotValid {
		f.peerFetch.finish(now)
		return f.adopt(Snapshot{Head: r.Head, Set: set, encoded: encoded})
	}
	if status == snapshotCorrupted && len(r.Snapshot) == 0 {
		f.announced.fullSnapshotPeer = r.Command.Peer
		f.peerFetch.finish(now)
		return Snapshot{}, false
	}
	f.refuseSnapshot(r.Head, status)
	f.handleFetchFailure(now)
	return Snapshot{}, false
}

func (f *Follower) handleFetchFailure(now time.Time) {
	f.peerFetch.finish(now)
	if len(f.announced.untriedPeers) == 0 {
		f.announced.allPeersFailed = true
		f.peerFetch.notBefore = now.Add(f.jitter(f.cfg.FetchRetryInterval))
	}
}

// refuse notes a snapshot that is not put in force. One that is invalid though
// its digest is right is not asked for again.
func (f *Follower) refuseSnapshot(head Head, status snapshotStatus) {
	f.counts.Refusals++
	f.raiseAlarm(AlarmSnapshotRefused)
	if status != snapshotInvalid {
		return
	}
	f.refusedDigests[head.Digest] = true
	if head.Matches(f.announced.head) {
		f.announced = announcedHead{}
	}
	if head.Matches(f.unloadedHead) {
		f.unloadedHead = Head{}
	}
}

// refusedDigest reports whether a digest, or the start of one, was refused.
func (f *Follower) isRefused(digest string) bool {
	for d := range f.refusedDigests {
		if (Head{Digest: d}).Matches(Head{Digest: digest}) {
			return true
		}
	}
	return false
}

func (f *Follower) handlePlatformAnswer(now time.Time) {
	f.lastPlatformAnswer = now
	f.platformFailures = 0
	f.platformRetryAt = time.Time{}
	f.clearAlarm(AlarmPlatformUnreachable)
}

// platformFailed makes the next platform call wait: longer after each failure,
// and by a random share so that balancers spread out.
func (f *Follower) handlePlatformFailure(now time.Time) {
	f.platformFailures++
	f.raiseAlarm(AlarmPlatformUnreachable)
	wait := f.cfg.MinBackoff << min(f.platformFailures-1, 16)
	f.platformRetryAt = now.Add(f.jitter(min(wait, f.cfg.MaxBackoff)))
}

// jitter returns a duration between half and all of d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(f.rng.Int64N(int64(d/2)+1))
}
