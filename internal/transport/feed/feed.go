// Package feed replicates routes and targets between the balancers of a place, so that
// most of them need not read the platform. A balancer probes its parent with UDP
// datagrams. The answers state how recent the parent's data are, and the balancer
// fetches newer data over Twirp.
package feed

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/klauspost/compress/gzhttp"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatworks/kumquatworks/internal/boottime"
	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/coordination/feed"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
	"github.com/kumquatworks/kumquatworks/internal/transport/httpserver"
)

const (
	// MaxAgeShareOfPropagationDelay is the maximum age of replicated data as a share of
	// MaxPropagationDelay. The rest of the delay is left for reading the platform: over a slow
	// link, a configuration of thousands of routes takes more than a second.
	MaxAgeShareOfPropagationDelay = 0.7
	// probesPerMaxAge is the number of probes within the maximum age, so that data stay
	// recent even if several probes are lost.
	probesPerMaxAge = 6
	// startProbeInterval is the interval of the probes of a balancer that has just started.
	startProbeInterval = 10 * time.Millisecond
	// maxResponseBytes limits the size of a decompressed response of a parent. The routes and
	// targets that are planned for two years from now take less than 1 MB.
	maxResponseBytes = 8 << 20
	// probesPerLossReport is the number of probes of which one carries the loss counts.
	probesPerLossReport = 8
	// minMembersInterval is the minimum interval between two reads of the member list. A
	// balancer that is missing from the list reads the platform until the next read.
	minMembersInterval = 10 * time.Second
	// membersIntervalPerMember is the interval between two reads for each member of the
	// last list. At about 150 bytes an entry, reading a long list takes 150 bytes a second
	// of the control traffic budget of 2 KB a second.
	membersIntervalPerMember = time.Second
	// firstMembersInterval is the interval between the first and the second read. When a
	// whole place starts, the first read returns few members, and each balancer reads the
	// platform until it knows its parent.
	firstMembersInterval = 700 * time.Millisecond
	// membersRetryDelay is the delay after a failed registration or read.
	membersRetryDelay = 2 * time.Second
	// shutdownTimeout is how long a stopping balancer waits for the answers to requests that
	// it has accepted.
	shutdownTimeout = 300 * time.Millisecond
	// maxDatagramBytes exceeds the size of any probe or answer.
	maxDatagramBytes = 256
	// readErrorDelay is the delay after a failed socket read, so that a broken socket
	// does not occupy a whole core.
	readErrorDelay = 10 * time.Millisecond
)

// Directory is the registry of the balancers of a place.
type Directory interface {
	// Register adds this balancer or renews its entry.
	Register(ctx context.Context, m feed.Member) error
	// Members returns the balancers of the place.
	Members(ctx context.Context) ([]feed.Member, error)
}

// Options configures a Service.
type Options struct {
	Self feed.Member
	// MaxPropagationDelay is the time within which a change must be in force.
	MaxPropagationDelay time.Duration
	Dispatcher          *dsr.Dispatcher
	Directory           Directory
	// ReadRoutes reads the routes from the platform.
	ReadRoutes func(ctx context.Context) error
	Logger     log.Logger
	// Now returns the current time. If nil, boottime.Now is used: data become outdated also
	// while the machine is suspended.
	Now func() time.Time
}

// Service replicates routes and targets from a parent and serves them to followers.
type Service struct {
	options  Options
	conn     *net.UDPConn
	listener net.Listener
	client   *http.Client

	mu            sync.Mutex
	maxAge        time.Duration
	follower      *feed.Follower
	parent        feed.Member
	probeSequence uint64
	// probeSentAt is when the latest probe was sent.
	probeSentAt time.Time
	// parentEpoch and parentChangeSequence identify the parent's data that were applied
	// last. ownListings is the number of listings that this balancer had read from the
	// platform before. After a further listing all targets are fetched from the parent,
	// because the listing may differ from the parent's data.
	parentEpoch          uint64
	parentChangeSequence uint64
	// eraEpoch is the latest epoch whose era is known, eraOfEpoch its era.
	eraEpoch, eraOfEpoch uint64
	ownListings          uint64
	fetching             bool
	// differs is set while the data here are known to differ from the parent's although their
	// versions agree.
	differs       bool
	readsPlatform bool
	loss          feed.LossAggregate
	// memberCount is the number of balancers of the place, membersEra the era of the platform when this
	// balancer last registered.
	memberCount int
	membersEra  uint64
	// firstMembersAt is when the member list was first read, memberSeenAt when a list last had a
	// name. They are used where openers to cold targets are limited.
	firstMembersAt time.Time
	memberSeenAt   map[string]time.Time
}

// New returns a service with open sockets. Run starts it.
func New(o Options) (*Service, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Self.Address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for probes over UDP")
	}
	if o.Now == nil {
		o.Now = boottime.Now
	}
	o.Self.Address = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	listener, err := net.Listen("tcp4", o.Self.Address.String())
	if err != nil {
		_ = conn.Close() // the error of the listener is the one to return
		return nil, errors.Wrap(err, "listen for follower requests over TCP")
	}
	maxAge := maxAgeForDelay(o.MaxPropagationDelay)
	return &Service{
		options:       o,
		maxAge:        maxAge,
		conn:          conn,
		listener:      listener,
		client:        newClient(),
		follower:      feed.NewFollower(o.Self.VM, maxAge, o.Now()),
		readsPlatform: true,
	}, nil
}

func maxAgeForDelay(maxPropagationDelay time.Duration) time.Duration {
	return time.Duration(MaxAgeShareOfPropagationDelay * float64(maxPropagationDelay))
}

// SetMaxPropagationDelay changes the time within which a change must be in force.
func (s *Service) SetMaxPropagationDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxAge = maxAgeForDelay(delay)
	s.follower.SetMaxAge(s.maxAge)
}

func (s *Service) probeInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxAge / probesPerMaxAge
}

// MustReadPlatform reports whether this balancer must read the platform itself, and
// logs each change of the result.
func (s *Service) MustReadPlatform() bool {
	summary, _ := s.options.Dispatcher.Summary()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower.RecordRead(summary.AsOf)
	now := s.options.Now()
	mustRead := s.follower.MustReadPlatform(now)
	if mustRead != s.readsPlatform {
		s.readsPlatform = mustRead
		s.log(level.Info, "switched between reading the platform and following the parent", "reads", mustRead, "parent", s.parent.VM, "data_age_ms", s.follower.DataAge(now).Milliseconds())
	}
	return mustRead
}

// HasResponsiveParent reports whether this balancer has a parent that answers its probes.
func (s *Service) HasResponsiveParent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.HasResponsiveParent(s.options.Now())
}

// ParentDelay returns how long data take from a balancer that reads the platform to this one. It is 0 if
// this balancer should not wait for them.
func (s *Service) ParentDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.follower.Depth(s.options.Now())) * s.maxAge / probesPerMaxAge
}

// Run serves followers and follows the parent until ctx ends.
func (s *Service) Run(ctx context.Context) {
	// Complete routes and targets are sent compressed, because links may be as slow as 10 Mbit/s.
	server := &http.Server{Handler: gzhttp.GzipHandler(wire.NewFeedServer(&handler{dispatcher: s.options.Dispatcher})), ReadHeaderTimeout: fetchTimeout}
	go func() { _ = server.Serve(s.listener) }() // returns ErrServerClosed when Run closes the server
	go s.receive(ctx)
	go s.pollMembers(ctx)
	s.probeUntilStarted(ctx)
	for {
		select {
		case <-ctx.Done():
			httpserver.Stop(server, shutdownTimeout)
			_ = s.conn.Close() // the process exits
			return
		case <-time.After(s.probeInterval()):
			s.sendProbe(s.options.Now())
		}
	}
}

// probeUntilStarted sends probes at a short interval until this balancer has its first data
// or must read the platform.
func (s *Service) probeUntilStarted(ctx context.Context) {
	ticker := time.NewTicker(startProbeInterval)
	defer ticker.Stop()
	for s.starting() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sendProbe(s.options.Now())
		}
	}
}

func (s *Service) starting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Starting(s.options.Now())
}

// sendProbe sends a probe to the parent, which answers with the age of its data.
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
	s.probeSentAt = now
	probe := &wire.FeedProbe{Sequence: s.probeSequence}
	if s.probeSequence%probesPerLossReport == 1 || s.differs {
		probe.SubtreeLoss = encodeLoss(s.loss.Subtree(now, s.ownLoss()))
	}
	s.send(probe, kindProbe, parent.Address)
}

// Kinds of datagrams, given by the first byte.
const (
	kindProbe = 'p'
	kindState = 's'
)

// send sends a message in a datagram of the given kind. Errors are only logged, because
// a later probe makes up for a lost datagram.
func (s *Service) send(m proto.Message, kind byte, to netip.AddrPort) {
	data, err := proto.MarshalOptions{}.MarshalAppend([]byte{kind}, m)
	if err == nil {
		_, err = s.conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		s.log(level.Warn, "failed to send datagram", "to", to, "err", err)
	}
}

// receive reads and handles datagrams until ctx ends or the socket is closed.
func (s *Service) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log(level.Error, "failed to read datagram", "err", err)
			time.Sleep(readErrorDelay)
			continue
		}
		if n > 0 {
			s.handleDatagram(ctx, s.options.Now(), buffer[0], buffer[1:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
	}
}

// handleDatagram handles a probe of a follower or an answer of the parent. It ignores
// datagrams that it cannot decode.
func (s *Service) handleDatagram(ctx context.Context, now time.Time, kind byte, data []byte, from netip.AddrPort) {
	switch kind {
	case kindProbe:
		var probe wire.FeedProbe
		if proto.Unmarshal(data, &probe) == nil {
			s.sendState(now, &probe, from)
		}
	case kindState:
		var state wire.FeedState
		if proto.Unmarshal(data, &state) == nil {
			s.handleState(ctx, &state, from)
		}
	}
}

func (s *Service) log(withLevel func(log.Logger) log.Logger, msg string, keyvals ...any) {
	_ = withLevel(s.options.Logger).Log(append([]any{"op", "feed", "msg", msg}, keyvals...)...) // a failure to log cannot be reported anywhere else
}
