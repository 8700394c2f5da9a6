package control

import (
	"context"
	"io"
	stdlog "log"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/twitchtv/twirp"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// newServer returns the HTTP server of the peer service and of the operator service,
// which is also served under localPathPrefix.
func (p *Plane) newServer() *http.Server {
	peer := wire.NewPeerServer(&peerServer{p})
	operator := wire.NewOperatorServer(&operatorServer{plane: p})
	local := wire.NewOperatorServer(&operatorServer{plane: p, local: true}, twirp.WithServerPathPrefix(localPathPrefix))
	mux := http.NewServeMux()
	mux.Handle(peer.PathPrefix(), peer)
	mux.Handle(operator.PathPrefix(), operator)
	mux.Handle(local.PathPrefix(), local)
	handler := &authHandler{key: p.options.FleetKey, next: mux, onRefusal: p.recordRefusal}
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       30 * time.Second,
		IdleTimeout:       2 * time.Minute,
		ErrorLog:          stdlog.New(io.Discard, "", 0), // recordRefusal counts and logs refused requests
	}
}

func (p *Plane) recordRefusal(reason string) {
	p.counters.add(counterRefusedRequests, 1)
	_ = level.Warn(p.logger).Log("op", "request", "msg", "control request refused", "reason", reason)
}

// peerServer implements the peer service, which other balancers call.
type peerServer struct{ plane *Plane }

// Exchange merges the request of a peer and returns what the peer lacks.
func (s *peerServer) Exchange(ctx context.Context, r *wire.ExchangeRequest) (response *wire.ExchangeResponse, err error) {
	err = s.plane.runInLoop(ctx, func(now time.Time) { response = s.plane.agent.HandleExchange(now, r) })
	return response, err
}

// FetchSnapshot returns the snapshot in force, or a delta from the requester's snapshot to it.
func (s *peerServer) FetchSnapshot(ctx context.Context, r *wire.FetchSnapshotRequest) (response *wire.FetchSnapshotResponse, err error) {
	err = s.plane.runInLoop(ctx, func(time.Time) { response = s.plane.agent.ServeSnapshot(r) })
	return response, err
}

// Handoff stores the bindings that a leaving balancer hands off.
func (s *peerServer) Handoff(_ context.Context, r *wire.HandoffRequest) (*wire.HandoffResponse, error) {
	return s.plane.acceptHandoff(r), nil
}
