package coordination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Checks that callers receive complete answers and only answers of their own
// connection. Packets are late, duplicated and reordered, callers reuse their port
// with or without closing the earlier connection, and views differ, so that two
// targets receive the same opener and the one without the connection sends resets.
// A reset that reached the caller, or a packet that reached the wrong target, would
// interrupt an answer. An opener that is mistaken for a late copy from the earlier
// connection is never answered. 1 % of the connections may fail to open, because
// openers are lost while views differ.
func TestAnswersAreCompleteAndFromOwnConnection(t *testing.T) {
	for _, p := range []objects.Protocol{objects.ProtocolTCP, objects.ProtocolQUIC} {
		t.Run(string(p), func(t *testing.T) {
			forEachSeed(t, 4, func(t *testing.T, seed uint64) {
				f := newFleet(t, seed, 7, newTestSet(testService{p, objects.PreferenceEvenness, 6, 2, 2000}), Options{})
				f.makeUnreliable()
				counts := f.startSessions(300, time.Second, func(s *session) { s.skipsClose = true })
				for range 6 {
					f.splitViews(3 * time.Second)
					f.advance(8 * time.Second)
				}
				assert.Assert(t, counts.answered > 2000)
				assert.Assert(t, counts.unopened*100 <= counts.answered)
				assert.Equal(t, counts.interrupted, 0)
				assert.Equal(t, f.misdirectedPackets(), 0)
				assert.Equal(t, f.duplicateRuns(), 0)
				assert.Equal(t, f.crossServicePackets, 0)
			})
		})
	}
}
