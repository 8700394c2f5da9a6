package coordination

import (
	"time"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// session is a caller that opens one connection after the other from one port,
// with one request on each. It repeats a request only when told that it did not run.
type session struct {
	*fakeCaller
	body int
	// abandons makes the caller end connections without a packet now and then.
	abandons bool
	pause    time.Duration
	tally    *tally
}

// tally counts the outcomes of sessions.
type tally struct {
	answered, refused, unopened int
	// cut are connections that ended before the whole response arrived.
	cut int
	// ranAfterAll are refused requests that had run.
	ranAfterAll int
}

// startSessions starts n sessions over all services at times within a second.
func (f *fleet) startSessions(n int, pause time.Duration, adapt func(*session)) *tally {
	t := &tally{}
	for i := range n {
		s := &session{fakeCaller: f.newCaller(i%len(f.set.Services), i), pause: pause, tally: t}
		if adapt != nil {
			adapt(s)
		}
		f.schedule(time.Duration(f.rng.IntN(1000))*time.Millisecond, s.next)
	}
	return t
}

// next begins the next request.
func (s *session) next() {
	s.body++
	s.begin()
}

// begin opens a connection for the present request.
func (s *session) begin() {
	if s.early > 0 {
		s.early = s.body
	}
	s.open()
	s.awaitOpen(s.f.now.Add(time.Duration(s.patience)*s.wait + time.Second))
}

func (s *session) awaitOpen(until time.Time) {
	switch {
	case s.established:
		s.ask(s.body)
		s.awaitAnswer(s.f.now.Add(30 * time.Second))
	case s.refused || s.reset:
		s.tally.refused++
		if s.f.runs[request{s.key, s.body}] > 0 {
			s.tally.ranAfterAll++
		}
		s.f.schedule(s.rest(), s.begin)
	case s.f.now.After(until):
		s.tally.unopened++
		s.f.schedule(s.rest(), s.next)
	default:
		s.f.schedule(10*time.Millisecond, func() { s.awaitOpen(until) })
	}
}

func (s *session) awaitAnswer(until time.Time) {
	switch {
	case s.got[s.body] > 0:
		s.tally.answered++
		if !s.abandons || s.f.rng.IntN(2) == 0 {
			s.finish()
		}
		s.f.schedule(s.rest(), s.next)
	case s.reset || s.f.now.After(until):
		s.tally.cut++
		s.f.schedule(s.rest(), s.next)
	default:
		s.f.schedule(10*time.Millisecond, func() { s.awaitAnswer(until) })
	}
}

// finish closes the connection; QUIC hides the close, so the packet looks like data.
func (s *session) finish() {
	if s.quic {
		s.f.send(s.place, s.packet(protocol.KindData, s.answerTag, 0))
		return
	}
	s.close()
}

func (s *session) rest() time.Duration {
	return s.pause/2 + time.Duration(s.f.rng.Int64N(int64(s.pause)))
}

// foreignAnswers is the number of packets that callers got and that were not theirs.
func (f *fleet) foreignAnswers() int {
	foreign := 0
	for _, c := range f.callers {
		foreign += c.foreign
	}
	return foreign
}

// splitViews gives each balancer a view without one random other for a while, so
// that shards have two owners, and then the whole view again.
func (f *fleet) splitViews(lasting time.Duration) {
	for _, m := range f.members {
		missing := f.members[f.rng.IntN(len(f.members))].VM
		if missing != m.VM {
			f.setViewOf(m.VM, filter(f.members, func(x Member) bool { return x.VM != missing }))
		}
	}
	f.spreadView(lasting/2, lasting)
}
