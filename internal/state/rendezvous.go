package state

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
)

// FlowHash returns the hash of a flow; it is the same on all balancers.
func FlowHash(k protocol.FlowKey) uint64 {
	b := k.Bytes()
	return xxhash.Sum64(b[:])
}

// Mix combines two hashes into one with the SplitMix64 finalizer.
func Mix(a, b uint64) uint64 {
	x := a ^ bits.RotateLeft64(b*0x9e3779b97f4a7c15, 31)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// RendezvousScore returns the weighted rendezvous score of a target for a flow; the
// highest score wins.
func RendezvousScore(flow, target uint64, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	u := (float64(Mix(flow, target)>>11) + 0.5) / (1 << 53)
	return weight / -math.Log(u)
}

// RendezvousTarget returns the target that the table alone selects for a flow: the one
// with the highest rendezvous score among the targets that do not drain, or among all
// targets when all drain.
func (s *Service) RendezvousTarget(flow uint64) *Target {
	if t := s.rendezvousTarget(flow, false); t != nil {
		return t
	}
	return s.rendezvousTarget(flow, true)
}

func (s *Service) rendezvousTarget(flow uint64, includeDraining bool) *Target {
	var best *Target
	bestScore := -1.0
	for _, t := range s.Targets {
		if t.Drain && !includeDraining {
			continue
		}
		if score := RendezvousScore(flow, t.Hash, float64(t.Weight)); score > bestScore {
			best, bestScore = t, score
		}
	}
	return best
}
