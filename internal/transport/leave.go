package transport

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// leave announces that the balancer is leaving and hands off its bindings. It then
// returns once the fabric has sent nothing for Timers.LeaveQuietPeriod, or after
// Timers.LeaveTimeout. Forwarding continues until it returns.
func (b *Balancer) leave() {
	timeout := b.settings.Timers.LeaveTimeout.Duration()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	b.log(level.Info, "leave", "leaving", "flows", b.core.FlowCount(), "limit", timeout)
	b.leaving.Store(true)
	err := b.controlPlane.Leave(ctx)
	if err != nil {
		b.log(level.Warn, "leave", "failed to announce the leave or to hand off bindings", "err", err)
	}
	if b.waitForQuietPeriod(ctx) {
		b.log(level.Info, "leave", "the fabric stopped sending packets")
		return
	}
	b.log(level.Warn, "leave", "leave timed out while the fabric was still sending packets", "limit", timeout)
}

// waitForQuietPeriod waits until the fabric has sent nothing for
// Timers.LeaveQuietPeriod. It returns false if ctx ends first.
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
