package scenario

import (
	"maps"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kumquatworks/kumquatworks/internal/cli"
)

// TestMain makes the test binary act as the command kumquatworks when a script runs it.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"kumquatworks": func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// maxParallelScripts bounds the scripts that run at the same time. Each starts up to 25
// processes, and a balancer that gets no CPU time for 1 s is treated as frozen.
const maxParallelScripts = 3

// limitedT is a testscript.T whose semaphore limits the scripts that run at the same time.
type limitedT struct {
	*testing.T
	semaphore chan struct{}
}

// Parallel implements testscript.T.
func (t limitedT) Parallel() {
	t.T.Parallel()
	t.semaphore <- struct{}{}
	t.Cleanup(func() { <-t.semaphore })
}

// Run implements testscript.T.
func (t limitedT) Run(name string, run func(testscript.T)) {
	t.T.Run(name, func(sub *testing.T) { run(limitedT{sub, t.semaphore}) })
}

// Verbose implements testscript.T.
func (t limitedT) Verbose() bool { return testing.Verbose() }

// TestScripts runs the scripts in testdata. The head of each script states the failure
// that it guards against.
func TestScripts(t *testing.T) { runScripts(t, "testdata") }

// TestColdStart guards against handshakes that stall because the views of the balancers
// still differ while a fleet starts.
func TestColdStart(t *testing.T) { runScripts(t, "testdata/coldstart") }

func runScripts(t *testing.T, dir string) {
	commands := map[string]func(*testscript.TestScript, bool, []string){
		"ports":   portsCommand,
		"expand":  expandCommand,
		"answers": answersCommand,
		"live":    liveCommand,
		"report":  reportCommand,
		"spans":   spansCommand,
		"until":   untilCommand,
	}
	maps.Copy(commands, fleetCommands)
	testscript.RunT(limitedT{t, make(chan struct{}, maxParallelScripts)}, testscript.Params{
		Dir:  dir,
		Cmds: commands,
		Setup: func(env *testscript.Env) error {
			env.Values[fleetValueKey] = newFleet()
			return nil
		},
	})
}

// portsCommand sets each environment variable to a loopback address with a free port: ports VARIABLE...
func portsCommand(ts *testscript.TestScript, _ bool, args []string) {
	for i, address := range freeAddresses(ts, len(args)) {
		ts.Setenv(args[i], address.String())
	}
}

// expandCommand replaces environment variables in files by their values: expand FILE...
func expandCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o644))
	}
}

// answersCommand waits until each address accepts TCP connections: answers ADDRESS...
func answersCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, address := range args {
		awaitListening(ts, netip.MustParseAddrPort(address))
	}
}

// liveCommand waits until the fabric sends packets to exactly NUMBER balancers: live
// FABRIC-HTTP-ADDRESS NUMBER
func liveCommand(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	awaitLiveBalancers(ts, args[0], want)
}

// reportCommand fails unless the response of a URL, without its scheme, matches a pattern: report URL PATTERN
func reportCommand(ts *testscript.TestScript, _ bool, args []string) {
	text := getText(ts, args[0])
	if !regexp.MustCompile(args[1]).MatchString(text) {
		ts.Fatalf("%s: no match for pattern %s in response: %s", args[0], args[1], text)
	}
}

// untilCommand waits until the response of a URL, without its scheme, matches a pattern: until URL PATTERN
func untilCommand(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[1])
	await(ts, args[0]+" matches "+args[1], func() bool { return pattern.MatchString(getText(ts, args[0])) })
}
