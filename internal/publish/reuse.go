package publish

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// servicesByAddress maps the address:port of each target to the service that forwards to it.
func servicesByAddress(set objects.Set) map[string]objects.Service {
	byPool := objects.ServicesByPool(set)
	byAddress := make(map[string]objects.Service, len(set.Targets))
	for _, t := range set.Targets {
		if service, ok := byPool[t.Pool]; ok {
			byAddress[t.Endpoint().String()] = service
		}
	}
	return byAddress
}

// sameService reports whether a service is the former service of a target address: it has
// the same name, or it was renamed and has the same frontend.
func sameService(formerName, formerFrontend string, service objects.Service) bool {
	return formerName == service.Name || formerFrontend == service.Frontend()
}

// checkAddressReuse returns one line for each target address that must not be used by
// another service yet. A balancer that still uses an old configuration would forward
// packets of the former service to a target of the new one.
func checkAddressReuse(retired []objects.RetiredAddress, before, after objects.Set, fleet Fleet) []string {
	servicesBefore, servicesAfter := servicesByAddress(before), servicesByAddress(after)
	var reasons []string
	for address, service := range servicesAfter {
		former, ok := servicesBefore[address]
		if ok && !sameService(former.Name, former.Frontend(), service) {
			reasons = append(reasons, fmt.Sprintf("target address %s moves from service %s to %s in one step; publish without it first, then add it to %s", address, former.Name, service.Name, service.Name))
		}
	}
	for _, r := range retired {
		service, used := servicesAfter[r.Address]
		if !used || sameService(r.Service, r.Frontend, service) {
			continue
		}
		if waitReasons := fleet.waitReasons(r.Generation); len(waitReasons) > 0 {
			reasons = append(reasons, fmt.Sprintf("target address %s served %s until generation %d and cannot serve %s yet: %s", r.Address, r.Service, r.Generation, service.Name, joinFirst(waitReasons, 5)))
		}
	}
	slices.Sort(reasons)
	return reasons
}

// nextRetired returns the removed addresses that the next head lists: those that this
// publish removes, and those removed earlier that a balancer may still use.
func nextRetired(retired []objects.RetiredAddress, before, after objects.Set, generation uint64, fleet Fleet) []objects.RetiredAddress {
	servicesAfter := servicesByAddress(after)
	releasedByGeneration := map[uint64]bool{}
	var next []objects.RetiredAddress
	for _, r := range retired {
		if _, used := servicesAfter[r.Address]; used {
			continue // used by the former service again, or by another if checkAddressReuse accepts that
		}
		released, cached := releasedByGeneration[r.Generation]
		if !cached {
			released = len(fleet.waitReasons(r.Generation)) == 0
			releasedByGeneration[r.Generation] = released
		}
		if !released {
			next = append(next, r)
		}
	}
	for address, service := range servicesByAddress(before) {
		if _, used := servicesAfter[address]; !used {
			next = append(next, objects.RetiredAddress{Address: address, Service: service.Name, Frontend: service.Frontend(), Generation: generation})
		}
	}
	slices.SortFunc(next, func(a, b objects.RetiredAddress) int {
		return cmp.Or(cmp.Compare(a.Generation, b.Generation), strings.Compare(a.Address, b.Address))
	})
	return next
}
