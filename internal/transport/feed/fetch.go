package feed

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/coordination/feed"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// fetchPlan states which data a balancer fetches: routes and targets from the parent, and
// routes from the platform.
type fetchPlan struct{ routes, targets, platformRoutes bool }

// fetchFromParent fetches and applies the data of the plan. Those of the parent matched the
// platform's at asOf, when it answered a probe with the given state.
func (s *Service) fetchFromParent(ctx context.Context, parent feed.Member, asOf time.Time, state *wire.FeedState, plan fetchPlan) {
	client := wire.NewFeedProtobufClient("http://"+parent.Address.String(), s.client)
	var err error
	if plan.routes {
		err = s.fetchRoutes(ctx, client, state)
	}
	if plan.platformRoutes && err == nil {
		err = s.readRoutes(ctx, state)
	}
	if plan.targets && err == nil {
		err = s.fetchTargets(ctx, client, state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetching = false
	if errors.Is(err, errOlderResponse) {
		s.client.CloseIdleConnections() // the response to this request may still arrive
	}
	if err != nil {
		s.log(level.Warn, "failed to fetch from the parent", "parent", parent.VM, "err", err)
		return
	}
	ownSummary, _ := s.options.Dispatcher.Summary()
	if position, isKnown := s.parentPosition(state, ownSummary); isKnown {
		s.confirmAsOf(parent, asOf, position)
	}
}

// errOlderResponse means that a response has older data than the parent had when it answered the
// probe, such as a late copy of an earlier response. It must not confirm the data here.
var errOlderResponse = errors.New("response is older than the parent's answer to the probe")

// fetchRoutes applies the parent's routes delta. If the parent has none for the version
// here, or the delta does not yield the parent's routes, it reads the routes from the platform.
func (s *Service) fetchRoutes(ctx context.Context, client wire.Feed, state *wire.FeedState) error {
	ownSummary, _ := s.options.Dispatcher.Summary()
	response, err := client.Routes(ctx, &wire.FeedRoutesRequest{AfterVersion: ownSummary.RoutesVersion})
	if err != nil {
		return errors.Wrap(err, "routes")
	}
	if response.GetReadPlatform() {
		return s.readRoutes(ctx, state)
	}
	if response.GetVersion() < state.GetRoutesVersion() {
		return errors.Wrapf(errOlderResponse, "routes of version %d, expected at least %d", response.GetVersion(), state.GetRoutesVersion())
	}
	delta, err := decodeRoutesDelta(ownSummary.RoutesVersion, response)
	if err != nil {
		return err
	}
	switch s.options.Dispatcher.ApplyRoutesDelta(s.options.Now(), delta) {
	case dsr.DeltaOutdated:
		return errors.New("the routes here changed during the fetch, so the delta does not apply")
	case dsr.DeltaMismatch:
		return s.readRoutes(ctx, state)
	}
	return nil
}

// readRoutes reads the routes from the platform, which must have at least the parent's version.
func (s *Service) readRoutes(ctx context.Context, state *wire.FeedState) error {
	if err := s.options.ReadRoutes(ctx); err != nil {
		return err
	}
	if summary, _ := s.options.Dispatcher.Summary(); summary.RoutesVersion < state.GetRoutesVersion() {
		return errors.Wrapf(errOlderResponse, "routes of version %d of the platform, expected at least %d", summary.RoutesVersion, state.GetRoutesVersion())
	}
	return nil
}

// fetchTargets applies the parent's changes of targets.
func (s *Service) fetchTargets(ctx context.Context, client wire.Feed, state *wire.FeedState) error {
	s.mu.Lock()
	request := &wire.FeedTargetsRequest{Epoch: s.parentEpoch, After: s.parentChangeSequence}
	s.mu.Unlock()
	response, err := client.Targets(ctx, request)
	if err != nil {
		return errors.Wrap(err, "targets")
	}
	if response.GetEpoch() != state.GetEpoch() || response.GetChange() < state.GetChange() || response.GetRevision() < state.GetRevision() {
		return errors.Wrapf(errOlderResponse, "targets of epoch %d, change %d and revision %d, expected epoch %d and at least change %d and revision %d",
			response.GetEpoch(), response.GetChange(), response.GetRevision(), state.GetEpoch(), state.GetChange(), state.GetRevision())
	}
	delta, err := decodeTargetsDelta(response)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.eraEpoch, s.eraOfEpoch = delta.Epoch, delta.Era
	s.mu.Unlock()
	if !s.options.Dispatcher.ApplyDelta(s.options.Now(), delta) {
		return errors.New("the targets of the parent are of an older state of the platform than those here")
	}
	s.mu.Lock()
	s.parentEpoch, s.parentChangeSequence = delta.Epoch, delta.ChangeSequence
	s.mu.Unlock()
	return nil
}
