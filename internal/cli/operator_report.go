package cli

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// fleetReport is the state of the fleet, as status prints it. An age of -1 means that the
// age is not known.
type fleetReport struct {
	// Balancer is the first VM that answered. The member list is from it.
	Balancer string `json:"balancer"`
	// Generation is the highest generation in force at a live balancer.
	Generation uint64 `json:"generation"`
	// Digest is the digest of the generation in force at Balancer.
	Digest string `json:"digest"`
	// Answers is the number of balancers that answered and whose figures are summed.
	Answers int `json:"answers"`
	// FlowEntries is the sum of the flow table entries. A flow counts once for each balancer
	// that has an entry for it, including copies and entries learned from packets.
	FlowEntries uint64         `json:"flow_entries"`
	Places      []placeReport  `json:"places"`
	VMs         []vmReport     `json:"vms"`
	Pools       []poolReport   `json:"pools"`
	Targets     []targetReport `json:"targets"`
	Alarms      []alarmReport  `json:"alarms"`
	// Counters are the sums of the counters of the balancers since their start.
	Counters  map[string]uint64 `json:"counters"`
	Attention []string          `json:"attention"`
}

type placeReport struct {
	Place     string `json:"place"`
	Live      int    `json:"live"`
	Leaving   int    `json:"leaving"`
	Suspected int    `json:"suspected"`
	Dead      int    `json:"dead"`
	// LowestGeneration and HighestGeneration are the bounds of the generations in force at the
	// live balancers.
	LowestGeneration   uint64  `json:"lowest_generation"`
	HighestGeneration  uint64  `json:"highest_generation"`
	PlatformReachable  bool    `json:"platform_reachable"`
	PlatformAgeSeconds float64 `json:"platform_age_seconds"`
}

type vmReport struct {
	VM         string `json:"vm"`
	Place      string `json:"place"`
	State      string `json:"state"`
	Generation uint64 `json:"generation"`
	Control    string `json:"control"`
	// Answered reports that the figures are from the balancer itself. Otherwise they are
	// from fleetReport.Balancer, and Generation lags by up to one state exchange between members
	// (10 s).
	Answered        bool    `json:"answered"`
	Problem         string  `json:"problem,omitempty"`
	HeardAgeSeconds float64 `json:"heard_age_seconds"`
}

type poolReport struct {
	Pool      string `json:"pool"`
	Service   string `json:"service"`
	Targets   int    `json:"targets"`
	OpenFlows uint64 `json:"open_flows"`
	// Imbalance is the largest number of open flows at a target divided by the mean, over the
	// targets that are neither draining nor unhealthy. It is 0 without flows.
	Imbalance float64 `json:"imbalance"`
	// States is the number of targets by state.
	States map[string]int `json:"states"`
}

type targetReport struct {
	Target    string `json:"target"`
	Pool      string `json:"pool"`
	Service   string `json:"service"`
	OpenFlows uint64 `json:"open_flows"`
	// State is the most restrictive state that a balancer reports. Reporters is the number of
	// balancers that report it.
	State      string  `json:"state"`
	Reporters  int     `json:"reporters"`
	Reason     string  `json:"reason,omitempty"`
	AgeSeconds float64 `json:"age_seconds"`
}

type alarmReport struct {
	VM   string `json:"vm"`
	Text string `json:"text"`
}

// statesByRestriction lists the states of a target, least restrictive first.
var statesByRestriction = []string{"serving", "cold", "full", "shedding", "unhealthy", "draining"}

// newFleetReport merges the responses of the balancers. The member list is from the first.
func newFleetReport(first *wire.StatusResponse, peers peerResponses) *fleetReport {
	responses := map[string]*wire.StatusResponse{first.Vm: first}
	maps.Copy(responses, peers.responses)
	r := &fleetReport{
		Balancer: first.Vm, Generation: first.Generation, Digest: hex.EncodeToString(first.Digest), Answers: len(responses),
		Places: []placeReport{}, VMs: []vmReport{}, Pools: []poolReport{}, Targets: []targetReport{}, Alarms: []alarmReport{}, Attention: []string{},
		Counters: map[string]uint64{},
	}
	for _, m := range first.Members {
		r.addVM(m, responses[m.Vm], peers.failures[m.Vm])
	}
	targets := map[string]*targetReport{}
	for _, vm := range slices.Sorted(maps.Keys(responses)) {
		r.FlowEntries += responses[vm].Flows
		for name, value := range responses[vm].Counters {
			r.Counters[name] += value
		}
		for _, text := range responses[vm].Alarms {
			r.Alarms = append(r.Alarms, alarmReport{VM: vm, Text: text})
		}
		for _, t := range responses[vm].Targets {
			mergeTarget(targets, t)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		r.Targets = append(r.Targets, *targets[name])
	}
	r.addPlaces(responses)
	r.addPools()
	r.addAttention()
	return r
}

func (r *fleetReport) addVM(m *wire.Member, response *wire.StatusResponse, failure error) {
	vm := vmReport{VM: m.Vm, Place: m.Place, State: stateName(m.State), Generation: m.Generation, Control: m.Control, HeardAgeSeconds: m.HeardAgeSeconds}
	if response != nil {
		vm.Generation, vm.Answered = response.Generation, true
	}
	if failure != nil {
		vm.Problem = "does not answer: " + failure.Error()
	}
	if isLive(m) {
		r.Generation = max(r.Generation, vm.Generation)
	}
	r.VMs = append(r.VMs, vm)
}

func mergeTarget(targets map[string]*targetReport, t *wire.TargetStatus) {
	merged := targets[t.Target]
	if merged == nil {
		merged = &targetReport{Target: t.Target, Pool: t.Pool, Service: t.Service, State: statesByRestriction[0], AgeSeconds: -1}
		targets[t.Target] = merged
	}
	merged.OpenFlows += t.OpenFlows
	if t.AgeSeconds >= 0 && (merged.AgeSeconds < 0 || t.AgeSeconds < merged.AgeSeconds) {
		merged.AgeSeconds = t.AgeSeconds
	}
	currentRank, reportedRank := slices.Index(statesByRestriction, merged.State), slices.Index(statesByRestriction, t.State)
	if reportedRank > currentRank {
		merged.State, merged.Reason, merged.Reporters = t.State, t.Reason, 0
	}
	if reportedRank >= currentRank {
		merged.Reporters++
	}
}

func (r *fleetReport) addPlaces(responses map[string]*wire.StatusResponse) {
	places := map[string]*placeReport{}
	for _, vm := range r.VMs {
		p := places[vm.Place]
		if p == nil {
			p = &placeReport{Place: vm.Place, PlatformAgeSeconds: -1}
			places[vm.Place] = p
		}
		p.addVM(vm, responses[vm.VM])
	}
	for _, name := range slices.Sorted(maps.Keys(places)) {
		r.Places = append(r.Places, *places[name])
	}
}

func (p *placeReport) addVM(vm vmReport, response *wire.StatusResponse) {
	switch vm.State {
	case "dead":
		p.Dead++
		return
	case "left":
		return
	case "suspect":
		p.Suspected++
	case "leaving":
		p.Leaving++
	}
	p.Live++
	if p.Live == 1 || vm.Generation < p.LowestGeneration {
		p.LowestGeneration = vm.Generation
	}
	p.HighestGeneration = max(p.HighestGeneration, vm.Generation)
	if response == nil {
		return
	}
	// The most recent contact in the place counts, because balancers that do not read the
	// platform themselves last contacted it long ago.
	if age := response.PlatformAgeSeconds; age >= 0 && (p.PlatformAgeSeconds < 0 || age < p.PlatformAgeSeconds) {
		p.PlatformAgeSeconds, p.PlatformReachable = age, response.PlatformReachable
	}
}

func (r *fleetReport) addPools() {
	pools := map[string]*poolReport{}
	maxOpenFlows, inServiceFlows := map[string]uint64{}, map[string]uint64{}
	for _, t := range r.Targets {
		p := pools[t.Pool]
		if p == nil {
			p = &poolReport{Pool: t.Pool, Service: t.Service, States: map[string]int{}}
			pools[t.Pool] = p
		}
		p.Targets++
		p.States[t.State]++
		p.OpenFlows += t.OpenFlows
		if t.State != "draining" && t.State != "unhealthy" {
			maxOpenFlows[t.Pool] = max(maxOpenFlows[t.Pool], t.OpenFlows)
			inServiceFlows[t.Pool] += t.OpenFlows
		}
	}
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		p := pools[name]
		if flows := inServiceFlows[name]; flows > 0 {
			targets := p.Targets - p.States["draining"] - p.States["unhealthy"]
			p.Imbalance = float64(maxOpenFlows[name]) * float64(targets) / float64(flows)
		}
		r.Pools = append(r.Pools, *p)
	}
}

// addAttention lists the conditions that need an operator's attention.
func (r *fleetReport) addAttention() {
	r.addAlarmAttention()
	for _, vm := range r.VMs {
		switch {
		case vm.Problem != "":
			r.attentionf("%s: %s", vm.VM, vm.Problem)
		case vm.State == "suspect" || vm.State == "dead":
			r.attentionf("%s: is %s, last heard %s", vm.VM, vm.State, formatAge(vm.HeardAgeSeconds))
		case vm.Answered && vm.Generation < r.Generation:
			r.attentionf("%s: has generation %d, the fleet has %d", vm.VM, vm.Generation, r.Generation)
		}
	}
	for _, p := range r.Places {
		if p.Live > 0 && !p.PlatformReachable && p.PlatformAgeSeconds >= 0 {
			r.attentionf("place %s: does not reach the platform, last answer %s", cmp.Or(p.Place, "unknown"), formatAge(p.PlatformAgeSeconds))
		}
	}
	for _, p := range r.Pools {
		if p.States["draining"]+p.States["unhealthy"] == p.Targets {
			r.attentionf("pool %s: no target takes new flows by choice", p.Pool)
		}
	}
}

// addAlarmAttention lists each alarm once, with the balancers that raise it.
func (r *fleetReport) addAlarmAttention() {
	var texts []string
	raisedBy := map[string][]string{}
	for _, a := range r.Alarms {
		if raisedBy[a.Text] == nil {
			texts = append(texts, a.Text)
		}
		raisedBy[a.Text] = append(raisedBy[a.Text], a.VM)
	}
	for _, text := range texts {
		r.attentionf("%s: %s", joinLimited(raisedBy[text]), text)
	}
}

func (r *fleetReport) attentionf(format string, args ...any) {
	r.Attention = append(r.Attention, fmt.Sprintf(format, args...))
}
