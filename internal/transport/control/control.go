// Package control runs the control plane of one balancer: probes over UDP, the
// Twirp servers and clients between balancers, and the configuration follower.
package control

import (
	"net/netip"

	"github.com/go-kit/log"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Snapshot is a configuration that came into force.
type Snapshot struct {
	Generation uint64
	Digest     string
	Set        objects.Set
}

// Options are the parameters of the control plane.
type Options struct {
	VM       string
	Place    string
	Data     netip.AddrPort
	Control  netip.AddrPort // UDP for probes and TCP for Twirp, same port
	Seeds    []netip.AddrPort
	FleetKey []byte
	Store    platform.Store
	Logger   log.Logger
	Seed     uint64

	// OnView is called when the set of live members changes.
	OnView func(coordination.View)
	// OnSnapshot is called when a higher generation comes into force.
	OnSnapshot func(Snapshot)
	// OnReports is called when the health or load view changes.
	OnReports func([]coordination.TargetReport)
	// OnHandoff is called with bindings that a peer hands over; it returns how many were new.
	OnHandoff func([]state.Binding) int
	// Core answers status and explain requests.
	Core coordination.Core
}
