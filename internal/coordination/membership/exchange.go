package membership

import (
	"github.com/kumquatworks/kumquatworks/internal/coordination/gossip"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// Buckets returns hashes of the live members for an exchange.
func (d *Detector) Buckets() []byte {
	return d.buckets(gossip.BucketCount(len(d.liveVMs))).Bytes()
}

// BucketsLike returns as many hashes as the given ones.
func (d *Detector) BucketsSizedLike(encoded []byte) []byte {
	return d.buckets(len(gossip.ParseBuckets(encoded))).Bytes()
}

func (d *Detector) buckets(count int) gossip.Buckets {
	b := make(gossip.Buckets, count)
	for _, vm := range d.liveVMs {
		m := d.lookup(vm)
		b.Add(m.nameHash(), m.stateHash())
	}
	return b
}

// Differing returns the members of the buckets whose hash differs from the
// one given; all members when no hashes are given.
func (d *Detector) DifferingMembers(encoded []byte) []*wire.Member {
	peerBuckets := gossip.ParseBuckets(encoded)
	if len(peerBuckets) == 0 {
		return d.Members()
	}
	localBuckets := d.buckets(len(peerBuckets))
	var list []*wire.Member
	for _, u := range d.Members() {
		i := localBuckets.Index(d.lookup(u.Vm).nameHash())
		if localBuckets[i] != peerBuckets[i] {
			list = append(list, u)
		}
	}
	return list
}
