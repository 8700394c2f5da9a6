package feed

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/kumquatworks/kumquatworks/internal/coordination/feed"
)

// hungReadDelay is how long a read of the member list may still take once this balancer has its
// first data. A platform that is 60 times slower than usual answers within a quarter of a second.
const hungReadDelay = 300 * time.Millisecond

// membersSettleTime is the time from the first read of the member list on after which a list may decide
// which balancers send openers to cold targets. While a whole place starts, the lists are incomplete,
// and each balancer would take itself for one of the first in the order.
const membersSettleTime = 3 * time.Second

// memberMemory is how long a name that a list lacks still counts as a member where openers to cold
// targets are limited. It exceeds the interval of the reads of 160 members: when the store loses its
// leases, the members return one by one with their next read.
const memberMemory = 5 * time.Minute

// eraCheckInterval is how often a balancer checks whether the platform has returned from a copy.
const eraCheckInterval = 500 * time.Millisecond

// registrationSpreadPerMember is the time, for each balancer of the place, within which they register anew
// after a return of the platform. Each writes twice at the most, so that five places write 67 times a second.
const registrationSpreadPerMember = 150 * time.Millisecond

// pollMembers registers this balancer and reads the member list periodically until ctx
// ends. A read that failed or hangs is repeated when this balancer gets its first data: the
// platform answers then, possibly only for a short time. That read does not register: when a
// fleet starts, the calls of the registrations would come in the same second as the first reads.
func (s *Service) pollMembers(ctx context.Context) {
	firstData := s.options.Dispatcher.Ready()
	for reads := 1; ctx.Err() == nil; reads++ {
		if isClosed(firstData) {
			firstData = nil
		}
		interval, err := s.refreshMembers(ctx, firstData)
		if reads == 1 {
			interval = firstMembersInterval
		} else if reads == 2 && s.options.Dispatcher.LimitsColdTargets() {
			interval = membersSettleTime
		}
		var retry <-chan struct{}
		if err != nil && ctx.Err() == nil {
			s.log(level.Warn, "failed to register or to read the member list", "err", err)
			interval, retry = membersRetryDelay, firstData
		}
		s.awaitNextRead(ctx, interval, retry)
	}
}

// awaitNextRead waits for an interval, or until ctx ends. A read that failed is repeated once retry is
// closed. After a return of the platform, this balancer registers anew, and the interval is another one.
func (s *Service) awaitNextRead(ctx context.Context, interval time.Duration, retry <-chan struct{}) {
	next := time.After(interval)
	eraCheck := time.NewTicker(eraCheckInterval)
	defer eraCheck.Stop()
	for {
		select {
		case <-retry:
			retry = nil
			_, _ = s.readMembers(ctx, nil) // if it fails, the next read follows after the usual delay
			next = time.After(interval)
		case <-eraCheck.C:
			if s.platformReturned() {
				next = time.After(s.registerAfterReturn(ctx))
			}
		case <-ctx.Done():
			return
		case <-next:
			return
		}
	}
}

// platformReturned reports whether the platform has returned from an older copy since this balancer
// last registered.
func (s *Service) platformReturned() bool {
	era := s.options.Dispatcher.Position().Era
	s.mu.Lock()
	defer s.mu.Unlock()
	returned := s.membersEra != 0 && s.membersEra != era
	s.membersEra = era
	return returned
}

// registerAfterReturn registers this balancer anew at a random time, since all others do so too, and
// returns the delay until the member list is read. Until then lists lack those that have not
// registered yet.
func (s *Service) registerAfterReturn(ctx context.Context) time.Duration {
	s.mu.Lock()
	spread := time.Duration(s.memberCount) * registrationSpreadPerMember
	s.mu.Unlock()
	delay := time.Duration(rand.Float64() * float64(spread))
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
	if err := s.options.Directory.Register(ctx, s.options.Self); err != nil && ctx.Err() == nil {
		s.log(level.Warn, "failed to register after a return of the platform", "err", err)
		return membersRetryDelay
	}
	s.log(level.Info, "registered after a return of the platform", "after_ms", delay.Milliseconds(), "spread_ms", spread.Milliseconds())
	return spread - delay + time.Duration(rand.Float64()*float64(spread))
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
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
// started finds its parent in it. firstData, unless nil, is closed when this balancer gets its
// first data.
func (s *Service) refreshMembers(ctx context.Context, firstData <-chan struct{}) (time.Duration, error) {
	members, err := s.readMembers(ctx, firstData)
	if err != nil {
		return 0, err
	}
	return nextMembersInterval(s.options.Self.VM, members), s.options.Directory.Register(ctx, s.options.Self)
}

// readMembers reads and applies the member list. It ends a read that still hangs after the first
// data.
func (s *Service) readMembers(ctx context.Context, firstData <-chan struct{}) ([]feed.Member, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-firstData:
			time.AfterFunc(hungReadDelay, cancel)
		}
	}()
	members, err := s.options.Directory.Members(ctx)
	s.setMembers(members, err)
	return members, err
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
	s.memberCount = len(members)
	count := len(members)
	if !feed.IsListed(s.options.Self.VM, members) {
		count++
	}
	s.options.Dispatcher.SetPlaceBalancerCount(count)
	if s.options.Dispatcher.LimitsColdTargets() {
		s.options.Dispatcher.SetPlaceMembers(s.options.Self.VM, s.coldMembers(s.options.Now(), members))
	}
}

// coldMembers returns the names among which the balancers that send openers to cold targets are
// selected: those of the list, and those of earlier ones for a time. It returns none while lists may be
// incomplete, or if the list lacks this balancer, because others then do not know it.
func (s *Service) coldMembers(now time.Time, members []feed.Member) []string {
	if s.memberSeenAt == nil {
		s.memberSeenAt, s.firstMembersAt = make(map[string]time.Time), now
	}
	for _, m := range members {
		s.memberSeenAt[m.VM] = now
	}
	maps.DeleteFunc(s.memberSeenAt, func(_ string, seenAt time.Time) bool { return now.Sub(seenAt) > memberMemory })
	if now.Sub(s.firstMembersAt) < membersSettleTime || !feed.IsListed(s.options.Self.VM, members) {
		return nil
	}
	return slices.Collect(maps.Keys(s.memberSeenAt))
}
