package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Every balancer learns the flows whose return packets it sees. In a fleet of
// hundreds, a stream reaches most of them within the idle timeout, and the copies
// would fill the table, so that openers of its own services are dropped. A copy
// is a spare: owner and backup hold the flow, and a balancer without it relays.
const (
	// learnedShare is the part of the flow table up to which flows are learned.
	learnedShare = 0.5
	// learnedKnee is the part above which learned flows are kept for a shorter time.
	learnedKnee = 0.25
	// minLearnedTime is how long a learned flow is kept when that part is full.
	minLearnedTime = 10 * time.Second
)

// mayLearn reports whether a flow of another owner may be stored.
func (d *Dispatcher) mayLearn(c *packetContext) bool {
	return c.known || d.fill() < learnedShare
}

// fill is the part of the flow table in use.
func (d *Dispatcher) fill() float64 {
	return float64(d.flows.Len()) / float64(d.options.FlowCapacity)
}

// isLearned reports whether an entry was only learned from return packets.
func isLearned(e *state.Entry) bool {
	return e.HasTarget() && e.Strength == state.StrengthWeak && !e.Has(state.FlagCounted)
}

// learnedLifetime is how long a learned flow is kept after its last packet.
func (d *Dispatcher) learnedLifetime() time.Duration {
	free := (learnedShare - d.fill()) / (learnedShare - learnedKnee)
	life := time.Duration(min(free, 1) * float64(d.options.IdleTimeout))
	return max(life, min(minLearnedTime, d.options.IdleTimeout))
}
