// Package feed lets balancers of a place follow one another instead of reading
// the platform. A balancer probes its parent by datagrams and fetches over Twirp
// what the answers show to be newer.
package feed

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/coordination/feed"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

const (
	// limitShare is the age from which data are too old, as a share of the time
	// within which a change must be in force. The rest is for reading by oneself.
	maxAgeShareOfBound = 0.8
	// probesPerLimit is how many probes fit into the limit, so that several may be lost.
	probesPerMaxAge = 7
	// membersInterval is the shortest pause between two readings of the list of
	// members. A balancer that is missing from a list reads the platform until the next one.
	minMembersInterval = 10 * time.Second
	// membersPause is the pause for each member of the last list. At about 150 bytes an
	// entry, long lists take 150 bytes a second of the 2 KB for control.
	membersIntervalPerMember = time.Second
	// membersFirst is the pause before the second reading. When a whole place starts,
	// the first one lists few members.
	firstMembersInterval = 2 * time.Second
	// membersRetry is the pause after a failed reading or registration.
	membersRetryDelay = 2 * time.Second
	// fetchTimeout bounds a request to a parent in the same place.
	fetchTimeout = time.Second
	// maxProbeBytes is more than any probe or answer takes.
	maxDatagramBytes = 256
	// readErrorPause keeps a broken socket from taking a whole core.
	readErrorDelay = 10 * time.Millisecond
)

// Directory is where the balancers of a place find one another.
type Directory interface {
	// Register enters this balancer, or confirms its entry.
	Register(ctx context.Context, m feed.Member) error
	// Members lists the balancers of the place.
	Members(ctx context.Context) ([]feed.Member, error)
}

// Options are the parameters of a service.
type Options struct {
	Self feed.Member
	// Bound is the time within which a change must be in force.
	PropagationBound time.Duration
	Core             *dsr.Dispatcher
	Directory        Directory
	// ReadRoutes reads the routes from the platform.
	ReadRoutes func(ctx context.Context) error
	Logger     log.Logger
}

// Service follows a parent and serves followers.
type Service struct {
	options  Options
	maxAge   time.Duration
	conn     *net.UDPConn
	listener net.Listener
	client   *http.Client

	mu            sync.Mutex
	follower      *feed.Follower
	parent        feed.Member
	probeSequence uint64
	// epoch and change are those of the parent's data that were applied last, and
	// readings the number of own readings before. A reading of its own may differ
	// from what the parent holds, so everything is fetched after it.
	parentEpoch          uint64
	parentChangeSequence uint64
	ownListings          uint64
	fetching             bool
	readsPlatform        bool
}

// New opens the sockets of a service.
func New(o Options) (*Service, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Self.Address))
	if err != nil {
		return nil, errors.Wrap(err, "feed datagrams")
	}
	o.Self.Address = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	listener, err := net.Listen("tcp4", o.Self.Address.String())
	if err != nil {
		_ = conn.Close() // the error that matters is the one of the listener
		return nil, errors.Wrap(err, "feed requests")
	}
	maxAge := time.Duration(maxAgeShareOfBound * float64(o.PropagationBound))
	return &Service{
		options:       o,
		maxAge:        maxAge,
		conn:          conn,
		listener:      listener,
		client:        &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		follower:      feed.NewFollower(o.Self.VM, maxAge),
		readsPlatform: true,
	}, nil
}

// Reads reports whether this balancer must read the platform by itself.
func (s *Service) MustReadPlatform() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	mustRead := s.follower.MustReadPlatform(time.Now())
	if mustRead != s.readsPlatform {
		s.readsPlatform = mustRead
		s.log(level.Info, "reading changed", "reads", mustRead, "parent", s.parent.VM)
	}
	return mustRead
}

// Run serves and follows until ctx ends.
func (s *Service) Run(ctx context.Context) {
	server := &http.Server{Handler: wire.NewFeedServer(&handler{core: s.options.Core}), ReadHeaderTimeout: fetchTimeout}
	go func() { _ = server.Serve(s.listener) }() // ends with ErrServerClosed at the end
	go s.receive(ctx)
	go s.pollMembers(ctx)
	ticker := time.NewTicker(s.maxAge / probesPerMaxAge)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = server.Close() // the process ends
			_ = s.conn.Close()
			return
		case <-ticker.C:
			s.sendProbe(time.Now())
		}
	}
}

// probe asks the parent how new its data are.
func (s *Service) sendProbe(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parent, ok := s.follower.Parent(now)
	if !ok {
		return
	}
	if parent != s.parent {
		s.log(level.Info, "parent changed", "parent", parent.VM, "before", s.parent.VM)
		s.parent = parent
	}
	s.follower.RecordProbe(now, parent)
	s.probeSequence++
	s.send(&wire.FeedProbe{Sequence: s.probeSequence}, kindProbe, parent.Address)
}

// Kinds of datagrams, in their first byte.
const (
	kindProbe = 'p'
	kindState = 's'
)

func (s *Service) send(m proto.Message, kind byte, to netip.AddrPort) {
	data, err := proto.MarshalOptions{}.MarshalAppend([]byte{kind}, m)
	if err == nil {
		_, err = s.conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		s.log(level.Warn, "datagram not sent", "to", to, "err", err)
	}
}

// receive handles datagrams until ctx ends.
func (s *Service) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log(level.Error, "datagrams not read", "err", err)
			time.Sleep(readErrorDelay)
			continue
		}
		if n > 0 {
			s.handleDatagram(ctx, time.Now(), buffer[0], buffer[1:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
	}
}

// handle answers a probe or takes an answer. Datagrams that cannot be read are ignored.
func (s *Service) handleDatagram(ctx context.Context, now time.Time, kind byte, data []byte, from netip.AddrPort) {
	switch kind {
	case kindProbe:
		var probe wire.FeedProbe
		if proto.Unmarshal(data, &probe) == nil {
			s.sendState(now, probe.GetSequence(), from)
		}
	case kindState:
		var state wire.FeedState
		if proto.Unmarshal(data, &state) == nil {
			s.handleState(ctx, now, &state, from)
		}
	}
}

// answer tells a follower how new the data are. A balancer without data stays silent.
func (s *Service) sendState(now time.Time, sequence uint64, to netip.AddrPort) {
	summary, ok := s.options.Core.Summary()
	if !ok {
		return
	}
	s.send(&wire.FeedState{
		Sequence:      sequence,
		RoutesVersion: summary.RoutesVersion,
		Epoch:         summary.Epoch,
		Change:        summary.ChangeSequence,
		AgeMs:         uint32(max(now.Sub(summary.AsOf), 0).Milliseconds()),
	}, kindState, to)
}

// heard takes the answer of the parent, and fetches what it shows to be newer.
func (s *Service) handleState(ctx context.Context, now time.Time, state *wire.FeedState, from netip.AddrPort) {
	ownSummary, _ := s.options.Core.Summary()
	s.mu.Lock()
	defer s.mu.Unlock()
	if from != s.parent.Address || state.GetSequence() != s.probeSequence || s.fetching {
		return
	}
	parent := s.parent
	asOf := now.Add(-time.Duration(state.GetAgeMs()) * time.Millisecond)
	newRoutes := state.GetRoutesVersion() > ownSummary.RoutesVersion
	if ownSummary.Listings != s.ownListings {
		s.parentEpoch, s.ownListings = 0, ownSummary.Listings
	}
	newTargets := state.GetEpoch() != s.parentEpoch || state.GetChange() != s.parentChangeSequence
	if !newRoutes && !newTargets {
		if ownSummary.RoutesVersion == state.GetRoutesVersion() {
			s.confirmAsOf(parent, asOf)
		}
		return // a parent with older routes lags behind and is not relied on
	}
	s.fetching = true
	go s.fetchFromParent(ctx, parent, asOf, newRoutes, newTargets)
}

// confirm notes that the data here are those of the parent. The caller holds mu.
func (s *Service) confirmAsOf(parent feed.Member, asOf time.Time) {
	s.follower.RecordAnswer(parent, asOf)
	s.options.Core.ConfirmAsOf(asOf)
}

// fetch reads what is newer at the parent.
func (s *Service) fetchFromParent(ctx context.Context, parent feed.Member, asOf time.Time, needRoutes, needTargets bool) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := wire.NewFeedProtobufClient("http://"+parent.Address.String(), s.client)
	var err error
	if needRoutes {
		err = s.fetchRoutes(ctx, client)
	}
	if needTargets && err == nil {
		err = s.fetchTargets(ctx, client)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetching = false
	if err != nil {
		s.log(level.Warn, "fetch failed", "parent", parent.VM, "err", err)
		return
	}
	s.confirmAsOf(parent, asOf)
}

func (s *Service) fetchRoutes(ctx context.Context, client wire.Feed) error {
	ownSummary, _ := s.options.Core.Summary()
	response, err := client.Routes(ctx, &wire.FeedRoutesRequest{AfterVersion: ownSummary.RoutesVersion})
	if err != nil {
		return errors.Wrap(err, "routes")
	}
	if response.GetReadPlatform() {
		return s.options.ReadRoutes(ctx)
	}
	delta, err := decodeRoutesDelta(ownSummary.RoutesVersion, response)
	if err != nil {
		return err
	}
	if !s.options.Core.ApplyRoutesDelta(delta) {
		return errors.New("the routes changed here meanwhile")
	}
	return nil
}

func (s *Service) fetchTargets(ctx context.Context, client wire.Feed) error {
	s.mu.Lock()
	request := &wire.FeedTargetsRequest{Epoch: s.parentEpoch, After: s.parentChangeSequence}
	s.mu.Unlock()
	response, err := client.Targets(ctx, request)
	if err != nil {
		return errors.Wrap(err, "targets")
	}
	delta, err := decodeTargetsDelta(response)
	if err != nil {
		return err
	}
	if !s.options.Core.ApplyDelta(time.Now(), delta) {
		return errors.New("the parent's reading is older than the one here")
	}
	s.mu.Lock()
	s.parentEpoch, s.parentChangeSequence = delta.Epoch, delta.ChangeSequence
	s.mu.Unlock()
	return nil
}

// followMembers registers this balancer and reads the list of members.
func (s *Service) pollMembers(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		interval, err := s.refreshMembers(ctx)
		if first {
			interval = firstMembersInterval
		}
		if err != nil && ctx.Err() == nil {
			s.log(level.Warn, "members not read", "err", err)
			interval = membersRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// membersWait is the pause after a list of the members. An old list only lets a
// balancer follow another one than the new list would, unless it is missing from it.
func nextMembersInterval(self string, members []feed.Member) time.Duration {
	if !slices.ContainsFunc(members, func(m feed.Member) bool { return m.VM == self }) {
		return minMembersInterval
	}
	return max(minMembersInterval, time.Duration(len(members))*membersIntervalPerMember)
}

// readMembers takes over the list of members and returns the pause until the next one.
func (s *Service) refreshMembers(ctx context.Context) (time.Duration, error) {
	if err := s.options.Directory.Register(ctx, s.options.Self); err != nil {
		return 0, err
	}
	members, err := s.options.Directory.Members(ctx)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower.SetMembers(members)
	s.options.Core.SetPeers(len(members))
	return nextMembersInterval(s.options.Self.VM, members), nil
}

func (s *Service) log(withLevel func(log.Logger) log.Logger, msg string, keyvals ...any) {
	_ = withLevel(s.options.Logger).Log(append([]any{"op", "feed", "msg", msg}, keyvals...)...) // the log stream is the only place to report to
}
