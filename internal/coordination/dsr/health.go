package dsr

import "time"

// The packets of callers tell whether a target lives: an acknowledgement of new
// bytes proves it, and a packet that the caller sends again while nothing new
// was acknowledged on any flow of the target speaks against it.

const (
	// strikeMemory is how long an unanswered packet counts. The third and the fourth
	// copy of a packet are 800 ms apart; without a bound, two lost packets of a target
	// that this balancer rarely sees would count together however far apart they are.
	strikeMemory = 1200 * time.Millisecond
	// strikeGap is the time within which unanswered packets count as one: a full queue
	// drops several in a row.
	strikeGap = 100 * time.Millisecond
	// defaultDeadTime is three quarters of the 4 s after which the users' platform
	// takes a disturbance to be over, see Options.DeadTime.
	defaultDeadTime = 3 * time.Second
	// repeatAge is the least age of a packet that a caller sends again. Callers send
	// again after 200 ms; a copy that follows sooner arrived out of order.
	repeatAge = 150 * time.Millisecond
	// resetSilence is the shortest silence of a target before its flows are reset:
	// the 200 ms after which callers send again, less an allowance for late timers.
	resetSilence = 180 * time.Millisecond
	// trialPause is how long a suspected target gets no flow.
	trialPause = 4 * time.Second
	// trialGap is the pause between two trial flows of a suspected target.
	trialGap = time.Second
)

// Silence tells how long a target has shown no sign of life and how many packets went unanswered.
type Silence struct {
	For     time.Duration
	Strikes int
	// Enough is the number of unanswered packets that shows the target to be dead, 0
	// when the balancer itself seems to be at fault.
	Enough int
}

// health is the evidence about one target.
type health struct {
	// aliveAt is the last sign of life.
	aliveAt time.Time
	// strikes are the unanswered packets since then, struckAt the time of the last one.
	strikes  int
	struckAt time.Time
	// repeated counts the packets since then that callers sent again, also where
	// they are no evidence against the target; repeatedAt is the time of the first one.
	repeated   int
	repeatedAt time.Time
	// dead is set when enough packets in a row were left unanswered; it holds for the
	// dead time after the last one.
	dead        bool
	enough      int
	suspectedAt time.Time
	trialAt     time.Time
}

// alive notes a sign of life and reports whether it ended a suspicion.
func (h *health) alive(now time.Time) bool {
	ended := h.suspected()
	*h = health{aliveAt: now}
	return ended
}

// sentAgain notes that a caller sent a packet again.
func (h *health) sentAgain(now time.Time) {
	if h.repeated == 0 {
		h.repeatedAt = now
	}
	h.repeated++
}

// lostPackets returns how many packets since the last sign of life were lost, given
// that there is another one now. After a longer silence, the target or its link was
// out of service instead.
func (h *health) lostPackets(now time.Time) int {
	if now.Sub(h.repeatedAt) > strikeMemory {
		return 0
	}
	return h.repeated
}

func (h *health) suspected() bool { return !h.suspectedAt.IsZero() }

// strike notes that a packet sent at a time was not answered. It reports whether
// the target is suspected from now on. enough is the number of such packets in a
// row that shows the target to be dead.
func (h *health) strike(now time.Time, deadTime time.Duration, enough int) bool {
	if h.strikes > 0 && now.Sub(h.struckAt) < strikeGap {
		return false
	}
	stillDead := h.believedDead(now, deadTime)
	if !h.struck(now) {
		h.strikes = 0
	}
	h.strikes++
	h.struckAt = now
	h.enough = enough
	h.dead = stillDead || h.strikes >= enough
	if h.suspected() {
		return false
	}
	h.suspectedAt = now
	return true
}

// mayTry reports whether a suspected target may get one flow to find out whether it lives.
func (h *health) mayTry(now time.Time) bool {
	if now.Sub(h.trialAt) < trialGap {
		return false
	}
	return now.Sub(h.struckAt) >= trialPause
}

// struck reports whether a packet was left unanswered lately.
func (h *health) struck(now time.Time) bool {
	return h.strikes > 0 && now.Sub(h.struckAt) <= strikeMemory
}

// dark reports whether open flows of the target may be reset.
func (h *health) dark(now time.Time, deadTime time.Duration) bool {
	return h.believedDead(now, deadTime) && now.Sub(h.aliveAt) >= resetSilence
}

// believedDead reports whether the last verdict still holds.
func (h *health) believedDead(now time.Time, deadTime time.Duration) bool {
	return h.dead && now.Sub(h.struckAt) <= deadTime
}

// silence describes the evidence.
func (h *health) silence(now time.Time) Silence {
	s := Silence{Strikes: h.strikes}
	if h.enough < never {
		s.Enough = h.enough
	}
	if !h.aliveAt.IsZero() {
		s.For = now.Sub(h.aliveAt)
	}
	return s
}
