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

// Timeouts of platform calls. They are below those of the follower, which
// gives up commands without a result.
const (
	readTimeout  = 1500 * time.Millisecond
	loadTimeout  = 9 * time.Second
	watchTimeout = 25 * time.Second
)

const (
	checkTimeout        = time.Second
	maxHealthReplyBytes = 64 << 10
)

var errNoStore = errors.New("no platform configured")

// command carries out one command of the follower and reports the result.
func (p *Plane) command(ctx context.Context, c follower.Command) {
	if c.Kind == follower.FetchFromPeer {
		p.report(ctx, p.fetch(ctx, c))
		return
	}
	if p.options.Store == nil {
		p.platformMissing(ctx, c)
		return
	}
	switch c.Kind {
	case follower.ReadVMs:
		p.readVMs(ctx)
	case follower.ReadHead:
		p.report(ctx, p.readHead(ctx, c))
	case follower.WatchHead:
		p.watchHead(ctx, c)
	case follower.LoadSnapshot:
		p.report(ctx, p.load(ctx, c))
	}
}

func (p *Plane) platformMissing(ctx context.Context, c follower.Command) {
	if c.Kind == follower.ReadVMs {
		_ = p.do(ctx, func(now time.Time) { p.agent.HandleVMs(now, nil, errNoStore) })
		return
	}
	p.report(ctx, follower.Result{Command: c, Err: errNoStore})
}

func (p *Plane) report(ctx context.Context, r follower.Result) {
	if r.Err != nil && ctx.Err() == nil {
		_ = level.Debug(p.logger).Log("op", "command", "msg", "no result", "kind", r.Command.Kind, "err", r.Err)
	}
	_ = p.do(ctx, func(now time.Time) { p.agent.HandleResult(now, r) })
}

func (p *Plane) readVMs(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := p.options.Store.VMs(call)
	_ = p.do(ctx, func(now time.Time) { p.agent.HandleVMs(now, list, err) })
}

func (p *Plane) readHead(ctx context.Context, c follower.Command) follower.Result {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	record, err := p.options.Store.Get(call, publish.HeadKey)
	return headResult(c, record, err)
}

func (p *Plane) watchHead(ctx context.Context, c follower.Command) {
	call, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	record, err := p.options.Store.Watch(call, publish.HeadKey, c.Revision)
	if err != nil && call.Err() != nil {
		_ = p.do(ctx, func(now time.Time) { p.agent.HandleWatchEnded(now) })
		return
	}
	p.report(ctx, headResult(c, record, err))
}

func headResult(c follower.Command, record platform.Record, err error) follower.Result {
	result := follower.Result{Command: c, Err: err, Revision: record.Revision}
	if err != nil {
		return result
	}
	head, err := publish.DecodeHead(record.Value)
	result.Err = err
	result.Head = follower.Head{Generation: head.Generation, Digest: head.Digest}
	result.Parts = head.Parts
	return result
}

func (p *Plane) load(ctx context.Context, c follower.Command) follower.Result {
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	raw, err := p.loader.FetchCanonical(call, c.Head.Digest, c.Parts)
	return follower.Result{Command: c, Err: err, Corrupted: errors.Is(err, publish.ErrInvalidSnapshot), Snapshot: raw}
}

// fetch asks a peer for a snapshot.
func (p *Plane) fetch(ctx context.Context, c follower.Command) follower.Result {
	result := follower.Result{Command: c}
	addr, ok := p.peerAddress(ctx, c.Peer)
	if !ok {
		result.Err = errors.Errorf("peer %s is not known", c.Peer)
		return result
	}
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	digest, _ := hex.DecodeString(c.Head.Digest)
	base, _ := hex.DecodeString(c.BaseDigest)
	response, err := p.peer(addr).FetchSnapshot(call, &wire.FetchSnapshotRequest{Digest: digest, BaseDigest: base})
	result.Err = err
	result.Head = follower.HeadFromWire(response.GetHead())
	result.Snapshot = response.GetSnapshot()
	result.Delta = response.GetDelta()
	return result
}

func (p *Plane) peerAddress(ctx context.Context, vm string) (addr netip.AddrPort, ok bool) {
	_ = p.do(ctx, func(time.Time) { addr, ok = p.agent.PeerAddress(vm) })
	return addr, ok
}

// exchange compares views with one peer.
func (p *Plane) exchange(ctx context.Context, addr netip.AddrPort) error {
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var request, more *wire.ExchangeRequest
	if err := p.do(call, func(time.Time) { request = p.agent.ExchangeRequest() }); err != nil {
		return err
	}
	p.counters.add(counterExchanges, 1)
	response, err := p.peer(addr).Exchange(call, request)
	if err != nil {
		p.counters.add(counterExchangeErrors, 1)
		return errors.Wrapf(err, "exchange with %s", addr)
	}
	err = p.do(call, func(now time.Time) { more = p.agent.HandleExchangeResponse(now, response) })
	if err != nil || more == nil {
		return err
	}
	p.counters.add(counterExchanges, 1)
	_, err = p.peer(addr).Exchange(call, more)
	return errors.Wrapf(err, "second exchange with %s", addr)
}

// healthReply is the JSON of a target's health endpoint.
type healthReply struct {
	Healthy         bool `json:"healthy"`
	Draining        bool `json:"draining"`
	Shedding        bool `json:"shedding"`
	BusySlots       int  `json:"busy_slots"`
	Slots           int  `json:"slots"`
	OpenConnections int  `json:"open_connections"`
}

// check probes one target and reports the result.
func (p *Plane) check(ctx context.Context, c health.Check) {
	result := p.askTarget(ctx, c.Address)
	_ = p.do(ctx, func(now time.Time) { p.agent.HandleCheck(now, c.Target, result) })
}

func (p *Plane) askTarget(ctx context.Context, address string) health.Result {
	call, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(call, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return health.Result{}
	}
	request.Header.Set("User-Agent", "") // not sent
	response, err := p.targets.Do(request)
	if err != nil {
		return health.Result{}
	}
	defer response.Body.Close()
	var reply healthReply
	body, err := io.ReadAll(io.LimitReader(response.Body, maxHealthReplyBytes))
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(body, &reply) != nil {
		return health.Result{}
	}
	return health.Result{
		OK: true, Healthy: reply.Healthy, Draining: reply.Draining, Shedding: reply.Shedding,
		BusySlots: reply.BusySlots, Slots: reply.Slots,
	}
}
