package publish

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// StalenessBound is how long a balancer that left must have been silent before
// its old configuration no longer counts. It is twice the 30 s by which the VM
// list may lag, after which the fleet calls a balancer that the list lacks left.
const SilenceTimeout = 60 * time.Second

// Member is one balancer as another balancer reports it.
type Member struct {
	VM string
	// Live is set for members that are alive, suspected or leaving.
	Live bool
	// Left is set for members that the fleet found to have left, not merely to be dead.
	Left bool
	// Generation is the highest generation that the member acknowledged.
	Generation uint64
	// HeardAgo is the time since the member was last heard of.
	HeardAge time.Duration
}

// Fleet is what one balancer and the VM list tell about the balancers.
type Fleet struct {
	// Known is set when both the balancer and the VM list answered.
	Available bool
	Members   []Member
	VMs       []platform.VM
}

// Highest returns the highest generation that a member acknowledged.
func (f Fleet) HighestGeneration() uint64 {
	var highest uint64
	for _, m := range f.Members {
		highest = max(highest, m.Generation)
	}
	return highest
}

// behind tells in words which balancers may still use the configuration before
// a generation, and how long to wait for those that are gone.
func (f Fleet) waitReasons(generation uint64) []string {
	if !f.Available {
		return []string{"no balancer and VM list answered, so it is not known which balancers still use the old configuration; repeat when --balancer and the platform answer"}
	}
	listed := map[string]bool{}
	for _, vm := range f.VMs {
		listed[vm.Name] = true
	}
	var reasons []string
	for _, m := range f.Members {
		if m.Generation < generation {
			reasons = append(reasons, m.waitReasons(generation, listed[m.VM])...)
		}
		delete(listed, m.VM)
	}
	for vm := range listed {
		reasons = append(reasons, fmt.Sprintf("balancer %s is on the VM list but unknown to the fleet; wait until it reports generation %d or leaves the VM list", vm, generation))
	}
	sort.Strings(reasons)
	return reasons
}

func (m Member) waitReasons(generation uint64, listed bool) []string {
	switch {
	case m.Live:
		return []string{fmt.Sprintf("balancer %s has generation %d in force; wait until it reports %d, normally within 5 s", m.VM, m.Generation, generation)}
	case listed:
		return []string{fmt.Sprintf("balancer %s is not reachable with generation %d and still on the VM list; wait until it comes back or leaves the VM list, and then %s", m.VM, m.Generation, SilenceTimeout)}
	case !m.Left:
		return []string{fmt.Sprintf("balancer %s is dead with generation %d and not on the VM list; wait until status shows it as left, normally 30 s after it left the list", m.VM, m.Generation)}
	case m.HeardAge < SilenceTimeout:
		return []string{fmt.Sprintf("balancer %s left with generation %d; wait %s more", m.VM, m.Generation, (SilenceTimeout - m.HeardAge).Round(time.Second))}
	}
	return nil
}

// joinSome joins the first lines and counts the rest, so that a message about 800 balancers stays readable.
func joinFirst(lines []string, limit int) string {
	if len(lines) <= limit {
		return strings.Join(lines, "; ")
	}
	return fmt.Sprintf("%s; and %d more", strings.Join(lines[:limit], "; "), len(lines)-limit)
}
