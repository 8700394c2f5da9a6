package transport

import (
	"expvar"
	"strings"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/telemetry"
)

// Counter groups. In addition, each action has a group with its name, which holds one
// counter for each reason.
const (
	groupData        = "data"
	groupHops        = "hops"
	groupFreeze      = "freeze"
	groupTargetReset = "cancel"
)

// Reasons for dropping a packet in this package, before or after the decision of the dispatcher.
const (
	reasonNotFromFabric      = "not-from-fabric"
	reasonRelayFromNonMember = "relay-from-non-member"
	reasonHopsExhausted      = "hops-exhausted"
	reasonReadAfterFreeze    = "read-after-freeze"
	reasonSendFailed         = "send-failed"
)

var actionNames = [...]string{
	coordination.ActionDrop:    "drop",
	coordination.ActionForward: "forward",
	coordination.ActionReturn:  "return",
	coordination.ActionRelay:   "relay",
	coordination.ActionRefuse:  "refuse",
}

// hopCounterNames are the names of the counters in groupHops, indexed by the number of
// relays that a packet passed.
var hopCounterNames = [...]string{"0", "1", "2"}

// stats holds the counters of the data path.
type stats struct {
	counters        *telemetry.CounterSet
	receivedPackets *expvar.Int
	receivedBytes   *expvar.Int
	sentPackets     *expvar.Int
	sentBytes       *expvar.Int
}

func newStats() *stats {
	c := telemetry.NewCounterSet()
	return &stats{
		counters:        c,
		receivedPackets: c.Counter(groupData, "received_packets"),
		receivedBytes:   c.Counter(groupData, "received_bytes"),
		sentPackets:     c.Counter(groupData, "sent_packets"),
		sentBytes:       c.Counter(groupData, "sent_bytes"),
	}
}

func (s *stats) add(group, name string, n int64) { s.counters.Add(group, name, n) }

func (s *stats) countDrop(reason string) {
	s.counters.Add(actionNames[coordination.ActionDrop], reason, 1)
}

// Counter returns the value of a counter of the data path, for example that of group
// "forward" and name "known-flow".
func (b *Balancer) Counter(group, name string) int64 { return b.stats.counters.Value(group, name) }

// EachCounter calls f for each counter of the data path.
func (b *Balancer) EachCounter(f func(group, name string, value int64)) { b.stats.counters.Each(f) }

// counterTotals returns the counters of the data path under names such as forward_known_flow.
func (b *Balancer) counterTotals() map[string]uint64 {
	totals := map[string]uint64{}
	b.EachCounter(func(group, name string, value int64) {
		totals[strings.ReplaceAll(group+"_"+name, "-", "_")] = uint64(value)
	})
	return totals
}

// Vars returns the expvar variables of the balancer.
func (b *Balancer) Vars() *expvar.Map {
	vars := new(expvar.Map)
	vars.Set("vm", expvar.Func(func() any { return b.settings.VM }))
	vars.Set("counters", b.stats.counters)
	vars.Set("flows", expvar.Func(func() any { return b.core.FlowCount() }))
	vars.Set("generation", expvar.Func(func() any { return b.generation() }))
	vars.Set("members", expvar.Func(func() any { return len(*b.members.Load()) }))
	return vars
}

func (b *Balancer) generation() uint64 {
	if table := b.table.Load(); table != nil {
		return table.Generation
	}
	return 0
}
