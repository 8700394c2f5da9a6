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

// Headers of authenticated requests and responses.
const (
	nonceHeader = "Kw-Nonce"
	macHeader   = "Kw-Mac"
)

const (
	nonceBytes = 12
	// maxRequestBytes bounds a request; the largest is a view of thousands of members.
	maxRequestBytes = 1 << 20
	// maxResponseBytes bounds a response; the largest is a whole snapshot.
	maxResponseBytes = 16 << 20
	// rememberedNonces is the number of recent requests that cannot be replayed.
	replayCacheSize = 4096
)

// authClient signs requests with the fleet key and verifies the responses. It
// implements the HTTP client that the generated Twirp clients need.
type authClient struct {
	key        []byte
	httpClient *http.Client
}

// Do sends one request.
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
		return nil, errors.Wrap(err, "read response")
	}
	if len(body) > maxResponseBytes {
		return nil, errors.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	if !hmac.Equal(decodeHeader(response.Header, macHeader), computeMAC(c.key, "response", nonce, body)) {
		return nil, errors.Wrap(errInvalidMAC, "response")
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

// authHandler refuses requests that are not signed with the fleet key, or that
// were seen before, and signs the responses.
type authHandler struct {
	key       []byte
	next      http.Handler
	onRefusal func(reason string)
	nonces    replayCache
}

// ServeHTTP verifies and serves one request.
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
	_, _ = w.Write(buffered.body.Bytes()) // the client sees a broken connection as an error
}

func (h *authHandler) refuse(w http.ResponseWriter, reason string) {
	h.onRefusal(reason)
	http.Error(w, "refused", http.StatusUnauthorized)
}

// bufferedResponse keeps a response until its code can be computed.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *bufferedResponse) Header() http.Header { return b.header }

func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }

// nonceMemory remembers recent nonces.
type replayCache struct {
	mu    sync.Mutex
	seen  map[string]bool
	order []string
}

// add reports whether a nonce is new, and remembers it.
func (n *replayCache) insertIfNew(nonce string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seen == nil {
		n.seen = map[string]bool{}
	}
	if n.seen[nonce] {
		return false
	}
	n.seen[nonce] = true
	n.order = append(n.order, nonce)
	if len(n.order) > replayCacheSize {
		delete(n.seen, n.order[0])
		n.order = n.order[1:]
	}
	return true
}

func encodeHeader(raw []byte) string { return base64.RawURLEncoding.EncodeToString(raw) }

// decodeHeader returns nil for a missing or malformed value.
func decodeHeader(h http.Header, name string) []byte {
	raw, err := base64.RawURLEncoding.DecodeString(h.Get(name))
	if err != nil {
		return nil
	}
	return raw
}
