package follower

import (
	"time"

	"github.com/pkg/errors"
)

var errCommandTimeout = errors.New("command timed out without a result")

// Tick times out overdue commands and returns the commands that are due.
func (f *Follower) Tick(now time.Time) []Command {
	f.expireCommands(now)
	if !f.needsHeadRead() {
		f.platformFailures = 0
		f.clearAlarm(AlarmPlatformUnreachable)
	}
	var commands []Command
	if c, ok := f.nextPeerFetch(now); ok {
		commands = append(commands, c)
	}
	return append(commands, f.platformCommands(now)...)
}

// expireCommands handles commands that got no result within their timeout as failed.
func (f *Follower) expireCommands(now time.Time) {
	if f.headRead.timedOut(now, f.cfg.ReadTimeout) {
		f.handleHead(now, Result{Command: Command{Kind: ReadHead}, Err: errCommandTimeout})
	}
	if f.snapshotLoad.timedOut(now, f.cfg.LoadTimeout) {
		f.handleLoad(now, Result{Err: errCommandTimeout})
	}
	if f.vmListRead.timedOut(now, f.cfg.ReadTimeout) {
		f.HandleVMs(now, 0, errCommandTimeout)
	}
	if f.headWatch.timedOut(now, f.cfg.WatchTimeout) {
		f.HandleWatchEnded(now)
	}
	if f.peerFetch.timedOut(now, f.cfg.FetchTimeout) {
		f.handleFetchFailure(now)
	}
}

func (s *commandState) timedOut(now time.Time, timeout time.Duration) bool {
	return s.inFlight && now.Sub(s.startedAt) >= timeout
}

// nextPeerFetch returns the next fetch of the announced head: a full snapshot from a
// peer whose delta could not be used, otherwise from the next untried peer.
func (f *Follower) nextPeerFetch(now time.Time) (Command, bool) {
	inForce := f.current.Head
	if f.announced.head.Generation <= inForce.Generation || f.snapshotLoad.inFlight || !f.peerFetch.due(now) {
		return Command{}, false
	}
	c := Command{Kind: FetchFromPeer, Head: f.announced.head, BaseDigest: inForce.Digest}
	switch {
	case f.announced.fullSnapshotPeer != "":
		c.Peer, c.BaseDigest = f.announced.fullSnapshotPeer, ""
		f.announced.fullSnapshotPeer = ""
	case len(f.announced.untriedPeers) > 0:
		c.Peer = f.announced.untriedPeers[0]
		f.announced.untriedPeers = f.announced.untriedPeers[1:]
	default:
		return Command{}, false
	}
	f.peerFetch.start(now)
	f.counts.PeerFetches++
	return c, true
}

// platformCommands returns the platform reads that are due. Readers read the
// platform regularly; other balancers do so only at the start and when no peer
// could deliver an announced head. While the platform fails, only the head is read,
// to find out whether the platform answers again.
func (f *Follower) platformCommands(now time.Time) []Command {
	if now.Before(f.platformRetryAt) {
		return nil
	}
	var commands []Command
	issue := func(s *commandState, c Command) {
		s.start(now)
		f.counts.PlatformCalls++
		commands = append(commands, c)
	}
	inForce := f.current.Head
	if f.needsHeadRead() && f.headRead.due(now) {
		issue(&f.headRead, Command{Kind: ReadHead, Head: inForce})
	}
	if f.platformFailures > 0 {
		return commands
	}
	if f.unloadedHead.Generation > inForce.Generation && f.snapshotLoad.due(now) && !f.peerFetch.inFlight {
		issue(&f.snapshotLoad, Command{Kind: LoadSnapshot, Head: f.unloadedHead, ChunkCount: f.unloadedChunkCount})
	}
	if f.needsHeadWatch() && f.headWatch.due(now) {
		issue(&f.headWatch, Command{Kind: WatchHead, Head: inForce, Revision: f.headRevision})
	}
	if f.needsVMListRead() && f.vmListRead.due(now) {
		issue(&f.vmListRead, Command{Kind: ReadVMs})
	}
	return commands
}

// needsHeadRead reports whether this balancer reads the head from the platform.
func (f *Follower) needsHeadRead() bool {
	return f.isReader || f.current.Head.Generation == 0 || f.announced.allPeersFailed
}

// needsHeadWatch reports whether this balancer watches the head. A watch needs the
// revision to start from, which the first successful read supplies.
func (f *Follower) needsHeadWatch() bool {
	return f.isReader && f.headRevisionKnown
}

// needsVMListRead reports whether this balancer reads the VM list. Readers do so
// regularly, other balancers once at the start.
func (f *Follower) needsVMListRead() bool { return f.isReader || f.vmListRead.notBefore.IsZero() }
