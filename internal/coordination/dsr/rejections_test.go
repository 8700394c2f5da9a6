package dsr

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxFalseRejectionShare is the stated bound on served responses that count as rejections.
const maxFalseRejectionShare = 0.001

// Guards against taking served requests for rejected ones on a service without overload:
// with sizes that vary by a factor of ten, with responses that are all short, with a heavy
// tail, and with two common sizes.
func TestServedResponsesAreNotRejections(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for name, size := range map[string]func() uint32{
		"log-uniform": func() uint32 { return uint32(600 * math.Pow(10, random.Float64())) },
		"log-normal":  func() uint32 { return uint32(math.Max(2000*math.Exp(0.6*random.NormFloat64()), 20)) },
		"uniform":     func() uint32 { return 217 + uint32(random.IntN(24)) },
		"all short":   func() uint32 { return 130 },
		"two sizes":   func() uint32 { return []uint32{130, 20000}[random.IntN(2)] },
		"rare short": func() uint32 {
			if random.IntN(50) == 0 {
				return 100
			}
			return 600
		},
	} {
		t.Run(name, func(t *testing.T) {
			var responses, rejections uint64
			for seed := range 20 {
				s := newScarceSite(1, true)
				s.random = rand.New(rand.NewPCG(uint64(seed), 7))
				s.servedSize = size
				s.run(0.4, 3*time.Second)
				responses += uint64(0.4 * scarceCapacity * 3)
				rejections += s.balancers[0].pressures["web"].totalRejections
				assert.Equal(t, s.balancers[0].loads["web"].Limit, 0.0)
			}
			t.Logf("%d of about %d", rejections, responses)
			assert.Assert(t, float64(rejections) <= maxFalseRejectionShare*float64(responses), "%d of about %d", rejections, responses)
		})
	}
}

// Guards against a classification by size that counts more than the stated share of served
// responses as rejections, if sizes vary by a factor of ten and if all are short.
func TestSizesOfServedResponsesAreNotShort(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for name, size := range map[string]func() float64{
		"log-uniform": func() float64 { return 600 * math.Pow(10, random.Float64()) },
		"log-normal":  func() float64 { return max(2000*math.Exp(math.Log(10)/4*random.NormFloat64()), minResponseBytes) },
		"all short":   func() float64 { return 40 + 20*random.Float64() },
	} {
		responses, rejections := 0, 0
		for range 200 {
			var sizes responseSizes
			for range 1000 {
				n := uint32(size())
				responses++
				if sizes.isRejection(n) {
					rejections++
				}
				sizes.learn(n)
			}
		}
		t.Logf("%s: %d of %d", name, rejections, responses)
		assert.Assert(t, float64(rejections) <= maxFalseRejectionShare*float64(responses), "%s: %d of %d", name, rejections, responses)
	}
}

// Guards against missing rejections: of 130 bytes, on a route with responses of at least 600
// bytes after ten responses and on one with 217 to 240 bytes after 300.
func TestRejectionsAreRecognized(t *testing.T) {
	var sizes, short responseSizes
	for i := range uint32(10) {
		sizes.learn(600 + 100*i)
	}
	for i := range uint32(300) {
		short.learn(217 + i%24)
	}
	for _, s := range []*responseSizes{&sizes, &short} {
		assert.Assert(t, s.maxRejectionBytes >= rejectionBytes, "%v", s.maxRejectionBytes)
	}
	assert.Assert(t, short.maxRejectionBytes < 217)
}

// Guards against wrong sizes: of a response that is acknowledged in parts, of one whose end
// is acknowledged by the next request, and of the end of a flow, which is no response.
func TestResponseSizeIsMeasuredAtItsEnd(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.d.options.LearnsFromRejections = true
	sizes := func() (all []uint32) {
		if p := b.d.pressures["web"]; p != nil {
			for _, s := range p.newSizes {
				all = append(all, s.size)
			}
			p.newSizes = nil
		}
		return all
	}
	c := b.newFlow(0).open()
	c.sendRequest(10)
	c.ackResponse(100)
	c.ackResponse(2400)
	assert.Assert(t, sizes() == nil)
	c.ack += 700
	c.sendRequest(10)
	assert.DeepEqual(t, sizes(), []uint32{3200})
	c.ackResponse(130)
	assert.Assert(t, sizes() == nil)
	b.d.Tick(b.now.Add(responseQuietTime))
	assert.DeepEqual(t, sizes(), []uint32{130})
	c.ackResponse(1)
	c.sendFin()
	assert.Assert(t, sizes() == nil)

	c = b.newFlow(0).open()
	c.sendRequest(10)
	c.ackResponse(130)
	c.sendFin()
	assert.DeepEqual(t, sizes(), []uint32{130})
}

// runScarce returns a site after a load of two times its capacity for 8 s.
func runScarce(balancers int, learns bool, heavyCallerFlows int) *scarceSite {
	s := newScarceSite(balancers, learns)
	s.heavyCallerFlows = heavyCallerFlows
	s.run(0.4, 8*time.Second)
	s.measured = true
	s.run(2, 8*time.Second)
	s.measured = false
	s.run(0.4, 12*time.Second)
	return s
}

func (r scarceResult) onTimeShare() float64 { return float64(r.onTime) / float64(max(r.calls, 1)) }

// Guards against rejecting urgent and less urgent requests alike when targets reject requests
// without being slow. The capacity is enough for all urgent requests, so at least nine tenths
// of these must be on time and fewer requests be rejected than today. Less urgent ones must
// have some of the rest, and the limit must end.
func TestRejectionsLimitLessUrgentRequests(t *testing.T) {
	for _, balancers := range []int{1, 30, 160} {
		t.Run(fmt.Sprint(balancers), func(t *testing.T) {
			s, today := runScarce(balancers, true, 1), runScarce(balancers, false, 1)
			t.Logf("%+v, without the limit %+v", s.results, today.results)
			assert.Equal(t, today.results[scarceUrgent].refused, 0)
			assert.Assert(t, s.results[scarceUrgent].onTimeShare() >= 0.9)
			assert.Assert(t, s.results[scarceLessUrgent].onTimeShare() >= 0.2)
			rejected := s.results[scarceUrgent].rejected + s.results[scarceLessUrgent].rejected
			assert.Assert(t, 2*rejected < today.results[scarceUrgent].rejected+today.results[scarceLessUrgent].rejected)
			for _, d := range s.balancers {
				assert.Equal(t, d.loads["web"].Limit, 0.0)
			}
		})
	}
}

// Guards against refusals while targets have room: at usual loads nothing may be refused.
func TestRejectionsRefuseNothingAtUsualLoad(t *testing.T) {
	for _, balancers := range []int{1, 160} {
		s := newScarceSite(balancers, true)
		s.run(0.4, 4*time.Second)
		s.measured = true
		s.run(0.8, 6*time.Second)
		assert.Equal(t, s.results[scarceUrgent].refused+s.results[scarceLessUrgent].refused, 0)
	}
}

// Guards against a caller that displaces others because it holds many flows. A caller with
// ten times the flows of the others must not get a larger share of its requests served than
// these, but some.
func TestHeavyCallerDisplacesNoOthers(t *testing.T) {
	for _, balancers := range []int{1, 30} {
		s := runScarce(balancers, true, 10)
		var others scarceResult
		for _, r := range s.callers[1:] {
			others.calls += r.calls
			others.onTime += r.onTime
		}
		heavy := s.callers[0].onTimeShare()
		t.Logf("%d balancers: heavy caller %.2f, others %.2f", balancers, heavy, others.onTimeShare())
		assert.Assert(t, heavy < others.onTimeShare())
		assert.Assert(t, heavy > 0)
	}
}

// Guards against resetting an opener that another balancer may have forwarded, and packets of
// open flows, while targets reject requests.
func TestRejectionsResetNoForwardedOpener(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.d.options.LearnsFromRejections = true
	b.advance(100 * time.Millisecond)
	open := b.newFlow(0).open()
	b.d.pressures["web"] = &pressure{limit: 1, rejectionSum: 10, responseSum: 20}
	for range 30 {
		b.newFlow(0).sendOpener()
	}
	b.advance(100 * time.Millisecond)
	refused := b.newFlow(0).sendOpener()
	assert.Equal(t, refused.Action, ActionReset)
	assert.Equal(t, refused.Reason, ReasonOverload)
	retransmitted := b.newFlow(0)
	retransmitted.retransmits = 1
	assert.Equal(t, retransmitted.sendOpener().Action, ActionForward)
	assert.Equal(t, open.sendRequest(10).Action, ActionForward)
}

// Guards against counts of callers that outlive their flows, which would grow without bound
// and refuse callers for flows that they no longer hold.
func TestCallerCountsFollowFlows(t *testing.T) {
	b := newTestBalancer(t, 3)
	b.d.options.LearnsFromRejections = true
	first, second := b.newFlow(0).open(), b.newFlow(0).open()
	counts := b.d.routes.current[routeAddress(0)].usage.callers
	assert.Equal(t, counts.flows[first.flow.Caller.IP], 2)
	first.sendFin()
	first.sendFin()
	b.advance(closedFlowRetention + time.Second)
	assert.Equal(t, counts.flows[first.flow.Caller.IP], 1)
	second.sendFin()
	b.advance(closedFlowRetention + time.Second)
	assert.Equal(t, len(counts.flows), 0)
	assert.Equal(t, counts.total, 0)
}
