package fabric

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// member is one balancer of the VM list with the result of its checks.
type member struct {
	party   party
	listed  bool
	answers bool
	misses  int
}

// Run carries packets until ctx ends.
func (f *Fabric) Run(ctx context.Context) {
	received := make(chan struct{})
	go func() {
		f.receive()
		close(received)
	}()
	client := &http.Client{Timeout: f.options.Keepalive * time.Duration(f.options.Misses)}
	ticker := time.NewTicker(f.options.Keepalive)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f.checkMembers(ctx, client)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	f.conn.Close()
	<-received
}

// checkMembers reads the VM list and checks each balancer on it. While the
// platform gives no answer, the last list stays in use.
func (f *Fabric) checkMembers(ctx context.Context, client *http.Client) {
	vms, err := f.options.Store.VMs(ctx)
	if err == nil {
		f.setList(vms)
	} else {
		vms = f.listed()
	}
	round, cancel := context.WithTimeout(ctx, f.options.Keepalive)
	defer cancel()
	var checks sync.WaitGroup
	for _, vm := range vms {
		checks.Go(func() { f.record(vm, check(round, client, vm)) })
	}
	checks.Wait()
	f.refreshLive()
}

// checkResult is the answer of a balancer to a keepalive.
type checkResult uint8

const (
	checkSilent checkResult = iota
	checkReady
	checkRefused
)

// check asks a balancer whether it takes packets: any answer below 500 means yes, others no.
func check(ctx context.Context, client *http.Client, vm platform.VM) checkResult {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Control.String()+"/health", nil)
	if err != nil {
		return checkSilent
	}
	response, err := client.Do(request)
	if err != nil {
		return checkSilent
	}
	response.Body.Close()
	if response.StatusCode >= http.StatusInternalServerError {
		return checkRefused
	}
	return checkReady
}

func (f *Fabric) setList(vms []platform.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		m.listed = false
	}
	for _, vm := range vms {
		m := f.members[vm.Data]
		if m == nil {
			m = &member{}
			f.members[vm.Data] = m
		}
		m.party = party{name: vm.Name, place: vm.Place, addr: vm.Data}
		m.listed = !vm.Leaving
	}
	f.vms = vms
}

func (f *Fabric) listed() []platform.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms
}

func (f *Fabric) record(vm platform.VM, result checkResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[vm.Data]
	switch result {
	case checkReady:
		m.answers, m.misses = true, 0
	case checkRefused:
		m.answers = false
	case checkSilent:
		m.misses++
		m.answers = m.answers && m.misses < f.options.Misses
	}
}

// refreshLive rebuilds the list of balancers that receive packets.
func (f *Fabric) refreshLive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	live := make([]party, 0, len(f.members))
	for _, m := range f.members {
		if m.listed && m.answers {
			live = append(live, m.party)
		}
	}
	slices.SortFunc(live, func(a, b party) int { return a.addr.Compare(b.addr) })
	if !slices.Equal(live, f.live) {
		names := make([]string, 0, len(live))
		for _, p := range live {
			names = append(names, p.name)
		}
		_ = f.options.Logger.Log("level", "info", "op", "members", "msg", "balancers changed", "live", len(live), "names", names)
	}
	f.live = live
}
