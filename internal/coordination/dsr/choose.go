package dsr

import (
	"math"
	"slices"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/state"
)

const (
	// remotePenalty is added to the load of targets in other places, in shares of
	// a target's slots. Bytes between places are charged, and balancers of one
	// place see more of the load of their own targets than of others.
	remotePenalty = 0.5
	// coldShare is the part of its slots that counts while a target is cold. Cold
	// targets take about 1.6 times as long for a request.
	coldShare = 0.6
)

// choose returns the target for a new flow of a route, or nil when no target may take it.
func (d *Dispatcher) choose(now time.Time, r *Route, flow uint64, excluded []*Target) *Target {
	for _, b := range r.order(flow) {
		if t := d.chooseOf(now, b.Service, flow, excluded); t != nil {
			return t
		}
	}
	return nil
}

// chooseOf returns the least loaded target of a service that has room, as far as is
// known. Suspected targets are passed over unless all others are full or suspected;
// one of them gets a trial flow from time to time.
func (d *Dispatcher) chooseOf(now time.Time, service string, flow uint64, excluded []*Target) *Target {
	var best, suspect *Target
	lowest, lowestSuspect := math.Inf(1), math.Inf(1)
	limit := d.routes.connections[service]
	for _, t := range d.targets.services[service] {
		if !t.usable() || !t.hasRoom(now, limit) || slices.Contains(excluded, t) {
			continue
		}
		load := d.load(now, t, flow)
		if !t.health.suspected() && load < lowest {
			best, lowest = t, load
		}
		if t.health.suspected() {
			if len(excluded) == 0 && t.health.mayTry(now) {
				t.health.trialAt = now
				return t
			}
			if load < lowestSuspect {
				suspect, lowestSuspect = t, load
			}
		}
	}
	if best == nil {
		return suspect
	}
	return best
}

// load is the expected number of requests per slot with one more flow, plus a
// fraction that orders equal targets by flow, alike at all balancers.
func (d *Dispatcher) load(now time.Time, t *Target, flow uint64) float64 {
	const tie = 1e-6
	slots := float64(max(t.Slots, 1))
	if now.Before(t.coldUntil) {
		slots *= coldShare
	}
	load := (float64(t.running+1) + t.idleLoad) / slots
	if t.Place != d.options.Place {
		load += remotePenalty
	}
	return load + tie/(1+state.RendezvousScore(flow, t.hash, 1))
}
