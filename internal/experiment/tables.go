package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Variants are the compared variants in the order of the table rows.
var Variants = []coordination.Variant{
	coordination.VariantHash, coordination.VariantBounded, coordination.VariantNoLearn, coordination.VariantFull,
}

const (
	defaultBalancers = 7
	// idleFeedShare is the fraction of idle feeds in the experiment on broken flows.
	idleFeedShare = 0.25
)

func newTable(w io.Writer, header string) *tabwriter.Writer {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	return t
}

// worstPairRow is the name of the row for the worst result of all pairs of balancers
// that are killed at the same time.
const worstPairRow = "kill-two"

// PrintBroken runs the experiment on broken flows for each variant and schedule and prints one table.
func PrintBroken(w io.Writer, seed uint64, flows int, protocol objects.Protocol) error {
	t := newTable(w, "variant\tschedule\tbroken per 10,000\tactive broken\tidle broken\tnot opened\tcrossings\thandoff bytes")
	for _, v := range Variants {
		for _, s := range append(ScheduleNames, worstPairRow) {
			o := BrokenOptions{
				Options:  Options{Variant: v, Balancers: defaultBalancers, Seed: seed},
				Protocol: protocol, Preference: objects.PreferenceAffinity, Flows: flows, IdleFeedShare: idleFeedShare, Schedule: s,
			}
			run := Broken
			if s == worstPairRow {
				run = BrokenWorstPair
			}
			r, err := run(o)
			if err != nil {
				return err
			}
			fmt.Fprintf(t, "%s\t%s\t%.1f\t%d of %d\t%d of %d\t%d\t%d\t%d\n", v, s, r.BrokenPerTenThousand(),
				r.BrokenActive, r.Active, r.BrokenIdle, r.Idle, r.NotEstablished, r.WrongServicePackets, r.HandoffBytes)
		}
	}
	return t.Flush()
}

// slotsRow is one row of the slots table.
type slotsRow struct {
	name             string
	variant          coordination.Variant
	shardsPerService int
	killOwner        bool
	reportDelay      time.Duration
}

var slotsRows = []slotsRow{
	{name: "hash", variant: coordination.VariantHash},
	{name: "bounded", variant: coordination.VariantBounded},
	{name: "nolearn", variant: coordination.VariantNoLearn},
	{name: "full", variant: coordination.VariantFull},
	{name: "full, 1 decider", variant: coordination.VariantFull, shardsPerService: 1},
	{name: "full, 2 deciders", variant: coordination.VariantFull, shardsPerService: 2},
	{name: "full, 7 deciders", variant: coordination.VariantFull, shardsPerService: 7},
	{name: "full, decider killed", variant: coordination.VariantFull, killOwner: true},
	{name: "full, load report 2 s old", variant: coordination.VariantFull, reportDelay: 2 * time.Second},
}

// PrintSlots runs the slots experiment and prints one table.
func PrintSlots(w io.Writer, seed uint64, requests int, meanRequestDuration time.Duration) error {
	t := newTable(w, "variant\tclose\tslots\tbusy\tmet a full target\tbusiest over mean\tunanswered\trelayed once\trelayed twice")
	for _, protocol := range []objects.Protocol{objects.ProtocolTCP, objects.ProtocolQUIC} {
		for _, slots := range []uint32{2, 3} {
			for _, utilization := range []float64{0.4, 0.7} {
				for _, row := range slotsRows {
					r, err := Slots(SlotsOptions{
						Options:  Options{Variant: row.variant, ShardsPerService: row.shardsPerService, Balancers: defaultBalancers, Seed: seed},
						Protocol: protocol, SlotsPerTarget: slots, SlotUtilization: utilization, Requests: requests, MeanRequestDuration: meanRequestDuration,
						KillOwner: row.killOwner, ReportDelay: row.reportDelay,
					})
					if err != nil {
						return err
					}
					fmt.Fprintf(t, "%s\t%s\t%d\t%.0f %%\t%.1f %%\t%.2f\t%d\t%.1f %%\t%.1f %%\n", row.name, closeVisibility(protocol),
						slots, 100*utilization, percent(r.AvoidableWaits, r.Requests), r.RequestsMaxToMean, r.Unanswered,
						percent(r.RelayedOnce, r.Packets), percent(r.RelayedRepeatedly, r.Packets))
				}
			}
		}
	}
	return t.Flush()
}

// closeVisibility describes whether a balancer sees when a connection closes. QUIC
// encrypts the close.
func closeVisibility(p objects.Protocol) string {
	if p == objects.ProtocolTCP {
		return "visible (TCP)"
	}
	return "hidden (QUIC)"
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// imbalanceRow is a service of the imbalance table. The goal is the highest acceptable
// ratio of maximum to mean.
type imbalanceRow struct {
	name           string
	preference     objects.Preference
	slotsPerTarget uint32
	goal           float64
}

var imbalanceRows = []imbalanceRow{
	{"quote-desk", objects.PreferenceAffinity, 2, 1.25},
	{"bookdesk", objects.PreferenceEvenness, 3, 1.10},
}

// imbalanceWindows is the number of windows in which busy slots are measured, including the first one.
const imbalanceWindows = 4

func imbalanceOptions(o Options, p objects.Protocol, row imbalanceRow, feeds int, meanRequestDuration time.Duration) ImbalanceOptions {
	return ImbalanceOptions{
		Options: o, Protocol: p, Preference: row.preference, SlotsPerTarget: row.slotsPerTarget, SlotUtilization: 0.4, Feeds: feeds,
		MeanRequestDuration: meanRequestDuration, MeasurementTime: imbalanceWindows * windowRequestDurations * meanRequestDuration,
	}
}

// PrintImbalance runs the imbalance experiment and prints one table.
func PrintImbalance(w io.Writer, seed uint64, feeds int, meanRequestDuration time.Duration) error {
	t := newTable(w, "variant\tservice\tclose\topen flows, highest over mean\tbusy slots, highest over mean\tbusy slots, first window\tgoal\tbroken")
	for _, protocol := range []objects.Protocol{objects.ProtocolTCP, objects.ProtocolQUIC} {
		for _, v := range Variants {
			for _, row := range imbalanceRows {
				o := Options{Variant: v, Balancers: defaultBalancers, Seed: seed}
				r, err := Imbalance(imbalanceOptions(o, protocol, row, feeds, meanRequestDuration))
				if err != nil {
					return err
				}
				fmt.Fprintf(t, "%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\n", v, row.name, closeVisibility(protocol),
					r.OpenFlowsMaxToMean, r.BusySlotsMaxToMean, r.FirstWindowBusySlotsMaxToMean, row.goal, r.BrokenFlows)
			}
		}
	}
	return t.Flush()
}
