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

// ServiceOutcome holds the measurements of one service.
type ServiceOutcome struct {
	Name string
	// Report is the sum of the reports of the callers.
	Report caller.Report
	// RequestsRun is the number of distinct requests that targets ran.
	RequestsRun int
	// DoubleRuns is the number of requests that ran more than once, on one target or on several.
	DoubleRuns int
	// RanDespiteNotRun is the number of requests that ran although they were reported to
	// the caller as not run.
	RanDespiteNotRun int
	// WrongService is the number of requests that reached a target of another service.
	WrongService uint64
	// ImbalanceRatios are samples of the ratio of maximum to mean open flows per target.
	ImbalanceRatios []float64
}

// Outcome holds the measurements of one demo.
type Outcome struct {
	Services []ServiceOutcome
	// DrainedTarget is the name of the drained target, and FlowsAfterDrain the number of
	// new flows that it accepted more than 3 s after its drain was published.
	DrainedTarget   string
	FlowsAfterDrain uint64
	// TargetStopErr is the error of targets that interrupted requests in progress during
	// their graceful stop.
	TargetStopErr error
	// ControlBytesPerSecond are the rates of bytes sent and received on the control
	// sockets of each balancer that ran for the whole time. Calls to the platform are
	// not included.
	ControlBytesPerSecond []float64
	// ControlCountTime is how long the control bytes were counted.
	ControlCountTime time.Duration
}

// violations returns a description of each violated guarantee.
func (o Outcome) violations() []string {
	var out []string
	add := func(count uint64, description string) {
		if count > 0 {
			out = append(out, fmt.Sprintf("%s: %d", description, count))
		}
	}
	for _, s := range o.Services {
		add(s.Report.Mismatched, s.Name+": foreign answers")
		add(s.Report.Broken, s.Name+": broken flows")
		add(uint64(s.DoubleRuns), s.Name+": double runs")
		add(uint64(s.RanDespiteNotRun), s.Name+": requests that ran although reported as not run")
		add(s.WrongService, s.Name+": requests at a target of another service")
	}
	add(o.FlowsAfterDrain, o.DrainedTarget+": new flows while draining")
	if o.TargetStopErr != nil {
		out = append(out, o.TargetStopErr.Error())
	}
	return out
}

// Err returns an error that lists the violated guarantees, or nil if there are none.
func (o Outcome) Err() error {
	if violations := o.violations(); len(violations) > 0 {
		return errors.Errorf("guarantees violated: %q", violations)
	}
	return nil
}

// print writes the outcome as a table with one column per service.
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
		return fmt.Sprintf("%d (%d of them ran)", s.Report.NotRun, s.RanDespiteNotRun)
	})
	row("  shed by a target", func(s ServiceOutcome) string { return fmt.Sprint(s.Report.Shed) })
	row("  unknown", func(s ServiceOutcome) string { return fmt.Sprint(s.Report.Unknown) })
	row("run by targets", func(s ServiceOutcome) string { return fmt.Sprint(s.RequestsRun) })
	row("double runs", func(s ServiceOutcome) string { return fmt.Sprint(s.DoubleRuns) })
	row("foreign answers", func(s ServiceOutcome) string { return fmt.Sprint(s.Report.Mismatched) })
	row("requests at a wrong target", func(s ServiceOutcome) string { return fmt.Sprint(s.WrongService) })
	row("feeds whole", func(s ServiceOutcome) string {
		return fmt.Sprintf("%d of %d", s.Report.FeedsComplete, s.Report.Feeds)
	})
	row("broken flows", func(s ServiceOutcome) string { return fmt.Sprint(s.Report.Broken) })
	row("open flows, highest over mean", func(s ServiceOutcome) string {
		return formatMeanAndMax(s.ImbalanceRatios, "%.2f")
	})
	if err := w.Flush(); err != nil {
		return errors.WithStack(err)
	}
	fmt.Fprintf(out, "new flows at %s from 3 s after its drain: %d\n", o.DrainedTarget, o.FlowsAfterDrain)
	_, err := fmt.Fprintf(out, "control bytes per balancer and second, sent and received without platform calls, over %.0f s: %s\n",
		o.ControlCountTime.Seconds(), formatMeanAndMax(o.ControlBytesPerSecond, "%.0f"))
	return errors.WithStack(err)
}

// formatMeanAndMax returns the mean and the maximum of the values as text.
func formatMeanAndMax(values []float64, format string) string {
	if len(values) == 0 {
		return "not measured"
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return fmt.Sprintf("mean "+format+", highest "+format, sum/float64(len(values)), slices.Max(values))
}

// outcome compares the results at the callers with the requests that the targets ran.
func (s *service) outcome() ServiceOutcome {
	var reports []target.Report
	for _, t := range s.targets {
		reports = append(reports, t.Report())
	}
	out := compareReports(s.report(), reports)
	out.ImbalanceRatios = s.imbalanceRatios
	return out
}

// compareReports counts the requests of one service that ran more than once, that ran
// although reported as not run, or that reached a target of another service.
func compareReports(callerReport caller.Report, targetReports []target.Report) ServiceOutcome {
	out := ServiceOutcome{Name: callerReport.Service, Report: callerReport}
	runCounts := map[string]int{}
	for _, t := range targetReports {
		out.WrongService += t.WrongService
		for id, n := range t.Runs {
			runCounts[id] += n
		}
	}
	out.RequestsRun = len(runCounts)
	for _, n := range runCounts {
		if n > 1 {
			out.DoubleRuns++
		}
	}
	for _, id := range callerReport.NotRunIDs {
		if runCounts[id] > 0 {
			out.RanDespiteNotRun++
		}
	}
	return out
}
