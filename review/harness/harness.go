//go:build review

// Package harness starts a small deployment on loopback addresses for the scripts below review/:
// the store, targets and callers are stand-ins in this process, the balancers are separate
// processes with the command of deploy/system.toml.
package harness

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/kumquatworks/kumquatworks/platform/standin"
)

const (
	readyPort    = 18167
	internalPort = 17720
	metricsPort  = "9464"
	targetPort   = 8080

	// ConfigApply, Drain, Contact and Grace are the bounds config-apply-ms, drain-ms, contact-ms
	// and grace-s of the site file gldhg-lb.
	ConfigApply = 3 * time.Second
	Drain       = 3 * time.Second
	Contact     = 4 * time.Second
	Grace       = 6 * time.Second
	// Margin is added to the bounds, because all processes share one machine.
	Margin = 2 * time.Second

	// restartDelay is the time after which an ended process is started again.
	restartDelay = 600 * time.Millisecond
	readyTimeout = 10 * time.Second
	// requestTimeout is the timeout of the routes.
	requestTimeout = 1500 * time.Millisecond

	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Balancer is a process of the product with a caller whose packets the routers forward to it.
type Balancer struct {
	Name, Zone string
	Caller     *standin.Caller

	ip           netip.Addr
	settingsPath string
	command      *exec.Cmd
	exited       chan struct{}
}

// Fleet is a small deployment.
type Fleet struct {
	Store     *standin.Store
	Balancers []*Balancer
	// Trouble is false if the script must leave its disruption out.
	Trouble bool

	binary, dir  string
	network      byte
	storeAddress string
	targets      []*standin.Target

	recordMu sync.Mutex
	record   *os.File
	start    time.Time
}

// Main plays a scenario with the flags of the script and exits with its status. The scenario
// returns the number of violations.
func Main(scenario func(*Fleet) (violations int, err error)) {
	binary := flag.String("binary", "", "program of the balancer")
	recordPath := flag.String("record", "", "file for the record")
	trouble := flag.String("trouble", "1", "0 leaves the disruption out")
	flag.Parse()
	os.Exit(play(*binary, *recordPath, *trouble != "0", scenario))
}

func play(binary, recordPath string, trouble bool, scenario func(*Fleet) (int, error)) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	f := &Fleet{Store: standin.NewStore(), Trouble: trouble, binary: binary, record: record, start: time.Now()}
	violations, err := f.play(scenario)
	if err != nil {
		f.Record("cannot run: %v", err)
		return exitNotRun
	}
	f.Record("end: %d violations", violations)
	if violations > 0 {
		return exitBroken
	}
	return exitHeld
}

func (f *Fleet) play(scenario func(*Fleet) (int, error)) (int, error) {
	var err error
	if f.network, err = pickNetwork(); err != nil {
		return 0, err
	}
	if f.dir, err = os.MkdirTemp("", "review"); err != nil {
		return 0, err
	}
	defer os.RemoveAll(f.dir)
	listener, err := net.Listen("tcp4", f.address(9, 1).String()+":0")
	if err != nil {
		return 0, err
	}
	server := &http.Server{Handler: f.Store}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	defer server.Close()
	f.storeAddress = listener.Addr().String()
	defer f.close()
	return scenario(f)
}

// Record writes a line to the record.
func (f *Fleet) Record(format string, args ...any) {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	fmt.Fprintf(f.record, "%8.3f ", time.Since(f.start).Seconds())
	fmt.Fprintf(f.record, format+"\n", args...)
}

// Loopback networks of the scripts, given by their second byte. The fault soak of the product uses
// the networks below.
const (
	firstNetwork = 220
	networkCount = 34
)

// pickNetwork returns the second byte of a loopback network whose ports are free.
func pickNetwork() (byte, error) {
	for i := range networkCount {
		n := firstNetwork + (os.Getpid()+i)%networkCount
		if isFree(fmt.Sprintf("127.%d.1.1:%d", n, standin.PacketPort)) && isFree(fmt.Sprintf("127.%d.3.1:%d", n, targetPort)) {
			return byte(n), nil
		}
	}
	return 0, errors.New("no free loopback network")
}

func isFree(address string) bool {
	c, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

func (f *Fleet) address(group, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network, byte(group), byte(i)})
}

// Route is a route of the operator's configuration.
type Route struct {
	Name      string  `json:"name"`
	Host      string  `json:"host"`
	Prefix    string  `json:"prefix"`
	Type      string  `json:"type"`
	Service   string  `json:"service"`
	TimeoutMS float64 `json:"timeout-ms"`
	LatencyMS float64 `json:"target-latency-ms"`
	Priority  int     `json:"priority"`
	Attempts  int     `json:"attempts"`
}

// RouteTo returns a route of its own address to a service.
func RouteTo(name, service string, number int) Route {
	return Route{Name: name, Host: fmt.Sprintf("198.18.0.%d", number), Prefix: "/443/", Type: "idempotent", Service: service,
		TimeoutMS: float64(requestTimeout.Milliseconds()), LatencyMS: 250, Priority: 2, Attempts: 2}
}

// Publish writes a configuration, as the operator does. Its return is the store's ack.
func (f *Fleet) Publish(version int, routes ...Route) {
	names := ""
	services := make(map[string]bool)
	for _, r := range routes {
		names += " " + r.Name
		services[r.Service] = true
	}
	var entries []map[string]any
	for name := range services {
		entries = append(entries, map[string]any{"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false})
	}
	f.Store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": entries,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	f.Record("operator: version %d acked, routes:%s", version, names)
}

// AddTarget starts a target and registers it. onOpener may be nil.
func (f *Fleet) AddTarget(service, zone string, onOpener func(*standin.Target)) (*standin.Target, error) {
	n := len(f.targets)
	id := fmt.Sprintf("i-%08x", 0x7f3a9100+n)
	t, err := standin.NewTarget(id, service, netip.AddrPortFrom(f.address(3, n+1), targetPort), 5*time.Millisecond,
		func(e standin.Execution) { f.Record("host %s of %s: runs %q", e.Target, e.Service, e.Request) },
		func(t *standin.Target, _ netip.AddrPort, _ netip.Addr) {
			if onOpener != nil {
				onOpener(t)
			}
		},
		func(v string) { f.Record("host: %s", v) })
	if err != nil {
		return nil, err
	}
	f.targets = append(f.targets, t)
	f.PutTarget(t, zone, "ready")
	return t, nil
}

// PutTarget writes the entry of a target, as the target does. Its return is the store's ack.
func (f *Fleet) PutTarget(t *standin.Target, zone, state string) {
	f.Store.Put(t.StoreKey(), map[string]any{"service": t.Service, "address": t.Address.String(), "zone": zone, "version": "v1",
		"slots": 3, "state": state, "cold-left-ms": 0, "seq": 1, "born": f.start.UnixMilli()})
	f.Record("host %s of %s: state %s acked", t.ID, t.Service, state)
}

// StartBalancer starts a balancer and waits until it is ready.
func (f *Fleet) StartBalancer(name, zone string) error {
	i := len(f.Balancers) + 1
	b := &Balancer{Name: name, Zone: zone, ip: f.address(1, i), settingsPath: filepath.Join(f.dir, name+".json")}
	settings, err := json.Marshal(map[string]any{
		"node-name": name, "role": "balancer", "machine-class": "front", "serves": []string{"front"}, "ip": b.ip.String(),
		"zone": zone, "region": "great-lakes",
		"zones": map[string]string{"detroit": "great-lakes", "cleveland": "great-lakes", "toronto": "great-lakes"},
		"listen": map[string]string{
			"datagram-addr": netip.AddrPortFrom(b.ip, standin.PacketPort).String(),
			"ready":         netip.AddrPortFrom(b.ip, readyPort).String(),
		},
		"internal-ports": []int{internalPort, internalPort + 15}, "heartbeat-ms": 1200, "bootstrap": true,
		"bounds": map[string]int64{"contact-ms": Contact.Milliseconds(), "drain-ms": Drain.Milliseconds(),
			"grace-s": int64(Grace.Seconds()), "config-apply-ms": ConfigApply.Milliseconds(), "flow-max-s": 60},
		"access-mode": "echo", "hash": "mod",
		"platform": map[string]any{"address": f.storeAddress, "access-mode": "kv"},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(b.settingsPath, settings, 0o600); err != nil {
		return err
	}
	b.Caller, err = standin.NewCaller(f.address(2, i), func(uint32) (netip.AddrPort, bool) {
		return netip.AddrPortFrom(b.ip, standin.PacketPort), true
	}, func(v string) { f.Record("client: %s", v) })
	if err != nil {
		return err
	}
	f.Balancers = append(f.Balancers, b)
	if err := f.startProcess(b); err != nil {
		return err
	}
	return f.WaitReady(b)
}

func (f *Fleet) startProcess(b *Balancer) error {
	log, err := os.OpenFile(filepath.Join(f.dir, b.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(f.binary, "balancer", "--metrics-port", metricsPort)
	command.Env = append(os.Environ(), "KUMQUATWORKS_SETTINGS="+b.settingsPath)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	b.command, b.exited = command, exited
	go func() {
		_ = command.Wait() // only signals of this program end the process
		close(exited)
	}()
	return nil
}

// WaitReady waits until the readiness probe of a balancer succeeds.
func (f *Fleet) WaitReady(b *Balancer) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", b.ip, readyPort))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", b.Name)
}

// Restart stops a balancer as the platform does and starts it again.
func (f *Fleet) Restart(b *Balancer) error {
	f.Record("platform: SIGTERM to %s", b.Name)
	_ = b.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-b.exited:
	case <-time.After(Grace):
		_ = b.command.Process.Kill()
		<-b.exited
	}
	time.Sleep(restartDelay)
	f.Record("platform: %s is started again", b.Name)
	return f.startProcess(b)
}

// Request opens a flow to a route through a balancer and sends one request on it. It reports
// whether the request was answered.
func (f *Fleet) Request(b *Balancer, r Route, request string) bool {
	flow, outcome := b.Caller.Open(netip.MustParseAddrPort(r.Host + ":443"))
	if outcome == "" {
		outcome = flow.Request(request, requestTimeout)
		flow.Close()
	}
	f.Record("client: %q on route %s through %s: %s", request, r.Name, b.Name, outcome)
	return outcome == standin.OutcomeAnswered
}

func (f *Fleet) close() {
	for _, b := range f.Balancers {
		b.Caller.Close()
		if b.command != nil {
			_ = b.command.Process.Kill()
			<-b.exited
		}
	}
	for _, t := range f.targets {
		t.Close()
	}
}
