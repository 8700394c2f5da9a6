package agent

import (
	"time"

	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/coordination/follower"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
)

var errUnreachable = errors.New("platform or peer unreachable")

// fakePlatform emulates the platform's key-value service and VM list in fake time.
type fakePlatform struct {
	c         *cluster
	head      follower.Head
	staleHead *follower.Head // if set, reads return this older head
	revision  uint64
	snapshots map[string][]byte
	vms       func() []platform.VM
	watches   []*watch

	isDown func(n *node) bool // reports whether the platform does not answer n
	delay  time.Duration
	calls  int
}

type watch struct {
	node    *node
	process *Agent
	command follower.Command
	done    bool
}

// publish stores a configuration as the next generation and answers the open watches.
func (f *fakePlatform) publish(set objects.Set) follower.Head {
	raw := objects.Canonical(set)
	f.head = follower.Head{Generation: f.head.Generation + 1, Digest: objects.Digest(raw)}
	f.revision++
	f.snapshots[f.head.Digest] = raw
	for _, w := range f.watches {
		f.answerWatch(w)
	}
	f.watches = nil
	return f.head
}

func (f *fakePlatform) unreachable(n *node) bool { return f.isDown != nil && f.isDown(n) }

func (f *fakePlatform) currentHead() follower.Head {
	if f.staleHead != nil {
		return *f.staleHead
	}
	return f.head
}

func (f *fakePlatform) execute(n *node, cmd follower.Command) {
	if cmd.Kind == follower.FetchFromPeer {
		f.fetchFromPeer(n, cmd)
		return
	}
	f.calls++
	if cmd.Kind == follower.WatchHead {
		f.watch(n, cmd)
		return
	}
	timeout := 1500 * time.Millisecond
	if cmd.Kind == follower.LoadSnapshot {
		timeout = 9 * time.Second
	}
	if f.unreachable(n) || f.delay > timeout {
		f.scheduleReply(n, timeout, func() { f.deliverAnswer(n, cmd, errUnreachable) })
		return
	}
	f.scheduleReply(n, f.c.latency()+f.delay, func() { f.deliverAnswer(n, cmd, nil) })
}

// scheduleReply runs a function after d for the process that sent the command, unless
// that process has ended. A frozen process gets it when it resumes.
func (f *fakePlatform) scheduleReply(n *node, d time.Duration, run func()) {
	process := n.Agent
	f.c.after(d, func() {
		if n.dead || n.Agent != process {
			return
		}
		if n.frozen {
			n.deferred = append(n.deferred, run)
			return
		}
		run()
	})
}

func (f *fakePlatform) deliverAnswer(n *node, cmd follower.Command, err error) {
	now := f.c.clock(n)
	switch cmd.Kind {
	case follower.ReadVMs:
		var list []platform.VM
		if f.vms != nil {
			list = f.vms()
		}
		n.HandleVMs(now, list, err)
	case follower.ReadHead, follower.WatchHead:
		n.HandleCommandResult(now, follower.Result{Command: cmd, Err: err, Head: f.currentHead(), ChunkCount: 1, Revision: f.revision})
	case follower.LoadSnapshot:
		n.HandleCommandResult(now, follower.Result{Command: cmd, Err: err, Snapshot: f.snapshots[cmd.Head.Digest]})
	}
}

func (f *fakePlatform) watch(n *node, cmd follower.Command) {
	if f.unreachable(n) {
		f.scheduleReply(n, 1500*time.Millisecond, func() { f.deliverAnswer(n, cmd, errUnreachable) })
		return
	}
	w := &watch{node: n, process: n.Agent, command: cmd}
	if f.revision > cmd.Revision {
		f.answerWatch(w)
		return
	}
	f.watches = append(f.watches, w)
	f.scheduleReply(n, 25*time.Second, func() {
		if !w.done {
			w.done = true
			n.HandleWatchEnded(f.c.clock(n))
		}
	})
}

func (f *fakePlatform) answerWatch(w *watch) {
	if w.done || w.node.Agent != w.process || f.unreachable(w.node) {
		return
	}
	w.done = true
	f.scheduleReply(w.node, f.c.latency()+f.delay, func() { f.deliverAnswer(w.node, w.command, nil) })
}

// fetchFromPeer executes a fetch of a snapshot from a peer.
func (f *fakePlatform) fetchFromPeer(n *node, cmd follower.Command) {
	result := follower.Result{Command: cmd}
	to := f.c.byName[cmd.Peer]
	handle := func() int {
		base := (follower.Head{Generation: 1, Digest: cmd.BaseDigest}).Wire().Digest
		response := to.follower.ServeSnapshot(base)
		result.Head = follower.HeadFromWire(response.Head)
		result.Snapshot, result.Delta = response.Snapshot, response.Delta
		return len(response.Snapshot) + len(response.Delta) + 120
	}
	f.c.call(n, to, handle, func(ok bool) {
		if !ok {
			result.Err = errUnreachable
		}
		n.HandleCommandResult(f.c.clock(n), result)
	})
}
