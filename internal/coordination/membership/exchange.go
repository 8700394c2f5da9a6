package membership

import (
	"github.com/kumquatworks/kumquatworks/internal/coordination/gossip"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// Buckets returns bucket hashes over the live members, for an anti-entropy exchange.
func (d *Detector) Buckets() []byte {
	return d.buckets(gossip.BucketCount(len(d.liveVMs))).Bytes()
}

// BucketsSizedLike returns as many bucket hashes as encoded holds, so that both
// sides can compare them.
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

// DifferingMembers returns the members in the buckets whose hashes differ from
// those that encoded holds, or all members if it holds none.
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
