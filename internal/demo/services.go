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
	// maxQueuePerTarget is the number of requests that a target queues before it sheds load.
	maxQueuePerTarget = 100
	targetGracePeriod = 3 * time.Second
	// responseTimeout is short, so that a demo with broken flows still ends within a minute.
	responseTimeout = 6 * time.Second
	// callerConcurrency limits the requests in progress of one caller.
	callerConcurrency = 16
)

// service is a service with its running targets and callers.
type service struct {
	workload
	targets  map[string]*target.Target
	callers  []*caller.Caller
	sessions []*caller.Session

	mu       sync.Mutex
	draining map[string]bool
	// imbalanceRatios are samples of the ratio of maximum to mean open flows per target.
	imbalanceRatios []float64
}

// services holds all services with their targets and callers.
type services struct {
	list        []*service
	attachments []*fabric.Attachment
	targetGroup errgroup.Group
	stopTargets context.CancelFunc
	healthGroup errgroup.Group
	stopHealth  context.CancelFunc
}

// startServices starts the targets of a configuration and sets their health endpoints in it.
func startServices(u users, fabricAddress string, set *objects.Set) (*services, error) {
	all := &services{}
	targetCtx, stopTargets := context.WithCancel(context.Background())
	healthCtx, stopHealth := context.WithCancel(context.Background())
	all.stopTargets, all.stopHealth = stopTargets, stopHealth
	attachments, err := all.attachPlaces(fabricAddress, set.Targets)
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
		instance, err := target.New(attachments[object.Place], byPool[object.Pool].targetOptions(*object))
		if err != nil {
			return all, err
		}
		byPool[object.Pool].targets[object.Name] = instance
		all.targetGroup.Go(func() error { return instance.Run(targetCtx) })
		address, err := serve(healthCtx, &all.healthGroup, instance.Handler())
		if err != nil {
			return all, err
		}
		object.Health = address.String()
	}
	return all, nil
}

// attachPlaces attaches the addresses of the targets to the fabric, with one
// attachment per place.
func (all *services) attachPlaces(fabricAddress string, targets []objects.Target) (map[string]*fabric.Attachment, error) {
	addresses := map[string][]netip.Addr{}
	for _, t := range targets {
		addresses[t.Place] = append(addresses[t.Place], t.Address)
	}
	attachments := map[string]*fabric.Attachment{}
	for place, placeAddresses := range addresses {
		a, err := all.attach(fabricAddress, place, placeAddresses)
		if err != nil {
			return nil, err
		}
		attachments[place] = a
	}
	return attachments, nil
}

func (all *services) attach(fabricAddress, place string, addresses []netip.Addr) (*fabric.Attachment, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	a, err := fabric.Attach(ctx, fabricAddress, place, addresses)
	if err == nil {
		all.attachments = append(all.attachments, a)
	}
	return a, err
}

func (s *service) targetOptions(t objects.Target) target.Options {
	return target.Options{
		Name: t.Name, Service: s.workload.service.Name, Endpoint: netip.AddrPortFrom(t.Address, t.Port),
		Slots: int(s.pool.Slots), MaxConnections: int(s.pool.Connections), MaxQueued: maxQueuePerTarget, GracePeriod: targetGracePeriod,
	}
}

// addCallers adds one caller per service and place.
func (all *services) addCallers(places []string, fabricAddress string) error {
	for i, s := range all.list {
		for j, place := range places {
			address := netip.AddrFrom4([4]byte{10, 9, byte(i + 1), byte(j + 1)})
			a, err := all.attach(fabricAddress, place, []netip.Addr{address})
			if err != nil {
				return err
			}
			s.addCaller(caller.New(a, caller.Options{
				Address: address, Service: s.workload.service.Name, Endpoint: s.endpoint(),
				RequestIDPrefix: fmt.Sprintf("%s-%d", s.workload.service.Name, j+1), ResponseTimeout: responseTimeout,
			}), j, len(places))
		}
	}
	return nil
}

// addCaller adds a caller with its share of the load of the service.
func (s *service) addCaller(c *caller.Caller, index, count int) {
	share := func(whole int) int { return whole*(index+1)/count - whole*index/count }
	s.callers = append(s.callers, c)
	s.sessions = append(s.sessions, caller.NewSession(c, caller.SessionOptions{
		Request: s.requestOptions, Concurrency: callerConcurrency, Rate: s.requestRate / float64(count),
		Feeds: share(s.feedCount), IdleFeeds: share(s.idleFeedCount), FeedInterval: s.messageInterval,
	}))
}

// runSessions runs all sessions until ctx ends and their requests in progress are completed.
func (all *services) runSessions(ctx context.Context) {
	var group sync.WaitGroup
	for _, s := range all.list {
		for _, session := range s.sessions {
			group.Go(func() { session.Run(ctx) })
		}
	}
	group.Wait()
}

// ready reports whether all feeds are open.
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

// stop stops the targets gracefully. It returns an error if a target interrupted
// requests in progress.
func (all *services) stop() error {
	all.stopTargets()
	return all.targetGroup.Wait()
}

// close stops the health endpoints and closes the attachments to the fabric.
func (all *services) close() error {
	all.stopHealth()
	err := all.healthGroup.Wait()
	for _, a := range all.attachments {
		_ = a.Close() // no more packets are sent
	}
	return err
}

// report returns the sum of the reports of the callers.
func (s *service) report() caller.Report {
	sum := s.callers[0].Report()
	for _, c := range s.callers[1:] {
		sum = sum.Add(c.Report())
	}
	return sum
}

// markDraining marks a target as draining, which excludes it from the imbalance samples.
func (s *service) markDraining(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining[name] = true
}

// sampleImbalance records the ratio of maximum to mean open flows per target,
// without draining targets. It records nothing when no flow is open.
func (s *service) sampleImbalance() {
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
		s.imbalanceRatios = append(s.imbalanceRatios, float64(highest*count)/float64(sum))
	}
}
