package objects

import (
	"fmt"
	"strings"
)

// Warnings describes valid but risky properties of a validated set, one line each.
func Warnings(set Set) []string {
	var warnings []string
	services := ServicesByPool(set)
	for _, p := range set.Pools {
		service, used := services[p.Name]
		if !used {
			warnings = append(warnings, fmt.Sprintf("pool %s: is not used by any service", p.Name))
			continue
		}
		warnings = append(warnings, poolWarnings(set, p.Name, service.Name)...)
	}
	return warnings
}

func poolWarnings(set Set, pool, service string) []string {
	targetCount, activeCount := map[string]int{}, map[string]int{}
	totalTargets, totalActive := 0, 0
	for _, t := range set.Targets {
		if t.Pool != pool {
			continue
		}
		targetCount[t.Place]++
		totalTargets++
		if !t.Drain {
			activeCount[t.Place]++
			totalActive++
		}
	}
	if totalTargets == 0 {
		return []string{fmt.Sprintf("pool %s: has no target; service %s rejects all new flows", pool, service)}
	}
	if totalActive == 0 {
		return []string{fmt.Sprintf("pool %s: all targets are draining; service %s rejects all new flows", pool, service)}
	}
	var withoutTargets, draining []string
	for _, place := range set.Places {
		if targetCount[place.Name] == 0 {
			withoutTargets = append(withoutTargets, place.Name)
		} else if activeCount[place.Name] == 0 {
			draining = append(draining, place.Name)
		}
	}
	var warnings []string
	if len(withoutTargets) > 0 {
		warnings = append(warnings, fmt.Sprintf("pool %s: has no target in %s; a network partition that isolates %s makes service %s unavailable there", pool, strings.Join(withoutTargets, ", "), placesPhrase(withoutTargets), service))
	}
	if len(draining) > 0 {
		warnings = append(warnings, fmt.Sprintf("pool %s: all targets in %s are draining; a network partition that isolates %s prevents new flows of service %s there", pool, strings.Join(draining, ", "), placesPhrase(draining), service))
	}
	return warnings
}

func placesPhrase(places []string) string {
	if len(places) == 1 {
		return "that place"
	}
	return "one of these places"
}

// ChangeWarnings describes valid but risky effects of replacing one set by another: a
// frontend that moves to another service loses its established flows.
func ChangeWarnings(before, after Set) []string {
	serviceByFrontend := map[string]string{}
	for _, s := range before.Services {
		serviceByFrontend[s.Frontend()] = s.Name
	}
	var warnings []string
	for _, s := range after.Services {
		if previous := serviceByFrontend[s.Frontend()]; previous != "" && previous != s.Name {
			warnings = append(warnings, fmt.Sprintf("service %s: takes over frontend %s from service %s; established flows of %s at this frontend end", s.Name, s.Frontend(), previous, previous))
		}
	}
	return warnings
}

// ServicesByPool maps the name of each pool that a service uses to that service.
func ServicesByPool(set Set) map[string]Service {
	services := make(map[string]Service, len(set.Services))
	for _, s := range set.Services {
		services[s.Pool] = s
	}
	return services
}
