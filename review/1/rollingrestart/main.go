//go:build review

// Command rollingrestart plays review case 1: balancers of a small deployment are stopped and
// started in turn while the operator changes the configuration in quick succession. It then
// checks at each balancer that dropped routes are not served and that routes in force are.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/kumquatworks/kumquatworks/review/harness"
)

const (
	service = "bookdesk"
	rounds  = 4
	// changeInterval and changeCount are those of config_storm in the site file: a change every
	// 0.33 s for 4 s.
	changeInterval = 330 * time.Millisecond
	changeCount    = 12
	// restartInterval is gap_s of the roll_term in the list of troubles of the site file.
	restartInterval = 1300 * time.Millisecond
	// changesDelay is the time from the first SIGTERM until the changes begin: a balancer takes
	// 1.5 s to leave and is started again 0.6 s later.
	changesDelay = 2 * time.Second
	// attemptsPerRoute allows for packets that are lost.
	attemptsPerRoute = 3
)

// Names and zones of the seven machines of gldhg-lb.
var machines = []struct{ name, zone string }{
	{"front-detroit-1", "detroit"}, {"front-detroit-2", "detroit"}, {"front-detroit-3", "detroit"},
	{"front-cleveland-1", "cleveland"}, {"front-cleveland-2", "cleveland"},
	{"front-toronto-1", "toronto"}, {"front-toronto-2", "toronto"},
}

// restarted are the machines that are stopped and started in turn. Three of seven are a share of 0.43; the
// entry in the site file has 0.45.
var restarted = []string{"front-detroit-1", "front-toronto-1", "front-detroit-3"}

func main() { harness.Main(run) }

func run(f *harness.Fleet) (violations int, err error) {
	always, sometimes := harness.RouteTo("always", service, 1), harness.RouteTo("sometimes", service, 2)
	version := 1
	f.Publish(version, always, sometimes)
	for i := range 4 {
		if _, err := f.AddTarget(service, machines[2*i].zone, nil); err != nil {
			return 0, err
		}
	}
	for _, m := range machines {
		if err := f.StartBalancer(m.name, m.zone); err != nil {
			return 0, err
		}
	}
	time.Sleep(harness.Contact + harness.ConfigApply)
	for round := range rounds {
		f.Record("round %d", round+1)
		dropped, err := changeAndRestart(f, &version, always, sometimes)
		if err != nil {
			return violations, err
		}
		time.Sleep(harness.Contact + harness.ConfigApply + harness.Margin)
		f.Record("check: version %d was acked longer than config-apply-ms ago, all balancers are in touch", version)
		violations += check(f, []harness.Route{always, sometimes}, dropped)
	}
	return violations, nil
}

// changeAndRestart publishes configurations in quick succession while balancers are stopped
// and started in turn. It returns the routes that were added and dropped.
func changeAndRestart(f *harness.Fleet, version *int, always, sometimes harness.Route) (dropped []harness.Route, err error) {
	var group sync.WaitGroup
	failures := make(chan error, len(restarted))
	for i, name := range restarted {
		for _, b := range f.Balancers {
			if !f.Trouble || b.Name != name {
				continue
			}
			group.Go(func() {
				time.Sleep(time.Duration(i) * restartInterval)
				if err := f.Restart(b); err != nil {
					failures <- err
				}
			})
		}
	}
	time.Sleep(changesDelay)
	for i := range changeCount {
		*version++
		if i%2 == 0 {
			temporary := harness.RouteTo(fmt.Sprintf("temporary-%d", *version), service, 10+*version)
			dropped = append(dropped, temporary)
			f.Publish(*version, always, sometimes, temporary)
		} else {
			f.Publish(*version, always)
		}
		time.Sleep(changeInterval)
	}
	*version++
	f.Publish(*version, always, sometimes)
	group.Wait()
	select {
	case err := <-failures:
		return nil, err
	default:
	}
	for _, b := range f.Balancers {
		if err := f.WaitReady(b); err != nil {
			return nil, err
		}
	}
	return dropped, nil
}

// check sends requests through each balancer on all routes. It returns how often a route in
// force was not served or a dropped one was.
func check(f *harness.Fleet, inForce, dropped []harness.Route) (violations int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	report := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		violations++
		f.Record("BROKEN CONFIG: "+format, args...)
	}
	for _, b := range f.Balancers {
		group.Go(func() {
			for _, r := range inForce {
				if !served(f, b, r) {
					report("%s refuses the route %s, which is in force", b.Name, r.Name)
				}
			}
			for _, r := range dropped {
				if served(f, b, r) {
					report("%s serves the dropped route %s", b.Name, r.Name)
				}
			}
		})
	}
	group.Wait()
	return violations
}

// served reports whether a balancer serves a route.
func served(f *harness.Fleet, b *harness.Balancer, r harness.Route) bool {
	for i := range attemptsPerRoute {
		if f.Request(b, r, fmt.Sprintf("GET /%s/%s/%d", b.Name, r.Name, i)) {
			return true
		}
	}
	return false
}
