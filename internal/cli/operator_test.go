package cli

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/coordination/agent"
	"github.com/kumquatworks/kumquatworks/internal/coordination/follower"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
	"github.com/kumquatworks/kumquatworks/internal/publish"
	standplatform "github.com/kumquatworks/kumquatworks/internal/standin/platform"
	"github.com/kumquatworks/kumquatworks/internal/state"
	"github.com/kumquatworks/kumquatworks/internal/transport/control"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"kumquatworks": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// targetRefusedByM3 is a target name. m3 refuses a configuration whose first target has it.
const targetRefusedByM3 = "a-refused"

var testKey = []byte("0123456789abcdef")

// testFleet is a platform stand-in and the control planes of three balancers.
type testFleet struct {
	server atomic.Pointer[standplatform.Server]
	url    string
	vms    []platform.VM
	stop   map[string]func()
	// crashOnHeadWrite makes the platform write the next head and then stop answering.
	crashOnHeadWrite atomic.Bool
	unresponsive     atomic.Bool
}

// ServeHTTP forwards requests to the platform until it crashes.
func (f *testFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.crashOnHeadWrite.Load() && r.Method == http.MethodPut && strings.Contains(r.URL.Path, publish.HeadKey) {
		f.server.Load().ServeHTTP(httptest.NewRecorder(), r)
		f.unresponsive.Store(true)
	}
	if f.unresponsive.Load() {
		panic(http.ErrAbortHandler)
	}
	f.server.Load().ServeHTTP(w, r)
}

// Guards against operator commands that report a wrong state, exit with the wrong code or
// don't name the next step. The head of each script describes its failures.
func TestOperatorScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			fleet := &testFleet{stop: map[string]func(){}}
			env.Values["fleet"] = fleet
			if err := writeConfiguration(env.WorkDir + "/conf"); err != nil {
				return err
			}
			return fleet.start(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"switches": func(ts *testscript.TestScript, _ bool, args []string) {
				var faults standplatform.Faults
				ts.Check(json.Unmarshal([]byte(args[0]), &faults))
				fleetOf(ts).server.Load().SetFaults(faults)
			},
			"crash": func(ts *testscript.TestScript, _ bool, _ []string) { fleetOf(ts).crashOnHeadWrite.Store(true) },
			"recover": func(ts *testscript.TestScript, _ bool, _ []string) {
				fleetOf(ts).crashOnHeadWrite.Store(false)
				fleetOf(ts).unresponsive.Store(false)
			},
			"stop":     func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).stop[args[0]]() },
			"removevm": func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).server.Load().RemoveVM(args[0]) },
			"wipe":     func(ts *testscript.TestScript, _ bool, _ []string) { fleetOf(ts).resetPlatform() },
			"waithead": waitForHead,
			"until":    waitForOutput,
			"json":     checkJSONFields,
		},
	})
}

func fleetOf(ts *testscript.TestScript) *testFleet {
	return ts.Value("fleet").(*testFleet)
}

// start runs the platform and the control planes, and sets their addresses in the script's
// environment.
func (f *testFleet) start(env *testscript.Env) error {
	f.server.Store(standplatform.NewServer(time.Now, nil))
	server := httptest.NewServer(f)
	f.url = server.URL
	env.Defer(server.Close)
	env.Setenv("PLATFORM", f.url)
	var seeds []netip.AddrPort
	var planes []*control.Plane
	for i, vm := range []string{"m1", "m2", "m3"} {
		plane, err := control.New(control.Options{
			VM: vm, Place: fmt.Sprintf("pl-%c", 'a'+i), SeedAddrs: seeds, FleetKey: testKey, RandomSeed: uint64(i),
			Store:       platform.NewClient(strings.Replace(f.url, "http://", "http://"+vm+"@", 1)),
			DataAddr:    netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(4000+i)),
			ControlAddr: netip.MustParseAddrPort("127.0.0.1:0"),
			Core:        fakeCore{},
			Validate: func(set objects.Set) error {
				if vm == "m3" && len(set.Targets) > 0 && set.Targets[0].Name == targetRefusedByM3 {
					return fmt.Errorf("configuration refused by the test")
				}
				return nil
			},
		})
		if err != nil {
			return err
		}
		seeds = append(seeds, plane.Address())
		f.vms = append(f.vms, platform.VM{Name: vm, Place: fmt.Sprintf("pl-%c", 'a'+i), ControlAddress: plane.Address()})
		f.server.Load().PutVM(f.vms[i])
		env.Setenv(strings.ToUpper(vm), plane.Address().String())
		planes = append(planes, plane)
	}
	// All VMs are listed before a plane runs, so that the first list it reads is complete.
	// A VM that a script removes before a plane has read it would not count as removed.
	for i, plane := range planes {
		f.runPlane(env, f.vms[i].Name, plane)
	}
	key := env.WorkDir + "/fleet.key"
	env.Setenv("KUMQUATWORKS_FLEET_KEY_FILE", key)
	if err := os.WriteFile(key, []byte(hex.EncodeToString(testKey)+"\n"), 0o600); err != nil {
		return err
	}
	for _, seed := range seeds {
		if err := f.awaitMembers(seed.String(), len(seeds)); err != nil {
			return err
		}
	}
	return nil
}

// resetPlatform replaces the platform by one that has the VM list and no records.
func (f *testFleet) resetPlatform() { f.server.Store(standplatform.NewServer(time.Now, f.vms)) }

func (f *testFleet) runPlane(env *testscript.Env, vm string, plane *control.Plane) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = plane.Run(ctx) // runs until the script stops it or ends
		close(done)
	}()
	f.stop[vm] = func() { cancel(); <-done }
	env.Defer(f.stop[vm])
}

func (f *testFleet) awaitMembers(address string, n int) error {
	client := control.NewOperatorClient(address, testKey)
	for range 500 {
		status, err := client.Status(context.Background(), &wire.StatusRequest{})
		if err == nil && len(status.Members) == n {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("no fleet of %d members formed in time", n)
}

// waitForHead waits until the head at the platform has a generation or a higher one.
func waitForHead(ts *testscript.TestScript, _ bool, args []string) {
	generation, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	store := platform.NewClient(fleetOf(ts).url)
	for range 1000 {
		head, _, err := publish.ReadHead(context.Background(), store)
		if err == nil && head.Generation >= generation {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("the platform did not hold generation %d in time", generation)
}

// fakeCore returns fixed figures for status and explain requests.
type fakeCore struct{ coordination.Core }

func (fakeCore) FlowCount() int { return 7 }

func (fakeCore) Decisions() []string { return []string{"forward 10.9.0.7:40112 to q-01"} }

func (fakeCore) OwnershipChanges() []string { return nil }

func (fakeCore) TargetOwners(string) []string { return nil }

func (fakeCore) Targets(time.Time) []coordination.TargetState {
	return []coordination.TargetState{
		{Target: "q-01", Pool: "quotes", Service: "quote-desk", OpenFlows: 3, State: "serving"},
		{Target: "q-02", Pool: "quotes", Service: "quote-desk", OpenFlows: 1, State: "draining", Reason: "drain is set"},
	}
}

func (fakeCore) Handoff(time.Time, int) []coordination.HandoffBatch { return nil }

func (fakeCore) AcceptHandoff(time.Time, []state.Binding) int { return 0 }

// Guards against a fleet report that sums or merges the figures of the balancers wrongly or
// lists the wrong conditions under attention.
func TestFleetReport(t *testing.T) {
	target := func(name, state string, flows uint64, age float64) *wire.TargetStatus {
		return &wire.TargetStatus{Target: name, Pool: "p", Service: "s", OpenFlows: flows, State: state, AgeSeconds: age, Reason: state}
	}
	first := &wire.StatusResponse{Vm: "m1", Generation: 4, Members: []*wire.Member{
		{Vm: "m1", Place: "a", State: wire.MemberState_MEMBER_STATE_ALIVE, Generation: 4},
		{Vm: "m2", Place: "a", State: wire.MemberState_MEMBER_STATE_LEAVING, Generation: 3},
		{Vm: "m3", Place: "b", State: wire.MemberState_MEMBER_STATE_SUSPECT, Generation: 3},
		{Vm: "m4", Place: "b", State: wire.MemberState_MEMBER_STATE_DEAD, Generation: 9},
	}, PlatformReachable: true, PlatformAgeSeconds: 2, Targets: []*wire.TargetStatus{target("t1", "serving", 6, 3), target("t2", "draining", 9, -1)}}
	second := &wire.StatusResponse{Vm: "m2", Generation: 4, PlatformAgeSeconds: -1, Alarms: []string{"odd"},
		Targets: []*wire.TargetStatus{target("t1", "cold", 0, 1), target("t3", "serving", 2, -1)}}
	r := newFleetReport(first, peerResponses{responses: map[string]*wire.StatusResponse{"m2": second}, failures: map[string]error{"m3": fmt.Errorf("timeout")}})
	assert.DeepEqual(t, r.Places, []placeReport{
		{Place: "a", Live: 2, Leaving: 1, LowestGeneration: 4, HighestGeneration: 4, PlatformReachable: true, PlatformAgeSeconds: 2},
		{Place: "b", Live: 1, Suspected: 1, Dead: 1, LowestGeneration: 3, HighestGeneration: 3, PlatformAgeSeconds: -1},
	})
	assert.DeepEqual(t, r.Pools, []poolReport{
		{Pool: "p", Service: "s", Targets: 3, OpenFlows: 17, Imbalance: 1.5, States: map[string]int{"cold": 1, "draining": 1, "serving": 1}},
	})
	assert.DeepEqual(t, r.Targets[0], targetReport{Target: "t1", Pool: "p", Service: "s", OpenFlows: 6, State: "cold", Reporters: 1, Reason: "cold", AgeSeconds: 1})
	assert.DeepEqual(t, r.Attention, []string{"m2: odd", "m3: does not answer: timeout", "m4: is dead, last heard 0.0 s ago"})
}

// Guards against a report that does not list a pool without a usable target, or a balancer
// with a lower generation, under attention.
func TestAttentionLines(t *testing.T) {
	unusable := []*wire.TargetStatus{{Target: "t1", Pool: "p", State: "draining"}, {Target: "t2", Pool: "p", State: "unhealthy"}}
	members := []*wire.Member{
		{Vm: "m1", State: wire.MemberState_MEMBER_STATE_ALIVE}, {Vm: "m2", State: wire.MemberState_MEMBER_STATE_SUSPECT},
		{Vm: "m3", State: wire.MemberState_MEMBER_STATE_ALIVE},
	}
	first := &wire.StatusResponse{Vm: "m1", Generation: 4, Members: members, Targets: unusable, PlatformAgeSeconds: -1}
	lagging := &wire.StatusResponse{Vm: "m3", Generation: 3, PlatformAgeSeconds: -1}
	r := newFleetReport(first, peerResponses{responses: map[string]*wire.StatusResponse{"m3": lagging}})
	assert.DeepEqual(t, r.Attention, []string{
		"m2: is suspect, last heard 0.0 s ago", "m3: has generation 3, the fleet has 4", "pool p: no target takes new flows by choice",
	})
}

// Guards against tables of object fields in docs/configuration.md that differ from the
// definitions in the code.
func TestConfigurationPageMatchesCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	assert.NilError(t, err)
	for _, kind := range objects.Kinds {
		assert.Assert(t, strings.Contains(string(page), fieldTable(kind)), "docs/configuration.md lacks this table:\n%s", fieldTable(kind))
	}
}

// Guards against an alarm without an entry in docs/OPERATIONS.md.
func TestOperationsPageHasEveryAlarm(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, alarm := range []follower.Alarm{
		follower.AlarmLowerHead, follower.AlarmDigestConflict, follower.AlarmSnapshotRefused, follower.AlarmPlatformUnreachable,
		follower.AlarmNoConfiguration, agent.AlarmRemoved, agent.AlarmNoPeers,
	} {
		assert.Assert(t, strings.Contains(string(page), "| `"+string(alarm)+"` |"), alarm)
	}
}

// fieldTable returns the table of a kind's fields in the format of docs/configuration.md.
func fieldTable(kind objects.Kind) string {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\nList `%s`, at most %d.\n\n| field | type | unit | default | legal values | meaning |\n| --- | --- | --- | --- | --- | --- |\n", kind.Name, kind.ListKey, kind.MaxObjects)
	for _, f := range kind.Fields {
		value := "none, optional"
		if f.Required {
			value = "required"
		} else if f.Default != "" {
			value = f.Default
		}
		unit := f.Unit
		if unit == "" {
			unit = "-"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", f.Name, f.Type, unit, value, f.AllowedValues(), f.Description)
	}
	return b.String()
}

// Guards against an interrupt at the confirmation prompt that publishes, or that has no
// effect until the operator answers.
func TestInterruptAtConfirmation(t *testing.T) {
	in, _ := io.Pipe()
	var out strings.Builder
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c := publishRunner{streams: Streams{In: in, Out: &out}}
	assert.Error(t, c.confirm(ctx), "interrupted; nothing was published")
}
