package control

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/coordination/agent"
	"github.com/kumquatworks/kumquatworks/internal/coordination/membership"
	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// Guards against datagrams that crash the process or are accepted without the fleet key.
func FuzzOpenProbe(f *testing.F) {
	valid, err := sealProbe(fleetKey, &wire.Probe{Kind: wire.ProbeKind_PROBE_KIND_PING, Source: "vm-001"})
	assert.NilError(f, err)
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		if _, err := openProbe([]byte("another key"), datagram); err == nil {
			t.Fatal("probe was accepted under a different key")
		}
		probe, err := openProbe(fleetKey, datagram)
		if err == nil && probe.Source != "vm-001" {
			t.Fatalf("accepted a forged probe from %q", probe.Source)
		}
	})
}

// Guards against a crash on malformed probes with a valid MAC, which a faulty balancer
// may send.
func FuzzProbe(f *testing.F) {
	probe := &wire.Probe{
		Kind: wire.ProbeKind_PROBE_KIND_INDIRECT_PING, Source: "b", Subject: "c", Sequence: 7, Slot: 70000,
		Updates: []*wire.Member{{Vm: "a", Incarnation: 1 << 63, State: wire.MemberState_MEMBER_STATE_DEAD}, {Vm: "c", Control: "x"}},
		Head:    &wire.Head{Generation: 3, Digest: []byte{1}},
		Health:  []*wire.TargetHealth{{Target: "t", Prober: "b"}},
	}
	raw, err := proto.Marshal(probe)
	assert.NilError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var p wire.Probe
		if proto.Unmarshal(raw, &p) != nil {
			return
		}
		now := time.Unix(1_700_000_000, 0)
		addr := netip.MustParseAddrPort("127.0.0.1:7000")
		identity := membership.Config{VM: "a", Place: "pl-a", DataAddr: addr, ControlAddr: addr}
		a := agent.New(agent.NewConfig(identity, now, nil), now)
		for range 40 {
			a.HandleProbe(now, addr, &p)
			a.Tick(now)
			now = now.Add(50 * time.Millisecond)
		}
		assert.Equal(t, a.Tick(now).Snapshot == nil, true)
	})
}
