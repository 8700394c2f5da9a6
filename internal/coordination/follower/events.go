package follower

import (
	"slices"
	"time"
)

// announcedHead is the highest head above the one in force that peers announced.
type announcedHead struct {
	head             Head
	untriedPeers     []string // peers that have the head in force and were not tried yet
	fullSnapshotPeer string   // peer whose delta could not be used, to fetch the full snapshot from
	allPeersFailed   bool     // the fetch failed at every known peer
}

// maxUntriedPeers limits the peers kept as sources of the announced head.
const maxUntriedPeers = 8

// commandState is the state of one kind of command, of which at most one is in flight.
type commandState struct {
	inFlight  bool
	startedAt time.Time
	notBefore time.Time // earliest start of the next command
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

// HandlePeerHead processes the head that a peer has in force. A head above the one
// in force becomes the announced head, or adds the peer as a source of it.
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

// HandleVMs completes a ReadVMs command. It takes the length of the list, or an
// error if the read failed. Long lists are read less often, to limit the traffic.
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

// HandleResult processes the result of a command other than ReadVMs. If the result
// puts a snapshot in force, it returns that snapshot and true.
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

// handleHead processes the result of a ReadHead or WatchHead command.
func (f *Follower) handleHead(now time.Time, r Result) {
	s := &f.headRead
	if r.Command.Kind == WatchHead {
		s = &f.headWatch
	}
	if r.Err != nil {
		// A watch that fails may have missed a change, so read the head next.
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
	f.handlePlatformHead(r.Head, r.ChunkCount)
}

// HandleWatchEnded completes a WatchHead command that saw no change before its
// timeout.
func (f *Follower) HandleWatchEnded(now time.Time) {
	f.headWatch.finish(now)
	f.headRead.notBefore = now
}

// handlePlatformHead compares the platform's head with the one in force. A higher
// one is recorded for loading; a lower or conflicting one raises an alarm.
func (f *Follower) handlePlatformHead(head Head, chunkCount int) {
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
		f.unloadedHead, f.unloadedChunkCount = head, chunkCount
	}
}

// handleLoad processes the result of a LoadSnapshot command.
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

// handleFetch processes the result of a FetchFromPeer command. If a delta does not
// give a snapshot with the expected digest, the full snapshot is fetched next.
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

// handleFetchFailure ends a fetch. Without an untried peer, the platform is read and
// fetches wait for FetchRetryInterval.
func (f *Follower) handleFetchFailure(now time.Time) {
	f.peerFetch.finish(now)
	if len(f.announced.untriedPeers) == 0 {
		f.announced.allPeersFailed = true
		f.peerFetch.notBefore = now.Add(f.jitter(f.cfg.FetchRetryInterval))
	}
}

// refuseSnapshot records a snapshot that is not put in force. An invalid snapshot
// with a matching digest is not requested again; a corrupted one can be.
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

// isRefused reports whether a snapshot with this digest was refused. The digest may
// be only a prefix.
func (f *Follower) isRefused(digest string) bool {
	for d := range f.refusedDigests {
		if (Head{Digest: d}).Matches(Head{Digest: digest}) {
			return true
		}
	}
	return false
}

// handlePlatformAnswer resets the backoff and the alarm of platform failures.
func (f *Follower) handlePlatformAnswer(now time.Time) {
	f.lastPlatformAnswer = now
	f.platformFailures = 0
	f.platformRetryAt = time.Time{}
	f.clearAlarm(AlarmPlatformUnreachable)
}

// handlePlatformFailure delays the next platform call by exponential backoff with
// jitter, so that balancers do not retry at the same time.
func (f *Follower) handlePlatformFailure(now time.Time) {
	f.platformFailures++
	f.raiseAlarm(AlarmPlatformUnreachable)
	wait := f.cfg.MinBackoff << min(f.platformFailures-1, 16)
	f.platformRetryAt = now.Add(f.jitter(min(wait, f.cfg.MaxBackoff)))
}

// jitter returns a random duration between d/2 and d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(f.rng.Int64N(int64(d/2)+1))
}
