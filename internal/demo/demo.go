// Package demo runs a complete fleet in one process on loopback: stand-ins for the
// platform and the fabric, balancers, targets and callers. Under traffic it publishes
// a configuration change, drains a target and stops a balancer. It then compares the
// results that the callers counted with the requests that the targets ran.
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
	// drainPropagationLimit is how long balancers may still assign new flows to a target
	// after its drain was published.
	drainPropagationLimit = 3 * time.Second
	sampleInterval        = 200 * time.Millisecond
	// loadPhaseCount is the number of phases into which the load is divided. One phase
	// precedes each step.
	loadPhaseCount = 5
	// runTimeout limits the start of the fleet and the steps. The shutdown after them
	// takes up to 30 s when flows are broken, so a demo ends within a minute.
	runTimeout = 28 * time.Second
	// changedOpenTimeoutMS is the open timeout that the change publishes. It differs from the default.
	changedOpenTimeoutMS = 1500
)

// Options are the parameters of a demo.
type Options struct {
	// Users selects the configuration: Coralline or Guild.
	Users string
	// Load is the minimum duration of the traffic. Steps that take longer extend it.
	Load time.Duration
	// Logs receives the logs of the balancers.
	Logs io.Writer
}

// demo is the state of one run.
type demo struct {
	options   Options
	out       io.Writer
	startTime time.Time
	set       objects.Set
	fleet     *fleet
	services  *services
	outcome   Outcome
	// drainBaseline receives the number of connections that the drained target had
	// accepted when drainPropagationLimit passed.
	drainBaseline chan uint64
}

// Run runs a demo, prints its progress and its outcome to out and returns the
// outcome. It returns an error if the demo could not be completed; a violated
// guarantee is reported by Outcome.Err instead.
func Run(ctx context.Context, out io.Writer, o Options) (Outcome, error) {
	u, err := newUsers(o.Users)
	if err != nil {
		return Outcome{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	d := &demo{options: o, out: out, startTime: time.Now(), set: u.configuration()}
	if err := d.run(ctx, u); err != nil {
		return d.outcome, err
	}
	return d.outcome, d.outcome.print(out)
}

func (d *demo) run(ctx context.Context, u users) (err error) {
	d.fleet, err = startFleet(u.places, d.options.Logs)
	defer func() {
		if closeErr := d.fleet.close(); err == nil {
			err = closeErr
		}
	}()
	if err != nil {
		return err
	}
	fabricAddress := d.fleet.fabric.Addr().String()
	d.services, err = startServices(u, fabricAddress, &d.set)
	defer func() {
		d.outcome.TargetStopErr = d.services.stop()
		if closeErr := d.services.close(); err == nil {
			err = closeErr
		}
	}()
	if err != nil {
		return err
	}
	if err := d.prepare(ctx, u, fabricAddress); err != nil {
		return err
	}
	return d.runTraffic(ctx)
}

// prepare publishes the first configuration, waits until the fabric forwards packets
// to all balancers and adds the callers.
func (d *demo) prepare(ctx context.Context, u users, fabricAddress string) error {
	if err := d.fleet.awaitMembers(ctx); err != nil {
		return err
	}
	d.printProgress("membership complete: %d balancers in %d places", len(d.fleet.balancers), len(u.places))
	if err := d.publish(ctx, "first configuration"); err != nil {
		return err
	}
	if err := d.fleet.awaitFabric(ctx); err != nil {
		return err
	}
	return d.services.addCallers(u.places, fabricAddress)
}

// runTraffic runs the traffic and carries out the steps at the same time.
func (d *demo) runTraffic(ctx context.Context) error {
	trafficCtx, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	trafficDone := make(chan struct{})
	go func() { d.services.runSessions(trafficCtx); close(trafficDone) }()
	err := await(ctx, "wait until all feeds are open", d.services.ready)
	if err == nil {
		err = d.measureSteps(ctx)
	}
	endTraffic()
	<-trafficDone
	d.printTraffic("traffic ended")
	for _, s := range d.services.list {
		d.outcome.Services = append(d.outcome.Services, s.outcome())
	}
	return err
}

// measureSteps samples the imbalance and counts control bytes during the steps.
func (d *demo) measureSteps(ctx context.Context) error {
	d.printTraffic("traffic running")
	samplingCtx, stopSampling := context.WithCancel(ctx)
	samplingDone := make(chan struct{})
	go func() { d.sampleImbalance(samplingCtx); close(samplingDone) }()
	storeControlBytes := d.countControlBytes()
	err := d.runSteps(ctx)
	storeControlBytes(&d.outcome)
	stopSampling()
	<-samplingDone
	return err
}

// sampleImbalance periodically samples the imbalance of each service until ctx ends.
func (d *demo) sampleImbalance(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, s := range d.services.list {
			s.sampleImbalance()
		}
	}
}

// countControlBytes starts to count control bytes. The returned function stores the
// bytes per second of each balancer that is still running.
func (d *demo) countControlBytes() func(*Outcome) {
	begin := time.Now()
	before := map[*balancer]uint64{}
	for _, b := range d.fleet.balancers {
		before[b] = b.controlBytes()
	}
	return func(o *Outcome) {
		o.ControlCountTime = time.Since(begin)
		for _, b := range d.fleet.running() {
			o.ControlBytesPerSecond = append(o.ControlBytesPerSecond, float64(b.controlBytes()-before[b])/o.ControlCountTime.Seconds())
		}
	}
}

// publish publishes the configuration and waits until it is in force at every running balancer.
func (d *demo) publish(ctx context.Context, description string) error {
	p := publish.New(d.fleet.store)
	plan, err := p.Plan(ctx, publish.Request{Set: d.set, Operator: "demo"}, publish.Fleet{})
	if err != nil {
		return err
	}
	begin := time.Now()
	result := p.Commit(ctx, plan)
	if result.Outcome != publish.OutcomeAccepted {
		return errors.Errorf("%s: %s %v", description, result.Outcome, result.Reasons)
	}
	if err := d.fleet.awaitGeneration(ctx, result.Generation); err != nil {
		return err
	}
	d.printProgress("%s: generation %d in force at %d of %d balancers after %d ms", description, result.Generation,
		len(d.fleet.running()), len(d.fleet.running()), time.Since(begin).Milliseconds())
	return nil
}

// printProgress prints a progress line with the time since the start.
func (d *demo) printProgress(format string, args ...any) {
	fmt.Fprintf(d.out, "%5.1f s  %s\n", time.Since(d.startTime).Seconds(), fmt.Sprintf(format, args...))
}

// printTraffic prints a progress line with the current counts of the callers.
func (d *demo) printTraffic(description string) {
	text := description
	for _, s := range d.services.list {
		r := s.report()
		text += fmt.Sprintf("; %s: %d feeds open, %d whole, %d requests whole, %d broken",
			s.workload.service.Name, r.FeedsOpen, r.FeedsComplete, r.Complete, r.Broken)
	}
	d.printProgress("%s", text)
}
