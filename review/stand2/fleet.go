//go:build review

// Package stand2 starts a small installation for the cases of the second review: the balancers of the deploy file as
// separate processes on loopback addresses, with a store, targets and callers in this process.
package stand2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/kumquatworks/kumquatworks/platform/standin"
)

// Ports and loopback networks that the tests of the repository do not use.
const (
	readyPort    = 21167
	internalPort = 21720
	targetPort   = 21080
)

// Address returns a loopback address of a case.
func Address(network, group, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(network), byte(group), byte(i)})
}

// Record writes the lines of record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in the folder of the case.
func NewRecord(dir string) (*Record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	return &Record{file: file, start: time.Now()}, err
}

// Line writes one line with the seconds since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Balancer is one balancer process.
type Balancer struct {
	VM, Place string
	IP        netip.Addr

	binary, settings string
	mu               sync.Mutex
	command          *exec.Cmd
	exited           chan struct{}
}

// SmallBounds are the bounds of the sites with six and seven machines, GrownBounds those of the grown sites.
var (
	SmallBounds = map[string]any{"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 3000, "grace-s": 6, "loss-slack-ms": 200,
		"config-apply-ms": 3000, "downgrade-slack-ms": 250, "max-skew-ms": 12000, "recover-s": 12, "flow-stray-ms": 2000, "flow-max-s": 60}
	GrownBounds = map[string]any{"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 5000, "ack-ms": 8000, "catch-up-s": 6, "drain-ms": 5000, "grace-s": 6, "loss-slack-ms": 200,
		"config-apply-ms": 5000, "downgrade-slack-ms": 250, "max-skew-ms": 15000, "recover-s": 15, "flow-stray-ms": 2000, "flow-max-s": 60}
)

// NewBalancer writes the settings file of a balancer in dir.
func NewBalancer(dir, binary, vm, place string, ip netip.Addr, store string, places []string, bounds map[string]any) (*Balancer, error) {
	zones := make(map[string]string)
	for _, p := range places {
		zones[p] = "region"
	}
	settings, err := json.Marshal(map[string]any{
		"node-name": vm, "role": "balancer", "machine-class": "front", "serves": []string{"front"}, "ip": ip, "zone": place, "region": "region", "zones": zones,
		"listen":         map[string]string{"datagram-addr": netip.AddrPortFrom(ip, standin.PacketPort).String(), "ready": netip.AddrPortFrom(ip, readyPort).String()},
		"internal-ports": []int{internalPort, internalPort + 15}, "bootstrap": true, "hash": "mod", "access-mode": "echo", "heartbeat-ms": Heartbeat.Milliseconds(),
		"bounds":   bounds,
		"platform": map[string]any{"address": store, "access-mode": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	})
	if err != nil {
		return nil, err
	}
	b := &Balancer{VM: vm, Place: place, IP: ip, binary: binary, settings: filepath.Join(dir, vm+".json")}
	return b, os.WriteFile(b.settings, settings, 0o600)
}

// Start starts the process.
func (b *Balancer) Start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	log, err := os.OpenFile(b.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(b.binary, "balancer", "--metrics-port", "9464")
	command.Env = []string{"KUMQUATWORKS_SETTINGS=" + b.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	b.command, b.exited = command, exited
	started.Lock()
	started.balancers = append(started.balancers, b)
	started.Unlock()
	go func() {
		_ = command.Wait()
		log.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (b *Balancer) Signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.command.Process.Signal(s)
}

// Exited returns a channel that is closed when the process has ended.
func (b *Balancer) Exited() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.exited
}

// Kill ends the process.
func (b *Balancer) Kill() {
	b.Signal(syscall.SIGCONT)
	b.Signal(syscall.SIGKILL)
	<-b.Exited()
}

// Packets returns the address for packets.
func (b *Balancer) Packets() netip.AddrPort { return netip.AddrPortFrom(b.IP, standin.PacketPort) }

// Ready probes the balancer as the routers do.
func (b *Balancer) Ready() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", b.IP, readyPort))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until all balancers are ready.
func WaitReady(timeout time.Duration, balancers ...*Balancer) bool {
	deadline := time.Now().Add(timeout)
	for _, b := range balancers {
		for !b.Ready() {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// TargetAddress returns the address of a target.
func TargetAddress(ip netip.Addr) netip.AddrPort { return netip.AddrPortFrom(ip, targetPort) }

// Route is an entry of routes in a configuration.
func Route(name string, address netip.AddrPort, service string) map[string]any {
	return map[string]any{"name": name, "host": address.Addr(), "prefix": fmt.Sprintf("/%d/", address.Port()), "type": "idempotent", "timeout-ms": 1500,
		"target-latency-ms": 250, "priority": 2, "service": service, "attempts": 2}
}

// Config is a configuration as the operator writes it.
func Config(version int, services []string, routes ...map[string]any) map[string]any {
	var entries []map[string]any
	for _, s := range services {
		entries = append(entries, map[string]any{"name": s, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false})
	}
	return map[string]any{"version": version, "routes": routes, "services": entries,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
}

// Entry is the entry of a target.
func Entry(t *standin.Target, place, state string, born int64) map[string]any {
	return map[string]any{"service": t.Service, "address": t.Address, "zone": place, "version": "v1", "slots": 3, "state": state, "cold-left-ms": 0, "seq": 1, "born": born}
}

// Listen opens a listener on a free loopback port.
func Listen() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

// started holds the balancers that were started, so that none outlives the case.
var started struct {
	sync.Mutex
	balancers []*Balancer
}

// maxDuration is the longest duration of a case.
const maxDuration = 115 * time.Second

// endWhenInterrupted ends the balancers and the case when it is interrupted or takes too long.
func endWhenInterrupted() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxDuration):
	}
	started.Lock()
	for _, b := range started.balancers {
		b.Kill()
	}
	os.Exit(2)
}

// Main runs a case and exits with its result: 0 held, 1 broken, 2 could not run.
func Main(run func(dir string, trouble bool, record *Record) (broken bool, err error)) {
	dir := os.Args[1]
	record, err := NewRecord(dir)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	go endWhenInterrupted()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Line("start, trouble %v", trouble)
	broken, err := run(dir, trouble, record)
	switch {
	case err != nil:
		record.Line("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		record.Line("the rule was broken")
		fmt.Println("broken")
		os.Exit(1)
	}
	record.Line("the rule held")
	fmt.Println("held")
}

// Log returns what the process of a balancer has logged.
func (b *Balancer) Log() string {
	data, _ := os.ReadFile(b.settings + ".log")
	return string(data)
}

// ServeStore serves the store on a listener.
func ServeStore(listener net.Listener, store http.Handler) {
	_ = http.Serve(listener, store) // ends with an error when the listener is closed
}
