package control

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatworks/kumquatworks/internal/protocol/wire"
)

// macBytes is the length of the MAC of control messages, a truncated HMAC-SHA256.
const macBytes = 16

var (
	errInvalidMAC     = errors.New("invalid message authentication code")
	errMalformedProbe = errors.New("malformed probe")
)

// computeMAC returns the truncated HMAC of the parts. Each use has its own label for
// domain separation, so that a MAC of one use is not valid for another. The length
// before each part makes the boundaries between parts unambiguous.
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

// sealProbe encodes a probe with its MAC as a datagram. The probe is authenticated, not
// encrypted.
func sealProbe(key []byte, probe *wire.Probe) ([]byte, error) {
	payload, err := proto.Marshal(probe)
	if err != nil {
		return nil, errors.Wrap(err, "encode probe")
	}
	sealed := &wire.Sealed{Payload: payload, Mac: computeMAC(key, "probe", payload)}
	datagram, err := proto.Marshal(sealed)
	return datagram, errors.Wrap(err, "encode sealed probe")
}

// openProbe verifies the MAC of a datagram and decodes its probe.
func openProbe(key, datagram []byte) (*wire.Probe, error) {
	var sealed wire.Sealed
	if err := proto.Unmarshal(datagram, &sealed); err != nil {
		return nil, errMalformedProbe
	}
	if !hmac.Equal(sealed.Mac, computeMAC(key, "probe", sealed.Payload)) {
		return nil, errInvalidMAC
	}
	probe := &wire.Probe{}
	if err := proto.Unmarshal(sealed.Payload, probe); err != nil {
		return nil, errMalformedProbe
	}
	return probe, nil
}
