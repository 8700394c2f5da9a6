package demo

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/standin/caller"
	"github.com/kumquatworks/kumquatworks/internal/standin/fabric"
	"github.com/kumquatworks/kumquatworks/internal/standin/target"
)

const (
	// queuePerTarget is how many requests may wait at a target before it sheds.
	queuePerTarget = 100
	targetGrace    = 3 * time.Second
	// answerTimeout is short enough that a demo with broken flows ends within a minute.
	answerTimeout = 6 * time.Second
	// concurrency bounds the requests in progress of one caller.
	concurrency = 16
)

// service is one service with its running targets and callers.
type service struct {
	workload
	targets  map[string]*target.Target
	callers  []*caller.Caller
	sessions []*caller.Session

	mu       sync.Mutex
	draining map[string]bool
	// ratios are the samples of highest over mean of open flows per target.
	ratios []float64
}

// services are all services with their targets and callers.
type services struct {
	list        []*service
	attachments []*fabric.Attachment
	group       errgroup.Group
	stopTargets context.CancelFunc
	webGroup    errgroup.Group
	stopWeb     context.CancelFunc
}

// startServices starts the targets of a configuration and fills in their health endpoints.
func startServices(u users, carrier string, set *objects.Set) (*services, error) {
	all := &services{}
	serving, stop := context.WithCancel(context.Background())
	web, stopWeb := context.WithCancel(context.Background())
	all.stopTargets, all.stopWeb = stop, stopWeb
	attached, err := all.attachPlaces(carrier, set.Targets)
	if err != nil {
		return all, err
	}
	byPool := map[string]*service{}
	for _, w := range u.workloads {
		s := &service{workload: w, targets: map[string]*target.Target{}, draining: map[string]bool{}}
		all.list = append(all.list, s)
		byPool[w.pool.Name] = s
	}
	for i := range set.Targets {
		object := &set.Targets[i]
		running, err := target.New(attached[object.Place], byPool[object.Pool].targetOptions(*object))
		if err != nil {
			return all, err
		}
		byPool[object.Pool].targets[object.Name] = running
		all.group.Go(func() error { return running.Run(serving) })
		address, err := serve(web, &all.webGroup, running.Handler())
		if err != nil {
			return all, err
		}
		object.Health = address.String()
	}
	return all, nil
}

// attachPlaces attaches the addresses of the targets to the fabric, those of one place together.
func (all *services) attachPlaces(carrier string, targets []objects.Target) (map[string]*fabric.Attachment, error) {
	addresses := map[string][]netip.Addr{}
	for _, t := range targets {
		addresses[t.Place] = append(addresses[t.Place], t.Address)
	}
	attached := map[string]*fabric.Attachment{}
	for place, list := range addresses {
		a, err := all.attach(carrier, place, list)
		if err != nil {
			return nil, err
		}
		attached[place] = a
	}
	return attached, nil
}

func (all *services) attach(carrier, place string, addresses []netip.Addr) (*fabric.Attachment, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyLimit)
	defer cancel()
	a, err := fabric.Attach(ctx, carrier, place, addresses)
	if err == nil {
		all.attachments = append(all.attachments, a)
	}
	return a, err
}

func (s *service) targetOptions(t objects.Target) target.Options {
	return target.Options{
		Name: t.Name, Service: s.workload.service.Name, Endpoint: netip.AddrPortFrom(t.Address, t.Port),
		Slots: int(s.pool.Slots), MaxConnections: int(s.pool.Connections), MaxQueued: queuePerTarget, GracePeriod: targetGrace,
	}
}

// addCallers adds a caller of every service in every place.
func (all *services) addCallers(places []string, carrier string) error {
	for i, s := range all.list {
		for j, place := range places {
			address := netip.AddrFrom4([4]byte{10, 9, byte(i + 1), byte(j + 1)})
			a, err := all.attach(carrier, place, []netip.Addr{address})
			if err != nil {
				return err
			}
			s.addCaller(caller.New(a, caller.Options{
				Address: address, Service: s.workload.service.Name, Endpoint: s.endpoint(),
				RequestIDPrefix: fmt.Sprintf("%s-%d", s.workload.service.Name, j+1), ResponseTimeout: answerTimeout,
			}), j, len(places))
		}
	}
	return nil
}

// addCaller gives a caller its part of the load.
func (s *service) addCaller(c *caller.Caller, index, count int) {
	part := func(whole int) int { return whole*(index+1)/count - whole*index/count }
	s.callers = append(s.callers, c)
	s.sessions = append(s.sessions, caller.NewSession(c, caller.SessionOptions{
		Request: s.work, Concurrency: concurrency, Rate: s.rate / float64(count),
		Feeds: part(s.feeds), IdleFeeds: part(s.idleFeeds), FeedInterval: s.interval,
	}))
}

// run runs all sessions until ctx ends and the work in progress is completed.
func (all *services) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, s := range all.list {
		for _, session := range s.sessions {
			group.Go(func() { session.Run(ctx) })
		}
	}
	group.Wait()
}

// ready reports whether all feeds were opened.
func (all *services) ready() bool {
	for _, s := range all.list {
		for _, session := range s.sessions {
			if !session.Ready() {
				return false
			}
		}
	}
	return true
}

// stop stops the targets gracefully. It fails when one interrupts work in progress.
func (all *services) stop() error {
	all.stopTargets()
	return all.group.Wait()
}

// close ends the health endpoints and the attachments.
func (all *services) close() error {
	all.stopWeb()
	err := all.webGroup.Wait()
	for _, a := range all.attachments {
		_ = a.Close() // nothing is sent any more
	}
	return err
}

// report sums the reports of the callers.
func (s *service) report() caller.Report {
	sum := s.callers[0].Report()
	for _, c := range s.callers[1:] {
		sum = sum.Add(c.Report())
	}
	return sum
}

// drain notes that a target drains, which takes it out of the imbalance.
func (s *service) drain(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining[name] = true
}

// sample notes highest over mean of open flows per target, without those that
// drain. Nothing is noted when no flow is open.
func (s *service) sample() {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum, highest, count := 0, 0, 0
	for name, t := range s.targets {
		if s.draining[name] {
			continue
		}
		open := t.OpenConnections()
		sum += open
		highest = max(highest, open)
		count++
	}
	if sum > 0 {
		s.ratios = append(s.ratios, float64(highest*count)/float64(sum))
	}
}
