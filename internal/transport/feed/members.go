package feed

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/kumquatworks/kumquatworks/internal/coordination/feed"
)

// pollMembers registers this balancer and reads the member list periodically until ctx
// ends.
func (s *Service) pollMembers(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		interval, err := s.refreshMembers(ctx)
		if first {
			interval = firstMembersInterval
		}
		if err != nil && ctx.Err() == nil {
			s.log(level.Warn, "failed to register or to read the member list", "err", err)
			interval = membersRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// nextMembersInterval returns the interval until the next read of the member list. It
// grows with the list, because an outdated list only means that the balancer follows
// another parent than with the current one. If the balancer is missing from the list, the
// others do not follow it, so the minimum interval applies.
func nextMembersInterval(self string, members []feed.Member) time.Duration {
	if !feed.IsListed(self, members) {
		return minMembersInterval
	}
	return max(minMembersInterval, time.Duration(len(members))*membersIntervalPerMember)
}

// refreshMembers reads and applies the member list, registers this balancer, and returns
// the interval until the next read. The list comes first, because a balancer that has just
// started finds its parent in it.
func (s *Service) refreshMembers(ctx context.Context) (time.Duration, error) {
	members, err := s.options.Directory.Members(ctx)
	s.setMembers(members, err)
	if err != nil {
		return 0, err
	}
	return nextMembersInterval(s.options.Self.VM, members), s.options.Directory.Register(ctx, s.options.Self)
}

// setMembers applies the result of a read of the member list.
func (s *Service) setMembers(members []feed.Member, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.follower.EndStart()
		return
	}
	s.follower.SetMembers(members)
	count := len(members)
	if !feed.IsListed(s.options.Self.VM, members) {
		count++
	}
	s.options.Dispatcher.SetPlaceBalancerCount(count)
}
