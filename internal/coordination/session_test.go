package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// session is a caller that opens one connection after another from one port, with
// one request on each. It repeats a request only after a refusal, which guarantees
// that the request did not run.
type session struct {
	*fakeCaller
	requestID int
	// skipsClose makes the caller leave about half of its connections without closing them.
	skipsClose bool
	pause      time.Duration
	counts     *sessionCounts
}

// sessionCounts counts the outcomes of sessions.
type sessionCounts struct {
	answered, refused, unopened int
	// interrupted counts the connections that ended before the whole response arrived.
	interrupted int
	// ranDespiteRefusal counts the refused requests that had run.
	ranDespiteRefusal int
}

// startSessions starts n sessions, spread over all services and over one second.
func (f *fleet) startSessions(n int, pause time.Duration, configure func(*session)) *sessionCounts {
	counts := &sessionCounts{}
	for i := range n {
		s := &session{fakeCaller: f.newCaller(i%len(f.set.Services), i), pause: pause, counts: counts}
		if configure != nil {
			configure(s)
		}
		f.schedule(time.Duration(f.rng.IntN(1000))*time.Millisecond, s.startNextRequest)
	}
	return counts
}

// startNextRequest opens a connection for the next request.
func (s *session) startNextRequest() {
	s.requestID++
	s.openConnection()
}

// openConnection opens a connection for the current request.
func (s *session) openConnection() {
	if s.earlyRequest > 0 {
		s.earlyRequest = s.requestID
	}
	s.open()
	s.awaitOpen(s.f.now.Add(time.Duration(s.openerCopies)*s.retransmitInterval + time.Second))
}

// awaitOpen polls until the connection is open, then sends the request.
func (s *session) awaitOpen(deadline time.Time) {
	switch {
	case s.established:
		s.sendUntilAnswered(s.requestID)
		s.awaitAnswer(s.f.now.Add(30 * time.Second))
	case s.refused || s.reset:
		s.counts.refused++
		if s.f.runs[request{s.key, s.requestID}] > 0 {
			s.counts.ranDespiteRefusal++
		}
		s.f.schedule(s.randomPause(), s.openConnection)
	case s.f.now.After(deadline):
		s.counts.unopened++
		s.f.schedule(s.randomPause(), s.startNextRequest)
	default:
		s.f.schedule(10*time.Millisecond, func() { s.awaitOpen(deadline) })
	}
}

// awaitAnswer polls until the request is answered, then starts the next one.
func (s *session) awaitAnswer(deadline time.Time) {
	switch {
	case s.answered[s.requestID] > 0:
		s.counts.answered++
		if !s.skipsClose || s.f.rng.IntN(2) == 0 {
			s.closeConnection()
		}
		s.f.schedule(s.randomPause(), s.startNextRequest)
	case s.reset || s.f.now.After(deadline):
		s.counts.interrupted++
		s.f.schedule(s.randomPause(), s.startNextRequest)
	default:
		s.f.schedule(10*time.Millisecond, func() { s.awaitAnswer(deadline) })
	}
}

// closeConnection closes the connection. QUIC encrypts the close, so the packet looks like data.
func (s *session) closeConnection() {
	if s.quic {
		s.f.send(s.place, s.packet(protocol.KindData, s.answerTag, 0))
		return
	}
	s.close()
}

// randomPause returns a pause between a half and one and a half times the configured one.
func (s *session) randomPause() time.Duration {
	return s.pause/2 + time.Duration(s.f.rng.Int64N(int64(s.pause)))
}

// misdirectedPackets returns the number of packets that callers received although
// they belong to no connection or request of theirs.
func (f *fleet) misdirectedPackets() int {
	total := 0
	for _, c := range f.callers {
		total += c.misdirected
	}
	return total
}

// splitViews removes one random other member from the view of each balancer for a
// while, so that shards have two owners, and then restores the full view.
func (f *fleet) splitViews(duration time.Duration) {
	for _, m := range f.members {
		missing := f.members[f.rng.IntN(len(f.members))].VM
		if missing != m.VM {
			f.setViewOf(m.VM, filter(f.members, func(x Member) bool { return x.VM != missing }))
		}
	}
	f.propagateView(duration/2, duration)
}
