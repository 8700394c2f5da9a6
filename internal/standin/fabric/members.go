package fabric

import (
	"context"
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// member is one balancer of the VM list with the state of its keepalives.
type member struct {
	party  party
	listed bool
	// pending is the number of keepalives since the last answer.
	pending int
	answers bool
}

// Run carries packets until ctx ends.
func (f *Fabric) Run(ctx context.Context) {
	received := make(chan struct{})
	go func() {
		f.receive()
		close(received)
	}()
	ticker := time.NewTicker(f.options.Keepalive)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f.readList(ctx)
		f.sendKeepalives()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	f.conn.Close()
	<-received
}

// readList reads the VM list. While the platform gives no answer, the last list stays in use.
func (f *Fabric) readList(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, f.options.Keepalive)
	defer cancel()
	vms, err := f.options.Store.VMs(call)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		m.listed = false
	}
	for _, vm := range vms {
		m := f.members[vm.DataAddress]
		if m == nil {
			m = &member{}
			f.members[vm.DataAddress] = m
		}
		m.party = party{name: vm.Name, place: vm.Place, addr: vm.DataAddress}
		m.listed = !vm.Leaving
	}
}

// sendKeepalives asks each balancer on the list whether it takes packets. One that
// missed several is sent none until it answers again.
func (f *Fabric) sendKeepalives() {
	f.mu.Lock()
	defer f.mu.Unlock()
	keepalive := protocol.AppendKeepalive(nil)
	for address, m := range f.members {
		if !m.listed {
			continue
		}
		if m.pending >= f.options.Misses {
			m.answers = false
		}
		m.pending++
		f.send(address, keepalive)
	}
	f.refreshLive()
}

// handleKeepalive notes the answer of a balancer.
func (f *Fabric) handleKeepalive(m *member) {
	m.pending = 0
	if !m.answers {
		m.answers = true
		f.refreshLive()
	}
}

// refreshLive rebuilds the list of balancers that receive packets.
func (f *Fabric) refreshLive() {
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
