package agent

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// scheduleExchanges adds state exchanges to the next output. It schedules one with a
// random peer periodically, more often until this balancer has joined, and after a freeze
// of this process. Members that rejoined get one each. While no other live member is
// known, the exchanges are with a random seed, listed VM or dead member.
func (a *Agent) scheduleExchanges(now time.Time) {
	a.pendingExchanges = append(a.pendingExchanges, a.detector.ConsumeRejoined()...)
	if a.detector.ConsumeFreezeDetected() {
		a.scheduleRandomExchange()
	}
	if now.Before(a.nextExchangeAt) {
		return
	}
	if a.detector.LiveCount() > 1 {
		a.scheduleRandomExchange()
		a.nextExchangeAt = now.Add(a.randomExchangeInterval())
		return
	}
	if addr, ok := a.detector.RandomReconnectAddr(); ok {
		a.pendingExchanges = append(a.pendingExchanges, addr)
	}
	a.nextExchangeAt = now.Add(seedExchangeInterval)
}

func (a *Agent) randomExchangeInterval() time.Duration {
	if !a.join.joined {
		return joinExchangeInterval
	}
	return exchangeInterval
}

// scheduleRandomExchange schedules an exchange with a random live member.
func (a *Agent) scheduleRandomExchange() {
	if _, addr, ok := a.detector.RandomPeer(); ok {
		a.pendingExchanges = append(a.pendingExchanges, addr)
	}
}

// Peers returns up to n control addresses from which to refresh the view: random
// live members or, without one, a seed, a listed VM or a dead member.
func (a *Agent) Peers(n int) []netip.AddrPort {
	peers := a.detector.RandomPeers(n)
	if len(peers) > 0 {
		return peers
	}
	if addr, ok := a.detector.RandomReconnectAddr(); ok {
		return []netip.AddrPort{addr}
	}
	return nil
}

// PeerAddress returns the control address of a live member.
func (a *Agent) PeerAddress(vm string) (netip.AddrPort, bool) { return a.detector.ControlAddr(vm) }

// ExchangeRequest returns the request of a state exchange: bucket hashes of the
// members and reports that this balancer knows. Without another live member it
// sends its members and no hashes, so the response holds all members.
func (a *Agent) ExchangeRequest() *wire.ExchangeRequest {
	request := &wire.ExchangeRequest{Source: a.cfg.Membership.VM, Head: a.follower.InForce().Wire()}
	if a.detector.LiveCount() == 1 {
		request.Members = a.detector.Members()
		return request
	}
	request.MemberBuckets = a.detector.Buckets()
	request.HealthBuckets = a.health.Buckets()
	return request
}

// HandleExchange merges the request of a state exchange and returns the response:
// the entries of buckets that differ, and the local hashes.
func (a *Agent) HandleExchange(now time.Time, r *wire.ExchangeRequest) *wire.ExchangeResponse {
	a.detector.Merge(now, r.GetMembers())
	a.health.HandleReports(now, r.GetHealth())
	a.handlePeerHead(now, r.GetSource(), r.GetHead())
	response := &wire.ExchangeResponse{Source: a.cfg.Membership.VM, Head: a.follower.InForce().Wire()}
	if r.GetPushOnly() {
		return response
	}
	response.Members = a.detector.DifferingMembers(r.GetMemberBuckets())
	response.MemberBuckets = a.bucketsIfDifferent(r.GetMemberBuckets(), a.detector.BucketsSizedLike)
	if a.hasSameGeneration(r.GetHead()) {
		response.Health = a.health.DifferingReports(r.GetHealthBuckets())
		response.HealthBuckets = a.bucketsIfDifferent(r.GetHealthBuckets(), a.health.BucketsSizedLike)
	}
	return response
}

// hasSameGeneration reports whether the peer has the same generation in force. Only then
// do both sides have the same targets, so that the hashes of their reports are comparable.
func (a *Agent) hasSameGeneration(h *wire.Head) bool {
	return h.GetGeneration() == a.follower.InForce().Generation
}

// bucketsIfDifferent returns the local bucket hashes if any differs from the peer's, else nil.
func (a *Agent) bucketsIfDifferent(peerBuckets []byte, bucketsSizedLike func([]byte) []byte) []byte {
	if len(peerBuckets) == 0 {
		return nil
	}
	localBuckets := bucketsSizedLike(peerBuckets)
	if bytes.Equal(localBuckets, peerBuckets) {
		return nil
	}
	return localBuckets
}

// HandleExchangeResponse merges the response of a state exchange. It returns a
// follow-up request with the entries that the peer may lack, or nil if there are none.
func (a *Agent) HandleExchangeResponse(now time.Time, r *wire.ExchangeResponse) *wire.ExchangeRequest {
	a.detector.Merge(now, r.GetMembers())
	a.health.HandleReports(now, r.GetHealth())
	a.handlePeerHead(now, r.GetSource(), r.GetHead())
	followUp := &wire.ExchangeRequest{Source: a.cfg.Membership.VM, PushOnly: true}
	if len(r.GetMemberBuckets()) > 0 {
		followUp.Members = a.detector.DifferingMembers(r.MemberBuckets)
	}
	if len(r.GetHealthBuckets()) > 0 {
		followUp.Health = a.health.DifferingReports(r.HealthBuckets)
	}
	if len(followUp.Members) == 0 && len(followUp.Health) == 0 {
		return nil
	}
	return followUp
}

// ServeSnapshot returns the response to a peer's fetch.
func (a *Agent) ServeSnapshot(r *wire.FetchSnapshotRequest) *wire.FetchSnapshotResponse {
	return a.follower.ServeSnapshot(r.GetBaseDigest())
}
