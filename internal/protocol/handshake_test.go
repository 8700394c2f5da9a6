package protocol

import (
	"context"
	"crypto/ed25519"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"
)

// recordingConn is a packet connection that decodes and records the datagrams it reads
// and writes.
type recordingConn struct {
	net.PacketConn
	mu      sync.Mutex
	packets []Packet
	sent    []bool
}

func (r *recordingConn) record(payload []byte, sent bool) {
	p, err := NewDecoder().Decode(BuildUDP(caller, service, payload))
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.packets = append(r.packets, p)
	r.sent = append(r.sent, sent)
}

func (r *recordingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, addr, err := r.PacketConn.ReadFrom(p)
	if err == nil {
		r.record(p[:n], false)
	}
	return n, addr, err
}

func (r *recordingConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	r.record(p, true)
	return r.PacketConn.WriteTo(p, addr)
}

func selfSignedTLSConfig(t *testing.T) *tls.Config {
	public, private, err := ed25519.GenerateKey(nil)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{"x"}}
	der, err := x509.CreateCertificate(nil, template, template, public, private)
	assert.NilError(t, err)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}}, NextProtos: []string{"x"}}
}

// Guards against classifying a handshake datagram of a caller as the opener of another
// connection. quic-go acknowledges the server's Initial in a datagram that is already
// addressed to another connection ID of the server.
func TestQUICHandshakeTags(t *testing.T) {
	for _, version := range []quic.Version{quic.Version1, quic.Version2} {
		server, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		defer server.Close()
		config := &quic.Config{Versions: []quic.Version{version}}
		listener, err := quic.Listen(server, selfSignedTLSConfig(t), config)
		assert.NilError(t, err)
		socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		defer socket.Close()
		r := &recordingConn{PacketConn: socket}
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		conn, err := quic.Dial(ctx, r, server.LocalAddr(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"x"}}, config)
		assert.NilError(t, err)
		accepted, err := listener.Accept(ctx)
		assert.NilError(t, err)
		<-conn.HandshakeComplete()
		assert.NilError(t, accepted.CloseWithError(0, ""))
		<-conn.Context().Done()
		r.checkTags(t)
	}
}

// checkTags checks that each opener has the tag of the first one or the tag that the
// server chose, and that the server's long-header packets keep one source tag.
func (r *recordingConn) checkTags(t *testing.T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	openerTag, answerTag := r.packets[0].Tag, uint32(0)
	for i, p := range r.packets {
		hasLongHeader := p.Kind == KindOpener || p.Kind == KindHandshake
		switch {
		case r.sent[i] && p.Kind == KindOpener:
			assert.Assert(t, p.HasTag && (p.Tag == openerTag || p.Tag == answerTag), "opener with tag %08x", p.Tag)
		case !r.sent[i] && hasLongHeader && answerTag == 0:
			answerTag = p.SourceTag
		case !r.sent[i] && hasLongHeader:
			assert.Equal(t, p.SourceTag, answerTag)
		}
	}
	assert.Assert(t, answerTag != 0)
}
