// Package exchange implements the application protocol that the caller and target
// stand-ins use on QUIC streams. A caller sends one JSON line with the request and
// then the upload, if the request announces one. The target responds with a header
// line, the body and a trailer line. In a feed, message lines take the place of the
// body and the trailer. The caller closes its side of the stream after it has
// received the complete response, which confirms the receipt to the target.
package exchange

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/netip"

	"github.com/pkg/errors"
)

// ALPN is the application protocol that both stand-ins negotiate in the TLS handshake.
const ALPN = "kumquatworks-standin"

// maxLineBytes limits the length of one JSON line.
const maxLineBytes = 4096

// QUIC application error codes with which connections are closed.
const (
	// CodeNoError is sent by a caller that has completed its work.
	CodeNoError = 0
	// CodeLeaving is sent by a target that stops.
	CodeLeaving = 1
)

// Kinds of requests.
const (
	KindRequest = "request"
	KindFeed    = "feed"
)

// Statuses of a response.
const (
	// StatusOK means that the request ran or that the feed opened.
	StatusOK = "ok"
	// StatusShed means that the request did not run because the queue of the target was full.
	StatusShed = "shed"
	// StatusExpired means that the request did not run because its deadline passed before a slot was free.
	StatusExpired = "expired"
	// StatusLeaving means that the request did not run, or the feed did not open, because the target stops.
	StatusLeaving = "leaving"
)

// Request is the first line of a stream.
type Request struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// WorkMS is how long the request occupies a slot.
	WorkMS int `json:"work_ms,omitempty"`
	// BodyBytes is the size of the response body.
	BodyBytes int `json:"bytes,omitempty"`
	// UploadBytes is the size of the upload that follows the request line.
	UploadBytes int `json:"upload,omitempty"`
	// DeadlineMS limits how long the request waits for a slot; 0 means no limit.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// IntervalMS is the interval between the messages of a feed; with 0, the target sends only echoes.
	IntervalMS int `json:"interval_ms,omitempty"`
}

// Header is the first line of a response.
type Header struct {
	ID        string `json:"id"`
	Service   string `json:"service"`
	Target    string `json:"target"`
	Status    string `json:"status"`
	BodyBytes int    `json:"bytes"`
}

// Trailer is the last line of the response to a request. Digest is the digest of the upload.
type Trailer struct {
	ID     string `json:"id"`
	Digest string `json:"digest"`
}

// Message is one line of a feed.
type Message struct {
	ID string `json:"id"`
	// Seq numbers the messages of the target from 1. It is 0 in an echo.
	Seq uint64 `json:"seq,omitempty"`
	// Echo is a number that the caller sends and the target returns.
	Echo uint64 `json:"echo,omitempty"`
	// End marks the last message of the feed.
	End bool `json:"end,omitempty"`
}

// Body returns the response body of the given size for a request. Its bytes are
// pseudorandom and depend only on the request ID, so the caller can verify them.
func Body(id string, size int) []byte {
	body := make([]byte, size)
	_, _ = rand.NewChaCha8(sha256.Sum256([]byte(id))).Read(body) // never fails
	return body
}

// Digest returns the first 8 bytes of the SHA-256 hash of an upload, in hex.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:8])
}

// WriteLine writes v as one JSON line.
func WriteLine(w io.Writer, v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = w.Write(append(line, '\n'))
	return errors.WithStack(err)
}

// NewReader returns a reader for ReadLine. The size of its buffer limits the length of a line.
func NewReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, maxLineBytes) }

// ReadLine reads one JSON line and decodes it into v.
func ReadLine(r *bufio.Reader, v any) error {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(json.Unmarshal(line, v), "decode JSON line")
}

// ParseNamedEndpoint parses a name and an endpoint in the form NAME=ADDRESS:PORT.
func ParseNamedEndpoint(s string) (string, netip.AddrPort, error) {
	for i := range s {
		if s[i] != '=' {
			continue
		}
		endpoint, err := netip.ParseAddrPort(s[i+1:])
		return s[:i], endpoint, errors.Wrapf(err, "%q", s)
	}
	return "", netip.AddrPort{}, errors.Errorf("%q: want NAME=ADDRESS:PORT", s)
}
