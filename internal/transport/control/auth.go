package control

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"encoding/base64"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// HTTP headers that authenticate requests and responses.
const (
	nonceHeader = "Kw-Nonce"
	macHeader   = "Kw-Mac"
)

const (
	nonceBytes = 12
	// maxRequestBytes limits a request body. The largest request carries a view of
	// thousands of members.
	maxRequestBytes = 1 << 20
	// maxResponseBytes limits a response body. The largest response carries a full snapshot.
	maxResponseBytes = 16 << 20
	// replayCacheSize is the number of recent nonces that are kept to reject replayed requests.
	replayCacheSize = 4096
)

// authClient authenticates requests with an HMAC under the fleet key and verifies the
// responses. It implements the HTTPClient interface of the generated Twirp clients.
type authClient struct {
	key        []byte
	httpClient *http.Client
}

// Do sends one request. It reads the whole response and returns it only if its MAC
// is valid. Responses with a status other than 200 are returned unverified.
func (c *authClient) Do(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails
	path := []byte(request.URL.Path)
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	request.Header.Set(nonceHeader, encodeHeader(nonce))
	request.Header.Set(macHeader, encodeHeader(computeMAC(c.key, "request", nonce, path, body)))
	request.Header.Set("User-Agent", "") // not sent
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return response, nil
	}
	return c.verify(response, nonce)
}

func (c *authClient) verify(response *http.Response, nonce []byte) (*http.Response, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response body")
	}
	if len(body) > maxResponseBytes {
		return nil, errors.Errorf("response body exceeds %d bytes", maxResponseBytes)
	}
	if !hmac.Equal(decodeHeader(response.Header, macHeader), computeMAC(c.key, "response", nonce, body)) {
		return nil, errors.Wrap(errInvalidMAC, "response")
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

// authHandler refuses requests without a valid MAC under the fleet key and replayed
// requests. It adds a MAC to the responses.
type authHandler struct {
	key       []byte
	next      http.Handler
	onRefusal func(reason string)
	nonces    replayCache
}

// ServeHTTP verifies one request, passes it to the next handler and authenticates the response.
func (h *authHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		h.refuse(w, "request could not be read")
		return
	}
	nonce := decodeHeader(r.Header, nonceHeader)
	expectedMAC := computeMAC(h.key, "request", nonce, []byte(r.URL.Path), body)
	if len(nonce) != nonceBytes || !hmac.Equal(decodeHeader(r.Header, macHeader), expectedMAC) {
		h.refuse(w, "wrong authentication code")
		return
	}
	if !h.nonces.insertIfNew(string(nonce)) {
		h.refuse(w, "request was seen before")
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	buffered := &bufferedResponse{header: w.Header(), status: http.StatusOK}
	h.next.ServeHTTP(buffered, r)
	w.Header().Set(macHeader, encodeHeader(computeMAC(h.key, "response", nonce, buffered.body.Bytes())))
	w.WriteHeader(buffered.status)
	_, _ = w.Write(buffered.body.Bytes()) // a broken connection is reported to the client as an error
}

func (h *authHandler) refuse(w http.ResponseWriter, reason string) {
	h.onRefusal(reason)
	http.Error(w, "refused", http.StatusUnauthorized)
}

// bufferedResponse buffers a response, because its MAC covers the whole body and is
// sent in a header.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *bufferedResponse) Header() http.Header { return b.header }

func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }

// replayCache holds the most recent nonces and evicts the oldest one when it is full.
type replayCache struct {
	mu    sync.Mutex
	seen  map[string]bool
	order []string
}

// insertIfNew inserts a nonce. It returns false if the cache already holds it.
func (c *replayCache) insertIfNew(nonce string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = map[string]bool{}
	}
	if c.seen[nonce] {
		return false
	}
	c.seen[nonce] = true
	c.order = append(c.order, nonce)
	if len(c.order) > replayCacheSize {
		delete(c.seen, c.order[0])
		c.order = c.order[1:]
	}
	return true
}

func encodeHeader(raw []byte) string { return base64.RawURLEncoding.EncodeToString(raw) }

// decodeHeader decodes a header value. It returns nil for a malformed value and an empty
// slice for a missing one.
func decodeHeader(h http.Header, name string) []byte {
	raw, err := base64.RawURLEncoding.DecodeString(h.Get(name))
	if err != nil {
		return nil
	}
	return raw
}
