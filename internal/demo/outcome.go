package demo

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/standin/caller"
	"github.com/kumquatworks/kumquatworks/internal/standin/target"
)

// ServiceOutcome is what was measured of one service.
type ServiceOutcome struct {
	Name string
	// Report is what the callers counted.
	Report caller.Report
	// Ran is the number of requests that targets ran.
	Ran int
	// DoubleRuns are requests that ran more than once, at one target or at several.
	DoubleRuns int
	// FalseNotRun are requests that ran although the caller was told that they did not.
	FalseNotRun int
	// WrongService are requests that reached a target of another service.
	WrongService uint64
	// Imbalance are the samples of highest over mean of open flows per target.
	Imbalance []float64
}

// Outcome is what was measured in one demo.
type Outcome struct {
	Services []ServiceOutcome
	// DrainedTarget received LateFlows from 3 s after its drain was published.
	DrainedTarget string
	LateFlows     uint64
	// Interrupted is the error of targets that cut work at their graceful stop.
	Interrupted error
	// ControlPerSecond are the bytes that each balancer that ran all the time sent and
	// received at its control sockets. Calls to the platform are not among them.
	ControlPerSecond []float64
	// Counted is the time in which the control bytes were counted.
	Counted time.Duration
}

// broken lists the promises that the demo saw broken, in words.
func (o Outcome) broken() []string {
	var out []string
	add := func(count uint64, what string) {
		if count > 0 {
			out = append(out, fmt.Sprintf("%s: %d", what, count))
		}
	}
	for _, s := range o.Services {
		add(s.Report.Mismatched, s.Name+": foreign answers")
		add(s.Report.Broken, s.Name+": broken flows")
		add(uint64(s.DoubleRuns), s.Name+": double runs")
		add(uint64(s.FalseNotRun), s.Name+": requests that ran although reported as not run")
		add(s.WrongService, s.Name+": requests at a target of another service")
	}
	add(o.LateFlows, o.DrainedTarget+": new flows while draining")
	if o.Interrupted != nil {
		out = append(out, o.Interrupted.Error())
	}
	return out
}

// Err returns an error that names the broken promises, or nil.
func (o Outcome) Err() error {
	if broken := o.broken(); len(broken) > 0 {
		return errors.Errorf("promises broken: %q", broken)
	}
	return nil
}

// print writes the outcome as one table.
func (o Outcome) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, value func(ServiceOutcome) string) {
		fmt.Fprint(w, name)
		for _, s := range o.Services {
			fmt.Fprint(w, "\t", value(s))
		}
		fmt.Fprintln(w)
	}
	row("", func(s ServiceOutcome) string { return s.Name })
	row("requests", func(s ServiceOutcome) string { return fmt.Sprint(s.Report.Requests) })
	row("  whole", func(s ServiceOutcome) string { return fmt.Sprint(s.Report.Complete) })
	row("  not run", func(s ServiceOutcome) string {
		return fmt.Sprintf("%d (%d of them ran)", s.Report.NotRun, s.FalseNotRun)
	})
	row("  shed by a target", func(s ServiceOutcome) string { return fmt.Sprint(s.Report.Shed) })
	row("  unknown", func(s ServiceOutcome) string { return fmt.Sprint(s.Report.Unknown) })
	row("run by targets", func(s ServiceOutcome) string { return fmt.Sprint(s.Ran) })
	row("double runs", func(s ServiceOutcome) string { return fmt.Sprint(s.DoubleRuns) })
	row("foreign answers", func(s ServiceOutcome) string { return fmt.Sprint(s.Report.Mismatched) })
	row("requests at a wrong target", func(s ServiceOutcome) string { return fmt.Sprint(s.WrongService) })
	row("feeds whole", func(s ServiceOutcome) string {
		return fmt.Sprintf("%d of %d", s.Report.FeedsComplete, s.Report.Feeds)
	})
	row("broken flows", func(s ServiceOutcome) string { return fmt.Sprint(s.Report.Broken) })
	row("open flows, highest over mean", func(s ServiceOutcome) string {
		return spread(s.Imbalance, "%.2f")
	})
	if err := w.Flush(); err != nil {
		return errors.WithStack(err)
	}
	fmt.Fprintf(out, "new flows at %s from 3 s after its drain: %d\n", o.DrainedTarget, o.LateFlows)
	_, err := fmt.Fprintf(out, "control bytes per balancer and second, sent and received without platform calls, over %.0f s: %s\n",
		o.Counted.Seconds(), spread(o.ControlPerSecond, "%.0f"))
	return errors.WithStack(err)
}

// spread returns the mean and the highest of measured values.
func spread(values []float64, format string) string {
	if len(values) == 0 {
		return "not measured"
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return fmt.Sprintf("mean "+format+", highest "+format, sum/float64(len(values)), slices.Max(values))
}

// check compares what the callers were told with what the targets ran.
func (s *service) check() ServiceOutcome {
	var reports []target.Report
	for _, t := range s.targets {
		reports = append(reports, t.Report())
	}
	out := compare(s.report(), reports)
	out.Imbalance = s.ratios
	return out
}

// compare finds requests of one service that ran twice or although the caller was told otherwise.
func compare(told caller.Report, targets []target.Report) ServiceOutcome {
	out := ServiceOutcome{Name: told.Service, Report: told}
	runs := map[string]int{}
	for _, t := range targets {
		out.WrongService += t.WrongService
		for id, n := range t.Runs {
			runs[id] += n
		}
	}
	out.Ran = len(runs)
	for _, n := range runs {
		if n > 1 {
			out.DoubleRuns++
		}
	}
	for _, id := range told.NotRunIDs {
		if runs[id] > 0 {
			out.FalseNotRun++
		}
	}
	return out
}
