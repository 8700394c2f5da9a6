package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/telemetry"
)

const (
	// connectTimeout bounds the opening of a connection to a platform that is cut off.
	connectTimeout = time.Second
	// The keep-alive probes show within two seconds that a connection went silent,
	// long before a waiting watch would.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// idleConnections are kept open: one for a watch, one for readings.
	maxIdleConnections = 2
	// maxAnswerBytes bounds an answer: a page of records holds about 1 MB of values,
	// in base64 with their frames.
	maxResponseBytes = 4 << 20
)

// ErrNotSent means that a call never got a connection, so it had no effect.
var ErrNotSent = errors.New("not sent")

// Conn makes the HTTP calls of every platform client. It counts them and measures
// how long they take.
type Conn struct {
	base   string
	client *http.Client
	// Calls counts the calls by outcome, "answered" or "failed", and name.
	Calls *telemetry.CounterSet
	// Latency is that of the calls that do not wait for a change.
	Latency *telemetry.Histogram
}

// Request is one call of a platform.
type Request struct {
	// Name stands for the call in the counters, without keys or numbers.
	Name   string
	Method string
	// Path is the escaped path with the query.
	Path string
	Body []byte
	// Timeout bounds the call; 0 leaves that to the context.
	Timeout time.Duration
	// Waits reports that the platform answers only when something has changed.
	LongPoll bool
}

// Answer is the complete answer to a call.
type Response struct {
	Status int
	Body   []byte
}

// NewConn returns a connection to the platform at baseURL.
func NewConn(baseURL string) *Conn {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return &Conn{
		base:    baseURL,
		Calls:   telemetry.NewCounterSet(),
		Latency: telemetry.NewHistogram(),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
		}},
	}
}

// Call makes a call. The error is nil when a complete answer came, whatever its
// status, and ErrNotSent when the platform cannot have seen the call.
func (c *Conn) Call(ctx context.Context, r Request) (Response, error) {
	if r.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Timeout)
		defer cancel()
	}
	start := time.Now()
	response, err := c.roundTrip(ctx, r)
	outcome := "answered"
	if err != nil || isFailureStatus(response.Status) {
		outcome = "failed"
	}
	c.Calls.Add(outcome, r.Name, 1)
	if !r.LongPoll {
		c.Latency.Record(time.Since(start))
	}
	return response, err
}

// refused reports whether a status says that the platform did not carry out the call.
func isFailureStatus(status int) bool {
	switch status {
	case http.StatusNotFound, http.StatusConflict, http.StatusGone:
		return false // answers about the state of the platform
	}
	return status >= http.StatusBadRequest
}

func (c *Conn) roundTrip(ctx context.Context, r Request) (Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpRequest, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, errors.WithStack(err)
	}
	if r.Method == http.MethodPost {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	httpResponse, err := c.client.Do(httpRequest)
	if err != nil && !connected.Load() {
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, unwrapURLError(err))
	}
	if err != nil {
		return Response{}, unwrapURLError(err)
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return Response{}, errors.Wrap(err, "answer cut off")
	}
	return Response{Status: httpResponse.StatusCode, Body: body}, nil
}

// plainError removes method and URL from an error of the HTTP library, because
// operators read it and the caller names the key.
func unwrapURLError(err error) error {
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		err = urlErr.Err
	}
	if errors.Is(err, io.EOF) {
		return errors.Wrap(err, "connection closed without an answer")
	}
	return errors.WithStack(err)
}
