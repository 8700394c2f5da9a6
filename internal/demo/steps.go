package demo

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// steps changes the fleet while traffic flows.
func (d *demo) steps(ctx context.Context) error {
	first := d.parts.list[0]
	begin := time.Now()
	drain := func(ctx context.Context) error { return d.drain(ctx, first) }
	for _, step := range []func(context.Context) error{d.change, drain, d.stopOne} {
		if err := d.pause(ctx); err != nil {
			return err
		}
		if err := step(ctx); err != nil {
			return err
		}
		d.sayTraffic("traffic")
	}
	if err := wait(ctx, d.options.Load-time.Since(begin)); err != nil {
		return err
	}
	return d.checkDrain(ctx, first)
}

// pause lets traffic flow for one phase.
func (d *demo) pause(ctx context.Context) error { return wait(ctx, d.options.Load/phases) }

func wait(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "stopped")
	}
}

// change publishes another open timeout of the first service.
func (d *demo) change(ctx context.Context) error {
	d.set.Services[0].OpenTimeoutMS = changedOpenTimeoutMS
	return d.publish(ctx, "open timeout of "+d.set.Services[0].Name+" changed")
}

// drain publishes that the first target of a service drains. The count of its
// flows begins when the bound for new ones has passed.
func (d *demo) drain(ctx context.Context, s *service) error {
	for i := range d.set.Targets {
		if t := &d.set.Targets[i]; t.Pool == s.pool.Name {
			t.Drain = true
			d.outcome.DrainedTarget = t.Name
			break
		}
	}
	name := d.outcome.DrainedTarget
	s.drain(name)
	if err := d.publish(ctx, name+" drains"); err != nil {
		return err
	}
	d.drainBase = make(chan uint64, 1)
	time.AfterFunc(drainBound, func() { d.drainBase <- s.targets[name].Report().ConnectionsTotal })
	return nil
}

// checkDrain counts the new flows of the drained target since the bound.
func (d *demo) checkDrain(ctx context.Context, s *service) error {
	select {
	case base := <-d.drainBase:
		d.outcome.LateFlows = s.targets[d.outcome.DrainedTarget].Report().ConnectionsTotal - base
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "stopped")
	}
}

// stopOne stops one balancer gracefully.
func (d *demo) stopOne(context.Context) error {
	b := d.fleet.balancers[len(d.fleet.balancers)-1]
	d.say("%s leaves", b.vm.Name)
	if err := d.fleet.stopBalancer(b); err != nil {
		return err
	}
	d.say("%s stopped; %d balancers go on", b.vm.Name, len(d.fleet.running()))
	return nil
}
