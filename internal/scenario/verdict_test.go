package scenario

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kumquatworks/kumquatworks/internal/standin/caller"
	"github.com/kumquatworks/kumquatworks/internal/standin/target"
)

// wholeCommand fails unless every request and feed of callers that ended was
// whole, at least MINIMUM of both together: whole MINIMUM CALLER...
func wholeCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	for _, name := range args[1:] {
		r := f.verdictReport(ts, name)
		if !r.AllComplete() || int(r.Requests+r.Feeds) < number(ts, args[0]) {
			ts.Fatalf("%s: not whole: %s", name, f.process(ts, name).stdout(ts))
		}
	}
	f.checkRuns(ts)
}

// truthfulCommand fails unless every request of callers that ended was whole,
// truly not run, or unknown, with at least MINIMUM whole, and at most BROKEN
// feeds broke: truthful MINIMUM BROKEN CALLER...
func truthfulCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	for _, name := range args[2:] {
		r := f.verdictReport(ts, name)
		brokenFeeds := r.Feeds - r.FeedsComplete
		accounted := r.Complete + r.NotRun + r.Shed + r.Unknown
		if r.Mismatched > 0 || accounted != r.Requests || int(brokenFeeds) > number(ts, args[1]) ||
			r.Broken > brokenFeeds || int(r.Complete+r.FeedsComplete) < number(ts, args[0]) {
			ts.Fatalf("%s: not truthful: %s", name, f.process(ts, name).stdout(ts))
		}
	}
	f.checkRuns(ts)
}

// refusedCommand fails unless callers that ended had at least MINIMUM requests
// refused, without which "not run" is not tested: refused MINIMUM CALLER...
func refusedCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		if n := fleetOf(ts).report(ts, name).NotRun; int(n) < number(ts, args[0]) {
			ts.Fatalf("%s: %d requests were refused", name, n)
		}
	}
}

// verdictReport returns the final report of a caller and logs its counts.
func (f *fleet) verdictReport(ts *testscript.TestScript, name string) caller.Report {
	r := f.report(ts, name)
	ts.Logf("%s: requests %d whole %d not run %d shed %d unknown %d broken %d foreign %d, feeds %d whole %d, messages %d, faults %v",
		name, r.Requests, r.Complete, r.NotRun, r.Shed, r.Unknown, r.Broken, r.Mismatched, r.Feeds, r.FeedsComplete, r.Messages, r.Errors)
	return r
}

// report returns the final report of a caller that ended.
func (f *fleet) report(ts *testscript.TestScript, name string) caller.Report {
	p := f.process(ts, name)
	if !p.hasExited() {
		ts.Fatalf("%s still runs", name)
	}
	var r caller.Report
	ts.Check(json.Unmarshal(p.stdout(ts), &r))
	return r
}

// checkRuns compares the callers that ended with the targets: no request ran
// twice, none ran that was reported as not run, and none reached a target of another service.
func (f *fleet) checkRuns(ts *testscript.TestScript) {
	runs := map[string]int{}
	for _, t := range f.targets {
		r := f.targetReport(ts, t)
		if r.WrongService > 0 {
			ts.Fatalf("target %s: %d requests for another service", t.Name, r.WrongService)
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

func (f *fleet) checkNotRun(ts *testscript.TestScript, name string, runs map[string]int) {
	for _, id := range f.report(ts, name).NotRunIDs {
		if runs[id] > 0 {
			ts.Fatalf("%s: request %s is reported as not run and ran", name, id)
		}
	}
}

// targetReport returns the report of a target; of one that ended, the latest that was read.
func (f *fleet) targetReport(ts *testscript.TestScript, t *targetObject) target.Report {
	if !f.process(ts, t.Name).hasExited() {
		t.last = target.Report{}
		ts.Check(json.Unmarshal([]byte(getText(ts, t.Health+"/test/report")), &t.last))
	}
	return t.last
}

// followReports reads the reports of a target that stops until it has exited.
func (f *fleet) followReports(ts *testscript.TestScript, name string) {
	i := slices.IndexFunc(f.targets, func(t *targetObject) bool { return t.Name == name })
	if i < 0 {
		return
	}
	await(ts, name+" exits", func() bool {
		if response, err := http.Get("http://" + f.targets[i].Health + "/test/report"); err == nil {
			var r target.Report
			if json.NewDecoder(response.Body).Decode(&r) == nil {
				f.targets[i].last = r
			}
			response.Body.Close()
		}
		return f.process(ts, name).hasExited()
	})
}

// markCommand notes the number of connections that a target took: mark TARGET
func markCommand(ts *testscript.TestScript, _ bool, args []string) {
	t := fleetOf(ts).target(ts, args[0])
	t.marked = fleetOf(ts).targetReport(ts, t).ConnectionsTotal
}

// noNewCommand fails if a target took a connection since it was marked: nonew TARGET
func noNewCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	t := f.target(ts, args[0])
	if t.marked == 0 {
		ts.Fatalf("target %s: was not marked, or had no connection then", t.Name)
	}
	if n := f.targetReport(ts, t).ConnectionsTotal - t.marked; n > 0 {
		ts.Fatalf("target %s: %d new connections", t.Name, n)
	}
}
