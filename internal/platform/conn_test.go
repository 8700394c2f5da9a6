package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// Guards against a call that is reported as not sent although the platform may have executed
// it, and against outcomes that are counted wrongly.
func TestCallOutcomes(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/cut":
			panic(http.ErrAbortHandler)
		case "/silent":
			<-release
		case "/busy":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/absent":
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer server.Close()
	defer close(release)
	conn := NewConn(server.URL)
	for path, want := range map[string]struct {
		status  int
		outcome string
	}{
		"/ok":     {http.StatusOK, "answered"},
		"/absent": {http.StatusNotFound, "answered"},
		"/busy":   {http.StatusServiceUnavailable, "failed"},
		"/cut":    {0, "failed"},
		"/silent": {0, "failed"},
	} {
		response, err := conn.Call(context.Background(), Request{Name: path, Method: http.MethodPost, Path: path, Timeout: 200 * time.Millisecond})
		assert.Equal(t, response.Status, want.status, path)
		assert.Equal(t, err != nil, want.status == 0, path)
		assert.Assert(t, !errors.Is(err, ErrNotSent), "%s: %v", path, err)
		assert.Equal(t, conn.Calls.Value(want.outcome, path), int64(1), path)
	}
	assert.Equal(t, conn.Calls.Value("answered", "/busy"), int64(0))
}

// Guards against reporting an unknown outcome for a call to a platform that refuses
// connections.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	conn := NewConn("http://127.0.0.1:1")
	_, err := conn.Call(context.Background(), Request{Name: "x", Method: http.MethodGet, Path: "/x"})
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = conn.Call(ctx, Request{Name: "x", Method: http.MethodGet, Path: "/x"})
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
}
