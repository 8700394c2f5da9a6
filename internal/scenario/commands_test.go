package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os/exec"
	"regexp"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kumquatworks/kumquatworks/internal/standin/caller"
)

// fleetCommands are the additional commands of scripts that start a fleet with fleet or coldfleet.
var fleetCommands = map[string]func(*testscript.TestScript, bool, []string){
	"fleet":     fleetCommand,
	"coldfleet": coldFleetCommand,
	"balancer":  balancerCommand,
	"unlist":    unlistCommand,
	"caller":    callerCommand,
	"wake":      wakeCommand,
	"signal":    signalCommand,
	"ended":     endedCommand,
	"publish":   publishCommand,
	"owners":    ownersCommand,
	"faults":    faultsCommand,
	"counter":   counterCommand,
	"inforce":   inForceCommand,
	"progress":  progressCommand,
	"whole":     wholeCommand,
	"truthful":  truthfulCommand,
	"refused":   refusedCommand,
	"outage":    outageCommand,
	"mark":      markCommand,
	"nonew":     noNewCommand,
	"stranger":  strangerCommand,
	"garbage":   garbageCommand,
}

// balancerCommand starts balancers: balancer VM...
func balancerCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, vm := range args {
		fleetOf(ts).startBalancer(ts, vm)
	}
}

// unlistCommand removes VMs from the platform's VM list: unlist VM...
func unlistCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, vm := range args {
		sendJSON(ts, http.MethodDelete, fleetOf(ts).hostPort(platformPort)+"/test/vms/"+vm, nil)
	}
}

// callerCommand starts a caller of the service quote-desk and waits until its feeds
// are open: caller NAME OPTION...
func callerCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	f.callers = append(f.callers, args[0])
	n := len(f.callers)
	httpAddress := f.hostPort(firstCallerPort + n)
	options := []string{"standin", "caller", "--fabric", f.hostPort(fabricPort), "--address", fmt.Sprintf("10.9.0.%d", n),
		"--service", "quote-desk=10.0.0.1:443", "--http", httpAddress}
	f.start(ts, args[0], append(options, args[1:]...)...)
	awaitListening(ts, parseAddrPort(ts, httpAddress))
	await(ts, args[0]+" has opened its feeds", func() bool { return f.progress(ts, args[0]).Ready })
}

// callerAddress returns the HTTP address of the caller with the given name.
func (f *fleet) callerAddress(ts *testscript.TestScript, name string) string {
	for i, callerName := range f.callers {
		if callerName == name {
			return f.hostPort(firstCallerPort + i + 1)
		}
	}
	ts.Fatalf("no caller %s was started", name)
	return ""
}

// progress returns the current report of a running caller.
func (f *fleet) progress(ts *testscript.TestScript, name string) caller.Progress {
	var progress caller.Progress
	ts.Check(json.Unmarshal([]byte(getText(ts, f.callerAddress(ts, name)+"/test/report")), &progress))
	return progress
}

// wakeCommand makes callers exchange an echo on each of their feeds: wake CALLER...
func wakeCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		sendJSON(ts, http.MethodPost, fleetOf(ts).callerAddress(ts, name)+"/test/wake", nil)
	}
}

// signalCommand sends a signal to processes: signal TERM|KILL|STOP|CONT NAME...
func signalCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		fleetOf(ts).process(ts, name).signal(ts, args[0])
	}
}

// endedCommand waits until processes exit, and fails unless their exit code is 0: ended NAME...
func endedCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		fleetOf(ts).pollReportsUntilExit(ts, name)
		if code := fleetOf(ts).process(ts, name).awaitExit(ts); code != 0 {
			ts.Fatalf("%s: exit code %d: %s", name, code, ts.ReadFile(name+".err"))
		}
	}
}

// publishCommand changes targets, publishes the configuration and waits until it is
// in force: publish [TARGET add|drain|weight=N]...
func publishCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	f.applyChanges(ts, args)
	f.publish(ts)
}

// applyChanges changes targets of the configuration. Args are pairs of TARGET and add|drain|weight=N.
func (f *fleet) applyChanges(ts *testscript.TestScript, args []string) {
	for i := 0; i+1 < len(args); i += 2 {
		t := f.target(ts, args[i])
		switch action, value, _ := strings.Cut(args[i+1], "="); action {
		case "add":
			t.published = true
		case "drain":
			t.Drain = true
		case "weight":
			t.Weight = parseNumber(ts, value)
		default:
			ts.Fatalf("unknown change %s: want add, drain or weight=N", args[i+1])
		}
	}
}

// target returns the target with the given name.
func (f *fleet) target(ts *testscript.TestScript, name string) *fleetTarget {
	for _, t := range f.targets {
		if t.Name == name {
			return t
		}
	}
	ts.Fatalf("no target %s was started", name)
	return nil
}

var ownersPattern = regexp.MustCompile(`owner (\S+), backup (\S+),`)

// ownersCommand sets two environment variables to the VM names of the owner and the
// backup of quote-desk: owners OWNER BACKUP
func ownersCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	command := exec.Command(programPath(ts), append([]string{"explain", "flow", "10.9.0.1:10001", "quote-desk"}, f.operatorOptions(ts)...)...)
	command.Dir = ts.MkAbs(".")
	output, err := command.Output()
	ts.Check(err)
	match := ownersPattern.FindSubmatch(output)
	if match == nil {
		ts.Fatalf("no owner and backup in the output of explain flow: %s", output)
	}
	ts.Setenv(args[0], string(match[1]))
	ts.Setenv(args[1], string(match[2]))
}

// faultsCommand replaces the injected faults of a stand-in: faults platform|fabric|TARGET JSON
func faultsCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	address := map[string]string{"platform": f.hostPort(platformPort), "fabric": f.hostPort(fabricHTTPPort)}[args[0]]
	if address == "" {
		address = f.target(ts, args[0]).Health
	}
	putJSON(ts, address+"/test/switches", json.RawMessage(args[1]))
}

// counterCommand waits until a debug variable of a balancer reaches MINIMUM, by
// default 1: counter VM PATH [MINIMUM]
func counterCommand(ts *testscript.TestScript, _ bool, args []string) {
	minimum := 1.0
	if len(args) > 2 {
		minimum = float64(parseNumber(ts, args[2]))
	}
	address := fleetOf(ts).debugAddress(ts, args[0])
	await(ts, strings.Join(args, " "), func() bool { return debugVariable(address, args[1]) >= minimum })
}

// debugVariable returns the number at a dot-separated path below "kumquatworks" in
// /debug/vars. It returns 0 if there is none or the balancer does not answer yet.
func debugVariable(address, path string) float64 {
	response, err := http.Get("http://" + address + "/debug/vars")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var value any
	if json.NewDecoder(response.Body).Decode(&value) != nil {
		return 0
	}
	for _, key := range append([]string{"kumquatworks"}, strings.Split(path, ".")...) {
		object, _ := value.(map[string]any)
		value = object[key]
	}
	n, _ := value.(float64)
	return n
}

// inForceCommand waits until the status command shows the generation in force at
// exactly BALANCERS balancers: inforce GENERATION BALANCERS. It counts only live
// balancers that answered the query themselves.
func inForceCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	generation, balancers := parseNumber(ts, args[0]), parseNumber(ts, args[1])
	await(ts, "generation "+args[0]+" is in force", func() bool { return f.countInForce(ts, generation) == balancers })
}

// countInForce returns the number of live balancers that answer with the generation in force.
func (f *fleet) countInForce(ts *testscript.TestScript, generation int) int {
	command := exec.Command(programPath(ts), append([]string{"status", "--json"}, f.operatorOptions(ts)...)...)
	command.Dir = ts.MkAbs(".")
	output, _ := command.Output() // status exits with code 1 when something needs attention
	var report struct {
		VMs []struct {
			State      string
			Generation int
			Answered   bool
		}
	}
	ts.Check(json.Unmarshal(output, &report))
	n := 0
	for _, vm := range report.VMs {
		if vm.State == "alive" && vm.Answered && vm.Generation == generation {
			n++
		}
	}
	return n
}

// progressCommand waits until a caller has received NUMBER more complete responses: progress CALLER NUMBER
func progressCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	completeGoal := f.progress(ts, args[0]).Complete + uint64(parseNumber(ts, args[1]))
	await(ts, args[0]+" receives further complete responses", func() bool { return f.progress(ts, args[0]).Complete >= completeGoal })
}

func parseAddrPort(ts *testscript.TestScript, text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	ts.Check(err)
	return address
}

func putJSON(ts *testscript.TestScript, url string, body any) {
	sendJSON(ts, http.MethodPut, url, body)
}

// sendJSON sends a request with a JSON body and fails if the status is an error.
func sendJSON(ts *testscript.TestScript, method, url string, body any) {
	data, err := json.Marshal(body)
	ts.Check(err)
	request, err := http.NewRequest(method, "http://"+url, bytes.NewReader(data))
	ts.Check(err)
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		ts.Fatalf("%s %s: unexpected status %s", method, url, strconv.Itoa(response.StatusCode))
	}
}
