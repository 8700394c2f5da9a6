//go:build review

package stand2

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Router spreads flows over the balancers of one zone as the platform's routers do.
type Router struct {
	// changed is called when the balancers in rotation change.
	changed func(vms []string)

	mu        sync.Mutex
	balancers []*Balancer
	misses    map[*Balancer]int
	rotation  []*Balancer
	stop      chan struct{}
	probes    sync.WaitGroup
}

// NewRouter returns a router that probes balancers twice per second.
func NewRouter(changed func(vms []string), balancers ...*Balancer) *Router {
	r := &Router{changed: changed, misses: make(map[*Balancer]int), stop: make(chan struct{})}
	for _, b := range balancers {
		r.Add(b)
	}
	return r
}

// Add makes a further machine known to the router. It is in rotation once it has answered a probe with 200.
func (r *Router) Add(b *Balancer) {
	r.mu.Lock()
	r.balancers = append(r.balancers, b)
	r.misses[b] = 2
	r.mu.Unlock()
	r.probes.Go(func() {
		for {
			ready := b.Ready()
			r.mu.Lock()
			r.misses[b]++
			if ready {
				r.misses[b] = 0
			}
			r.update()
			r.mu.Unlock()
			select {
			case <-r.stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	})
}

// Remove makes the router forget a machine that was taken away for good.
func (r *Router) Remove(b *Balancer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancers = slices.DeleteFunc(r.balancers, func(other *Balancer) bool { return other == b })
	r.update()
}

// update recomputes the rotation: the balancers with fewer than two misses, or all if these are fewer than half.
func (r *Router) update() {
	var healthy []*Balancer
	for _, b := range r.balancers {
		if r.misses[b] < 2 {
			healthy = append(healthy, b)
		}
	}
	if 2*len(healthy) < len(r.balancers) {
		healthy = slices.Clone(r.balancers)
	}
	if slices.Equal(healthy, r.rotation) {
		return
	}
	r.rotation = healthy
	var vms []string
	for _, b := range healthy {
		vms = append(vms, b.VM)
	}
	r.changed(vms)
}

// Pick returns the balancer for a flow.
func (r *Router) Pick(hash uint32) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.rotation) == 0 {
		return netip.AddrPort{}, false
	}
	return r.rotation[hash%uint32(len(r.rotation))].Packets(), true
}

// Close ends the probes.
func (r *Router) Close() {
	close(r.stop)
	r.probes.Wait()
}
