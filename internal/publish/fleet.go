package publish

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/platform"
)

// SilenceTimeout is the time after which publishing assumes that a balancer in state left no
// longer uses its configuration, counted from when the balancer was last heard of. It is
// twice the 30 s by which the VM list may lag. A balancer that is missing from the list for
// 30 s is declared left.
const SilenceTimeout = 60 * time.Second

// Member is the state of one balancer as reported by another balancer.
type Member struct {
	VM string
	// Live is true for members in state alive, suspect or leaving.
	Live bool
	// Left is true for members in state left. Members that are only declared dead may return.
	Left bool
	// Generation is the highest generation that the member has acknowledged.
	Generation uint64
	// HeardAge is the time since the member was last heard of.
	HeardAge time.Duration
}

// Fleet combines the member list of one balancer with the VM list of the platform.
type Fleet struct {
	// Available is true when both the balancer and the platform responded.
	Available bool
	Members   []Member
	VMs       []platform.VM
}

// HighestGeneration returns the highest generation that any member has acknowledged.
func (f Fleet) HighestGeneration() uint64 {
	var highest uint64
	for _, m := range f.Members {
		highest = max(highest, m.Generation)
	}
	return highest
}

// waitReasons describes the balancers that may still use a configuration older than a
// generation, and until when to wait for each. It returns nil if there are none.
func (f Fleet) waitReasons(generation uint64) []string {
	if !f.Available {
		return []string{"the balancers or the VM list could not be read, so it is not known which balancers still use the old configuration; repeat when a balancer of --balancer and the platform respond"}
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

// waitReasons returns at most one reason, for a member whose generation is older than
// generation. listed reports whether the member is on the VM list.
func (m Member) waitReasons(generation uint64, listed bool) []string {
	switch {
	case m.Live:
		return []string{fmt.Sprintf("balancer %s has generation %d in force; wait until it reports %d, normally within 5 s", m.VM, m.Generation, generation)}
	case listed:
		return []string{fmt.Sprintf("balancer %s is not reachable with generation %d and still on the VM list; wait until it is reachable again, or until it has left the VM list and then %s more", m.VM, m.Generation, SilenceTimeout)}
	case !m.Left:
		return []string{fmt.Sprintf("balancer %s is dead with generation %d and not on the VM list; wait until status shows it as left, normally 30 s after it left the list", m.VM, m.Generation)}
	case m.HeardAge < SilenceTimeout:
		return []string{fmt.Sprintf("balancer %s left with generation %d; wait %s more", m.VM, m.Generation, (SilenceTimeout - m.HeardAge).Round(time.Second))}
	}
	return nil
}

// joinFirst joins the first lines up to limit and counts the others, so that a message about
// 800 balancers stays readable.
func joinFirst(lines []string, limit int) string {
	if len(lines) <= limit {
		return strings.Join(lines, "; ")
	}
	return fmt.Sprintf("%s; and %d more", strings.Join(lines[:limit], "; "), len(lines)-limit)
}
