package agent

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// planExchanges asks for exchanges: regularly, more often until this balancer has
// joined, after a freeze, with members that came back, and with seeds while it is alone.
func (a *Agent) planExchanges(now time.Time) {
	a.exchanges = append(a.exchanges, a.members.ConsumeRejoined()...)
	if a.members.ConsumeFreezeDetected() {
		a.exchangeWithPeer()
	}
	if now.Before(a.nextExchange) {
		return
	}
	if a.members.LiveCount() > 1 {
		a.exchangeWithPeer()
		a.nextExchange = now.Add(a.exchangePause())
		return
	}
	if seed, ok := a.members.RandomReconnectAddr(); ok {
		a.exchanges = append(a.exchanges, seed)
	}
	a.nextExchange = now.Add(seedInterval)
}

func (a *Agent) exchangePause() time.Duration {
	if !a.join.joined {
		return joinInterval
	}
	return exchangeInterval
}

func (a *Agent) exchangeWithPeer() {
	if _, addr, ok := a.members.RandomPeer(); ok {
		a.exchanges = append(a.exchanges, addr)
	}
}

// Peers returns up to n addresses to ask for the view: random live members, or a seed.
func (a *Agent) Peers(n int) []netip.AddrPort {
	peers := a.members.RandomPeers(n)
	if len(peers) > 0 {
		return peers
	}
	if seed, ok := a.members.RandomReconnectAddr(); ok {
		return []netip.AddrPort{seed}
	}
	return nil
}

// PeerAddress returns the control address of a live member.
func (a *Agent) PeerAddress(vm string) (netip.AddrPort, bool) { return a.members.ControlAddr(vm) }

// ExchangeRequest returns the request of an exchange: hashes of what this
// balancer knows. A balancer that is alone asks for everything.
func (a *Agent) ExchangeRequest() *wire.ExchangeRequest {
	request := &wire.ExchangeRequest{Source: a.cfg.Membership.VM, Head: a.follower.InForce().Wire()}
	if a.members.LiveCount() == 1 {
		request.Members = a.members.Members()
		return request
	}
	request.MemberBuckets = a.members.Buckets()
	request.HealthBuckets = a.health.Buckets()
	return request
}

// HandleExchange answers an exchange.
func (a *Agent) HandleExchange(now time.Time, r *wire.ExchangeRequest) *wire.ExchangeResponse {
	a.members.Merge(now, r.GetMembers())
	a.health.HandleReports(now, r.GetHealth())
	a.peerHead(now, r.GetSource(), r.GetHead())
	response := &wire.ExchangeResponse{Source: a.cfg.Membership.VM, Head: a.follower.InForce().Wire()}
	if r.GetPushOnly() {
		return response
	}
	response.Members = a.members.DifferingMembers(r.GetMemberBuckets())
	response.MemberBuckets = a.ownBuckets(r.GetMemberBuckets(), a.members.BucketsSizedLike)
	if a.sameGeneration(r.GetHead()) {
		response.Health = a.health.DifferingReports(r.GetHealthBuckets())
		response.HealthBuckets = a.ownBuckets(r.GetHealthBuckets(), a.health.BucketsSizedLike)
	}
	return response
}

// sameGeneration reports whether both sides have the same targets, without
// which the hashes of the reports cannot be compared.
func (a *Agent) sameGeneration(h *wire.Head) bool {
	return h.GetGeneration() == a.follower.InForce().Generation
}

// ownBuckets returns the own hashes when any differs from the other side's.
func (a *Agent) ownBuckets(theirs []byte, like func([]byte) []byte) []byte {
	if len(theirs) == 0 {
		return nil
	}
	own := like(theirs)
	if bytes.Equal(own, theirs) {
		return nil
	}
	return own
}

// HandleExchangeResponse merges an answer. It returns what the other side
// lacks as a second request, or nil.
func (a *Agent) HandleExchangeResponse(now time.Time, r *wire.ExchangeResponse) *wire.ExchangeRequest {
	a.members.Merge(now, r.GetMembers())
	a.health.HandleReports(now, r.GetHealth())
	a.peerHead(now, r.GetSource(), r.GetHead())
	more := &wire.ExchangeRequest{Source: a.cfg.Membership.VM, PushOnly: true}
	if len(r.GetMemberBuckets()) > 0 {
		more.Members = a.members.DifferingMembers(r.MemberBuckets)
	}
	if len(r.GetHealthBuckets()) > 0 {
		more.Health = a.health.DifferingReports(r.HealthBuckets)
	}
	if len(more.Members) == 0 && len(more.Health) == 0 {
		return nil
	}
	return more
}

// ServeSnapshot answers a peer's fetch.
func (a *Agent) ServeSnapshot(r *wire.FetchSnapshotRequest) *wire.FetchSnapshotResponse {
	return a.follower.ServeSnapshot(r.GetBaseDigest())
}
