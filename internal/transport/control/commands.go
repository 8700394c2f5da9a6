package control

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/coordination/follower"
	"github.com/kumquatworks/kumquatworks/internal/coordination/health"
	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
	"github.com/kumquatworks/kumquatworks/internal/publish"
)

// Timeouts of platform calls. They are shorter than the command timeouts of the
// follower, which handles a command as failed if no result arrives in time.
const (
	platformReadTimeout = 1500 * time.Millisecond
	snapshotLoadTimeout = 9 * time.Second
	headWatchTimeout    = 25 * time.Second
)

const (
	healthCheckTimeout     = time.Second
	maxHealthResponseBytes = 64 << 10
)

var errNoPlatform = errors.New("no platform configured")

// executeCommand executes one command of the follower and reports the result.
func (p *Plane) executeCommand(ctx context.Context, c follower.Command) {
	if c.Kind == follower.FetchFromPeer {
		p.reportResult(ctx, p.fetchFromPeer(ctx, c))
		return
	}
	if p.options.Store == nil {
		p.failWithoutPlatform(ctx, c)
		return
	}
	switch c.Kind {
	case follower.ReadVMs:
		p.readVMs(ctx)
	case follower.ReadHead:
		p.reportResult(ctx, p.readHead(ctx, c))
	case follower.WatchHead:
		p.watchHead(ctx, c)
	case follower.LoadSnapshot:
		p.reportResult(ctx, p.loadSnapshot(ctx, c))
	}
}

// failWithoutPlatform reports the failure of a command that needs the platform.
func (p *Plane) failWithoutPlatform(ctx context.Context, c follower.Command) {
	if c.Kind == follower.ReadVMs {
		_ = p.runInLoop(ctx, func(now time.Time) { p.agent.HandleVMs(now, nil, errNoPlatform) })
		return
	}
	p.reportResult(ctx, follower.Result{Command: c, Err: errNoPlatform})
}

func (p *Plane) reportResult(ctx context.Context, r follower.Result) {
	if r.Err != nil && ctx.Err() == nil {
		_ = level.Debug(p.logger).Log("op", "command", "msg", "follower command failed", "kind", r.Command.Kind, "err", r.Err)
	}
	_ = p.runInLoop(ctx, func(now time.Time) { p.agent.HandleCommandResult(now, r) })
}

func (p *Plane) readVMs(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, platformReadTimeout)
	defer cancel()
	list, err := p.options.Store.VMs(callCtx)
	_ = p.runInLoop(ctx, func(now time.Time) { p.agent.HandleVMs(now, list, err) })
}

func (p *Plane) readHead(ctx context.Context, c follower.Command) follower.Result {
	callCtx, cancel := context.WithTimeout(ctx, platformReadTimeout)
	defer cancel()
	record, err := p.options.Store.Get(callCtx, publish.HeadKey)
	return headResult(c, record, err)
}

// watchHead waits until the head changes after the revision of the command. A watch that
// times out or is cancelled is reported as ended, not as failed.
func (p *Plane) watchHead(ctx context.Context, c follower.Command) {
	callCtx, cancel := context.WithTimeout(ctx, headWatchTimeout)
	defer cancel()
	record, err := p.options.Store.Watch(callCtx, publish.HeadKey, c.Revision)
	if err != nil && callCtx.Err() != nil {
		_ = p.runInLoop(ctx, func(now time.Time) { p.agent.HandleWatchEnded(now) })
		return
	}
	p.reportResult(ctx, headResult(c, record, err))
}

func headResult(c follower.Command, record platform.Record, err error) follower.Result {
	result := follower.Result{Command: c, Err: err, Revision: record.Revision}
	if err != nil {
		return result
	}
	head, err := publish.DecodeHead(record.Value)
	result.Err = err
	result.Head = follower.Head{Generation: head.Generation, Digest: head.Digest}
	result.ChunkCount = head.ChunkCount
	return result
}

func (p *Plane) loadSnapshot(ctx context.Context, c follower.Command) follower.Result {
	callCtx, cancel := context.WithTimeout(ctx, snapshotLoadTimeout)
	defer cancel()
	raw, err := p.loader.FetchCanonical(callCtx, c.Head.Digest, c.ChunkCount)
	return follower.Result{Command: c, Err: err, Corrupted: errors.Is(err, publish.ErrInvalidSnapshot), Snapshot: raw}
}

// fetchFromPeer fetches a snapshot, or a delta to the base of the command, from a peer.
func (p *Plane) fetchFromPeer(ctx context.Context, c follower.Command) follower.Result {
	result := follower.Result{Command: c}
	addr, ok := p.peerAddress(ctx, c.Peer)
	if !ok {
		result.Err = errors.Errorf("peer %s is not a live member", c.Peer)
		return result
	}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	digest, _ := hex.DecodeString(c.Head.Digest)
	baseDigest, _ := hex.DecodeString(c.BaseDigest)
	response, err := p.peerClient(addr).FetchSnapshot(callCtx, &wire.FetchSnapshotRequest{Digest: digest, BaseDigest: baseDigest})
	result.Err = err
	result.Head = follower.HeadFromWire(response.GetHead())
	result.Snapshot = response.GetSnapshot()
	result.Delta = response.GetDelta()
	return result
}

func (p *Plane) peerAddress(ctx context.Context, vm string) (addr netip.AddrPort, ok bool) {
	_ = p.runInLoop(ctx, func(time.Time) { addr, ok = p.agent.PeerAddress(vm) })
	return addr, ok
}

// runExchange runs an anti-entropy exchange with one peer. A second request sends what
// the peer lacks according to its response.
func (p *Plane) runExchange(ctx context.Context, addr netip.AddrPort) error {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var request, followUp *wire.ExchangeRequest
	if err := p.runInLoop(callCtx, func(time.Time) { request = p.agent.ExchangeRequest() }); err != nil {
		return err
	}
	p.counters.add(counterExchanges, 1)
	response, err := p.peerClient(addr).Exchange(callCtx, request)
	if err != nil {
		p.counters.add(counterExchangeErrors, 1)
		return errors.Wrapf(err, "exchange with %s", addr)
	}
	err = p.runInLoop(callCtx, func(now time.Time) { followUp = p.agent.HandleExchangeResponse(now, response) })
	if err != nil || followUp == nil {
		return err
	}
	p.counters.add(counterExchanges, 1)
	_, err = p.peerClient(addr).Exchange(callCtx, followUp)
	return errors.Wrapf(err, "second request of the exchange with %s", addr)
}

// healthResponse is the JSON response of a target's health endpoint.
type healthResponse struct {
	Healthy         bool `json:"healthy"`
	Draining        bool `json:"draining"`
	Shedding        bool `json:"shedding"`
	BusySlots       int  `json:"busy_slots"`
	Slots           int  `json:"slots"`
	OpenConnections int  `json:"open_connections"`
}

// runHealthCheck checks the health of one target and reports the result.
func (p *Plane) runHealthCheck(ctx context.Context, c health.Check) {
	result := p.queryHealth(ctx, c.Address)
	_ = p.runInLoop(ctx, func(now time.Time) { p.agent.HandleCheckResult(now, c.Target, result) })
}

// queryHealth requests the health endpoint of a target. Failed requests, a status other
// than 200 and malformed responses return a result whose OK is false.
func (p *Plane) queryHealth(ctx context.Context, address string) health.Result {
	callCtx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(callCtx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return health.Result{}
	}
	request.Header.Set("User-Agent", "") // not sent
	response, err := p.healthHTTPClient.Do(request)
	if err != nil {
		return health.Result{}
	}
	defer response.Body.Close()
	var decoded healthResponse
	body, err := io.ReadAll(io.LimitReader(response.Body, maxHealthResponseBytes))
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(body, &decoded) != nil {
		return health.Result{}
	}
	return health.Result{
		OK: true, Healthy: decoded.Healthy, Draining: decoded.Draining, Shedding: decoded.Shedding,
		BusySlots: decoded.BusySlots, Slots: decoded.Slots,
	}
}
