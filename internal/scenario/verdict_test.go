package scenario

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kumquatworks/kumquatworks/internal/standin/caller"
	"github.com/kumquatworks/kumquatworks/internal/standin/target"
)

// wholeCommand fails unless all requests and feeds of each caller, which must have
// exited, were complete, and they are at least MINIMUM together: whole MINIMUM CALLER...
func wholeCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	for _, name := range args[1:] {
		r := f.loggedReport(ts, name)
		if !r.AllComplete() || int(r.Requests+r.Feeds) < parseNumber(ts, args[0]) {
			ts.Fatalf("%s: incomplete requests or feeds, or too few of them: %s", name, f.process(ts, name).stdout(ts))
		}
	}
	f.checkRuns(ts)
}

// truthfulCommand fails unless the outcome of all requests of each caller, which must
// have exited, was reported correctly: truthful MINIMUM BROKEN CALLER... Each request
// must be complete, refused without having run at a target, shed by the target, or
// unknown because it got no connection and was not sent. At least MINIMUM requests and
// feeds must be complete, and at most BROKEN feeds may break.
func truthfulCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	for _, name := range args[2:] {
		r := f.loggedReport(ts, name)
		brokenFeeds := r.Feeds - r.FeedsComplete
		accountedRequests := r.Complete + r.NotRun + r.Shed + r.Unknown
		if r.Mismatched > 0 || accountedRequests != r.Requests || int(brokenFeeds) > parseNumber(ts, args[1]) ||
			r.Broken > brokenFeeds || int(r.Complete+r.FeedsComplete) < parseNumber(ts, args[0]) {
			ts.Fatalf("%s: requests with a wrong outcome, too many broken feeds or too few complete ones: %s", name, f.process(ts, name).stdout(ts))
		}
	}
	f.checkRuns(ts)
}

// refusedCommand fails unless each caller, which must have exited, had at least MINIMUM
// requests refused. Without refusals the script would not test that a request reported
// as not run did not run: refused MINIMUM CALLER...
func refusedCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		if n := fleetOf(ts).report(ts, name).NotRun; int(n) < parseNumber(ts, args[0]) {
			ts.Fatalf("%s: only %d requests were refused", name, n)
		}
	}
}

// loggedReport returns the final report of a caller and logs its counts.
func (f *fleet) loggedReport(ts *testscript.TestScript, name string) caller.Report {
	r := f.report(ts, name)
	ts.Logf("%s: requests %d complete %d not run %d shed %d unknown %d broken %d mismatched %d, feeds %d complete %d, messages %d, errors %v",
		name, r.Requests, r.Complete, r.NotRun, r.Shed, r.Unknown, r.Broken, r.Mismatched, r.Feeds, r.FeedsComplete, r.Messages, r.Errors)
	return r
}

// report returns the final report of a caller, which must have exited.
func (f *fleet) report(ts *testscript.TestScript, name string) caller.Report {
	p := f.process(ts, name)
	if !p.hasExited() {
		ts.Fatalf("%s is still running, so it has no final report", name)
	}
	var r caller.Report
	ts.Check(json.Unmarshal(p.stdout(ts), &r))
	return r
}

// checkRuns compares the reports of the targets with those of the callers that have
// exited. It fails if a request ran more than once, ran although it was reported as not
// run, or reached a target of another service.
func (f *fleet) checkRuns(ts *testscript.TestScript) {
	runs := map[string]int{}
	for _, t := range f.targets {
		r := f.targetReport(ts, t)
		if r.WrongService > 0 {
			ts.Fatalf("target %s: received %d requests for another service", t.Name, r.WrongService)
		}
		for id, n := range r.Runs {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if n > 1 {
			ts.Fatalf("request %s ran %d times", id, n)
		}
	}
	for _, name := range f.callers {
		if f.process(ts, name).hasExited() {
			f.checkNotRun(ts, name, runs)
		}
	}
}

// checkNotRun fails if a target ran a request that the caller reports as not run.
func (f *fleet) checkNotRun(ts *testscript.TestScript, name string, runs map[string]int) {
	for _, id := range f.report(ts, name).NotRunIDs {
		if runs[id] > 0 {
			ts.Fatalf("%s: request %s is reported as not run, but ran", name, id)
		}
	}
}

// targetReport returns the current report of a target, or the last one that was read if it has exited.
func (f *fleet) targetReport(ts *testscript.TestScript, t *fleetTarget) target.Report {
	if !f.process(ts, t.Name).hasExited() {
		t.lastReport = target.Report{}
		ts.Check(json.Unmarshal([]byte(getText(ts, t.Health+"/test/report")), &t.lastReport))
	}
	return t.lastReport
}

// pollReportsUntilExit reads the reports of a target until it has exited, so that its
// last one is kept. It does nothing for other processes.
func (f *fleet) pollReportsUntilExit(ts *testscript.TestScript, name string) {
	i := slices.IndexFunc(f.targets, func(t *fleetTarget) bool { return t.Name == name })
	if i < 0 {
		return
	}
	await(ts, name+" exits", func() bool {
		if response, err := http.Get("http://" + f.targets[i].Health + "/test/report"); err == nil {
			var r target.Report
			if json.NewDecoder(response.Body).Decode(&r) == nil {
				f.targets[i].lastReport = r
			}
			response.Body.Close()
		}
		return f.process(ts, name).hasExited()
	})
}

// markCommand records the number of connections that a target has accepted so far: mark TARGET
func markCommand(ts *testscript.TestScript, _ bool, args []string) {
	t := fleetOf(ts).target(ts, args[0])
	t.markedConnections = fleetOf(ts).targetReport(ts, t).ConnectionsTotal
}

// noNewCommand fails if a target has accepted a connection since the mark command: nonew TARGET
func noNewCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	t := f.target(ts, args[0])
	if t.markedConnections == 0 {
		ts.Fatalf("target %s: no mark command before nonew, or no connections at that time", t.Name)
	}
	if n := f.targetReport(ts, t).ConnectionsTotal - t.markedConnections; n > 0 {
		ts.Fatalf("target %s: accepted %d new connections since the mark command", t.Name, n)
	}
}
