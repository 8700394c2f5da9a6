package follower

import (
	"time"

	"github.com/pkg/errors"
)

var errNoResult = errors.New("no result in time")

// Tick returns the commands that are due.
func (f *Follower) Tick(now time.Time) []Command {
	f.expire(now)
	if !f.needsRead() {
		f.failures = 0
		f.clear(AlarmPlatformUnreachable)
	}
	var commands []Command
	if c, ok := f.nextFetch(now); ok {
		commands = append(commands, c)
	}
	return append(commands, f.platformCommands(now)...)
}

// expire gives up commands whose result never came.
func (f *Follower) expire(now time.Time) {
	if f.read.expired(now, f.cfg.ReadTimeout) {
		f.handleHead(now, Result{Command: Command{Kind: ReadHead}, Err: errNoResult})
	}
	if f.load.expired(now, f.cfg.LoadTimeout) {
		f.handleLoad(now, Result{Err: errNoResult})
	}
	if f.list.expired(now, f.cfg.ReadTimeout) {
		f.HandleVMs(now, 0, errNoResult)
	}
	if f.watch.expired(now, f.cfg.WatchTimeout) {
		f.WatchEnded(now)
	}
	if f.fetch.expired(now, f.cfg.FetchTimeout) {
		f.fetchFailed(now)
	}
}

func (s *slot) expired(now time.Time, timeout time.Duration) bool {
	return s.busy && now.Sub(s.started) >= timeout
}

// nextFetch asks a peer that told of the wanted head.
func (f *Follower) nextFetch(now time.Time) (Command, bool) {
	inForce := f.current.Head
	if f.wanted.head.Generation <= inForce.Generation || f.load.busy || !f.fetch.due(now) {
		return Command{}, false
	}
	c := Command{Kind: FetchPeer, Head: f.wanted.head, Base: inForce.Digest}
	switch {
	case f.wanted.whole != "":
		c.Peer, c.Base = f.wanted.whole, ""
		f.wanted.whole = ""
	case len(f.wanted.peers) > 0:
		c.Peer = f.wanted.peers[0]
		f.wanted.peers = f.wanted.peers[1:]
	default:
		return Command{}, false
	}
	f.fetch.start(now)
	f.counts.PeerFetches++
	return c, true
}

// platformCommands returns reads of the platform: regular ones by readers, by
// others only at the start and when no peer could deliver a wanted head. While
// the platform fails, a read of the head alone tries whether it answers again.
func (f *Follower) platformCommands(now time.Time) []Command {
	if now.Before(f.retryAt) {
		return nil
	}
	var commands []Command
	issue := func(s *slot, c Command) {
		s.start(now)
		f.counts.PlatformCalls++
		commands = append(commands, c)
	}
	inForce := f.current.Head
	if f.needsRead() && f.read.due(now) {
		issue(&f.read, Command{Kind: ReadHead, Head: inForce})
	}
	if f.failures > 0 {
		return commands
	}
	if f.stored.Generation > inForce.Generation && f.load.due(now) && !f.fetch.busy {
		issue(&f.load, Command{Kind: LoadSnapshot, Head: f.stored, Parts: f.parts})
	}
	if f.needsWatch() && f.watch.due(now) {
		issue(&f.watch, Command{Kind: WatchHead, Head: inForce, Revision: f.revision})
	}
	if f.needsList() && f.list.due(now) {
		issue(&f.list, Command{Kind: ReadVMs})
	}
	return commands
}

func (f *Follower) needsRead() bool {
	return f.reader || f.current.Head.Generation == 0 || f.wanted.failed
}

// needsWatch waits for a first answer, which tells the revision to watch from.
func (f *Follower) needsWatch() bool {
	return f.reader && f.sawHead
}

// needsList reports whether the VM list is read: by readers, and once at the start.
func (f *Follower) needsList() bool { return f.reader || f.list.next.IsZero() }
