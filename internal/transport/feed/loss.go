package feed

import (
	"math"
	"net/netip"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/coordination/feed"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// ownLoss returns the loss counts of this balancer.
func (s *Service) ownLoss() feed.LossCounts {
	packets, lost := s.options.Dispatcher.Loss()
	return feed.LossCounts{Packets: packets, Lost: lost}
}

// exchangeLoss records the loss counts in a probe of a follower and returns those of the
// place for the answer. It returns nil if the probe has none.
func (s *Service) exchangeLoss(now time.Time, subtree *wire.FeedLoss, from netip.AddrPort) *wire.FeedLoss {
	if subtree == nil {
		return nil
	}
	own := s.ownLoss()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss.RecordFollower(now, from, decodeLoss(subtree))
	place := s.loss.Place(now, own)
	s.options.Dispatcher.SetPlaceLoss(place.Packets, place.Lost)
	return encodeLoss(place)
}

// applyPlaceLoss applies the loss counts of the place from an answer of the parent, if it
// has any. The caller holds mu.
func (s *Service) applyPlaceLoss(place *wire.FeedLoss) {
	if place == nil {
		return
	}
	counts := decodeLoss(place)
	s.loss.RecordParent(s.options.Now(), counts)
	s.options.Dispatcher.SetPlaceLoss(counts.Packets, counts.Lost)
}

func encodeLoss(c feed.LossCounts) *wire.FeedLoss {
	return &wire.FeedLoss{Packets: encodeCount(c.Packets), LostTenths: encodeCount(10 * c.Lost)}
}

func encodeCount(n float64) uint32 { return uint32(min(math.Round(n), math.MaxUint32)) }

func decodeLoss(l *wire.FeedLoss) feed.LossCounts {
	return feed.LossCounts{Packets: float64(l.GetPackets()), Lost: float64(l.GetLostTenths()) / 10}
}
