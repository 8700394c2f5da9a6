// Package demo runs a whole fleet in one process: the platform and fabric
// stand-ins, balancers, targets and callers on loopback. While traffic flows it
// publishes a change, drains a target and stops a balancer, and then compares
// what the callers saw with what the targets did.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/publish"
)

const (
	// drainBound is how long balancers may still send new flows to a draining target.
	drainBound     = 3 * time.Second
	sampleInterval = 200 * time.Millisecond
	// phases is the number of parts into which the steps divide the load.
	phases = 5
	// runLimit ends the start and the steps. What follows takes up to 30 s when
	// flows broke, so that a demo ends within a minute.
	runLimit = 28 * time.Second
	// changedOpenTimeoutMS is the value of the published change. It differs from the default.
	changedOpenTimeoutMS = 1500
)

// Options are the parameters of a demo.
type Options struct {
	// Users is Coralline or Guild.
	Users string
	// Load is how long traffic flows at least. Steps that take longer extend it.
	Load time.Duration
	// Logs receives the log lines of the balancers.
	Logs io.Writer
}

// demo is one run.
type demo struct {
	options Options
	out     io.Writer
	started time.Time
	set     objects.Set
	fleet   *fleet
	parts   *services
	outcome Outcome
	// drainBase receives the flows of the drained target so far once the bound has passed.
	drainBase chan uint64
}

// Run runs a demo, prints its progress and its outcome to out and returns the
// outcome. An error means that the demo could not be carried out.
func Run(ctx context.Context, out io.Writer, o Options) (Outcome, error) {
	u, err := newUsers(o.Users)
	if err != nil {
		return Outcome{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	d := &demo{options: o, out: out, started: time.Now(), set: u.configuration()}
	if err := d.run(ctx, u); err != nil {
		return d.outcome, err
	}
	return d.outcome, d.outcome.print(out)
}

func (d *demo) run(ctx context.Context, u users) (err error) {
	d.fleet, err = startFleet(u.places, d.options.Logs)
	defer func() {
		if closed := d.fleet.close(); err == nil {
			err = closed
		}
	}()
	if err != nil {
		return err
	}
	carrier := d.fleet.carrier.Addr().String()
	d.parts, err = startServices(u, carrier, &d.set)
	defer func() {
		d.outcome.Interrupted = d.parts.stop()
		if closed := d.parts.close(); err == nil {
			err = closed
		}
	}()
	if err != nil {
		return err
	}
	if err := d.prepare(ctx, u, carrier); err != nil {
		return err
	}
	return d.load(ctx)
}

// prepare publishes the first configuration and waits until the fleet takes packets.
func (d *demo) prepare(ctx context.Context, u users, carrier string) error {
	if err := d.fleet.awaitMembers(ctx); err != nil {
		return err
	}
	d.say("%d balancers in %d places know each other", len(d.fleet.balancers), len(u.places))
	if err := d.publish(ctx, "first configuration"); err != nil {
		return err
	}
	if err := d.fleet.awaitLive(ctx); err != nil {
		return err
	}
	return d.parts.addCallers(u.places, carrier)
}

// load runs the traffic and takes the steps meanwhile.
func (d *demo) load(ctx context.Context) error {
	traffic, end := context.WithCancel(ctx)
	defer end()
	ended := make(chan struct{})
	go func() { d.parts.run(traffic); close(ended) }()
	err := await(ctx, "feeds open", d.parts.ready)
	if err == nil {
		err = d.measure(ctx)
	}
	end()
	<-ended
	d.sayTraffic("traffic ended")
	for _, s := range d.parts.list {
		d.outcome.Services = append(d.outcome.Services, s.check())
	}
	return err
}

// measure samples while the steps are taken.
func (d *demo) measure(ctx context.Context) error {
	d.sayTraffic("traffic flows")
	stepping, stop := context.WithCancel(ctx)
	sampled := make(chan struct{})
	go func() { d.sample(stepping); close(sampled) }()
	counted := d.countControl()
	err := d.steps(ctx)
	counted(&d.outcome)
	stop()
	<-sampled
	return err
}

// sample takes the imbalance of each service until ctx ends.
func (d *demo) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, s := range d.parts.list {
			s.sample()
		}
	}
}

// countControl starts to count control bytes. The result stores them per second
// for the balancers that still run.
func (d *demo) countControl() func(*Outcome) {
	begin := time.Now()
	before := map[*balancer]uint64{}
	for _, b := range d.fleet.balancers {
		before[b] = b.controlBytes()
	}
	return func(o *Outcome) {
		o.Counted = time.Since(begin)
		for _, b := range d.fleet.running() {
			o.ControlPerSecond = append(o.ControlPerSecond, float64(b.controlBytes()-before[b])/o.Counted.Seconds())
		}
	}
}

// publish publishes the configuration and waits until it is in force everywhere.
func (d *demo) publish(ctx context.Context, what string) error {
	p := publish.New(d.fleet.store)
	plan, err := p.Plan(ctx, publish.Request{Set: d.set, Operator: "demo"}, publish.Fleet{})
	if err != nil {
		return err
	}
	begin := time.Now()
	result := p.Commit(ctx, plan)
	if result.Outcome != publish.OutcomeAccepted {
		return errors.Errorf("%s: %s %v", what, result.Outcome, result.Reasons)
	}
	if err := d.fleet.awaitGeneration(ctx, result.Generation); err != nil {
		return err
	}
	d.say("%s: generation %d in force at %d of %d balancers after %d ms", what, result.Generation,
		len(d.fleet.running()), len(d.fleet.running()), time.Since(begin).Milliseconds())
	return nil
}

// say prints a progress line with the time since the start.
func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%5.1f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// sayTraffic prints a progress line with the counts so far.
func (d *demo) sayTraffic(what string) {
	text := what
	for _, s := range d.parts.list {
		r := s.report()
		text += fmt.Sprintf("; %s: %d feeds open, %d whole, %d requests whole, %d broken",
			s.workload.service.Name, r.FeedsOpen, r.FeedsComplete, r.Complete, r.Broken)
	}
	d.say("%s", text)
}
