package feed

import (
	"cmp"
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/coordination/feed"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// sendState answers a probe with how recent the data here are.
func (s *Service) sendState(now time.Time, probe *wire.FeedProbe, to netip.AddrPort) {
	summary, ok := s.options.Dispatcher.Summary()
	if !ok {
		s.send(&wire.FeedState{Sequence: probe.GetSequence(), AgeMs: math.MaxUint32}, kindState, to)
		return
	}
	state := &wire.FeedState{
		Sequence:      probe.GetSequence(),
		PlaceLoss:     s.exchangeLoss(now, probe.GetSubtreeLoss(), to),
		RoutesVersion: summary.RoutesVersion,
		Epoch:         summary.Epoch,
		Change:        summary.ChangeSequence,
		Revision:      summary.Revision,
		AgeMs:         uint32(max(now.Sub(summary.AsOf), 0).Milliseconds()),
	}
	if probe.GetSubtreeLoss() != nil {
		state.RoutesDigest, state.TargetsDigest = summary.RoutesDigest.Low(), summary.TargetsDigest.Low()
	}
	s.send(state, kindState, to)
}

// handleState handles an answer of the parent to the latest probe, and starts to fetch
// the routes and targets that are newer at the parent. The age in the answer counts from
// the time of the probe: an answer that waited here while the process was paused would
// otherwise make outdated data look recent.
func (s *Service) handleState(ctx context.Context, state *wire.FeedState, from netip.AddrPort) {
	ownSummary, _ := s.options.Dispatcher.Summary()
	s.mu.Lock()
	defer s.mu.Unlock()
	if from != s.parent.Address || state.GetSequence() != s.probeSequence || s.fetching {
		return
	}
	s.applyPlaceLoss(state.GetPlaceLoss())
	parent := s.parent
	if state.GetEpoch() == 0 { // the parent has no data yet
		s.follower.RecordAnswer(parent, time.Time{})
		return
	}
	asOf := s.probeSentAt.Add(-time.Duration(state.GetAgeMs()) * time.Millisecond)
	if now := s.options.Now(); s.follower.Starting(now) && now.Sub(asOf) > s.maxAge {
		// A target that has left meanwhile must not be in use again after a restart here.
		s.follower.EndStart()
		return
	}
	position, isKnown := s.parentPosition(state, ownSummary)
	if isKnown && state.GetRevision() != 0 && position.Before(ownSummary.Position()) {
		return // the parent's data are older than those here
	}
	newRoutes := state.GetRoutesVersion() > ownSummary.RoutesVersion
	if ownSummary.Listings != s.ownListings {
		s.parentEpoch, s.ownListings = 0, ownSummary.Listings
	}
	newTargets := state.GetEpoch() != s.parentEpoch || state.GetChange() != s.parentChangeSequence
	routesDiffer, targetsDiffer := s.compareDigests(state, ownSummary, newTargets)
	needed := fetchPlan{
		routes:  newRoutes,
		targets: newTargets || targetsDiffer,
		// The store decides which routes are right, unless the ones here are the store's.
		platformRoutes: routesDiffer && !ownSummary.RoutesAreFromStore,
	}
	if needed == (fetchPlan{}) {
		if ownSummary.RoutesVersion == state.GetRoutesVersion() {
			s.confirmAsOf(parent, asOf, position)
		}
		return // a parent with older routes lags behind, so its answer confirms nothing
	}
	s.fetching = true
	go s.fetchFromParent(ctx, parent, asOf, state, needed)
}

// parentPosition returns the position of the parent's data. It is not known while the parent has an
// epoch from which nothing was fetched yet. The caller holds mu.
func (s *Service) parentPosition(state *wire.FeedState, own dsr.Summary) (p dsr.Position, isKnown bool) {
	if state.GetEpoch() != s.eraEpoch {
		return dsr.Position{}, false
	}
	// A parent of an earlier version does not send its era.
	return dsr.Position{Era: cmp.Or(s.eraOfEpoch, own.Era), Revision: state.GetRevision()}, true
}

// compareDigests compares the data here with the digests in an answer of the parent, if it has
// any, and reports which of them differ although their versions agree. The caller holds mu.
func (s *Service) compareDigests(state *wire.FeedState, own dsr.Summary, newTargets bool) (routesDiffer, targetsDiffer bool) {
	if state.GetRoutesDigest() == 0 && state.GetTargetsDigest() == 0 {
		return false, false
	}
	routesDiffer = state.GetRoutesVersion() == own.RoutesVersion && state.GetRoutesDigest() != own.RoutesDigest.Low()
	targetsDiffer = !newTargets && state.GetTargetsDigest() != own.TargetsDigest.Low()
	differedBefore := s.differs
	s.differs = routesDiffer || targetsDiffer
	if targetsDiffer {
		s.parentEpoch = 0 // all targets must be fetched
	}
	if s.differs && !differedBefore {
		s.options.Dispatcher.ReportMismatch(routesDiffer, targetsDiffer)
	}
	return routesDiffer, targetsDiffer
}

// confirmAsOf records that the data here match those of the parent, which matched the
// platform's at asOf, at the given position or a later one. While the data differ, it records
// only that the parent answers. The caller holds mu.
func (s *Service) confirmAsOf(parent feed.Member, asOf time.Time, position dsr.Position) {
	if s.differs {
		s.follower.RecordAnswer(parent, time.Time{})
		return
	}
	s.follower.RecordAnswer(parent, asOf)
	s.options.Dispatcher.ConfirmAsOf(s.options.Now(), asOf, position)
}
