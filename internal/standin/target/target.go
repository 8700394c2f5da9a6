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
	maxStreamsPerConn = 256
	// stopPoll is the interval of checks during a graceful stop.
	idlePollInterval = 20 * time.Millisecond
)

// Options are the parameters of a target.
type Options struct {
	Name     string
	Service  string
	Endpoint netip.AddrPort
	// Slots is the number of requests that run at once.
	Slots int
	// Connections is the number of connections that the target accepts.
	MaxConnections int
	// Queue is the number of waiting requests above which the target sheds.
	MaxQueued int
	// Cold is how long after the start each request takes twice its time.
	ColdStartPeriod time.Duration
	// Notice is how long a stopping target serves on while balancers learn of it.
	NoticePeriod time.Duration
	// Grace is how long a stopping target then waits for requests in progress.
	GracePeriod time.Duration
	Logger      log.Logger
}

// Target is one running target.
type Target struct {
	options   Options
	conn      *fabric.Conn
	transport *quic.Transport
	listener  *quic.Listener
	slots     chan struct{}
	startedAt time.Time
	leaving   chan struct{}
	recorder  *recorder
	health    *healthEndpoint

	mu    sync.Mutex
	conns map[*quic.Conn]struct{}
}

// New starts listening for connections on an attachment. Run serves them.
func New(attachment *fabric.Attachment, options Options) (*Target, error) {
	conn, err := attachment.Listen(protocol.NewEndpoint(options.Endpoint))
	if err != nil {
		return nil, errors.Wrapf(err, "target %s", options.Name)
	}
	t := &Target{
		options:   options,
		conn:      conn,
		slots:     make(chan struct{}, options.Slots),
		startedAt: time.Now(),
		leaving:   make(chan struct{}),
		recorder:  newRecorder(options.Name, options.Service),
		conns:     map[*quic.Conn]struct{}{},
	}
	t.health = newHealthEndpoint(t)
	if err := t.listen(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Target) listen() error {
	tlsConfig, err := serverTLSConfig()
	if err != nil {
		return err
	}
	var resetKey quic.StatelessResetKey
	_, _ = rand.Read(resetKey[:]) // never fails
	t.transport = &quic.Transport{
		Conn:               t.conn,
		ConnectionIDLength: connectionIDBytes,
		StatelessResetKey:  &resetKey,
		ConnContext:        t.admitConn,
	}
	t.listener, err = t.transport.Listen(tlsConfig, &quic.Config{
		MaxIdleTimeout:     idleTimeout,
		MaxIncomingStreams: maxStreamsPerConn,
	})
	return errors.Wrapf(err, "target %s", t.options.Name)
}

// admit refuses connections above the limit during the handshake.
func (t *Target) admitConn(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.options.MaxConnections {
		t.recorder.updateReport(func(r *Report) { r.ConnectionsRefused++ })
		return nil, errors.New("connection limit")
	}
	return ctx, nil
}

// Run serves until ctx ends and then stops gracefully: it reports that it
// drains, serves on for the notice, ends feeds, and waits for requests in progress.
func (t *Target) Run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go t.health.recordSamples(serveCtx)
	go t.acceptConns(serveCtx)
	<-ctx.Done()
	t.health.startDrain()
	time.Sleep(t.options.NoticePeriod)
	close(t.leaving)
	interrupted := t.awaitIdle()
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
func (t *Target) awaitIdle() int {
	for deadline := time.Now().Add(t.options.GracePeriod); time.Now().Before(deadline); time.Sleep(idlePollInterval) {
		if streams, _ := t.recorder.activeStreams(); streams == 0 {
			return 0
		}
	}
	_, unanswered := t.recorder.activeStreams()
	return unanswered
}

func (t *Target) closeConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		_ = conn.CloseWithError(exchange.CodeLeaving, "target leaves")
	}
}

func (t *Target) acceptConns(ctx context.Context) {
	for {
		conn, err := t.listener.Accept(ctx)
		if err != nil {
			return
		}
		go t.serveConn(ctx, conn)
	}
}

func (t *Target) serveConn(ctx context.Context, conn *quic.Conn) {
	t.addConn(conn)
	defer t.removeConn(conn)
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go t.serveStream(stream)
	}
}

func (t *Target) addConn(conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[conn] = struct{}{}
	open := len(t.conns)
	t.recorder.updateReport(func(r *Report) {
		r.ConnectionsTotal++
		r.ConnectionsOpen = open
	})
}

func (t *Target) removeConn(conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
	open := len(t.conns)
	t.recorder.updateReport(func(r *Report) { r.ConnectionsOpen = open })
}

// Report returns what the target did so far.
func (t *Target) Report() Report {
	report := t.recorder.snapshot()
	report.BusySlots = len(t.slots)
	return report
}

// OpenConnections is the number of connections that are open now.
func (t *Target) OpenConnections() int { return t.recorder.openConnections() }

// serverTLS returns a configuration with a fresh self-signed certificate.
func serverTLSConfig() (*tls.Config, error) {
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "certificate key")
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(24 * time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, publicKey, privateKey)
	if err != nil {
		return nil, errors.Wrap(err, "certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: privateKey}},
		NextProtos:   []string{exchange.ALPN},
		MinVersion:   tls.VersionTLS13,
	}, nil
}
