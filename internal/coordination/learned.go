package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Every balancer learns the flows whose return packets it sees. In a fleet of
// hundreds of balancers, the packets of a stream reach most of them within the
// idle timeout. Without limits the learned copies would fill the flow table, and
// the balancer would drop openers of the services that it owns. A learned copy is
// redundant: owner and backup have the flow, and a balancer without a copy
// relays the packet to the owner.
const (
	// maxLearnedFill is the fill ratio of the flow table from which on no further
	// flows are learned.
	maxLearnedFill = 0.5
	// learnedDecayFill is the fill ratio above which the lifetime of learned flows
	// decreases linearly.
	learnedDecayFill = 0.25
	// minLearnedLifetime is the lifetime of a learned flow at maxLearnedFill.
	minLearnedLifetime = 10 * time.Second
)

// hasRoomToLearn reports whether a flow that this balancer neither owns nor backs
// up may be stored. A flow that has an entry may always be updated.
func (d *Dispatcher) hasRoomToLearn(c *packetContext) bool {
	return c.known || d.fillRatio() < maxLearnedFill
}

// fillRatio returns the fraction of the flow table in use.
func (d *Dispatcher) fillRatio() float64 {
	return float64(d.flows.Len()) / float64(d.options.FlowCapacity)
}

// isLearned reports whether an entry was learned from return packets only.
func isLearned(e *state.Entry) bool {
	return e.HasTarget() && e.Strength == state.StrengthWeak && !e.Has(state.FlagCounted)
}

// learnedLifetime returns how long a learned flow is kept after its last packet.
func (d *Dispatcher) learnedLifetime() time.Duration {
	remaining := (maxLearnedFill - d.fillRatio()) / (maxLearnedFill - learnedDecayFill)
	lifetime := time.Duration(min(remaining, 1) * float64(d.options.IdleTimeout))
	return max(lifetime, min(minLearnedLifetime, d.options.IdleTimeout))
}
