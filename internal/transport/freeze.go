package transport

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/kumquatworks/kumquatworks/internal/transport/backlog"
)

// maxDiscardedDatagrams limits the number of datagrams that are discarded after a
// freeze. The receive buffer holds fewer, so any beyond this limit arrived after
// the freeze.
const maxDiscardedDatagrams = 1 << 20

// supervise calls the periodic tick of the dispatcher, detects freezes of the process
// and recovers from them.
func (b *Balancer) supervise(ctx context.Context) {
	ticker := time.NewTicker(b.settings.Timers.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			b.gate.open(b.now()) // releases waiting readers, which then see that ctx has ended
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

// recoverFromFreeze discards the packets that arrived during a freeze, reports the
// freeze to the dispatcher and queries peers for the membership view. Packets that
// arrive during recovery stay in the receive buffer. If no peer responds within
// Timers.ViewTimeout, the balancer continues with its current view. After any freeze
// it refuses no openers for Timers.HoldOff.
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
	b.log(level.Warn, "freeze", "recovered from a freeze of the process", "discarded", discarded, "view_err", err)
}

// interruptReads makes blocked reads return, so that the readers wait at the gate.
func (b *Balancer) interruptReads() {
	if err := b.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		b.log(level.Error, "freeze", "failed to interrupt reads of the data socket", "err", err)
	}
}

func (b *Balancer) resumeReads() {
	if err := b.conn.SetReadDeadline(time.Time{}); err != nil {
		b.log(level.Error, "freeze", "failed to resume reads of the data socket", "err", err)
	}
}

// discardBacklog empties the receive buffer and returns the number of discarded
// datagrams.
func (b *Balancer) discardBacklog() int {
	discarded := 0
	var buffer [1]byte
	if err := backlog.Read(b.conn, buffer[:], maxDiscardedDatagrams, func(int) { discarded++ }); err != nil {
		b.log(level.Error, "freeze", "failed to discard the receive backlog", "err", err)
	}
	return discarded
}
