package dsr

import (
	"math"
	"time"
)

const (
	// strikesToReset is the least number of unanswered packets in a row after which
	// open flows of a target are reset. A single one may be a lost packet.
	strikesToReset = 2
	// accidentLimit is the probability that as many packets as lead to a reset are
	// lost although their target lives. With two packets it holds up to a loss of 0.3 %.
	accidentLimit = 1e-5
	// lossMemory is the time after which a packet counts for 1/e in the estimate.
	lossMemory = 20 * time.Second
	// priorPackets and priorLost stand for what is not yet known after a start: a
	// clean network, which a single lost packet puts in doubt.
	priorPackets = 100
	priorLost    = 0.1
)

// lossEstimate is the share of packets that do not arrive, or whose answer does not,
// although their target lives. A loss on the way and a full queue of the
// balancer's own link look alike here, and both make silence weaker evidence.
type lossEstimate struct{ packets, lost float64 }

func (l *lossEstimate) share() float64 {
	return (l.lost + priorLost) / (l.packets + priorPackets)
}

// strikes returns how many unanswered packets in a row are taken for the death of a target.
func (l *lossEstimate) strikes() int {
	share := min(l.share(), 0.9)
	return max(strikesToReset, int(math.Ceil(math.Log(accidentLimit)/math.Log(share)-1e-9)))
}

// fade lets time pass.
func (l *lossEstimate) fade(d time.Duration) {
	keep := math.Exp(-d.Seconds() / lossMemory.Seconds())
	l.packets *= keep
	l.lost *= keep
}
