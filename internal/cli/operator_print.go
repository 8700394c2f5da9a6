package cli

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// maxListedRows bounds the VMs, pools and targets in each table of the text output. The JSON
// output lists all of them.
const maxListedRows = 50

// print writes the report as text.
func (r *fleetReport) print(out io.Writer, allTargets, counters bool) error {
	var b bytes.Buffer
	header := "no configuration in force"
	if r.Generation > 0 {
		header = fmt.Sprintf("generation %d (digest %.12s at %s)", r.Generation, r.Digest, r.Balancer)
	}
	fmt.Fprintf(&b, "%s; figures from %s, asked now; flow table entries: %d\n", header, pluralize(r.Answers, "balancer"), r.FlowEntries)
	r.printPlaces(&b)
	r.printVMs(&b)
	r.printPools(&b, allTargets)
	r.printTargets(&b, allTargets)
	if counters {
		r.printCounters(&b)
	}
	fmt.Fprintln(&b)
	if len(r.Attention) == 0 {
		fmt.Fprintln(&b, "attention: nothing")
	}
	for _, a := range r.Attention {
		fmt.Fprintln(&b, "attention: "+a)
	}
	_, err := out.Write(b.Bytes())
	return err
}

func newTable(b *bytes.Buffer, heading string) *tabwriter.Writer {
	table := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, heading)
	return table
}

func (r *fleetReport) printPlaces(b *bytes.Buffer) {
	table := newTable(b, "\nPLACE\tLIVE\tLEAVING\tSUSPECTED\tDEAD\tGENERATION\tPLATFORM")
	for _, p := range r.Places {
		generation := fmt.Sprint(p.HighestGeneration)
		if p.Live == 0 {
			generation = "-"
		} else if p.LowestGeneration != p.HighestGeneration {
			generation = fmt.Sprintf("%d to %d", p.LowestGeneration, p.HighestGeneration)
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\t%s\n", p.Place, p.Live, p.Leaving, p.Suspected, p.Dead, generation, p.platformStatus())
	}
	_ = table.Flush() // writes to memory
}

func (p placeReport) platformStatus() string {
	switch {
	case p.PlatformReachable:
		return "reachable, last answer " + formatAge(p.PlatformAgeSeconds)
	case p.PlatformAgeSeconds >= 0:
		return "not reachable, last answer " + formatAge(p.PlatformAgeSeconds)
	}
	return "not known"
}

// printVMs lists the VMs that are not alive, that have another generation than the fleet, or
// that have a problem.
func (r *fleetReport) printVMs(b *bytes.Buffer) {
	var list []vmReport
	for _, vm := range r.VMs {
		if vm.State != "alive" || vm.Generation != r.Generation || vm.Problem != "" {
			list = append(list, vm)
		}
	}
	if len(list) == 0 {
		return
	}
	table := newTable(b, "\nVM\tPLACE\tSTATE\tGENERATION\tLAST HEARD\tPROBLEM")
	for i, vm := range list {
		if i == maxListedRows {
			fmt.Fprintf(table, "and %d more\n", len(list)-i)
			break
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\n", vm.VM, vm.Place, vm.State, vm.Generation, formatAge(vm.HeardAgeSeconds), vm.Problem)
	}
	_ = table.Flush() // writes to memory
}

// printPools lists the pools. If there are more than maxListedRows and all is not set, it
// lists only those with a target that does not serve normally.
func (r *fleetReport) printPools(b *bytes.Buffer, all bool) {
	listed := r.Pools
	if !all && len(listed) > maxListedRows {
		listed = slices.DeleteFunc(slices.Clone(listed), func(p poolReport) bool { return p.States["serving"] == p.Targets })
		listed = listed[:min(len(listed), maxListedRows)]
	}
	table := newTable(b, "\nPOOL\tSERVICE\tTARGETS\tOPEN FLOWS\tIMBALANCE\tDRAINING\tCOLD\tSHEDDING\tUNHEALTHY\tFULL")
	for _, p := range listed {
		imbalance := "-"
		if p.Imbalance > 0 {
			imbalance = fmt.Sprintf("%.2f", p.Imbalance)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\n", p.Pool, p.Service, p.Targets, p.OpenFlows, imbalance,
			p.States["draining"], p.States["cold"], p.States["shedding"], p.States["unhealthy"], p.States["full"])
	}
	if omitted := len(r.Pools) - len(listed); omitted > 0 {
		fmt.Fprintf(table, "and %d more; --targets lists all\n", omitted)
	}
	_ = table.Flush() // writes to memory
}

// printTargets lists the targets that do not serve normally, or all targets if all is set.
func (r *fleetReport) printTargets(b *bytes.Buffer, all bool) {
	var list []targetReport
	for _, t := range r.Targets {
		if all || t.State != "serving" {
			list = append(list, t)
		}
	}
	if len(list) == 0 {
		return
	}
	table := newTable(b, "\nTARGET\tPOOL\tSTATE\tSEEN BY\tOPEN FLOWS\tLAST REPORT\tREASON")
	for i, t := range list {
		if i == maxListedRows && !all {
			fmt.Fprintf(table, "and %d more; --targets lists all\n", len(list)-i)
			break
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d of %d\t%d\t%s\t%s\n", t.Target, t.Pool, t.State, t.Reporters, r.Answers, t.OpenFlows, formatAge(t.AgeSeconds), t.Reason)
	}
	_ = table.Flush() // writes to memory
}

func (r *fleetReport) printCounters(b *bytes.Buffer) {
	table := newTable(b, "\nCOUNTER\tTOTAL")
	for _, name := range slices.Sorted(maps.Keys(r.Counters)) {
		fmt.Fprintf(table, "%s\t%d\n", name, r.Counters[name])
	}
	_ = table.Flush() // writes to memory
}

func formatAge(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f s ago", seconds)
}
