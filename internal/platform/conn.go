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

	"github.com/kumquatworks/kumquatworks/internal/progress"
	"github.com/kumquatworks/kumquatworks/internal/telemetry"
)

const (
	// connectTimeout limits each attempt to connect to the platform.
	connectTimeout = time.Second
	// TCP keep-alive probes detect a dead connection within two seconds. A pending watch
	// would detect it much later.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// maxIdleConnections is the number of idle connections that are kept open: one for a
	// watch and one for other calls.
	maxIdleConnections = 2
	// maxResponseBytes is the maximum size of a response. A page of records contains about
	// 1 MB of values, plus base64 encoding and JSON overhead.
	maxResponseBytes = 4 << 20
	// maxBodyDuration limits the time in which a body arrives, in addition to the timeout of
	// the call. A value of the maximum size takes a second over a link of 10 Mbit/s.
	maxBodyDuration = 5 * time.Second
)

// ErrNotSent means that no connection was available for a call, so it had no effect.
var ErrNotSent = errors.New("request not sent")

// Conn makes the HTTP calls of all platform clients. It counts the calls and measures their
// latency.
type Conn struct {
	base   string
	client *http.Client
	// singleUseClient opens a connection for each call and closes it afterwards.
	singleUseClient *http.Client
	// progress, unless nil, is called when a part of a response has been received.
	progress func()
	// Calls counts the calls by outcome, "answered" or "failed", and by name. Clients may count
	// further outcomes.
	Calls *telemetry.CounterSet
	// Latency is the latency of all calls except long polls.
	Latency *telemetry.Histogram
}

// Request is one call to the platform.
type Request struct {
	// Name is the name of the call in the counters. It contains no keys or numbers.
	Name   string
	Method string
	// Path is the escaped path including the query.
	Path string
	Body []byte
	// Timeout limits the time until the response begins, and the time between two parts of
	// its body: a large one takes seconds over a slow link. If 0, only the context limits them.
	Timeout time.Duration
	// LongPoll is true if the platform delays the response until there is a change.
	LongPoll bool
	// NewConnection is true if the call must not use a connection that was used before, on
	// which the copy of an earlier response may arrive.
	NewConnection bool
}

// Response is the complete response to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// OnUsedConnection is true if the connection had been used for another call before.
	OnUsedConnection bool

	connection net.Conn
}

// CloseConnection closes the connection on which the response arrived. If the response does not
// belong to its request, the next one on the connection does not either, so a call that uses the
// connection meanwhile must fail, too.
func (r Response) CloseConnection() {
	if r.connection != nil {
		_ = r.connection.Close() // it may be closed already
	}
}

// NewConn returns a Conn for the platform at baseURL. It does not connect yet.
func NewConn(baseURL string) *Conn {
	return &Conn{
		base:            baseURL,
		Calls:           telemetry.NewCounterSet(),
		Latency:         telemetry.NewHistogram(),
		client:          newHTTPClient(true),
		singleUseClient: newHTTPClient(false),
	}
}

func newHTTPClient(reuseConnections bool) *http.Client {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableKeepAlives:   !reuseConnections,
	}}
}

// WithOwnConnections returns a Conn with the same counters that shares no connections with c. A
// call on it does not wait for the connection attempts of other calls. The caller must close its
// idle connections.
func (c *Conn) WithOwnConnections() *Conn {
	own := *c
	own.client = newHTTPClient(true)
	return &own
}

// WithProgress returns a Conn on the same connections that calls report whenever a part of a
// response has been received.
func (c *Conn) WithProgress(report func()) *Conn {
	reporting := *c
	reporting.progress = report
	return &reporting
}

// Call makes a call. The error is nil if a complete response was received, regardless of its
// status. It wraps ErrNotSent if the platform cannot have received the request.
func (c *Conn) Call(ctx context.Context, r Request) (Response, error) {
	var tracker *progress.Tracker
	if r.Timeout > 0 {
		tracker, ctx = progress.New(ctx, r.Timeout, r.Timeout+maxBodyDuration)
		defer tracker.Stop()
	}
	start := time.Now()
	response, err := c.roundTrip(ctx, r, tracker)
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

// CloseIdleConnections closes the connections that no call uses at present.
func (c *Conn) CloseIdleConnections() { c.client.CloseIdleConnections() }

// isFailureStatus reports whether a status means that the platform did not execute the call.
func isFailureStatus(status int) bool {
	switch status {
	case http.StatusNotFound, http.StatusConflict, http.StatusGone:
		return false // the call was executed; these describe the stored state
	}
	return status >= http.StatusBadRequest
}

// roundTrip sends a request and reads the complete response.
func (c *Conn) roundTrip(ctx context.Context, r Request, tracker *progress.Tracker) (Response, error) {
	var connection atomic.Pointer[httptrace.GotConnInfo]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connection.Store(&info) },
	})
	httpRequest, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, errors.WithStack(err)
	}
	if r.Method == http.MethodPost {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	client := c.client
	if r.NewConnection {
		client = c.singleUseClient
	}
	httpResponse, err := client.Do(httpRequest)
	used := connection.Load()
	if err != nil && used == nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, unwrapURLError(err))
	}
	if err != nil {
		return Response{}, unwrapURLError(err)
	}
	tracker.Report()
	if c.progress != nil {
		httpResponse.Body = progress.ReportReads(httpResponse.Body, c.progress)
	}
	responseBody := tracker.Body(httpResponse.Body)
	defer responseBody.Close()
	body, err := io.ReadAll(io.LimitReader(responseBody, maxResponseBytes))
	if err != nil {
		return Response{}, errors.Wrap(err, "read response body")
	}
	return Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Body: body, OnUsedConnection: used.Reused, connection: used.Conn}, nil
}

// unwrapURLError removes method and URL from an error of the HTTP library. The caller adds
// the key instead, which is easier to read for operators.
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
