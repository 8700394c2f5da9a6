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
	// lost although their target lives. A fleet of a site carries 50,000 to a million
	// packets that may begin such a row a day. With two packets it holds up to a loss of 0.03 %.
	accidentLimit = 1e-7
	// steadyMemory and burstMemory are the times after which a packet counts for 1/e in
	// the two estimates: one for a network that loses packets all the time, one for
	// losses that come together, as from a link that is full for a second.
	steadyMemory = 20 * time.Second
	burstMemory  = time.Second
	// priorPackets and priorLost stand for what is not yet known: a clean network,
	// which a single lost packet puts in doubt. They are less than the packets of a
	// second, or the burst would be lost in them.
	priorPackets = 20
	priorLost    = 0.006
	// startShare is the least share that is assumed until learnPackets packets have
	// shown how clean the network is: that of a network that loses 1 % each way. A
	// balancer that had just started there, and knew of no loss, took two accidents in
	// a row for the death of a target.
	startShare = 0.0199
	// learnPackets is how many packets a network with startShare lets pass without a
	// loss once in 3,000 starts: (1-startShare)^400.
	learnPackets = 400
)

// lossEstimate is the share of packets that do not arrive, or whose answer does not,
// although their target lives. A loss on the way and a full queue of the
// balancer's own link look alike here, and both make silence weaker evidence.
type lossEstimate struct {
	steady, burst lossCount
	// seen counts the packets since the start.
	seen int
}

// lossCount counts packets, and those of them that were lost.
type lossCount struct{ packets, lost float64 }

func (l *lossCount) share() float64 {
	return (l.lost + priorLost) / (l.packets + priorPackets)
}

// fade lets time pass, so that older packets count for less.
func (l *lossCount) fade(d, memory time.Duration) {
	keep := math.Exp(-d.Seconds() / memory.Seconds())
	l.packets *= keep
	l.lost *= keep
}

func (l *lossEstimate) fade(d time.Duration) {
	l.steady.fade(d, steadyMemory)
	l.burst.fade(d, burstMemory)
}

// sent counts an opener or the first packet of a request. The many packets of an
// upload would make losses look rarer than they are for requests.
func (l *lossEstimate) sent() {
	l.steady.packets++
	l.burst.packets++
	l.seen++
}

// learned reports whether the packets since the start tell how clean the network is.
func (l *lossEstimate) learned() bool { return l.seen >= learnPackets }

// lost counts packets that were lost.
func (l *lossEstimate) lost(packets int) {
	l.steady.lost += float64(packets)
	l.burst.lost += float64(packets)
}

// share is the higher estimate.
func (l *lossEstimate) share() float64 {
	share := max(l.steady.share(), l.burst.share())
	if !l.learned() {
		share = max(share, startShare)
	}
	return share
}

// strikes returns how many unanswered packets in a row are taken for the death of a target.
func (l *lossEstimate) strikes() int {
	share := min(l.share(), 0.9)
	return max(strikesToReset, int(math.Ceil(math.Log(accidentLimit)/math.Log(share)-1e-9)))
}
