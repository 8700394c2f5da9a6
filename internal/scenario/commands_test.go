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

// fleetCommands are the commands of scripts that begin with fleet.
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

// unlistCommand takes VMs from the platform's list: unlist VM...
func unlistCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, vm := range args {
		send(ts, http.MethodDelete, fleetOf(ts).at(platformPort)+"/test/vms/"+vm, nil)
	}
}

// callerCommand starts a caller of quote-desk and waits until its feeds are open: caller NAME OPTION...
func callerCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	f.callers = append(f.callers, args[0])
	n := len(f.callers)
	web := f.at(firstCallerPort + n)
	options := []string{"standin", "caller", "--fabric", f.at(fabricPort), "--address", fmt.Sprintf("10.9.0.%d", n),
		"--service", "quote-desk=10.0.0.1:443", "--http", web}
	f.start(ts, args[0], append(options, args[1:]...)...)
	awaitAnswer(ts, addrPort(ts, web))
	await(ts, args[0]+" is ready", func() bool { return f.progress(ts, args[0]).Ready })
}

// callerAddress returns the HTTP address of a caller.
func (f *fleet) callerAddress(ts *testscript.TestScript, name string) string {
	for i, known := range f.callers {
		if known == name {
			return f.at(firstCallerPort + i + 1)
		}
	}
	ts.Fatalf("no caller %s", name)
	return ""
}

// progress returns the report of a caller that runs.
func (f *fleet) progress(ts *testscript.TestScript, name string) caller.Progress {
	var progress caller.Progress
	ts.Check(json.Unmarshal([]byte(getText(ts, f.callerAddress(ts, name)+"/test/report")), &progress))
	return progress
}

// wakeCommand exchanges an echo on every feed: wake CALLER...
func wakeCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		send(ts, http.MethodPost, fleetOf(ts).callerAddress(ts, name)+"/test/wake", nil)
	}
}

// signalCommand sends a signal to processes: signal TERM|KILL|STOP|CONT NAME...
func signalCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		fleetOf(ts).process(ts, name).signal(ts, args[0])
	}
}

// endedCommand waits until processes exited with code 0: ended NAME...
func endedCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		fleetOf(ts).followReports(ts, name)
		if code := fleetOf(ts).process(ts, name).awaitExit(ts); code != 0 {
			ts.Fatalf("%s: exit code %d: %s", name, code, ts.ReadFile(name+".err"))
		}
	}
}

// publishCommand changes targets and publishes the result: publish [TARGET add|drain|weight=N]...
func publishCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	f.change(ts, args)
	f.publish(ts)
}

// change applies changes to the configuration: TARGET add|drain|weight=N, ...
func (f *fleet) change(ts *testscript.TestScript, args []string) {
	for i := 0; i+1 < len(args); i += 2 {
		t := f.target(ts, args[i])
		switch what, value, _ := strings.Cut(args[i+1], "="); what {
		case "add":
			t.published = true
		case "drain":
			t.Drain = true
		case "weight":
			t.Weight = number(ts, value)
		default:
			ts.Fatalf("no such change: %s", args[i+1])
		}
	}
}

func (f *fleet) target(ts *testscript.TestScript, name string) *targetObject {
	for _, t := range f.targets {
		if t.Name == name {
			return t
		}
	}
	ts.Fatalf("no target %s", name)
	return nil
}

var ownersPattern = regexp.MustCompile(`owner (\S+), backup (\S+),`)

// ownersCommand sets variables to owner and backup of quote-desk: owners OWNER BACKUP
func ownersCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	command := exec.Command(programPath(ts), append([]string{"explain", "flow", "10.9.0.1:10001", "quote-desk"}, f.operator(ts)...)...)
	command.Dir = ts.MkAbs(".")
	text, err := command.Output()
	ts.Check(err)
	found := ownersPattern.FindSubmatch(text)
	if found == nil {
		ts.Fatalf("no owner in: %s", text)
	}
	ts.Setenv(args[0], string(found[1]))
	ts.Setenv(args[1], string(found[2]))
}

// faultsCommand sets the switches of a stand-in: faults platform|fabric|TARGET JSON
func faultsCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	address := map[string]string{"platform": f.at(platformPort), "fabric": f.at(fabricHTTPPort)}[args[0]]
	if address == "" {
		address = f.target(ts, args[0]).Health
	}
	put(ts, address+"/test/switches", json.RawMessage(args[1]))
}

// counterCommand waits until a variable of a balancer has at least a value: counter VM PATH [MINIMUM]
func counterCommand(ts *testscript.TestScript, _ bool, args []string) {
	minimum := 1.0
	if len(args) > 2 {
		minimum = float64(number(ts, args[2]))
	}
	address := fleetOf(ts).debug(ts, args[0])
	await(ts, strings.Join(args, " "), func() bool { return variable(address, args[1]) >= minimum })
}

// variable reads a number below "kumquatworks" in /debug/vars, 0 if there is
// none or the balancer does not answer yet.
func variable(address, path string) float64 {
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

// inForceCommand waits until status names the generation at a number of
// balancers, all of them in their own words: inforce GENERATION BALANCERS
func inForceCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	generation, balancers := number(ts, args[0]), number(ts, args[1])
	await(ts, "generation "+args[0]+" in force", func() bool { return f.countInForce(ts, generation) == balancers })
}

func (f *fleet) countInForce(ts *testscript.TestScript, generation int) int {
	command := exec.Command(programPath(ts), append([]string{"status", "--json"}, f.operator(ts)...)...)
	command.Dir = ts.MkAbs(".")
	text, _ := command.Output() // status exits with 1 when something needs attention
	var report struct {
		VMs []struct {
			State      string
			Generation int
			Answered   bool
		}
	}
	ts.Check(json.Unmarshal(text, &report))
	n := 0
	for _, vm := range report.VMs {
		if vm.State == "alive" && vm.Answered && vm.Generation == generation {
			n++
		}
	}
	return n
}

// progressCommand waits until a caller got a number of further whole answers: progress CALLER NUMBER
func progressCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	goal := f.progress(ts, args[0]).Complete + uint64(number(ts, args[1]))
	await(ts, args[0]+" gets answers", func() bool { return f.progress(ts, args[0]).Complete >= goal })
}

func addrPort(ts *testscript.TestScript, text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	ts.Check(err)
	return address
}

func put(ts *testscript.TestScript, url string, body any) { send(ts, http.MethodPut, url, body) }

func send(ts *testscript.TestScript, method, url string, body any) {
	data, err := json.Marshal(body)
	ts.Check(err)
	request, err := http.NewRequest(method, "http://"+url, bytes.NewReader(data))
	ts.Check(err)
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		ts.Fatalf("%s %s: status %s", method, url, strconv.Itoa(response.StatusCode))
	}
}
