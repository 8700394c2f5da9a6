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

// loadBounds are the compared limits on the open flows of a target, as multiples of
// its fair share; 0 selects the default for the preference of the service.
var loadBounds = []float64{0, 1.05, 1.10, 1.15, 1.25, 1.5, math.Inf(1)}

// countOffRendezvous counts the established feeds at a target other than their
// rendezvous target, which is the one that the flow hash and the configuration
// determine regardless of load.
func (n *network) countOffRendezvous() int {
	total := 0
	for _, h := range n.hosts {
		for _, se := range h.sessions {
			c := se.connection
			if !c.isFeed || !c.established || c.broken || c.hostTag != se.tag {
				continue
			}
			total += boolToInt(n.rendezvousTarget(c) != h.endpoint)
		}
	}
	return total
}

func (n *network) rendezvousTarget(c *connection) protocol.Endpoint {
	s := n.table.Service(state.Address{Endpoint: c.service, Transport: c.transport})
	flow := protocol.FlowKey{Caller: c.endpoint, Service: c.service, Transport: c.transport}
	return s.RendezvousTarget(state.FlowHash(flow)).Endpoint
}

// BoundsOptions are the parameters of the table of load bounds.
type BoundsOptions struct {
	Seed                uint64
	Flows               int
	Requests            int
	MeanRequestDuration time.Duration
}

// PrintBounds runs the experiments on broken flows, imbalance and slots for each
// load bound and service with VariantFull, and prints one table. Broken flows are
// those that break when the owner and the backup are killed at the same time.
func PrintBounds(w io.Writer, o BoundsOptions) error {
	t := newTable(w, "service\tclose\tbound\tbroken per 10,000\toff choice, feeds alone\toff choice, mixed"+
		"\topen flows, highest over mean\tbusy slots, highest over mean\tmet a full target")
	for _, proto := range []objects.Protocol{objects.ProtocolTCP, objects.ProtocolQUIC} {
		for _, row := range imbalanceRows {
			for _, bound := range loadBounds {
				if err := printBoundRow(t, o, proto, row, bound); err != nil {
					return err
				}
			}
		}
	}
	return t.Flush()
}

func printBoundRow(t *tabwriter.Writer, o BoundsOptions, p objects.Protocol, row imbalanceRow, bound float64) error {
	options := Options{Variant: coordination.VariantFull, Balancers: defaultBalancers, Seed: o.Seed, OpenFlowBound: bound}
	broken, err := Broken(BrokenOptions{
		Options: options, Protocol: p, Preference: row.preference, Flows: o.Flows, IdleFeedShare: idleFeedShare,
		Schedule: "kill-deciders",
	})
	if err != nil {
		return err
	}
	imbalance, err := Imbalance(imbalanceOptions(options, p, row, o.Flows, o.MeanRequestDuration))
	if err != nil {
		return err
	}
	slots, err := Slots(SlotsOptions{
		Options: options, Protocol: p, Preference: row.preference, SlotsPerTarget: row.slotsPerTarget, SlotUtilization: 0.7,
		Requests: o.Requests, MeanRequestDuration: o.MeanRequestDuration,
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(t, "%s\t%s\t%s\t%.1f\t%.1f %%\t%.1f %%\t%.2f\t%.2f\t%.1f %%\n", row.name, closeVisibility(p),
		formatBound(bound), broken.BrokenPerTenThousand(), percent(broken.OffRendezvous, broken.Active+broken.Idle),
		percent(imbalance.OffRendezvous, imbalance.Feeds), imbalance.OpenFlowsMaxToMean, imbalance.BusySlotsMaxToMean,
		percent(slots.AvoidableWaits, slots.Requests))
	return err
}

func formatBound(bound float64) string {
	switch {
	case bound == 0:
		return "default"
	case math.IsInf(bound, 1):
		return "none"
	}
	return fmt.Sprintf("%.2f", bound)
}
