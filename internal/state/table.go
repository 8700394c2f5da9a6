package state

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

const (
	// slotsPerShard is the number of slots per shard; a service with more slots is split
	// into more shards, up to maxShards. Fewer shard owners select targets better, see
	// the design documentation.
	slotsPerShard = 4096
	maxShards     = 64

	defaultWeight      = 100
	defaultOpenTimeout = time.Second
)

// Address is an endpoint together with its transport.
type Address struct {
	Endpoint  protocol.Endpoint
	Transport uint8
}

// Target is one backend of a service in a table.
type Target struct {
	objects.Target
	Endpoint protocol.Endpoint
	Service  *Service
	// Hash is the hash of the endpoint for rendezvous hashing.
	Hash uint64
}

// Service is one service of a table with its pool and targets.
type Service struct {
	objects.Service
	Address     Address
	Pool        objects.Pool
	Targets     []*Target
	OpenTimeout time.Duration
	// Shards is the number of shards into which the flows of the service are divided. Each
	// shard has its own owner.
	Shards int
	// Hash is the hash of the service name for the owner ring.
	Hash uint64
}

// Table is the service table of one configuration generation. It is immutable.
type Table struct {
	Generation uint64
	Digest     string
	Set        objects.Set

	services map[Address]*Service
	targets  map[Address]*Target
}

// NewTable returns the service table of a validated configuration.
func NewTable(generation uint64, digest string, set objects.Set) (*Table, error) {
	t := &Table{
		Generation: generation,
		Digest:     digest,
		Set:        set,
		services:   make(map[Address]*Service, len(set.Services)),
		targets:    make(map[Address]*Target, len(set.Targets)),
	}
	byPool := make(map[string]*Service, len(set.Services))
	pools := make(map[string]objects.Pool, len(set.Pools))
	for _, p := range set.Pools {
		pools[p.Name] = p
	}
	for _, s := range set.Services {
		svc, err := newService(s, pools)
		if err != nil {
			return nil, err
		}
		if _, exists := t.services[svc.Address]; exists {
			return nil, errors.Errorf("service %s: address %s is already used by another service", s.Name, svc.Address.Endpoint)
		}
		if other, exists := byPool[s.Pool]; exists {
			return nil, errors.Errorf("service %s: pool %s is already used by service %s", s.Name, s.Pool, other.Name)
		}
		t.services[svc.Address] = svc
		byPool[s.Pool] = svc
	}
	for _, tgt := range set.Targets {
		if err := t.addTarget(tgt, byPool[tgt.Pool]); err != nil {
			return nil, err
		}
	}
	for _, svc := range t.services {
		svc.Shards = shardCount(len(svc.Targets) * int(svc.Pool.Slots))
	}
	return t, nil
}

func newService(s objects.Service, pools map[string]objects.Pool) (*Service, error) {
	if !s.Address.Unmap().Is4() {
		return nil, errors.Errorf("service %s: address %s is not an IPv4 address", s.Name, s.Address)
	}
	pool, ok := pools[s.Pool]
	if !ok {
		return nil, errors.Errorf("service %s: pool %s is not defined", s.Name, s.Pool)
	}
	svc := &Service{
		Service:     s,
		Pool:        pool,
		OpenTimeout: time.Duration(s.OpenTimeoutMS) * time.Millisecond,
		Hash:        xxhash.Sum64String(s.Name),
	}
	svc.Address.Endpoint = protocol.NewEndpoint(netip.AddrPortFrom(s.Address, s.Port))
	svc.Address.Transport = s.Protocol.Transport()
	if svc.OpenTimeout == 0 {
		svc.OpenTimeout = defaultOpenTimeout
	}
	return svc, nil
}

func (t *Table) addTarget(object objects.Target, svc *Service) error {
	if svc == nil {
		return nil
	}
	if !object.Address.Unmap().Is4() {
		return errors.Errorf("target %s: address %s is not an IPv4 address", object.Name, object.Address)
	}
	if object.Weight == 0 {
		object.Weight = defaultWeight
	}
	tgt := &Target{Target: object, Service: svc}
	tgt.Endpoint = protocol.NewEndpoint(netip.AddrPortFrom(object.Address, object.Port))
	tgt.Hash = xxhash.Sum64String(tgt.Endpoint.String())
	address := Address{Endpoint: tgt.Endpoint, Transport: svc.Address.Transport}
	if other, exists := t.targets[address]; exists {
		return errors.Errorf("target %s: address %s is already used by target %s", object.Name, tgt.Endpoint, other.Name)
	}
	t.targets[address] = tgt
	svc.Targets = append(svc.Targets, tgt)
	return nil
}

func shardCount(slots int) int {
	shards := (slots + slotsPerShard - 1) / slotsPerShard
	return min(max(shards, 1), maxShards)
}

// Service returns the service at an address, or nil.
func (t *Table) Service(a Address) *Service { return t.services[a] }

// Target returns the target at an address, or nil.
func (t *Table) Target(a Address) *Target { return t.targets[a] }

// ForEachService calls f for each service, in configuration order.
func (t *Table) ForEachService(f func(*Service)) {
	for _, s := range t.Set.Services {
		a := Address{
			Endpoint:  protocol.NewEndpoint(netip.AddrPortFrom(s.Address, s.Port)),
			Transport: s.Protocol.Transport(),
		}
		f(t.services[a])
	}
}
