package cli

import (
	"bytes"
	"context"
	"encoding/hex"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/kumquatworks/kumquatworks/internal/platform"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
	"github.com/kumquatworks/kumquatworks/internal/publish"
	"github.com/kumquatworks/kumquatworks/internal/transport/control"
)

const (
	// requestTimeout bounds one request to one balancer.
	requestTimeout = 3 * time.Second
	// maxConcurrentRequests bounds the balancers that a command queries at the same time.
	maxConcurrentRequests = 32
	// minKeyBytes and maxKeyBytes bound the length of the fleet key. The balancer settings have
	// the same bounds.
	minKeyBytes = 16
	maxKeyBytes = 64
)

// platformOption is the option with the URL of the platform.
type platformOption struct {
	Platform string `long:"platform" value-name:"URL" required:"yes" description:"base URL of the platform's key-value service, such as http://10.0.0.9:7400"`
}

func (o *platformOption) store() (platform.Store, error) {
	u, err := url.Parse(o.Platform)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, usageError("--platform: %q is not a URL such as http://10.0.0.9:7400", o.Platform)
	}
	return platform.NewClient(strings.TrimSuffix(o.Platform, "/")), nil
}

// balancerOptions are the options of commands that query balancers.
type balancerOptions struct {
	Balancers    []string `long:"balancer" value-name:"ADDR" description:"control address:port of any balancer; repeat it to name others for the case that the first does not answer"`
	FleetKeyFile string   `long:"fleet-key-file" value-name:"FILE" env:"KUMQUATWORKS_FLEET_KEY_FILE" description:"file with the fleet key, 32 to 128 hexadecimal digits as in the balancer settings"`
}

// operatorDialer returns a client for the balancer at an address.
type operatorDialer func(address string) wire.Operator

// newDialer checks the options and returns a function that creates clients for balancers.
func (o *balancerOptions) newDialer() (operatorDialer, error) {
	key, err := o.checkAndReadKey()
	if err != nil {
		return nil, err
	}
	return func(address string) wire.Operator { return control.NewOperatorClient(address, key) }, nil
}

// checkAndReadKey checks the balancer addresses and reads the fleet key.
func (o *balancerOptions) checkAndReadKey() ([]byte, error) {
	switch {
	case len(o.Balancers) == 0:
		return nil, usageError("the required flag `--balancer' was not specified")
	case o.FleetKeyFile == "":
		return nil, usageError("the required flag `--fleet-key-file' was not specified")
	}
	if err := checkBalancerAddresses("--balancer", o.Balancers, "10.0.0.1:7600"); err != nil {
		return nil, err
	}
	return readFleetKey(o.FleetKeyFile)
}

// checkBalancerAddresses checks the values of an option that takes addresses of balancers.
func checkBalancerAddresses(option string, addresses []string, example string) error {
	for _, address := range addresses {
		if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 {
			return usageError("%s: %q is not an address:port such as %s", option, address, example)
		}
	}
	return nil
}

func readFleetKey(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError("--fleet-key-file: %v", err)
	}
	key, err := hex.DecodeString(string(bytes.TrimSpace(data)))
	if err != nil || len(key) < minKeyBytes || len(key) > maxKeyBytes {
		return nil, usageError("--fleet-key-file: %s does not hold %d to %d hexadecimal digits", path, 2*minKeyBytes, 2*maxKeyBytes)
	}
	return key, nil
}

// queryFirst queries the balancers in turn and returns the first status, or the last error.
func queryFirst(ctx context.Context, dial operatorDialer, addresses []string) (*wire.StatusResponse, error) {
	var lastErr error
	for _, address := range addresses {
		status, err := queryStatus(ctx, dial, address)
		if err == nil {
			return status, nil
		}
		lastErr = errors.Wrapf(err, "balancer %s", address)
	}
	return nil, lastErr
}

func queryStatus(ctx context.Context, dial operatorDialer, address string) (*wire.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	status, err := dial(address).Status(ctx, &wire.StatusRequest{})
	return status, control.UnwrapRPCError(err)
}

func queryExplanation(ctx context.Context, dial operatorDialer, address string, request *wire.ExplainRequest) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := dial(address).Explain(ctx, request)
	return response.GetLines(), err
}

// isInvalidArgument reports whether a balancer rejected the request because it names an
// object that does not exist.
func isInvalidArgument(err error) bool {
	var rpcErr twirp.Error
	return errors.As(err, &rpcErr) && rpcErr.Code() == twirp.InvalidArgument
}

// queryMembers queries the status of members, a bounded number at a time. The responses
// and errors are by VM name.
func queryMembers(ctx context.Context, dial operatorDialer, members []*wire.Member) (map[string]*wire.StatusResponse, map[string]error) {
	responses, failures := map[string]*wire.StatusResponse{}, map[string]error{}
	var mu sync.Mutex
	queryConcurrently(members, func(_ int, m *wire.Member) {
		status, err := queryStatus(ctx, dial, m.Control)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failures[m.Vm] = err
			return
		}
		responses[m.Vm] = status
	})
	return responses, failures
}

// queryConcurrently calls query for each balancer, at most maxConcurrentRequests at a time, and waits
// for all calls.
func queryConcurrently[T any](balancers []T, query func(i int, balancer T)) {
	var workers sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentRequests)
	for i, b := range balancers {
		semaphore <- struct{}{}
		workers.Go(func() {
			defer func() { <-semaphore }()
			query(i, b)
		})
	}
	workers.Wait()
}

// isLive reports whether a member takes part in the fleet: it is alive, suspected or leaving.
func isLive(m *wire.Member) bool {
	switch m.State {
	case wire.MemberState_MEMBER_STATE_ALIVE, wire.MemberState_MEMBER_STATE_SUSPECT, wire.MemberState_MEMBER_STATE_LEAVING:
		return true
	}
	return false
}

// stateName returns the state of a member in lower case.
func stateName(state wire.MemberState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "MEMBER_STATE_"))
}

// membersBehind returns the live members that have reported a lower generation.
func membersBehind(members []*wire.Member, generation uint64) []*wire.Member {
	var list []*wire.Member
	for _, m := range members {
		if isLive(m) && m.Generation < generation {
			list = append(list, m)
		}
	}
	return list
}

// refreshGenerations queries the live members below a generation directly and updates their
// generations, because the members' views of each other lag by up to one state
// exchange (10 s).
func refreshGenerations(ctx context.Context, dial operatorDialer, members []*wire.Member, generation uint64) peerResponses {
	responses, failures := queryMembers(ctx, dial, membersBehind(members, generation))
	for _, m := range members {
		if status := responses[m.Vm]; status != nil {
			m.Generation = max(m.Generation, status.Generation)
		}
	}
	return peerResponses{responses: responses, failures: failures}
}

// queryFleet returns the state of the fleet that planning a publish needs.
func queryFleet(ctx context.Context, dial operatorDialer, addresses []string, store platform.Store) (publish.Fleet, error) {
	status, err := queryFirst(ctx, dial, addresses)
	if err != nil {
		return publish.Fleet{}, err
	}
	refreshGenerations(ctx, dial, status.Members, status.Generation)
	fleet := publish.Fleet{}
	for _, m := range status.Members {
		fleet.Members = append(fleet.Members, publish.Member{
			VM:         m.Vm,
			Live:       isLive(m),
			Left:       m.State == wire.MemberState_MEMBER_STATE_LEFT,
			Generation: m.Generation,
			HeardAge:   time.Duration(m.HeardAgeSeconds * float64(time.Second)),
		})
	}
	fleet.VMs, err = store.VMs(ctx)
	fleet.Available = err == nil
	return fleet, nil
}
