package transport

import (
	"context"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
)

// maxBacklog bounds the number of datagrams that are discarded after a freeze.
// The receive buffer holds fewer, so that more than this are new arrivals.
const maxDiscardedDatagrams = 1 << 20

// supervise ticks the decision code and recovers from freezes.
func (b *Balancer) supervise(ctx context.Context) {
	ticker := time.NewTicker(b.settings.Timers.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			b.gate.open(b.now()) // lets readers notice the end
			return
		case <-b.gate.freezeDetected:
			b.recoverFromFreeze(ctx)
		case <-ticker.C:
			now := b.now()
			if !b.gate.heartbeat(now) {
				b.recoverFromFreeze(ctx)
				continue
			}
			b.core.Tick(now)
		}
	}
}

// recover discards what arrived during a freeze, tells the decision code and
// asks peers for the view. Packets that arrive meanwhile wait in the socket.
// Without an answer in time the balancer continues with its view and relies on
// the hold-off.
func (b *Balancer) recoverFromFreeze(ctx context.Context) {
	b.interruptReads()
	b.gate.waitForReaders()
	discarded := b.discardBacklog()
	b.core.HandleFreeze(b.now())
	refreshCtx, cancel := context.WithTimeout(ctx, b.settings.Timers.ViewTimeout.Duration())
	defer cancel()
	err := b.controlPlane.Refresh(refreshCtx)
	if err == nil {
		b.core.ConfirmView()
	}
	b.resumeReads()
	b.gate.open(b.now())
	b.stats.add(groupFreeze, "discarded", int64(discarded))
	b.stats.add(groupFreeze, "freezes", 1)
	b.log(level.Warn, "freeze", "process was frozen", "discarded", discarded, "view_err", err)
}

// interruptReads makes readers return from the socket and wait at the gate.
func (b *Balancer) interruptReads() {
	if err := b.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		b.log(level.Error, "freeze", "interrupt reads", "err", err)
	}
}

func (b *Balancer) resumeReads() {
	if err := b.conn.SetReadDeadline(time.Time{}); err != nil {
		b.log(level.Error, "freeze", "resume reads", "err", err)
	}
}

// discardBacklog empties the receive buffer and returns the number of datagrams.
// It uses the descriptor, because a blocked reader holds the read lock of the connection.
func (b *Balancer) discardBacklog() int {
	raw, err := b.conn.SyscallConn()
	if err != nil {
		b.log(level.Error, "freeze", "discard backlog", "err", err)
		return 0
	}
	discarded := 0
	var buffer [1]byte
	err = raw.Control(func(fd uintptr) {
		for discarded < maxDiscardedDatagrams {
			_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_DONTWAIT)
			if err == syscall.EINTR {
				continue
			}
			if err != nil {
				return
			}
			discarded++
		}
	})
	if err != nil {
		b.log(level.Error, "freeze", "discard backlog", "err", err)
	}
	return discarded
}
