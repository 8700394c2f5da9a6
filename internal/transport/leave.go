package transport

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// leave announces the leave, hands over bindings and keeps forwarding until the
// fabric has sent nothing for a while, or the limit has passed.
func (b *Balancer) leave() {
	limit := b.settings.Timers.LeaveTimeout.Duration()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	b.log(level.Info, "leave", "leaving", "flows", b.core.FlowCount(), "limit", limit)
	b.leaving.Store(true)
	err := b.plane.Leave(ctx)
	if err != nil {
		b.log(level.Warn, "leave", "announce and hand over", "err", err)
	}
	if b.waitForQuiet(ctx) {
		b.log(level.Info, "leave", "the fabric sends no more packets")
		return
	}
	b.log(level.Warn, "leave", "the fabric still sends packets", "limit", limit)
}

// waitForQuiet reports whether the fabric stopped sending before ctx ended.
func (b *Balancer) waitForQuiet(ctx context.Context) bool {
	quiet := b.settings.Timers.LeaveQuietPeriod.Duration()
	since := b.now()
	ticker := time.NewTicker(b.settings.Timers.TickInterval.Duration())
	defer ticker.Stop()
	for {
		last := b.started.Add(time.Duration(b.fabricSeen.Load()))
		if last.Before(since) {
			last = since
		}
		if b.now().Sub(last) >= quiet {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}
