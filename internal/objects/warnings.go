package objects

import (
	"fmt"
	"strings"
)

// Warnings lists what is legal but risky in a checked set, one line each.
func Warnings(set Set) []string {
	var warnings []string
	serviceOf := ServiceOfPool(set)
	for _, p := range set.Pools {
		service, used := serviceOf[p.Name]
		if !used {
			warnings = append(warnings, fmt.Sprintf("pool %s: no service uses it", p.Name))
			continue
		}
		warnings = append(warnings, poolWarnings(set, p.Name, service.Name)...)
	}
	return warnings
}

func poolWarnings(set Set, pool, service string) []string {
	all, serving := map[string]int{}, map[string]int{}
	total, totalServing := 0, 0
	for _, t := range set.Targets {
		if t.Pool != pool {
			continue
		}
		all[t.Place]++
		total++
		if !t.Drain {
			serving[t.Place]++
			totalServing++
		}
	}
	if total == 0 {
		return []string{fmt.Sprintf("pool %s: has no target; service %s refuses every new flow", pool, service)}
	}
	if totalServing == 0 {
		return []string{fmt.Sprintf("pool %s: the last target drains; service %s refuses every new flow", pool, service)}
	}
	var none, draining []string
	for _, place := range set.Places {
		if all[place.Name] == 0 {
			none = append(none, place.Name)
		} else if serving[place.Name] == 0 {
			draining = append(draining, place.Name)
		}
	}
	var warnings []string
	if len(none) > 0 {
		warnings = append(warnings, fmt.Sprintf("pool %s: has no target in %s; %s has no service %s while cut off", pool, strings.Join(none, ", "), them(none), service))
	}
	if len(draining) > 0 {
		warnings = append(warnings, fmt.Sprintf("pool %s: the last target in %s drains; %s takes no new flow of service %s while cut off", pool, strings.Join(draining, ", "), them(draining), service))
	}
	return warnings
}

func them(places []string) string {
	if len(places) == 1 {
		return "that place"
	}
	return "each of these places"
}

// ChangeWarnings lists what is legal but risky about replacing one set by another.
func ChangeWarnings(before, after Set) []string {
	owner := map[string]string{}
	for _, s := range before.Services {
		owner[s.Frontend()] = s.Name
	}
	var warnings []string
	for _, s := range after.Services {
		if was := owner[s.Frontend()]; was != "" && was != s.Name {
			warnings = append(warnings, fmt.Sprintf("service %s: takes over %s from service %s; established flows of %s at that address end", s.Name, s.Frontend(), was, was))
		}
	}
	return warnings
}

// ServiceOfPool maps each pool that serves a service to that service.
func ServiceOfPool(set Set) map[string]Service {
	services := make(map[string]Service, len(set.Services))
	for _, s := range set.Services {
		services[s.Pool] = s
	}
	return services
}
