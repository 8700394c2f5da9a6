package scenario

import (
	"encoding/hex"
	"net"
	"net/netip"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/standin/platform"
)

const (
	wrongFleetKey = "ffeeddccbbaa99887766554433221100"
	// malformedPacketCount is high enough that the fabric, which picks a balancer at
	// random for each packet, reaches each of three balancers.
	malformedPacketCount = 100
)

// outageCommand publishes the drain of a target: outage TARGET. As soon as one balancer
// has the new generation in force, the platform fails: it closes every connection
// without a response.
func outageCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	f.applyChanges(ts, []string{args[0], "drain"})
	previousGeneration := f.highestGeneration(ts)
	f.start(ts, "publish", f.publishArgs(ts)...)
	for deadline := time.Now().Add(pollTimeout); f.highestGeneration(ts) == previousGeneration; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			ts.Fatalf("the published generation is in force at no balancer: %s", ts.ReadFile("publish.err"))
		}
	}
	putJSON(ts, f.hostPort(platformPort)+"/test/switches", platform.Faults{Outage: true})
}

// highestGeneration returns the highest generation that is in force at any balancer.
func (f *fleet) highestGeneration(ts *testscript.TestScript) float64 {
	generation := 0.0
	for _, vm := range f.vms {
		generation = max(generation, debugVariable(f.debugAddress(ts, vm), "generation"))
	}
	return generation
}

// strangerCommand starts a balancer that has a wrong fleet key, is not on the VM list
// and has the balancers of the fleet as its seeds: stranger VM
func strangerCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	f.start(ts, args[0], "balancer", "--config", f.writeSettings(ts, args[0], wrongFleetKey))
}

// garbageCommand sends malformed and forged packets and control messages to the
// given balancers, and malformed packets through the fabric: garbage VM...
func garbageCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	for _, vm := range args {
		for _, datagram := range invalidPackets(ts) {
			sendBytes(ts, "udp4", f.dataAddress(ts, vm), datagram)
		}
		for _, datagram := range [][]byte{{0}, {0xff, 0xff}, []byte("not a probe"), make([]byte, 1400)} {
			sendBytes(ts, "udp4", f.controlAddress(ts, vm), datagram)
		}
		for _, request := range []string{"\x00\x01\x02", "POST /twirp/kumquatworks.wire.Peer/Handoff HTTP/1.1\r\nHost: x\r\n" +
			"Content-Type: application/protobuf\r\nContent-Length: 3\r\n\r\n\xff\xff\xff"} {
			sendBytes(ts, "tcp4", f.controlAddress(ts, vm), []byte(request))
		}
	}
	f.sendMalformedThroughFabric(ts)
}

// invalidPackets returns malformed and forged packets for the data port, among them a
// GRE packet that the fabric did not send, a relay with a wrong key, and a relay with
// the right key that no member sent.
func invalidPackets(ts *testscript.TestScript) [][]byte {
	key, err := hex.DecodeString(fleetKey)
	ts.Check(err)
	relayKey, err := protocol.DeriveRelayKey(key)
	ts.Check(err)
	wrongRelayKey := append([]byte(nil), relayKey...)
	wrongRelayKey[0]++
	inner := protocol.BuildUDP(
		protocol.NewEndpoint(netip.MustParseAddrPort("10.9.0.200:1000")),
		protocol.NewEndpoint(netip.MustParseAddrPort("10.0.0.1:443")), []byte("forged"))
	return [][]byte{
		{1}, []byte("not a packet"),
		protocol.AppendGRE(nil, inner),
		protocol.AppendRelay(nil, inner, 1, wrongRelayKey),
		protocol.AppendRelay(nil, inner, 1, relayKey),
	}
}

// sendMalformedThroughFabric sends GRE packets through the fabric whose payload is not
// an IPv4 packet.
func (f *fleet) sendMalformedThroughFabric(ts *testscript.TestScript) {
	conn, err := net.Dial("udp4", f.hostPort(fabricPort))
	ts.Check(err)
	defer conn.Close()
	_, err = conn.Write([]byte(`{"attach":["10.9.0.200"],"place":"pl-a"}`))
	ts.Check(err)
	acknowledgement := make([]byte, 1500)
	_, err = conn.Read(acknowledgement)
	ts.Check(err)
	for range malformedPacketCount {
		_, err = conn.Write(protocol.AppendGRE(nil, make([]byte, 40)))
		ts.Check(err)
	}
}

func sendBytes(ts *testscript.TestScript, network, address string, data []byte) {
	conn, err := net.Dial(network, address)
	ts.Check(err)
	defer conn.Close()
	_, err = conn.Write(data)
	ts.Check(err)
}
