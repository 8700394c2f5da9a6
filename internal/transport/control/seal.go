package control

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// macBytes is the length of the truncated HMAC-SHA256 of control messages.
const macBytes = 16

var (
	errInvalidMAC       = errors.New("wrong authentication code")
	errMalformedMessage = errors.New("malformed message")
)

// authCode returns the truncated HMAC of the parts. Each use has its own
// label, so that a code cannot be moved from one use to another.
func computeMAC(key []byte, label string, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(label))
	for _, part := range parts {
		length := len(part)
		h.Write([]byte{0, byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)})
		h.Write(part)
	}
	return h.Sum(nil)[:macBytes]
}

// sealProbe returns the datagram of a probe.
func sealProbe(key []byte, probe *wire.Probe) ([]byte, error) {
	payload, err := proto.Marshal(probe)
	if err != nil {
		return nil, errors.Wrap(err, "encode probe")
	}
	sealed := &wire.Sealed{Payload: payload, Mac: computeMAC(key, "probe", payload)}
	datagram, err := proto.Marshal(sealed)
	return datagram, errors.Wrap(err, "encode sealed probe")
}

// openProbe verifies and decodes a datagram.
func openProbe(key, datagram []byte) (*wire.Probe, error) {
	var sealed wire.Sealed
	if err := proto.Unmarshal(datagram, &sealed); err != nil {
		return nil, errMalformedMessage
	}
	if !hmac.Equal(sealed.Mac, computeMAC(key, "probe", sealed.Payload)) {
		return nil, errInvalidMAC
	}
	probe := &wire.Probe{}
	if err := proto.Unmarshal(sealed.Payload, probe); err != nil {
		return nil, errMalformedMessage
	}
	return probe, nil
}
