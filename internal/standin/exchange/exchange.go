// Package exchange is the format that the caller and target stand-ins speak on
// QUIC streams. A caller sends one request line, with an upload if it announced
// one. The target answers with one header line, the body and one trailer line. A
// feed has messages, each a line, in place of the body. The caller closes its side of
// the stream after the whole answer, which tells the target that all of it arrived.
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

// ALPN is the application protocol that both stand-ins negotiate.
const ALPN = "kumquatworks-standin"

// maxLineBytes bounds one line of the format.
const maxLineBytes = 4096

// Error codes of closed connections.
const (
	// CodeDone closes a connection whose work is done.
	CodeNoError = 0
	// CodeLeaving closes a connection because the target stops.
	CodeLeaving = 1
)

// Kinds of requests.
const (
	KindRequest = "request"
	KindFeed    = "feed"
)

// Status of an answer.
const (
	// StatusOK: the request ran.
	StatusOK = "ok"
	// StatusShed: the target had too many waiting requests; the request did not run.
	StatusShed = "shed"
	// StatusExpired: the deadline passed before a slot was free; the request did not run.
	StatusExpired = "expired"
	// StatusLeaving: the target stops; the request did not run.
	StatusLeaving = "leaving"
)

// Request is the first line of a stream.
type Request struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// WorkMS is how long the request occupies a slot.
	WorkMS int `json:"work_ms,omitempty"`
	// Bytes is the size of the answer's body.
	BodyBytes int `json:"bytes,omitempty"`
	// Upload is the size of the data that follows the line.
	UploadBytes int `json:"upload,omitempty"`
	// DeadlineMS is how long the caller waits for a slot; 0 is without limit.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// IntervalMS is the interval of a feed's messages; 0 is none but echoes.
	IntervalMS int `json:"interval_ms,omitempty"`
}

// Header is the first line of an answer.
type Header struct {
	ID        string `json:"id"`
	Service   string `json:"service"`
	Target    string `json:"target"`
	Status    string `json:"status"`
	BodyBytes int    `json:"bytes"`
}

// Trailer is the last line of the answer to a request. Digest covers the upload.
type Trailer struct {
	ID     string `json:"id"`
	Digest string `json:"digest"`
}

// Message is one line of a feed.
type Message struct {
	ID string `json:"id"`
	// Seq counts the target's own messages from 1; 0 in an echo.
	Seq uint64 `json:"seq,omitempty"`
	// Echo repeats the number that the caller sent.
	Echo uint64 `json:"echo,omitempty"`
	// End marks the last message.
	End bool `json:"end,omitempty"`
}

// Body returns the n bytes that answer the request with this id.
func Body(id string, size int) []byte {
	body := make([]byte, size)
	_, _ = rand.NewChaCha8(sha256.Sum256([]byte(id))).Read(body) // never fails
	return body
}

// Digest returns the digest of an upload.
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

// NewReader returns a reader for ReadLine.
func NewReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, maxLineBytes) }

// ReadLine reads one JSON line into v.
func ReadLine(r *bufio.Reader, v any) error {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(json.Unmarshal(line, v), "malformed line")
}

// ParseNamed splits NAME=ADDRESS:PORT.
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
