package publish

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/kumquatworks/kumquatworks/internal/objects"
)

// servedBy maps each target address:port to the service that forwards to it.
func servedBy(set objects.Set) map[string]objects.Service {
	services := objects.ServicesByPool(set)
	served := make(map[string]objects.Service, len(set.Targets))
	for _, t := range set.Targets {
		if service, ok := services[t.Pool]; ok {
			served[t.Endpoint().String()] = service
		}
	}
	return served
}

// sameService reports whether a service is the one that had an address before:
// it kept its name, or was renamed and kept its address.
func sameService(name, frontend string, service objects.Service) bool {
	return name == service.Name || frontend == service.Frontend()
}

// reuse tells which target addresses may not serve another service yet, one
// line each. A balancer that still uses the old configuration would send
// packets of the former service to the new one.
func reuse(retired []objects.RetiredAddress, before, after objects.Set, fleet Fleet) []string {
	was, is := servedBy(before), servedBy(after)
	var refusals []string
	for address, service := range is {
		old, ok := was[address]
		if ok && !sameService(old.Name, old.Frontend(), service) {
			refusals = append(refusals, fmt.Sprintf("target address %s moves from service %s to %s in one step; publish without it first, then add it to %s", address, old.Name, service.Name, service.Name))
		}
	}
	for _, r := range retired {
		service, used := is[r.Address]
		if !used || sameService(r.Service, r.Frontend, service) {
			continue
		}
		if behind := fleet.behind(r.Generation); len(behind) > 0 {
			refusals = append(refusals, fmt.Sprintf("target address %s served %s until generation %d and cannot serve %s yet: %s", r.Address, r.Service, r.Generation, service.Name, joinSome(behind, 5)))
		}
	}
	slices.Sort(refusals)
	return refusals
}

// retire returns the removed addresses that the next head lists: those that
// this publish removes, and earlier ones that a balancer could still use.
func retire(retired []objects.RetiredAddress, before, after objects.Set, generation uint64, fleet Fleet) []objects.RetiredAddress {
	is := servedBy(after)
	pastBy := map[uint64]bool{}
	var next []objects.RetiredAddress
	for _, r := range retired {
		if _, used := is[r.Address]; used {
			continue // of the same service again, or allowed to another
		}
		past, computed := pastBy[r.Generation]
		if !computed {
			past = len(fleet.behind(r.Generation)) == 0
			pastBy[r.Generation] = past
		}
		if !past {
			next = append(next, r)
		}
	}
	for address, service := range servedBy(before) {
		if _, used := is[address]; !used {
			next = append(next, objects.RetiredAddress{Address: address, Service: service.Name, Frontend: service.Frontend(), Generation: generation})
		}
	}
	slices.SortFunc(next, func(a, b objects.RetiredAddress) int {
		return cmp.Or(cmp.Compare(a.Generation, b.Generation), strings.Compare(a.Address, b.Address))
	})
	return next
}
