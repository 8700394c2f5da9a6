package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// callTimeout bounds a call that does not wait, so that a silent platform
// cannot hold a caller without a deadline of its own.
const callTimeout = 5 * time.Second

// maxAnswerBytes bounds an answer: a value of the largest size in base64 and its frame.
const maxAnswerBytes = 2 * MaxValueBytes

// Client is a Store over HTTP and JSON. The base URL may carry a user name,
// which names the client to the platform.
//
// Requests and answers:
//
//	GET  /v1/kv/KEY                        200 Record (revision 0: absent)
//	PUT  /v1/kv/KEY?expect=REVISION  value 200 Record, 409 Record (conflict), 413 (above 1 MB)
//	GET  /v1/watch/KEY?after=REVISION      200 Record, 204 (nothing new; ask again)
//	GET  /v1/vms                           200 [VM]
//	POST /v1/lease/KEY?holder=H&ttl_ns=N   200 Lease
//
// Status 503 means that the platform refused the call and did nothing.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client of the platform at baseURL, for example http://127.0.0.1:7400.
func NewClient(baseURL string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return &Client{base: baseURL, client: &http.Client{Transport: transport}}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var record Record
	_, err := c.read(ctx, http.MethodGet, "/v1/kv/"+url.PathEscape(key), &record)
	return record, errors.Wrapf(err, "get %s", key)
}

// Watch implements Store. It repeats the long poll until the record is newer or ctx ends.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Record, error) {
	path := "/v1/watch/" + url.PathEscape(key) + "?after=" + strconv.FormatUint(after, 10)
	for {
		var record Record
		status, err := c.read(ctx, http.MethodGet, path, &record)
		if err != nil {
			return Record{}, errors.Wrapf(err, "watch %s", key)
		}
		if status == http.StatusOK {
			return record, nil
		}
	}
}

// VMs implements Store.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var vms []VM
	_, err := c.read(ctx, http.MethodGet, "/v1/vms", &vms)
	return vms, errors.Wrap(err, "list VMs")
}

// AcquireLease implements Store.
func (c *Client) AcquireLease(ctx context.Context, key, holder string, ttl time.Duration) (Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{"holder": {holder}, "ttl_ns": {strconv.FormatInt(int64(ttl), 10)}}
	var lease Lease
	_, err := c.read(ctx, http.MethodPost, "/v1/lease/"+url.PathEscape(key)+"?"+query.Encode(), &lease)
	return lease, errors.Wrapf(err, "lease %s", key)
}

// CompareAndSwap implements Store. The outcome is WriteFailed only when the
// request never got a connection or the platform refused it. A non-nil error
// accompanies WriteFailed and WriteUnknown.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, expect uint64) (WriteOutcome, Record, error) {
	if len(value) > MaxValueBytes {
		return WriteFailed, Record{}, errors.Errorf("write %s: value has %d bytes, at most %d are accepted", key, len(value), MaxValueBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	path := "/v1/kv/" + url.PathEscape(key) + "?expect=" + strconv.FormatUint(expect, 10)
	status, body, err := c.call(ctx, http.MethodPut, path, value)
	if err != nil && !connected.Load() {
		return WriteFailed, Record{}, errors.Wrapf(err, "write %s: not sent", key)
	}
	if err != nil {
		return WriteUnknown, Record{}, errors.Wrapf(err, "write %s: sent, no answer", key)
	}
	outcome, record, err := writeOutcome(status, body)
	return outcome, record, errors.Wrapf(err, "write %s", key)
}

// plainError removes method and URL from an error of the HTTP library, because
// operators read it and the caller names the key.
func plainError(err error) error {
	var call *url.Error
	if errors.As(err, &call) {
		err = call.Err
	}
	if errors.Is(err, io.EOF) {
		return errors.Wrap(err, "connection closed without an answer")
	}
	return errors.WithStack(err)
}

// writeOutcome maps a complete answer to the outcome of a write.
func writeOutcome(status int, body []byte) (WriteOutcome, Record, error) {
	var record Record
	switch {
	case status == http.StatusOK, status == http.StatusConflict:
		if err := json.Unmarshal(body, &record); err != nil {
			return WriteUnknown, Record{}, errors.Wrap(err, "unreadable answer")
		}
		if status == http.StatusConflict {
			return WriteConflict, record, nil
		}
		return WriteDone, record, nil
	case status == http.StatusServiceUnavailable, status >= 400 && status < 500:
		return WriteFailed, Record{}, errors.Errorf("refused with status %d: %s", status, bytes.TrimSpace(body))
	default:
		return WriteUnknown, Record{}, errors.Errorf("status %d: %s", status, bytes.TrimSpace(body))
	}
}

// read makes a call that writes nothing and decodes the answer into out.
func (c *Client) read(ctx context.Context, method, path string, out any) (int, error) {
	status, body, err := c.call(ctx, method, path, nil)
	if err != nil {
		return 0, err
	}
	switch status {
	case http.StatusOK:
		return status, errors.Wrap(json.Unmarshal(body, out), "unreadable answer")
	case http.StatusNoContent:
		return status, nil
	default:
		return 0, errors.Errorf("status %d: %s", status, bytes.TrimSpace(body))
	}
}

func (c *Client) call(ctx context.Context, method, path string, value []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(value))
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, plainError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	return response.StatusCode, body, nil
}
