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

// NewOperatorClient returns a client of the operator service of the balancer at addr,
// the host:port of its control address. Calls need a context with a deadline.
func NewOperatorClient(addr string, fleetKey []byte) wire.Operator {
	return wire.NewOperatorProtobufClient("http://"+addr, newPeerHTTPClient(fleetKey, newCounters()))
}

// NewLocalOperatorClient returns a client whose requests the balancer answers from its
// own state only, without a query to the owner of the flow or target.
func NewLocalOperatorClient(addr string, fleetKey []byte) wire.Operator {
	return wire.NewOperatorProtobufClient("http://"+addr, newPeerHTTPClient(fleetKey, newCounters()), twirp.WithClientPathPrefix(localPathPrefix))
}

// UnwrapRPCError returns an error of an RPC client without the context that the RPC
// library adds, such as the URL of the request. Its text is shown to operators.
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
		message = urlErr.Err.Error() // omits the URL of the request
	}
	if argument := rpcErr.Meta("argument"); argument != "" {
		message = strings.TrimPrefix(message, argument+" ")
	}
	return errors.New(message)
}

// newPeerHTTPClient returns the client for requests to other balancers. It keeps few idle
// connections, because each exchange goes to a different peer.
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

// newHealthHTTPClient returns the client for the health endpoints of targets. It does
// not follow redirects.
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
