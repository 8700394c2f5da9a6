// Package target is a stand-in for a target: a QUIC server behind the fabric with
// slots, a connection limit, draining, a cold start, load shedding, cancellation and
// deadlines. It records the ID of every request that it runs.
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
	// idleTimeout is the time without packets after which a connection is closed.
	idleTimeout = 2 * time.Minute
	// connectionIDBytes is the length of the QUIC connection IDs that the target issues.
	connectionIDBytes = 8
	// maxStreamsPerConn limits the concurrent requests and feeds on one connection.
	maxStreamsPerConn = 256
	// idlePollInterval is the interval at which a graceful stop checks for open streams.
	idlePollInterval = 20 * time.Millisecond
)

// Options are the parameters of a target.
type Options struct {
	Name     string
	Service  string
	Endpoint netip.AddrPort
	// Slots is the number of requests that run concurrently.
	Slots int
	// MaxConnections limits the open connections.
	MaxConnections int
	// MaxQueued limits the requests that wait for a slot. The target sheds further requests.
	MaxQueued int
	// ColdStartPeriod is the time after the start in which each request takes twice its duration.
	ColdStartPeriod time.Duration
	// NoticePeriod is how long a stopping target still serves requests and reports that it
	// drains, so that the balancers receive the drain signal.
	NoticePeriod time.Duration
	// GracePeriod limits how long a stopping target then waits for open streams.
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

// New opens a listener on the attachment. Run accepts and serves its connections.
func New(attachment *fabric.Attachment, options Options) (*Target, error) {
	conn, err := attachment.Listen(protocol.NewEndpoint(options.Endpoint))
	if err != nil {
		return nil, errors.Wrapf(err, "open the endpoint of target %s", options.Name)
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
	return errors.Wrapf(err, "start the QUIC listener of target %s", t.options.Name)
}

// admitConn refuses new connections at the connection limit, when their handshake starts.
func (t *Target) admitConn(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.options.MaxConnections {
		t.recorder.updateReport(func(r *Report) { r.ConnectionsRefused++ })
		return nil, errors.New("connection limit reached")
	}
	return ctx, nil
}

// Run serves until ctx ends and then stops gracefully: it reports that it drains,
// continues to serve for the notice period, refuses new requests and ends the feeds, and
// waits up to the grace period for open streams. It returns an error if it interrupted
// requests or feeds.
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

// awaitIdle waits until no stream is open, at most for the grace period, and returns the
// number of streams that have not sent their complete response. Streams that only lack
// the confirmation don't count, because a caller that has disappeared never confirms.
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

// addConn adds an established connection to the open ones and updates the counts.
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

// Report returns a copy of the counts up to now.
func (t *Target) Report() Report {
	report := t.recorder.snapshot()
	report.BusySlots = len(t.slots)
	return report
}

// OpenConnections returns the number of open connections.
func (t *Target) OpenConnections() int { return t.recorder.openConnections() }

// serverTLSConfig returns a TLS configuration with a new self-signed certificate.
func serverTLSConfig() (*tls.Config, error) {
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate certificate key")
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
