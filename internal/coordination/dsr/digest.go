package dsr

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Digest is a hash of data that balancers compare, 0 for none. Its text form is hexadecimal,
// because many readers of JSON lose digits of large numbers.
type Digest uint64

// String implements fmt.Stringer.
func (g Digest) String() string { return strconv.FormatUint(uint64(g), 16) }

// MarshalText implements encoding.TextMarshaler.
func (g Digest) MarshalText() ([]byte, error) { return []byte(g.String()), nil }

// digest returns a hash of the version and the content of a set of routes, by which balancers
// compare their routes. It does not depend on the order of the routes and is never 0.
func (s RouteSet) digest() Digest {
	var sum uint64
	for _, r := range s.byAddress() {
		sum += r.contentHash()
	}
	return Digest(max(state.Mix(sum, state.Mix(s.Version, uint64(s.IdleTimeout))), 1))
}

// contentHash returns a hash of the settings of a route. It is computed once, because most
// routes stay the same from one version to the next.
func (r *Route) contentHash() uint64 {
	if r.cachedHash == 0 {
		r.cachedHash = r.computeHash()
	}
	return r.cachedHash
}

func (r *Route) computeHash() uint64 {
	b := appendString(nil, r.Name)
	b = append(b, r.Address.IP[:]...)
	b = binary.BigEndian.AppendUint16(b, r.Address.Port)
	b = binary.BigEndian.AppendUint64(b, uint64(r.Timeout))
	b = binary.BigEndian.AppendUint64(b, uint64(r.LatencyTarget))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Priority))
	for _, backend := range r.Backends {
		b = appendString(b, backend.Service)
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(backend.Weight))
		b = binary.BigEndian.AppendUint64(b, uint64(backend.MaxFlowsPerTarget))
		if backend.ColdPerSecond > 0 { // otherwise the hash is that of versions without the field
			b = binary.BigEndian.AppendUint64(b, math.Float64bits(backend.ColdPerSecond))
			b = binary.BigEndian.AppendUint64(b, uint64(backend.ColdDuration))
		}
	}
	return xxhash.Sum64(b)
}

// digest returns a hash of the targets that are not gone and of which of them are evacuated, by
// which balancers compare them.
func (g *registry) digest() Digest {
	var sum uint64
	for _, t := range g.byID {
		if t.goneAt.IsZero() {
			sum += t.evacuationHash()
		}
	}
	return Digest(sum)
}

// contentHash returns a hash of the fields that followers replicate: all whose changes
// differs reports.
func (a Announcement) contentHash() uint64 {
	b := appendString(nil, a.ID)
	b = appendString(b, a.Service)
	b = appendString(b, a.Place)
	b = append(b, a.Endpoint.IP[:]...)
	b = binary.BigEndian.AppendUint16(b, a.Endpoint.Port)
	for _, n := range []uint64{a.Incarnation, uint64(a.Started), uint64(a.Slots), a.Created} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	if a.Draining {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// Low returns the half of the digest that balancers exchange in datagrams.
func (g Digest) Low() uint32 { return uint32(g) }

// appendString appends a string with its length, so that successive strings cannot be
// confused with others of the same concatenation.
func appendString(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}
