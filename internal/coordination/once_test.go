package coordination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Checks that a request runs at most once. It would run twice if it reached a
// second target: answers are lost, openers are retransmitted and carry early data,
// targets leave openers unanswered so that they are retried at another target,
// owners change and views differ.
func TestRequestsRunAtMostOnce(t *testing.T) {
	for _, p := range []objects.Protocol{objects.ProtocolTCP, objects.ProtocolQUIC} {
		t.Run(string(p), func(t *testing.T) {
			forEachSeed(t, 4, func(t *testing.T, seed uint64) {
				f := newFleet(t, seed, 7, newTestSet(testService{p, objects.PreferenceEvenness, 6, 2, 2000}), Options{})
				f.makeUnreliable()
				f.lossRate = 0.05
				for _, target := range f.targets {
					target.unansweredShare = 0.2
				}
				counts := f.startSessions(300, time.Second, func(s *session) {
					s.earlyRequest = 1
					s.skipsClose = s.f.rng.IntN(2) == 0
				})
				for range 5 {
					f.splitViews(3 * time.Second)
					f.advance(4 * time.Second)
					f.kill(f.ownerOf(0))
					f.propagateView(time.Second, 3*time.Second)
					f.advance(4 * time.Second)
					f.joinBalancer()
				}
				assert.Assert(t, counts.answered > 1000 && f.reasons[ReasonRetriedOpener] > 50)
				assert.Equal(t, f.duplicateRuns(), 0)
				assert.Equal(t, f.misdirectedPackets(), 0)
			})
		})
	}
}
