// Package target is a stand-in for a target: a QUIC server behind the fabric
// with slots, a connection limit, drain, cold start, shedding, cancellation and
// deadlines. It records every request that it ran.
package target

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/standin/exchange"
	"github.com/kumquatworks/kumquatworks/internal/standin/fabric"
)

const (
	// idleTimeout is how long a connection without packets is kept.
	idleTimeout = 2 * time.Minute
	// connectionIDBytes is the length of the target's connection IDs.
	connectionIDBytes = 8
	// maxStreams is the number of requests and feeds on one connection.
	maxStreams = 256
	// stopPoll is the interval of checks during a graceful stop.
	stopPoll = 20 * time.Millisecond
)

// Options are the parameters of a target.
type Options struct {
	Name     string
	Service  string
	Endpoint netip.AddrPort
	// Slots is the number of requests that run at once.
	Slots int
	// Connections is the number of connections that the target accepts.
	Connections int
	// Queue is the number of waiting requests above which the target sheds.
	Queue int
	// Cold is how long after the start each request takes twice its time.
	Cold time.Duration
	// Notice is how long a stopping target serves on while balancers learn of it.
	Notice time.Duration
	// Grace is how long a stopping target then waits for requests in progress.
	Grace  time.Duration
	Logger log.Logger
}

// Target is one running target.
type Target struct {
	options   Options
	conn      *fabric.Conn
	transport *quic.Transport
	listener  *quic.Listener
	slots     chan struct{}
	started   time.Time
	leaving   chan struct{}
	record    *record
	health    *health

	mu    sync.Mutex
	conns map[*quic.Conn]struct{}
}

// New starts listening for connections on an attachment. Run serves them.
func New(attachment *fabric.Attachment, o Options) (*Target, error) {
	conn, err := attachment.Listen(protocol.NewEndpoint(o.Endpoint))
	if err != nil {
		return nil, errors.Wrapf(err, "target %s", o.Name)
	}
	t := &Target{
		options: o,
		conn:    conn,
		slots:   make(chan struct{}, o.Slots),
		started: time.Now(),
		leaving: make(chan struct{}),
		record:  newRecord(o.Name, o.Service),
		conns:   map[*quic.Conn]struct{}{},
	}
	t.health = newHealth(t)
	if err := t.listen(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Target) listen() error {
	config, err := serverTLS()
	if err != nil {
		return err
	}
	var reset quic.StatelessResetKey
	_, _ = rand.Read(reset[:]) // never fails
	t.transport = &quic.Transport{
		Conn:               t.conn,
		ConnectionIDLength: connectionIDBytes,
		StatelessResetKey:  &reset,
		ConnContext:        t.admit,
	}
	t.listener, err = t.transport.Listen(config, &quic.Config{
		MaxIdleTimeout:     idleTimeout,
		MaxIncomingStreams: maxStreams,
	})
	return errors.Wrapf(err, "target %s", t.options.Name)
}

// admit refuses connections above the limit during the handshake.
func (t *Target) admit(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.options.Connections {
		t.record.add(func(r *Report) { r.AtLimit++ })
		return nil, errors.New("connection limit")
	}
	return ctx, nil
}

// Run serves until ctx ends and then stops gracefully: it reports that it
// drains, serves on for the notice, ends feeds, and waits for requests in progress.
func (t *Target) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go t.health.sample(serving)
	go t.accept(serving)
	<-ctx.Done()
	t.health.drain()
	time.Sleep(t.options.Notice)
	close(t.leaving)
	interrupted := t.waitIdle()
	t.closeConns()
	err := t.transport.Close()
	t.conn.Close()
	if interrupted > 0 {
		return errors.Errorf("target %s: %d requests or feeds interrupted", t.options.Name, interrupted)
	}
	return errors.WithStack(err)
}

// waitIdle waits for the streams in progress, and returns how many still owe an
// answer after the grace time. A caller that vanished confirms nothing.
func (t *Target) waitIdle() int {
	for end := time.Now().Add(t.options.Grace); time.Now().Before(end); time.Sleep(stopPoll) {
		if streams, _ := t.record.active(); streams == 0 {
			return 0
		}
	}
	_, unanswered := t.record.active()
	return unanswered
}

func (t *Target) closeConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		_ = conn.CloseWithError(exchange.CodeLeaving, "target leaves")
	}
}

func (t *Target) accept(ctx context.Context) {
	for {
		conn, err := t.listener.Accept(ctx)
		if err != nil {
			return
		}
		go t.serveConn(ctx, conn)
	}
}

func (t *Target) serveConn(ctx context.Context, conn *quic.Conn) {
	t.track(conn)
	defer t.untrack(conn)
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go t.serveStream(stream)
	}
}

func (t *Target) track(conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[conn] = struct{}{}
	open := len(t.conns)
	t.record.add(func(r *Report) {
		r.ConnectionsTotal++
		r.ConnectionsOpen = open
	})
}

func (t *Target) untrack(conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
	open := len(t.conns)
	t.record.add(func(r *Report) { r.ConnectionsOpen = open })
}

// Report returns what the target did so far.
func (t *Target) Report() Report {
	report := t.record.report()
	report.Busy = len(t.slots)
	return report
}

// OpenConnections is the number of connections that are open now.
func (t *Target) OpenConnections() int { return t.record.connections() }

// serverTLS returns a configuration with a fresh self-signed certificate.
func serverTLS() (*tls.Config, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "certificate key")
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(24 * time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, errors.Wrap(err, "certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}},
		NextProtos:   []string{exchange.ALPN},
		MinVersion:   tls.VersionTLS13,
	}, nil
}
