package membership

import (
	"github.com/kumquatworks/kumquatworks/internal/coordination/gossip"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// Buckets returns hashes of the live members for an exchange.
func (m *Machine) Buckets() []byte {
	return m.buckets(gossip.BucketCount(len(m.order))).Bytes()
}

// BucketsLike returns as many hashes as the given ones.
func (m *Machine) BucketsLike(raw []byte) []byte {
	return m.buckets(len(gossip.ParseBuckets(raw))).Bytes()
}

func (m *Machine) buckets(count int) gossip.Buckets {
	b := make(gossip.Buckets, count)
	for _, vm := range m.order {
		x := m.lookup(vm)
		b.Add(x.keyHash(), x.viewHash())
	}
	return b
}

// Differing returns the members of the buckets whose hash differs from the
// one given; all members when no hashes are given.
func (m *Machine) Differing(raw []byte) []*wire.Member {
	theirs := gossip.ParseBuckets(raw)
	if len(theirs) == 0 {
		return m.Members()
	}
	own := m.buckets(len(theirs))
	var list []*wire.Member
	for _, u := range m.Members() {
		i := own.Index(m.lookup(u.Vm).keyHash())
		if own[i] != theirs[i] {
			list = append(list, u)
		}
	}
	return list
}
