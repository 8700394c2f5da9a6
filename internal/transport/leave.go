package transport

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// leave announces the leave, hands over bindings and keeps forwarding until the
// fabric has sent nothing for a while, or the limit has passed.
func (b *Balancer) leave() {
	timeout := b.settings.Timers.LeaveTimeout.Duration()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	b.log(level.Info, "leave", "leaving", "flows", b.core.FlowCount(), "limit", timeout)
	b.leaving.Store(true)
	err := b.controlPlane.Leave(ctx)
	if err != nil {
		b.log(level.Warn, "leave", "announce and hand over", "err", err)
	}
	if b.waitForQuietPeriod(ctx) {
		b.log(level.Info, "leave", "the fabric sends no more packets")
		return
	}
	b.log(level.Warn, "leave", "the fabric still sends packets", "limit", timeout)
}

// waitForQuiet reports whether the fabric stopped sending before ctx ended.
func (b *Balancer) waitForQuietPeriod(ctx context.Context) bool {
	quietPeriod := b.settings.Timers.LeaveQuietPeriod.Duration()
	start := b.now()
	ticker := time.NewTicker(b.settings.Timers.TickInterval.Duration())
	defer ticker.Stop()
	for {
		lastPacketAt := b.startedAt.Add(time.Duration(b.lastFabricPacketAt.Load()))
		if lastPacketAt.Before(start) {
			lastPacketAt = start
		}
		if b.now().Sub(lastPacketAt) >= quietPeriod {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}
