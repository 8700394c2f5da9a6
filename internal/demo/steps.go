package demo

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// runSteps changes the fleet under traffic: it publishes a change, drains a target and
// stops a balancer.
func (d *demo) runSteps(ctx context.Context) error {
	first := d.services.list[0]
	begin := time.Now()
	drain := func(ctx context.Context) error { return d.drainFirstTarget(ctx, first) }
	for _, step := range []func(context.Context) error{d.changeOpenTimeout, drain, d.stopLastBalancer} {
		if err := d.waitPhase(ctx); err != nil {
			return err
		}
		if err := step(ctx); err != nil {
			return err
		}
		d.printTraffic("traffic")
	}
	if err := sleep(ctx, d.options.Load-time.Since(begin)); err != nil {
		return err
	}
	return d.countFlowsAfterDrain(ctx, first)
}

// waitPhase waits for the length of one load phase.
func (d *demo) waitPhase(ctx context.Context) error { return sleep(ctx, d.options.Load/loadPhaseCount) }

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "stopped")
	}
}

// changeOpenTimeout publishes a different open timeout for the first service.
func (d *demo) changeOpenTimeout(ctx context.Context) error {
	d.set.Services[0].OpenTimeoutMS = changedOpenTimeoutMS
	return d.publish(ctx, "open timeout of "+d.set.Services[0].Name+" changed")
}

// drainFirstTarget drains the first target of a service. Its new flows are counted
// from the time when drainPropagationLimit has passed.
func (d *demo) drainFirstTarget(ctx context.Context, s *service) error {
	for i := range d.set.Targets {
		if t := &d.set.Targets[i]; t.Pool == s.pool.Name {
			t.Drain = true
			d.outcome.DrainedTarget = t.Name
			break
		}
	}
	name := d.outcome.DrainedTarget
	s.markDraining(name)
	if err := d.publish(ctx, name+" drains"); err != nil {
		return err
	}
	d.drainBaseline = make(chan uint64, 1)
	time.AfterFunc(drainPropagationLimit, func() { d.drainBaseline <- s.targets[name].Report().ConnectionsTotal })
	return nil
}

// countFlowsAfterDrain counts the new flows of the drained target since
// drainPropagationLimit passed.
func (d *demo) countFlowsAfterDrain(ctx context.Context, s *service) error {
	select {
	case baseline := <-d.drainBaseline:
		d.outcome.FlowsAfterDrain = s.targets[d.outcome.DrainedTarget].Report().ConnectionsTotal - baseline
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "stopped")
	}
}

// stopLastBalancer stops the last balancer of the list gracefully.
func (d *demo) stopLastBalancer(context.Context) error {
	b := d.fleet.balancers[len(d.fleet.balancers)-1]
	d.printProgress("stopping %s gracefully", b.vm.Name)
	if err := d.fleet.stopBalancer(b); err != nil {
		return err
	}
	d.printProgress("%s stopped; %d balancers still running", b.vm.Name, len(d.fleet.running()))
	return nil
}
