package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/coordination"
	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// Variants are the compared variants in the order of the tables.
var Variants = []coordination.Variant{
	coordination.VariantHash, coordination.VariantBounded, coordination.VariantNoLearn, coordination.VariantFull,
}

const (
	defaultBalancers = 7
	// idleShare is the share of idle feeds in the broken-flows measure.
	idleShare = 0.25
)

func newTable(w io.Writer, header string) *tabwriter.Writer {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	return t
}

// worstPair names the row in which each pair of balancers dies, in runs of their own.
const worstPair = "kill-two"

// PrintBroken runs the broken-flows measure for each variant and prints one table.
func PrintBroken(w io.Writer, seed uint64, flows int, protocol objects.Protocol) error {
	t := newTable(w, "variant\tschedule\tbroken per 10,000\tactive broken\tidle broken\tnot opened\tcrossings\thandoff bytes")
	for _, v := range Variants {
		for _, s := range append(ScheduleNames, worstPair) {
			o := BrokenOptions{
				Options:  Options{Variant: v, Balancers: defaultBalancers, Seed: seed},
				Protocol: protocol, Preference: objects.PreferenceAffinity, Flows: flows, IdleShare: idleShare, Schedule: s,
			}
			run := Broken
			if s == worstPair {
				run = BrokenWorstPair
			}
			r, err := run(o)
			if err != nil {
				return err
			}
			fmt.Fprintf(t, "%s\t%s\t%.1f\t%d of %d\t%d of %d\t%d\t%d\t%d\n", v, s, r.PerTenThousand(),
				r.BrokenActive, r.Active, r.BrokenIdle, r.Idle, r.Unopened, r.Crossings, r.HandoffBytes)
		}
	}
	return t.Flush()
}

// slotsRow is one row of the slots table.
type slotsRow struct {
	name    string
	variant coordination.Variant
	shards  int
	kill    bool
	lag     time.Duration
}

var slotsRows = []slotsRow{
	{name: "hash", variant: coordination.VariantHash},
	{name: "bounded", variant: coordination.VariantBounded},
	{name: "nolearn", variant: coordination.VariantNoLearn},
	{name: "full", variant: coordination.VariantFull},
	{name: "full, 1 decider", variant: coordination.VariantFull, shards: 1},
	{name: "full, 2 deciders", variant: coordination.VariantFull, shards: 2},
	{name: "full, 7 deciders", variant: coordination.VariantFull, shards: 7},
	{name: "full, decider killed", variant: coordination.VariantFull, kill: true},
	{name: "full, load report 2 s old", variant: coordination.VariantFull, lag: 2 * time.Second},
}

// PrintSlots runs the slots measure and prints one table.
func PrintSlots(w io.Writer, seed uint64, requests int, work time.Duration) error {
	t := newTable(w, "variant\tclose\tslots\tbusy\tmet a full target\tbusiest over mean\tunanswered\trelayed once\trelayed twice")
	for _, protocol := range []objects.Protocol{objects.ProtocolTCP, objects.ProtocolQUIC} {
		for _, slots := range []uint32{2, 3} {
			for _, busy := range []float64{0.4, 0.7} {
				for _, row := range slotsRows {
					r, err := Slots(SlotsOptions{
						Options:  Options{Variant: row.variant, Shards: row.shards, Balancers: defaultBalancers, Seed: seed},
						Protocol: protocol, Slots: slots, Busy: busy, Requests: requests, Work: work,
						KillDecider: row.kill, ReportLag: row.lag,
					})
					if err != nil {
						return err
					}
					fmt.Fprintf(t, "%s\t%s\t%d\t%.0f %%\t%.1f %%\t%.2f\t%d\t%.1f %%\t%.1f %%\n", row.name, closeName(protocol),
						slots, 100*busy, percent(r.FullHits, r.Requests), r.BusiestOverMean, r.Unanswered,
						percent(r.RelayedOnce, r.Packets), percent(r.RelayedMore, r.Packets))
				}
			}
		}
	}
	return t.Flush()
}

func closeName(p objects.Protocol) string {
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

// imbalanceRow is one service of the imbalance table.
type imbalanceRow struct {
	name       string
	preference objects.Preference
	slots      uint32
	goal       float64
}

var imbalanceRows = []imbalanceRow{
	{"quote-desk", objects.PreferenceAffinity, 2, 1.25},
	{"bookdesk", objects.PreferenceEvenness, 3, 1.10},
}

// imbalanceWindows is the number of windows in which busy slots are measured, with the first one.
const imbalanceWindows = 4

func imbalanceOptions(o Options, p objects.Protocol, row imbalanceRow, feeds int, work time.Duration) ImbalanceOptions {
	return ImbalanceOptions{
		Options: o, Protocol: p, Preference: row.preference, Slots: row.slots, Busy: 0.4, Feeds: feeds,
		Work: work, Length: imbalanceWindows * windowServiceTimes * work,
	}
}

// PrintImbalance runs the imbalance measure and prints one table.
func PrintImbalance(w io.Writer, seed uint64, feeds int, work time.Duration) error {
	t := newTable(w, "variant\tservice\tclose\topen flows, highest over mean\tbusy slots, highest over mean\tbusy slots, first window\tgoal\tbroken")
	for _, protocol := range []objects.Protocol{objects.ProtocolTCP, objects.ProtocolQUIC} {
		for _, v := range Variants {
			for _, row := range imbalanceRows {
				o := Options{Variant: v, Balancers: defaultBalancers, Seed: seed}
				r, err := Imbalance(imbalanceOptions(o, protocol, row, feeds, work))
				if err != nil {
					return err
				}
				fmt.Fprintf(t, "%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\n", v, row.name, closeName(protocol),
					r.OpenFlows, r.BusySlots, r.BusyAfterOpening, row.goal, r.Broken)
			}
		}
	}
	return t.Flush()
}
