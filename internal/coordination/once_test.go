package coordination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Guards P5: answers are lost, openers are retransmitted and carry early data,
// targets leave openers unanswered so that a second candidate is tried, owners
// change and views split. A request that reached a second target would run twice.
func TestRequestsRunAtMostOnce(t *testing.T) {
	for _, p := range []objects.Protocol{objects.ProtocolTCP, objects.ProtocolQUIC} {
		t.Run(string(p), func(t *testing.T) {
			forEachSeed(t, 4, func(t *testing.T, seed uint64) {
				f := newFleet(t, seed, 7, newTestSet(testService{p, objects.PreferenceEvenness, 6, 2, 2000}), Options{})
				f.makeUnreliable()
				f.lossRate = 0.05
				for _, target := range f.targets {
					target.mute = 0.2
				}
				tally := f.startSessions(300, time.Second, func(s *session) {
					s.early = 1
					s.abandons = s.f.rng.IntN(2) == 0
				})
				for range 5 {
					f.splitViews(3 * time.Second)
					f.advance(4 * time.Second)
					f.kill(f.ownerOf(0))
					f.spreadView(time.Second, 3*time.Second)
					f.advance(4 * time.Second)
					f.joinBalancer()
				}
				assert.Assert(t, tally.answered > 1000 && f.reasons[ReasonRetried] > 50)
				assert.Equal(t, f.duplicateRuns(), 0)
				assert.Equal(t, f.foreignAnswers(), 0)
			})
		})
	}
}
