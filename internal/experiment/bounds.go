package experiment

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// bounds are the compared bounds of open flows per target over the fair share; 0 is that of the preference.
var bounds = []float64{0, 1.05, 1.10, 1.15, 1.25, 1.5, math.Inf(1)}

// offChoice counts the established feeds at another target than the table alone names.
func (n *network) offChoice() int {
	off := 0
	for _, h := range n.hosts {
		for _, se := range h.sessions {
			c := se.connection
			if !c.feed || !c.established || c.broken || c.hostTag != se.tag {
				continue
			}
			off += count(n.tableChoice(c) != h.endpoint)
		}
	}
	return off
}

func (n *network) tableChoice(c *connection) protocol.Endpoint {
	s := n.table.Service(state.Address{Endpoint: c.service, Transport: c.transport})
	flow := protocol.FlowKey{Caller: c.endpoint, Service: c.service, Transport: c.transport}
	return s.RendezvousTarget(state.FlowHash(flow)).Endpoint
}

// BoundsOptions are the parameters of the bounds table.
type BoundsOptions struct {
	Seed     uint64
	Flows    int
	Requests int
	Work     time.Duration
}

// PrintBounds runs the broken-flows, imbalance and slots measures for each bound
// and service with the full design, and prints one table. Broken flows are those
// that break when the owner and the backup die at once.
func PrintBounds(w io.Writer, o BoundsOptions) error {
	t := newTable(w, "service\tclose\tbound\tbroken per 10,000\toff choice, feeds alone\toff choice, mixed"+
		"\topen flows, highest over mean\tbusy slots, highest over mean\tmet a full target")
	for _, protocol := range []objects.Protocol{objects.ProtocolTCP, objects.ProtocolQUIC} {
		for _, row := range imbalanceRows {
			for _, bound := range bounds {
				if err := printBound(t, o, protocol, row, bound); err != nil {
					return err
				}
			}
		}
	}
	return t.Flush()
}

func printBound(t *tabwriter.Writer, o BoundsOptions, p objects.Protocol, row imbalanceRow, bound float64) error {
	options := Options{Variant: coordination.VariantFull, Balancers: defaultBalancers, Seed: o.Seed, Bound: bound}
	broken, err := Broken(BrokenOptions{
		Options: options, Protocol: p, Preference: row.preference, Flows: o.Flows, IdleShare: idleShare,
		Schedule: "kill-deciders",
	})
	if err != nil {
		return err
	}
	even, err := Imbalance(imbalanceOptions(options, p, row, o.Flows, o.Work))
	if err != nil {
		return err
	}
	slots, err := Slots(SlotsOptions{
		Options: options, Protocol: p, Preference: row.preference, Slots: row.slots, Busy: 0.7,
		Requests: o.Requests, Work: o.Work,
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(t, "%s\t%s\t%s\t%.1f\t%.1f %%\t%.1f %%\t%.2f\t%.2f\t%.1f %%\n", row.name, closeName(p),
		boundName(bound), broken.PerTenThousand(), percent(broken.OffChoice, broken.Active+broken.Idle),
		percent(even.OffChoice, even.Feeds), even.OpenFlows, even.BusySlots, percent(slots.FullHits, slots.Requests))
	return err
}

func boundName(bound float64) string {
	switch {
	case bound == 0:
		return "default"
	case math.IsInf(bound, 1):
		return "none"
	}
	return fmt.Sprintf("%.2f", bound)
}
