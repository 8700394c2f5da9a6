package control

import (
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// NewOperatorClient returns a client for the operator commands of the balancer
// at addr (host:port of its control address). Pass a context with a deadline.
func NewOperatorClient(addr string, fleetKey []byte) wire.Operator {
	return wire.NewOperatorProtobufClient("http://"+addr, newPeerHTTPClient(fleetKey, newCounters()))
}

// NewLocalOperatorClient returns a client whose questions the balancer answers
// by itself, without asking the owner of a flow or target.
func NewLocalOperatorClient(addr string, fleetKey []byte) wire.Operator {
	return wire.NewOperatorProtobufClient("http://"+addr, newPeerHTTPClient(fleetKey, newCounters()), twirp.WithClientPathPrefix(localPathPrefix))
}

// PlainError removes the frame that the RPC library puts around an error of a
// client, because operators read it.
func UnwrapRPCError(err error) error {
	var rpcErr twirp.Error
	if !errors.As(err, &rpcErr) {
		return err
	}
	if rpcErr.Meta("http_error_from_intermediary") != "" && rpcErr.Meta("status_code") == "401" {
		return errors.New("refused the fleet key")
	}
	message := strings.TrimPrefix(rpcErr.Msg(), "failed to do request: ")
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		message = urlErr.Err.Error() // without the URL of the request
	}
	if argument := rpcErr.Meta("argument"); argument != "" {
		message = strings.TrimPrefix(message, argument+" ")
	}
	return errors.New(message)
}

// newPeerClient returns the client for requests to other balancers. Few
// connections stay open, because the next exchange goes to another peer.
func newPeerHTTPClient(key []byte, c *counters) *authClient {
	transport := &http.Transport{
		DialContext:         c.countingDial(counterTwirpSent, counterTwirpReceived),
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		MaxIdleConns:        16,
		IdleConnTimeout:     time.Minute,
	}
	return &authClient{key: key, httpClient: &http.Client{Transport: transport}}
}

// newTargetClient returns the client for the health endpoints of targets.
func newHealthHTTPClient(c *counters) *http.Client {
	transport := &http.Transport{
		DialContext:         c.countingDial(counterHealthSent, counterHealthReceived),
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

func (p *Plane) peerClient(addr netip.AddrPort) wire.Peer {
	return wire.NewPeerProtobufClient("http://"+addr.String(), p.peerHTTPClient)
}
