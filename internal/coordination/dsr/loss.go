package dsr

import (
	"math"
	"time"
)

const (
	// strikesToReset is the least number of unanswered packets in a row after which
	// open flows of a target are reset. A single one may be a lost packet.
	minFailureThreshold = 2
	// accidentLimit is the probability that as many packets as lead to a reset are
	// lost although their target lives. A fleet of a site carries 50,000 to a million
	// packets that may begin such a row a day. With two packets it holds up to a loss of 0.03 %.
	maxFalseResetProbability = 1e-7
	// steadyMemory and burstMemory are the times after which a packet counts for 1/e in
	// the two estimates: one for a network that loses packets all the time, one for
	// losses that come together, as from a link that is full for a second.
	steadyTimeConstant = 20 * time.Second
	burstTimeConstant  = time.Second
	// priorPackets and priorLost stand for what is not yet known: a clean network,
	// which a single lost packet puts in doubt. They are less than the packets of a
	// second, or the burst would be lost in them.
	priorPackets = 20
	priorLost    = 0.006
	// startShare is the least share that is assumed until learnPackets packets have
	// shown how clean the network is: that of a network that loses 1 % each way. A
	// balancer that had just started there, and knew of no loss, took two accidents in
	// a row for the death of a target.
	initialLossRate = 0.0199
	// learnPackets is how many packets a network with startShare lets pass without a
	// loss once in 3,000 starts: (1-startShare)^400.
	warmupPackets = 400
)

// lossEstimate is the share of packets that do not arrive, or whose answer does not,
// although their target lives. A loss on the way and a full queue of the
// balancer's own link look alike here, and both make silence weaker evidence.
type lossEstimator struct {
	steady, burst lossCounter
	// seen counts the packets since the start.
	totalSent int
}

// lossCount counts packets, and those of them that were lost.
type lossCounter struct{ packets, lost float64 }

func (l *lossCounter) lossRate() float64 {
	return (l.lost + priorLost) / (l.packets + priorPackets)
}

// fade lets time pass, so that older packets count for less.
func (l *lossCounter) decay(elapsed, timeConstant time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
	l.packets *= factor
	l.lost *= factor
}

func (l *lossEstimator) decay(elapsed time.Duration) {
	l.steady.decay(elapsed, steadyTimeConstant)
	l.burst.decay(elapsed, burstTimeConstant)
}

// sent counts an opener or the first packet of a request. The many packets of an
// upload would make losses look rarer than they are for requests.
func (l *lossEstimator) recordSent() {
	l.steady.packets++
	l.burst.packets++
	l.totalSent++
}

// learned reports whether the packets since the start tell how clean the network is.
func (l *lossEstimator) warmedUp() bool { return l.totalSent >= warmupPackets }

// lost counts packets that were lost.
func (l *lossEstimator) recordLost(packets int) {
	l.steady.lost += float64(packets)
	l.burst.lost += float64(packets)
}

// share is the higher estimate.
func (l *lossEstimator) lossRate() float64 {
	rate := max(l.steady.lossRate(), l.burst.lossRate())
	if !l.warmedUp() {
		rate = max(rate, initialLossRate)
	}
	return rate
}

// strikes returns how many unanswered packets in a row are taken for the death of a target.
func (l *lossEstimator) failureThreshold() int {
	rate := min(l.lossRate(), 0.9)
	return max(minFailureThreshold, int(math.Ceil(math.Log(maxFalseResetProbability)/math.Log(rate)-1e-9)))
}
