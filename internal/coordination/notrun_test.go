package coordination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// smallPools returns a configuration with a TCP and a QUIC service, the transports
// that carry early data, with room for few flows.
func smallPools() objects.Set {
	set := newTestSet(
		testService{objects.ProtocolTCP, objects.PreferenceEvenness, 4, 2, 10},
		testService{objects.ProtocolQUIC, objects.PreferenceEvenness, 4, 2, 10},
	)
	set.Services[0].Idempotent = true
	return set
}

// withEarlyRequest makes the openers of a session carry its request, and
// retransmits them for less time than the hold-off lasts.
func withEarlyRequest(s *session) {
	s.earlyRequest = 1
	s.openerCopies, s.retransmitInterval = 5, 500*time.Millisecond
}

// killAfterNextAdmission kills the balancer that admits the next opener, after it
// has forwarded the opener. The others detect the failure within a second.
func (f *fleet) killAfterNextAdmission() {
	f.onForward = func(vm string, d Decision, m message) {
		if d.Reason != ReasonAdmitted {
			return
		}
		f.onForward = nil
		f.schedule(0, func() {
			f.kill(vm)
			f.propagateView(500*time.Millisecond, time.Second)
		})
	}
}

// freeze suspends a balancer. The others remove it from their views. It resumes
// with its old view and gets that of the others a moment later.
func (f *fleet) freeze(vm string, duration time.Duration) {
	membersBefore := append([]Member(nil), f.members...)
	f.frozen[vm] = true
	f.members = filter(f.members, func(m Member) bool { return m.VM != vm })
	f.propagateView(500*time.Millisecond, time.Second)
	f.schedule(duration, func() {
		f.members = membersBefore
		f.frozen[vm] = false
		f.dispatchers[vm].HandleFreeze(f.now)
		f.propagateView(200*time.Millisecond, time.Second)
	})
}

// Checks that no request of a refused opener ran, and that the opener was not
// forwarded before it was refused. Openers are duplicated and reach other balancers
// while pools fill, owners change and fail after forwarding, and a balancer resumes
// from a freeze with an old view in which it is still the owner.
func TestRefusedRequestsDidNotRun(t *testing.T) {
	forEachSeed(t, 6, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 7, smallPools(), Options{})
		f.makeUnreliable()
		f.duplicateRate = 0.2
		counts := f.startSessions(200, 300*time.Millisecond, withEarlyRequest)
		for range 2 {
			f.advance(6 * time.Second)
			f.freeze(f.ownerOf(f.rng.IntN(2)), 4*time.Second)
			f.advance(8 * time.Second)
			f.killAfterNextAdmission()
			f.advance(6 * time.Second)
			f.joinBalancer()
		}
		assert.Assert(t, f.refusals > 500)
		assert.Equal(t, counts.ranDespiteRefusal, 0)
		assert.Equal(t, f.falseRefusals, 0)
		assert.Equal(t, f.duplicateRuns(), 0)
		assert.Equal(t, counts.interrupted, 0)
	})
}
