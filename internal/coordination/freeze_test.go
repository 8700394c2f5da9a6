package coordination

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/internal/objects"
	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/state"
)

// Guards against a balancer that, after a freeze, admits openers before a peer has
// confirmed its view, drops openers for the whole hold-off although the view did
// not change, or refuses openers during the hold-off.
func TestConfirmedViewEndsFreeze(t *testing.T) {
	set := objects.Set{
		Places:   []objects.Place{{Name: "p0"}},
		Services: []objects.Service{{Name: "s", Address: netip.MustParseAddr("10.0.0.1"), Port: 443, Protocol: objects.ProtocolQUIC, Pool: "p"}},
		Pools:    []objects.Pool{{Name: "p", Slots: 1, Connections: 1}},
		Targets:  []objects.Target{{Name: "t", Pool: "p", Place: "p0", Address: netip.MustParseAddr("10.1.0.1"), Port: 443, Weight: 100}},
	}
	table, err := state.NewTable(1, "digest", set)
	assert.NilError(t, err)
	now := time.Unix(1_800_000_000, 0)
	d := NewDispatcher(Options{Self: "vm-1", Place: "p0"})
	d.AdoptTable(now, table)
	d.SetView(now, View{Members: []Member{{VM: "vm-1", Place: "p0"}}})
	opener := func(port uint16) Ingress {
		return Ingress{Packet: protocol.Packet{
			Source: protocol.Endpoint{IP: [4]byte{10, 9, 0, 1}, Port: port}, Destination: protocol.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 443},
			Transport: protocol.TransportUDP, Kind: protocol.KindOpener, HasTag: true, Tag: 1, SourceTag: 2,
		}}
	}
	now = now.Add(time.Minute)
	d.HandleFreeze(now)
	assert.Equal(t, d.Handle(now, opener(1)).Reason, ReasonFrozen)
	d.ConfirmView()
	assert.Equal(t, d.Handle(now, opener(1)).Reason, ReasonAdmitted)
	assert.Equal(t, d.Handle(now, opener(2)).Reason, ReasonHoldOff)
	assert.Equal(t, d.Handle(now.Add(time.Minute), opener(3)).Action, ActionRefuse)
}
