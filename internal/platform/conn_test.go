package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
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

// Guards against a large response that a slow link never delivers in time, so that the call
// is repeated forever, and against a call that waits for a response that has stalled.
func TestSlowResponseIsReadWhileItArrives(t *testing.T) {
	const timeout, parts = 200 * time.Millisecond, 10
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range parts {
			_, _ = w.Write([]byte("part")) // fails only if the client has disconnected
			w.(http.Flusher).Flush()
			if r.URL.Path == "/stalled" {
				<-release
			}
			time.Sleep(timeout / 4)
		}
	}))
	defer server.Close()
	defer close(release)
	conn := NewConn(server.URL)
	response, err := conn.Call(context.Background(), Request{Name: "slow", Method: http.MethodGet, Path: "/slow", Timeout: timeout})
	assert.NilError(t, err)
	assert.Equal(t, len(response.Body), parts*len("part"))
	_, err = conn.Call(context.Background(), Request{Name: "stalled", Method: http.MethodGet, Path: "/stalled", Timeout: timeout})
	assert.ErrorContains(t, err, "deadline exceeded")
}

// Guards against a further attempt that waits for the connection of an earlier one, and against
// one that starts although the earlier one is receiving its response.
func TestOwnConnectionsAndProgress(t *testing.T) {
	var clients sync.Map
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clients.Store(r.RemoteAddr, true)
		_, _ = w.Write([]byte("response")) // the client sees the failure
	}))
	defer server.Close()
	conn := NewConn(server.URL)
	var reports int
	own := conn.WithOwnConnections()
	for _, c := range []*Conn{conn, own.WithProgress(func() { reports++ }), conn, own} {
		response, err := c.Call(context.Background(), Request{Name: "x", Method: http.MethodGet, Path: "/x"})
		assert.NilError(t, err)
		assert.Equal(t, string(response.Body), "response")
	}
	connections := 0
	clients.Range(func(any, any) bool { connections++; return true })
	assert.Equal(t, connections, 2)
	assert.Assert(t, reports > 0)
	assert.Equal(t, conn.Calls.Value("answered", "x"), int64(4))
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

// Guards against a response to another request, such as a late second copy of an earlier
// one, that is taken for the outcome of a write or for the value of a key. An operator
// would be told that a configuration was published that was not.
func TestResponsesToOtherRequestsAreRejected(t *testing.T) {
	var status int
	var body string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body)) // the client sees the failure
	}))
	defer server.Close()
	client := NewClient(server.URL)
	ctx := context.Background()
	for _, test := range []struct {
		status  int
		body    string
		outcome WriteOutcome
	}{
		{http.StatusOK, `{"key":"head","value":"bmV3","revision":8}`, WriteDone},
		{http.StatusOK, `{"key":"head","value":"b2xk","revision":7}`, WriteUnknown}, // the response to a read before
		{http.StatusOK, `{"key":"other","value":"bmV3","revision":8}`, WriteUnknown},
		{http.StatusConflict, `{"key":"head","value":"b2xk","revision":9}`, WriteConflict},
		{http.StatusConflict, `{"key":"other","value":"b2xk","revision":9}`, WriteUnknown},
		{http.StatusConflict, `{"key":"head","value":"b2xk","revision":7}`, WriteUnknown},
	} {
		status, body = test.status, test.body
		outcome, _, err := client.CompareAndSwap(ctx, "head", []byte("new"), 7)
		assert.Equal(t, outcome, test.outcome, test.body)
		assert.Equal(t, err != nil, test.outcome == WriteUnknown, test.body)
	}
	status, body = http.StatusOK, `{"key":"other","value":"b2xk","revision":9}`
	_, err := client.Get(ctx, "head")
	assert.ErrorContains(t, err, `expected "head"`)
	_, err = client.Watch(ctx, "head", 7)
	assert.ErrorContains(t, err, `expected "head"`)
	_, err = client.AcquireLease(ctx, "head", "vm-1", time.Second)
	assert.ErrorContains(t, err, `expected "head"`)
}
