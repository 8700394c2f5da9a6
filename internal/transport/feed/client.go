package feed

import (
	"net/http"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/progress"
)

const (
	// fetchTimeout limits the time until a parent of the same place begins its response, and
	// the time between two parts of it.
	fetchTimeout = time.Second
	// maxFetchDuration limits the whole request. Meanwhile the answers of the parent to
	// probes are ignored.
	maxFetchDuration = 3 * time.Second
)

// newClient returns a client for requests to a parent.
func newClient() *http.Client {
	return &http.Client{Transport: &boundedTransport{http.Transport{MaxIdleConnsPerHost: 1}}}
}

// boundedTransport limits the size of responses, which may be compressed, and ends those that
// make no progress.
type boundedTransport struct{ http.Transport }

// RoundTrip implements http.RoundTripper. Reading more than maxResponseBytes of the
// response fails.
func (t *boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	tracker, ctx := progress.New(r.Context(), fetchTimeout, maxFetchDuration)
	response, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		tracker.Stop()
		return nil, err
	}
	tracker.Report()
	response.Body = http.MaxBytesReader(nil, tracker.Body(response.Body), maxResponseBytes)
	return response, nil
}
