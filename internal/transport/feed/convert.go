package feed

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/coordination/dsr"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// handler serves the Twirp requests of followers.
type handler struct{ dispatcher *dsr.Dispatcher }

// Routes returns the routes that changed after a version. If that delta is not available,
// it returns a response with ReadPlatform set, and the follower reads the platform instead.
func (h *handler) Routes(_ context.Context, r *wire.FeedRoutesRequest) (*wire.FeedRoutesResponse, error) {
	delta, ok := h.dispatcher.RoutesDelta(r.GetAfterVersion())
	if !ok {
		return &wire.FeedRoutesResponse{ReadPlatform: true}, nil
	}
	return encodeRoutesDelta(delta), nil
}

// Targets returns the targets that changed after a change sequence number of this
// process, or all targets if the number is of another process or too old.
func (h *handler) Targets(_ context.Context, r *wire.FeedTargetsRequest) (*wire.FeedTargetsResponse, error) {
	return encodeTargetsDelta(h.dispatcher.Delta(r.GetEpoch(), r.GetAfter())), nil
}

func encodeRoutesDelta(d dsr.RoutesDelta) *wire.FeedRoutesResponse {
	response := &wire.FeedRoutesResponse{Version: d.Version, Digest: uint64(d.Digest), Era: d.Era, IdleTimeoutMs: d.IdleTimeout.Milliseconds()}
	for _, r := range d.Changed {
		route := &wire.FeedRoute{
			Name:      r.Name,
			Ip:        r.Address.IP[:],
			Port:      uint32(r.Address.Port),
			TimeoutMs: r.Timeout.Milliseconds(),
			LatencyMs: r.LatencyTarget.Milliseconds(),
			Priority:  int32(r.Priority),
		}
		for _, b := range r.Backends {
			// The fields about cold targets are unset without them, as in messages of versions that lack them.
			route.Backends = append(route.Backends, &wire.FeedBackend{
				Service:       b.Service,
				Weight:        b.Weight,
				Connections:   uint32(b.MaxFlowsPerTarget),
				ColdPerSecond: b.ColdPerSecond,
				ColdMs:        b.ColdDuration.Milliseconds(),
			})
		}
		response.Changed = append(response.Changed, route)
	}
	for _, a := range d.Removed {
		response.Removed = append(response.Removed, &wire.FeedRoute{Ip: a.IP[:], Port: uint32(a.Port)})
	}
	return response
}

func decodeRoutesDelta(afterVersion uint64, response *wire.FeedRoutesResponse) (dsr.RoutesDelta, error) {
	d := dsr.RoutesDelta{AfterVersion: afterVersion, Version: response.GetVersion(), Era: response.GetEra(), Digest: dsr.Digest(response.GetDigest()), IdleTimeout: milliseconds(response.GetIdleTimeoutMs())}
	for _, route := range response.GetChanged() {
		address, err := decodeEndpoint(route.GetIp(), route.GetPort())
		if err != nil {
			return dsr.RoutesDelta{}, errors.Wrapf(err, "decode route %s", route.GetName())
		}
		r := &dsr.Route{
			Name:          route.GetName(),
			Address:       address,
			Timeout:       milliseconds(route.GetTimeoutMs()),
			LatencyTarget: milliseconds(route.GetLatencyMs()),
			Priority:      int(route.GetPriority()),
		}
		for _, b := range route.GetBackends() {
			if w := b.GetWeight(); !(w > 0) || math.IsInf(w, 1) {
				return dsr.RoutesDelta{}, errors.Errorf("decode route %s: weight %v of backend %s; expected a number above 0", route.GetName(), w, b.GetService())
			}
			if c := b.GetColdPerSecond(); !(c >= 0) || math.IsInf(c, 1) {
				return dsr.RoutesDelta{}, errors.Errorf("decode route %s: %v requests a second at cold targets of backend %s; expected a finite number of at least 0", route.GetName(), c, b.GetService())
			}
			r.Backends = append(r.Backends, dsr.Backend{
				Service:           b.GetService(),
				Weight:            b.GetWeight(),
				MaxFlowsPerTarget: int(b.GetConnections()),
				ColdPerSecond:     b.GetColdPerSecond(),
				ColdDuration:      milliseconds(b.GetColdMs()),
			})
		}
		d.Changed = append(d.Changed, r)
	}
	for _, route := range response.GetRemoved() {
		address, err := decodeEndpoint(route.GetIp(), route.GetPort())
		if err != nil {
			return dsr.RoutesDelta{}, errors.Wrap(err, "decode a removed route")
		}
		d.Removed = append(d.Removed, address)
	}
	return d, nil
}

func encodeTargetsDelta(d dsr.Delta) *wire.FeedTargetsResponse {
	response := &wire.FeedTargetsResponse{
		Epoch:    d.Epoch,
		Change:   d.ChangeSequence,
		Era:      d.Era,
		Revision: d.Revision,
		Full:     d.Full,
		Gone:     d.Gone,
		// The field is unset without evacuations, as in messages of versions that lack it.
		EvacuatedPlaces: d.EvacuatedPlaces,
	}
	for _, a := range d.Targets {
		response.Targets = append(response.Targets, &wire.FeedTarget{
			Id:          a.ID,
			Incarnation: a.Incarnation,
			Started:     a.Started,
			Service:     a.Service,
			Ip:          a.Endpoint.IP[:],
			Port:        uint32(a.Endpoint.Port),
			Place:       a.Place,
			Slots:       uint32(a.Slots),
			Draining:    a.Draining,
			ColdForMs:   a.WarmupRemaining.Milliseconds(),
			Created:     a.Created,
			Revision:    a.Revision,
		})
	}
	return response
}

func decodeTargetsDelta(response *wire.FeedTargetsResponse) (dsr.Delta, error) {
	d := dsr.Delta{
		Epoch:          response.GetEpoch(),
		ChangeSequence: response.GetChange(),
		Era:            response.GetEra(),
		Revision:       response.GetRevision(),
		Full:           response.GetFull(),
		Gone:           response.GetGone(),
		// Any names are harmless: the dispatcher keeps those that targets name as their place.
		EvacuatedPlaces: response.GetEvacuatedPlaces(),
	}
	for _, t := range response.GetTargets() {
		address, err := decodeEndpoint(t.GetIp(), t.GetPort())
		if err != nil {
			return dsr.Delta{}, errors.Wrapf(err, "decode target %s", t.GetId())
		}
		if t.GetId() == "" || t.GetService() == "" || t.GetSlots() == 0 || t.GetSlots() > dsr.MaxSlots {
			return dsr.Delta{}, errors.Errorf("decode target %q: service %q, %d slots; expected a name and 1 to %d slots", t.GetId(), t.GetService(), t.GetSlots(), dsr.MaxSlots)
		}
		d.Targets = append(d.Targets, dsr.Announcement{
			ID:              t.GetId(),
			Incarnation:     t.GetIncarnation(),
			Started:         t.GetStarted(),
			Service:         t.GetService(),
			Endpoint:        address,
			Place:           t.GetPlace(),
			Slots:           int(t.GetSlots()),
			Draining:        t.GetDraining(),
			WarmupRemaining: milliseconds(t.GetColdForMs()),
			Created:         t.GetCreated(),
			Revision:        t.GetRevision(),
		})
	}
	return d, nil
}

func decodeEndpoint(ip []byte, port uint32) (protocol.Endpoint, error) {
	if len(ip) != 4 || port > 65535 {
		return protocol.Endpoint{}, errors.Errorf("endpoint %x:%d: expected an IPv4 address of 4 bytes and a port of at most 65535", ip, port)
	}
	return protocol.Endpoint{IP: [4]byte(ip), Port: uint16(port)}, nil
}

// maxMilliseconds is the longest duration that is taken from another balancer. Added to a time it
// cannot overflow.
const maxMilliseconds = int64(366 * 24 * time.Hour / time.Millisecond)

func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxMilliseconds)) * time.Millisecond
}
