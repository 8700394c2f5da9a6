package protocol

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
)

// Salts for the keys of Initial packets (RFC 9001, section 5.2, and RFC 9369, section
// 3.3). The keys of the first Initial of a connection are derived from its destination
// connection ID. Later Initials are addressed to an ID that the target chose, but are
// still protected with those keys. So an Initial opens a connection if its keys are
// derived from its own destination connection ID.
var (
	quicSaltV1 = []byte{0x38, 0x76, 0x2c, 0xf7, 0xf5, 0x59, 0x34, 0xb3, 0x4d, 0x17, 0x9a, 0xe6, 0xa4, 0xc8, 0x0c, 0xad, 0xcc, 0xbb, 0x7f, 0x0a}
	quicSaltV2 = []byte{0x0d, 0xed, 0xe3, 0xde, 0xf7, 0x00, 0xa6, 0xdb, 0x81, 0x93, 0x81, 0xbe, 0x6e, 0x26, 0x9d, 0xcb, 0xf9, 0xbd, 0x2e, 0xd9}
)

const (
	quicKeyBytes             = 16
	quicIVBytes              = 12
	quicSampleBytes          = 16 // ciphertext that the header protection mask is computed from
	quicMaxPacketNumberBytes = 4  // length of the longest packet number
)

// opensConnection reports whether the Initial in data is protected with the keys that
// are derived from destinationID, its own destination connection ID.
func opensConnection(data []byte, destinationID []byte, packetNumberOffset int) bool {
	if len(data) < packetNumberOffset+quicMaxPacketNumberBytes+quicSampleBytes {
		return false
	}
	salt, prefix := quicSaltV1, "quic"
	if binary.BigEndian.Uint32(data[1:]) == quicVersion2 {
		salt, prefix = quicSaltV2, "quicv2"
	}
	secret, err := hkdf.Extract(sha256.New, destinationID, salt)
	if err != nil {
		return false
	}
	clientSecret := hkdfExpandLabel(secret, "client in", sha256.Size)
	headerCipher, err := aes.NewCipher(hkdfExpandLabel(clientSecret, prefix+" hp", quicKeyBytes))
	if err != nil {
		return false
	}
	block, err := aes.NewCipher(hkdfExpandLabel(clientSecret, prefix+" key", quicKeyBytes))
	if err != nil {
		return false
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return false
	}
	var mask [quicSampleBytes]byte
	headerCipher.Encrypt(mask[:], data[packetNumberOffset+quicMaxPacketNumberBytes:][:quicSampleBytes])
	firstByte := data[0] ^ mask[0]&0x0f
	numberBytes := int(firstByte&0x03) + 1
	plainHeader := append([]byte{firstByte}, data[1:packetNumberOffset+numberBytes]...)
	nonce := hkdfExpandLabel(clientSecret, prefix+" iv", quicIVBytes)
	for i := range numberBytes {
		plainHeader[packetNumberOffset+i] ^= mask[1+i]
		nonce[quicIVBytes-numberBytes+i] ^= plainHeader[packetNumberOffset+i]
	}
	_, err = aead.Open(nil, nonce, data[packetNumberOffset+numberBytes:], plainHeader)
	return err == nil
}

// hkdfExpandLabel is the function HKDF-Expand-Label of TLS 1.3 with an empty context
// (RFC 8446, section 7.1).
func hkdfExpandLabel(secret []byte, label string, length int) []byte {
	label = "tls13 " + label
	info := binary.BigEndian.AppendUint16(nil, uint16(length))
	info = append(info, byte(len(label)))
	info = append(append(info, label...), 0)
	key, err := hkdf.Expand(sha256.New, secret, string(info), length)
	if err != nil {
		panic(err) // unreachable: the lengths are small constants
	}
	return key
}
