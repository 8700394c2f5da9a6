package feed

import "net/http"

// boundedTransport limits the size of responses, which may be compressed.
type boundedTransport struct{ http.Transport }

// RoundTrip implements http.RoundTripper. Reading more than maxResponseBytes of the
// response fails.
func (t *boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err == nil {
		response.Body = http.MaxBytesReader(nil, response.Body, maxResponseBytes)
	}
	return response, err
}
