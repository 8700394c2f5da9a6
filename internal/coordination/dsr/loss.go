package dsr

import (
	"math"
	"time"
)

const (
	// minFailureThreshold is the minimum number of consecutive unanswered packets after
	// which open flows of a target are reset. A single one may be a lost packet.
	minFailureThreshold = 2
	// maxFalseResetProbability is the highest accepted probability that all packets that
	// lead to a reset were lost although their target is alive. The balancers of a site
	// carry 50,000 to a million packets per day that may begin such a sequence. A
	// threshold of two packets satisfies it up to a loss rate of 0.03 %.
	maxFalseResetProbability = 1e-7
	// steadyTimeConstant and burstTimeConstant are the times after which a packet counts
	// for 1/e in the two estimates. The steady one is for a network that loses packets all
	// the time, the burst one for losses that occur together, as on a link that is
	// saturated for a second.
	steadyTimeConstant = 20 * time.Second
	burstTimeConstant  = time.Second
	// priorPackets and priorLost are the prior of the estimates: a network with almost no
	// loss, weak enough that a single lost packet raises the estimate. priorPackets is
	// less than the packets of a second, because a larger prior would hide a burst.
	priorPackets = 20
	priorLost    = 0.006
	// initialLossRate is the minimum loss rate that is assumed for the first warmupPackets
	// packets: that of a network that loses 1 % each way. Without it, a balancer that had
	// just started on such a network and had seen no loss yet counted a target as dead
	// after two lost packets in a row.
	initialLossRate = 0.0199
	// warmupPackets is the number of packets after which initialLossRate no longer applies.
	// At that loss rate, one start in 3,000 sees this many packets without a loss:
	// (1-initialLossRate)^400. The packets of the other balancers of the place count too: at
	// 40 balancers a place, one of them alone sees seven packets a second.
	warmupPackets = 400
)

// lossEstimator estimates the share of packets that are lost, or whose answer is lost,
// although their target is alive. Loss in the network and loss in a full queue of the
// balancer's own link can't be told apart here. Both make an unanswered packet weaker
// evidence of a dead target, so both raise the failure threshold.
type lossEstimator struct {
	steady, burst lossCounter
	// totalSent counts the packets since the start.
	totalSent int
	// place holds the recent packets of all balancers of the place.
	place lossCounter
}

// lossCounter counts packets and lost packets, with exponential decay.
type lossCounter struct{ packets, lost float64 }

func (l *lossCounter) lossRate() float64 {
	return (l.lost + priorLost) / (l.packets + priorPackets)
}

// decay reduces the weight of older packets by the elapsed time.
func (l *lossCounter) decay(elapsed, timeConstant time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
	l.packets *= factor
	l.lost *= factor
}

func (l *lossEstimator) decay(elapsed time.Duration) {
	l.steady.decay(elapsed, steadyTimeConstant)
	l.burst.decay(elapsed, burstTimeConstant)
}

// recordSent counts an opener or the first packet of a request. Other packets are not
// counted: the many packets of an upload would make the loss rate of requests look
// lower than it is.
func (l *lossEstimator) recordSent() {
	l.steady.packets++
	l.burst.packets++
	l.totalSent++
}

// warmedUp reports whether enough packets were sent since the start for the estimate to
// be used without initialLossRate.
func (l *lossEstimator) warmedUp() bool { return l.totalSent >= warmupPackets }

// recordLost adds to the count of lost packets.
func (l *lossEstimator) recordLost(packets int) {
	l.steady.lost += float64(packets)
	l.burst.lost += float64(packets)
}

// lossRate returns the higher of the two estimates. During the warm-up it returns at least
// the loss rate of the place, or initialLossRate if the place has too few packets, too.
func (l *lossEstimator) lossRate() float64 {
	rate := max(l.steady.lossRate(), l.burst.lossRate())
	switch {
	case l.warmedUp():
		return rate
	case l.place.packets >= warmupPackets:
		return max(rate, l.place.lossRate())
	}
	return max(rate, initialLossRate)
}

// Loss returns the numbers of recent packets and of those that were lost, as this balancer
// has seen them.
func (d *Dispatcher) Loss() (packets, lost float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loss.steady.packets, d.loss.steady.lost
}

// SetPlaceLoss sets the numbers of recent packets, and of those that were lost, of all
// balancers of the place.
func (d *Dispatcher) SetPlaceLoss(packets, lost float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loss.place = lossCounter{packets: packets, lost: lost}
}

// failureThreshold returns the number of consecutive unanswered packets after which a
// target counts as dead, so that a false reset is less likely than maxFalseResetProbability.
func (l *lossEstimator) failureThreshold() int {
	rate := min(l.lossRate(), 0.9)
	return max(minFailureThreshold, int(math.Ceil(math.Log(maxFalseResetProbability)/math.Log(rate)-1e-9)))
}
