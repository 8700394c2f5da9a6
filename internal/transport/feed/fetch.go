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
// platform's at asOf, at the given revision.
func (s *Service) fetchFromParent(ctx context.Context, parent feed.Member, asOf time.Time, revision uint64, plan fetchPlan) {
	client := wire.NewFeedProtobufClient("http://"+parent.Address.String(), s.client)
	var err error
	if plan.routes {
		err = s.fetchRoutes(ctx, client)
	}
	if plan.platformRoutes && err == nil {
		err = s.options.ReadRoutes(ctx)
	}
	if plan.targets && err == nil {
		err = s.fetchTargets(ctx, client)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetching = false
	if err != nil {
		s.log(level.Warn, "failed to fetch from the parent", "parent", parent.VM, "err", err)
		return
	}
	s.confirmAsOf(parent, asOf, revision)
}

// fetchRoutes applies the parent's routes delta. If the parent has none for the version
// here, or the delta does not yield the parent's routes, it reads the routes from the platform.
func (s *Service) fetchRoutes(ctx context.Context, client wire.Feed) error {
	ownSummary, _ := s.options.Dispatcher.Summary()
	response, err := client.Routes(ctx, &wire.FeedRoutesRequest{AfterVersion: ownSummary.RoutesVersion})
	if err != nil {
		return errors.Wrap(err, "routes")
	}
	if response.GetReadPlatform() {
		return s.options.ReadRoutes(ctx)
	}
	delta, err := decodeRoutesDelta(ownSummary.RoutesVersion, response)
	if err != nil {
		return err
	}
	switch s.options.Dispatcher.ApplyRoutesDelta(s.options.Now(), delta) {
	case dsr.DeltaOutdated:
		return errors.New("the routes here changed during the fetch, so the delta does not apply")
	case dsr.DeltaMismatch:
		return s.options.ReadRoutes(ctx)
	}
	return nil
}

// fetchTargets applies the parent's changes of targets.
func (s *Service) fetchTargets(ctx context.Context, client wire.Feed) error {
	s.mu.Lock()
	request := &wire.FeedTargetsRequest{Epoch: s.parentEpoch, After: s.parentChangeSequence}
	s.mu.Unlock()
	response, err := client.Targets(ctx, request)
	if err != nil {
		return errors.Wrap(err, "targets")
	}
	delta, err := decodeTargetsDelta(response)
	if err != nil {
		return err
	}
	if !s.options.Dispatcher.ApplyDelta(s.options.Now(), delta) {
		return errors.New("the targets of the parent are of an older platform revision than those here")
	}
	s.mu.Lock()
	s.parentEpoch, s.parentChangeSequence = delta.Epoch, delta.ChangeSequence
	s.mu.Unlock()
	return nil
}
