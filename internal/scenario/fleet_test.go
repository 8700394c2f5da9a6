package scenario

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/standin/target"
)

const (
	fleetKey      = "00112233445566778899aabbccddeeff"
	fleetValueKey = "fleet"

	platformPort     = 7400
	fabricPort       = 7500
	fabricHTTPPort   = 7501
	firstControlPort = 7600
	firstDataPort    = 7700
	firstDebugPort   = 7800
	firstHealthPort  = 7900
	firstCallerPort  = 8000
)

var placeNames = []string{"pl-a", "pl-b", "pl-c"}

// fleetTarget is a target process. Its exported fields are the configuration of the target.
type fleetTarget struct {
	Name    string `json:"name"`
	Pool    string `json:"pool"`
	Place   string `json:"place"`
	Address string `json:"address"`
	Port    int    `json:"port"`
	Weight  int    `json:"weight,omitempty"`
	Drain   bool   `json:"drain,omitempty"`
	Health  string `json:"health"`
	// published is true if the target is part of the configuration.
	published bool
	// lastReport is the latest report that was read from the target.
	lastReport target.Report
	// markedConnections is the total of connections that the target had accepted at the last mark command.
	markedConnections uint64
}

// fleet holds the processes that one script started.
type fleet struct {
	// host is a loopback address that only this fleet uses, so that no other process
	// can occupy a port that a balancer needs later.
	host      string
	processes map[string]*process
	vms       []string
	targets   []*fleetTarget
	callers   []string
	// connectionLimit is the connection limit of each target of quote-desk.
	connectionLimit int
}

// fleetCount makes the host of each fleet in this process unique.
var fleetCount atomic.Int32

func newFleet() *fleet {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%250, pid%256, fleetCount.Add(1))
	return &fleet{host: host, processes: map[string]*process{}, connectionLimit: 2000}
}

func fleetOf(ts *testscript.TestScript) *fleet { return ts.Value(fleetValueKey).(*fleet) }

// hostPort returns the address of a port of the fleet's host.
func (f *fleet) hostPort(port int) string { return fmt.Sprintf("%s:%d", f.host, port) }

// start starts a process. A name can be reused after the process with that name has exited.
func (f *fleet) start(ts *testscript.TestScript, name string, args ...string) {
	if p := f.processes[name]; p != nil && !p.hasExited() {
		ts.Fatalf("%s is already running", name)
	}
	f.processes[name] = startProcess(ts, name, args...)
}

// process returns the last process that was started under a name.
func (f *fleet) process(ts *testscript.TestScript, name string) *process {
	p := f.processes[name]
	if p == nil {
		ts.Fatalf("no process %s was started", name)
	}
	return p
}

// parseNumber returns N of a name such as vm-N, or of a plain number N.
func parseNumber(ts *testscript.TestScript, name string) int {
	n, err := strconv.Atoi(name[strings.LastIndex(name, "-")+1:])
	ts.Check(err)
	return n
}

// placeForNumber returns the place of the n-th VM or target, in round-robin order from 1.
func placeForNumber(n int) string { return placeNames[(n-1)%len(placeNames)] }

// fleetCommand starts a fleet, as coldfleet does, and waits until the view of each
// balancer contains all balancers: fleet BALANCERS TARGETS SPARES [CONNECTIONS]
func fleetCommand(ts *testscript.TestScript, neg bool, args []string) {
	coldFleetCommand(ts, neg, args)
	f := fleetOf(ts)
	await(ts, "each balancer has all balancers in its view", func() bool {
		for _, vm := range f.vms {
			if debugVariable(f.debugAddress(ts, vm), "members") != float64(len(f.vms)) {
				return false
			}
		}
		return true
	})
}

// coldFleetCommand starts the platform, the fabric, targets and balancers, publishes a
// configuration and waits until the fabric sends packets to all balancers, whose views
// may still differ: coldfleet BALANCERS TARGETS SPARES [CONNECTIONS]. The last SPARES
// of the TARGETS of quote-desk run, but are not in the configuration yet. CONNECTIONS
// is the connection limit of each target of quote-desk, by default 2000. Balancers
// refuse connections above it.
func coldFleetCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	ts.Setenv("FABRIC_HTTP", f.hostPort(fabricHTTPPort))
	ts.Setenv("CONTROL", f.hostPort(firstControlPort+1))
	ts.Check(os.WriteFile(ts.MkAbs("fleet.key"), []byte(fleetKey), 0o600))
	f.start(ts, "platform", "standin", "platform", "--listen", f.hostPort(platformPort))
	f.start(ts, "fabric", "standin", "fabric", "--listen", f.hostPort(fabricPort), "--http", f.hostPort(fabricHTTPPort),
		"--platform", "http://"+f.hostPort(platformPort))
	awaitListening(ts, parseAddrPort(ts, f.hostPort(platformPort)))
	awaitListening(ts, parseAddrPort(ts, f.hostPort(fabricHTTPPort)))
	balancers, targets, spares := parseNumber(ts, args[0]), parseNumber(ts, args[1]), parseNumber(ts, args[2])
	if len(args) > 3 {
		f.connectionLimit = parseNumber(ts, args[3])
	}
	for n := range targets {
		f.startTarget(ts, "quote-desk", "quotes", fmt.Sprintf("quote-%d", n+1), n < targets-spares)
	}
	f.startTarget(ts, "stock-registry", "stocks", "stock-1", true)
	f.startTarget(ts, "stock-registry", "stocks", "stock-2", true)
	for n := range balancers {
		f.startBalancer(ts, fmt.Sprintf("vm-%d", n+1))
	}
	for _, vm := range f.vms {
		awaitListening(ts, parseAddrPort(ts, f.controlAddress(ts, vm)))
	}
	f.publish(ts)
	awaitLiveBalancers(ts, f.hostPort(fabricHTTPPort), balancers)
}

// startTarget starts a process that serves one target.
func (f *fleet) startTarget(ts *testscript.TestScript, service, pool, name string, published bool) {
	n := len(f.targets) + 1
	t := &fleetTarget{
		Name: name, Pool: pool, Place: placeForNumber(n), Address: fmt.Sprintf("10.1.0.%d", n), Port: 4433,
		Health: f.hostPort(firstHealthPort + n), published: published,
	}
	f.targets = append(f.targets, t)
	f.start(ts, name, "standin", "target", "--fabric", f.hostPort(fabricPort), "--place", t.Place, "--service", service,
		"--target", fmt.Sprintf("%s=%s:%d", name, t.Address, t.Port), "--health", t.Health)
	awaitListening(ts, parseAddrPort(ts, t.Health))
}

// controlAddress returns the control address of a balancer.
func (f *fleet) controlAddress(ts *testscript.TestScript, vm string) string {
	return f.hostPort(firstControlPort + parseNumber(ts, vm))
}

// dataAddress returns the data address of a balancer.
func (f *fleet) dataAddress(ts *testscript.TestScript, vm string) string {
	return f.hostPort(firstDataPort + parseNumber(ts, vm))
}

// debugAddress returns the address of the debug server of a balancer.
func (f *fleet) debugAddress(ts *testscript.TestScript, vm string) string {
	return f.hostPort(firstDebugPort + parseNumber(ts, vm))
}

// writeSettings writes the settings file of a balancer and returns its name. The seeds
// are the balancers that run now.
func (f *fleet) writeSettings(ts *testscript.TestScript, vm, key string) string {
	settings := map[string]any{
		"vm": vm, "place": placeForNumber(parseNumber(ts, vm)), "fleet_key": key,
		"data_address": f.dataAddress(ts, vm), "control_address": f.controlAddress(ts, vm), "debug_address": f.debugAddress(ts, vm),
		"fabric_address": f.hostPort(fabricPort),
		// The user name identifies the VM to the platform stand-in, which can disconnect single VMs.
		"platform_url": fmt.Sprintf("http://%s@%s", vm, f.hostPort(platformPort)),
		"seeds":        f.runningControlAddresses(ts),
	}
	writeJSON(ts, vm+".json", settings)
	return vm + ".json"
}

// startBalancer adds a VM to the platform's VM list and starts its balancer.
func (f *fleet) startBalancer(ts *testscript.TestScript, vm string) {
	settings := f.writeSettings(ts, vm, fleetKey)
	if !slices.Contains(f.vms, vm) {
		f.vms = append(f.vms, vm)
	}
	putJSON(ts, f.hostPort(platformPort)+"/test/vms/"+vm, platform.VM{
		Name: vm, Place: placeForNumber(parseNumber(ts, vm)),
		DataAddress: parseAddrPort(ts, f.dataAddress(ts, vm)), ControlAddress: parseAddrPort(ts, f.controlAddress(ts, vm)),
	})
	f.start(ts, vm, "balancer", "--config", settings)
}

// runningControlAddresses returns the control addresses of the balancers that accept requests.
func (f *fleet) runningControlAddresses(ts *testscript.TestScript) []string {
	addresses := []string{}
	for _, vm := range f.vms {
		if f.processes[vm].acceptsRequests() {
			addresses = append(addresses, f.controlAddress(ts, vm))
		}
	}
	return addresses
}

// operatorOptions returns the options with which an operator command queries the
// running balancers.
func (f *fleet) operatorOptions(ts *testscript.TestScript) []string {
	args := []string{"--fleet-key-file", "fleet.key"}
	for _, address := range f.runningControlAddresses(ts) {
		args = append(args, "--balancer", address)
	}
	return args
}

// publish publishes the configuration and waits until it is in force at all balancers.
func (f *fleet) publish(ts *testscript.TestScript) {
	ts.Check(ts.Exec("kumquatworks", f.publishArgs(ts)...))
}

// publishArgs writes the configuration and returns the command line that publishes it.
func (f *fleet) publishArgs(ts *testscript.TestScript) []string {
	f.writeConfiguration(ts)
	args := []string{"publish", "conf.json", "--yes", "--platform", "http://" + f.hostPort(platformPort)}
	return append(args, f.operatorOptions(ts)...)
}

// writeConfiguration writes the configuration with the published targets to conf.json.
func (f *fleet) writeConfiguration(ts *testscript.TestScript) {
	places := []map[string]any{}
	for _, name := range placeNames {
		places = append(places, map[string]any{"name": name})
	}
	published := slices.DeleteFunc(slices.Clone(f.targets), func(t *fleetTarget) bool { return !t.published })
	writeJSON(ts, "conf.json", map[string]any{
		"places": places,
		"services": []map[string]any{
			{"name": "quote-desk", "address": "10.0.0.1", "port": 443, "protocol": "quic", "pool": "quotes", "weight": "high"},
			{"name": "stock-registry", "address": "10.0.0.2", "port": 443, "protocol": "quic", "pool": "stocks"},
		},
		"pools": []map[string]any{
			{"name": "quotes", "slots": 2, "connections": f.connectionLimit, "ramp_seconds": 1},
			{"name": "stocks", "slots": 2, "connections": 2000, "ramp_seconds": 1},
		},
		"targets": published,
	})
}

func writeJSON(ts *testscript.TestScript, name string, v any) {
	data, err := json.Marshal(v)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(name), data, 0o600))
}
