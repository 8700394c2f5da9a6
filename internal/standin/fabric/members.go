package fabric

import (
	"context"
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// balancer is a balancer that the VM list contains or contained, with the state of its
// keepalives.
type balancer struct {
	node node
	// eligible is true if the VM list contains the balancer and it is not leaving.
	eligible bool
	// unansweredKeepalives is the number of keepalives sent since the last answer.
	unansweredKeepalives int
	// responsive is set by an answer, and cleared when unansweredKeepalives has reached the
	// failure threshold.
	responsive bool
}

// Run forwards packets and checks the balancers until ctx is done, then closes the socket.
func (f *Fabric) Run(ctx context.Context) {
	receiveDone := make(chan struct{})
	go func() {
		f.receiveLoop()
		close(receiveDone)
	}()
	ticker := time.NewTicker(f.options.KeepaliveInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f.updateBalancers(ctx)
		f.sendKeepalives()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	f.conn.Close()
	<-receiveDone
}

// updateBalancers reads the VM list and updates the balancers. If the read fails, the previous
// list stays in use.
func (f *Fabric) updateBalancers(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, f.options.KeepaliveInterval)
	defer cancel()
	vms, err := f.options.Store.VMs(callCtx)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.balancers {
		b.eligible = false
	}
	for _, vm := range vms {
		b := f.balancers[vm.DataAddress]
		if b == nil {
			b = &balancer{}
			f.balancers[vm.DataAddress] = b
		}
		b.node = node{name: vm.Name, place: vm.Place, addr: vm.DataAddress}
		b.eligible = !vm.Leaving
	}
}

// sendKeepalives sends a keepalive to each eligible balancer. A balancer that reached the
// failure threshold receives no packets until it answers a keepalive.
func (f *Fabric) sendKeepalives() {
	f.mu.Lock()
	defer f.mu.Unlock()
	keepalive := protocol.AppendKeepalive(nil)
	for address, b := range f.balancers {
		if !b.eligible {
			continue
		}
		if b.unansweredKeepalives >= f.options.FailureThreshold {
			b.responsive = false
		}
		b.unansweredKeepalives++
		f.send(address, keepalive)
	}
	f.updateLiveBalancers()
}

// handleKeepalive processes the answer of a balancer to a keepalive.
func (f *Fabric) handleKeepalive(b *balancer) {
	b.unansweredKeepalives = 0
	if !b.responsive {
		b.responsive = true
		f.updateLiveBalancers()
	}
}

// updateLiveBalancers rebuilds the list of balancers that receive packets: those that are
// eligible and responsive.
func (f *Fabric) updateLiveBalancers() {
	live := make([]node, 0, len(f.balancers))
	for _, b := range f.balancers {
		if b.eligible && b.responsive {
			live = append(live, b.node)
		}
	}
	slices.SortFunc(live, func(a, b node) int { return a.addr.Compare(b.addr) })
	if !slices.Equal(live, f.liveBalancers) {
		names := make([]string, 0, len(live))
		for _, n := range live {
			names = append(names, n.name)
		}
		_ = f.options.Logger.Log("level", "info", "op", "members", "msg", "set of live balancers changed", "live", len(live), "names", names)
	}
	f.liveBalancers = live
}
