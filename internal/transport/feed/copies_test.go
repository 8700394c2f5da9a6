package feed

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/coordination/feed"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// Guards against data that count as current although they lack a change: a copy of an earlier
// response of the parent is taken for the response that its latest state announced.
func TestOlderResponsesOfParentConfirmNothing(t *testing.T) {
	for name, test := range map[string]struct {
		ownVersion uint64
		announce   func(*wire.FeedState)
	}{
		"routes":               {3, func(s *wire.FeedState) { s.RoutesVersion++ }},
		"routes of platform":   {2, func(*wire.FeedState) {}}, // the parent has no delta after version 2
		"targets":              {3, func(s *wire.FeedState) { s.Change++ }},
		"targets of a restart": {3, func(s *wire.FeedState) { s.Epoch++ }},
		"revision":             {3, func(s *wire.FeedState) { s.Epoch, s.Revision = s.Epoch+1, s.Revision+1 }},
	} {
		t.Run(name, func(t *testing.T) {
			earlier := &node{dispatcher: dsr.NewDispatcher(dsr.Options{Place: "a", MaxFlowLifetime: time.Minute})}
			earlier.applyPlatformState(3, 10, "i-1")
			earlier.setRoutes(4)
			server := httptest.NewServer(wire.NewFeedServer(&handler{dispatcher: earlier.dispatcher}))
			defer server.Close()
			parent := feed.Member{VM: "vm-2", Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
			follower := &node{dispatcher: dsr.NewDispatcher(dsr.Options{Place: "a", MaxFlowLifetime: time.Minute})}
			follower.setRoutes(test.ownVersion)
			platformReads := 0
			s, err := New(Options{
				Self: feed.Member{VM: "vm-1", Address: freeAddress(t)}, MaxPropagationDelay: 3 * time.Second, Dispatcher: follower.dispatcher, Directory: &memoryDirectory{},
				ReadRoutes: func(context.Context) error {
					if platformReads++; platformReads > 1 { // the first response is a copy of an earlier one
						follower.setRoutes(4)
					}
					return nil
				},
				Logger: log.NewNopLogger(),
			})
			assert.NilError(t, err)
			defer s.conn.Close()
			defer s.listener.Close()
			fetch := func(announce func(*wire.FeedState)) dsr.Summary {
				summary, _ := earlier.dispatcher.Summary()
				s.mu.Lock()
				s.parent, s.probeSentAt = parent, s.options.Now()
				s.probeSequence++
				state := &wire.FeedState{Sequence: s.probeSequence, RoutesVersion: summary.RoutesVersion, Epoch: summary.Epoch, Change: summary.ChangeSequence, Revision: summary.Revision}
				s.mu.Unlock()
				announce(state)
				s.handleState(context.Background(), state, parent.Address)
				waitFor(t, "the end of the fetch", func() bool {
					s.mu.Lock()
					defer s.mu.Unlock()
					return !s.fetching
				})
				own, _ := follower.dispatcher.Summary()
				return own
			}
			assert.Assert(t, fetch(test.announce).AsOf.IsZero(), "data without the change count as current")
			assert.Assert(t, !fetch(func(*wire.FeedState) {}).AsOf.IsZero(), "the parent's latest data do not count as current")
		})
	}
}
