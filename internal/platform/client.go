package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// callTimeout is the timeout of calls other than watches. An unresponsive platform must not
// block callers that set no deadline.
const callTimeout = 5 * time.Second

// Client is a Store that uses HTTP and JSON. The base URL may contain a user name, which
// identifies the client to the platform.
//
// Requests and responses:
//
//	GET  /v1/kv/KEY                        200 Record (revision 0: absent)
//	PUT  /v1/kv/KEY?expect=REVISION  value 200 Record, 409 Record (conflict), 413 (above 1 MB)
//	GET  /v1/watch/KEY?after=REVISION      200 Record, 204 (no change; poll again)
//	GET  /v1/vms                           200 [VM]
//	POST /v1/lease/KEY?holder=H&ttl_ns=N   200 Lease
//
// Status 503 means that the platform rejected the request without executing it.
type Client struct{ conn *Conn }

// NewClient returns a client for the platform at baseURL, for example http://127.0.0.1:7400.
func NewClient(baseURL string) *Client { return &Client{conn: NewConn(baseURL)} }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Record, error) {
	var record Record
	_, err := c.callJSON(ctx, Request{Name: "get", Method: http.MethodGet, Path: "/v1/kv/" + url.PathEscape(key), Timeout: callTimeout}, &record)
	if err == nil {
		err = c.checkKey(record.Key, key)
	}
	return record, errors.Wrapf(err, "get %s", key)
}

// Watch implements Store. It repeats the long poll until the record has changed or ctx is
// done.
func (c *Client) Watch(ctx context.Context, key string, afterRevision uint64) (Record, error) {
	path := "/v1/watch/" + url.PathEscape(key) + "?after=" + strconv.FormatUint(afterRevision, 10)
	for {
		var record Record
		status, err := c.callJSON(ctx, Request{Name: "watch", Method: http.MethodGet, Path: path, LongPoll: true}, &record)
		if err != nil {
			return Record{}, errors.Wrapf(err, "watch %s", key)
		}
		if status == http.StatusOK {
			err := c.checkKey(record.Key, key)
			return record, errors.Wrapf(err, "watch %s", key)
		}
	}
}

// VMs implements Store.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	_, err := c.callJSON(ctx, Request{Name: "vms", Method: http.MethodGet, Path: "/v1/vms", Timeout: callTimeout}, &vms)
	return vms, errors.Wrap(err, "list VMs")
}

// AcquireLease implements Store.
func (c *Client) AcquireLease(ctx context.Context, key, holder string, ttl time.Duration) (Lease, error) {
	query := url.Values{"holder": {holder}, "ttl_ns": {strconv.FormatInt(int64(ttl), 10)}}
	var lease Lease
	path := "/v1/lease/" + url.PathEscape(key) + "?" + query.Encode()
	_, err := c.callJSON(ctx, Request{Name: "lease", Method: http.MethodPost, Path: path, Timeout: callTimeout}, &lease)
	if err == nil {
		err = c.checkKey(lease.Key, key)
	}
	return lease, errors.Wrapf(err, "acquire lease %s", key)
}

// CompareAndSwap implements Store. The outcome is WriteFailed only if the value is too large,
// no connection was available for the request, or the platform rejected it. The error is
// non-nil for WriteFailed and WriteUnknown.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, expectedRevision uint64) (WriteOutcome, Record, error) {
	if len(value) > MaxValueBytes {
		return WriteFailed, Record{}, errors.Errorf("write %s: value has %d bytes; the limit is %d bytes", key, len(value), MaxValueBytes)
	}
	path := "/v1/kv/" + url.PathEscape(key) + "?expect=" + strconv.FormatUint(expectedRevision, 10)
	response, err := c.conn.Call(ctx, Request{Name: "write", Method: http.MethodPut, Path: path, Body: value, Timeout: callTimeout})
	if errors.Is(err, ErrNotSent) {
		return WriteFailed, Record{}, errors.Wrapf(err, "write %s", key)
	}
	if err != nil {
		return WriteUnknown, Record{}, errors.Wrapf(err, "write %s: request was sent but no complete response was received", key)
	}
	outcome, record, err := writeOutcome(response)
	if err != nil {
		return outcome, record, errors.Wrapf(err, "write %s", key)
	}
	if err = c.checkWritten(outcome, record, key, value, expectedRevision); err != nil {
		outcome = WriteUnknown
	}
	return outcome, record, errors.Wrapf(err, "write %s", key)
}

// checkWritten checks that a response belongs to the write that is given by key, value and
// expected revision. A second copy of an earlier response could otherwise report a write
// as done, or as a conflict, that is not.
func (c *Client) checkWritten(outcome WriteOutcome, record Record, key string, value []byte, expectedRevision uint64) error {
	if err := c.checkKey(record.Key, key); err != nil {
		return err
	}
	done := record.Revision > expectedRevision && bytes.Equal(record.Value, value)
	if outcome == WriteDone && !done || outcome == WriteConflict && record.Revision == expectedRevision {
		c.conn.CloseIdleConnections()
		return errors.Errorf("response does not belong to the write: status and revision %d do not match the expected revision %d", record.Revision, expectedRevision)
	}
	return nil
}

// checkKey checks the key that a response states. If it is another one, the response
// belongs to another request, and so will the next one on the connection.
func (c *Client) checkKey(got, want string) error {
	if got == want {
		return nil
	}
	c.conn.CloseIdleConnections()
	return errors.Errorf("response is about key %q; expected %q", got, want)
}

// writeOutcome maps a complete response to the outcome of a write.
func writeOutcome(response Response) (WriteOutcome, Record, error) {
	var record Record
	status, body := response.Status, response.Body
	switch {
	case status == http.StatusOK, status == http.StatusConflict:
		if err := json.Unmarshal(body, &record); err != nil {
			return WriteUnknown, Record{}, errors.Wrap(err, "decode response")
		}
		if status == http.StatusConflict {
			return WriteConflict, record, nil
		}
		return WriteDone, record, nil
	case status == http.StatusServiceUnavailable, status >= 400 && status < 500:
		return WriteFailed, Record{}, errors.Errorf("request rejected with status %d: %s", status, bytes.TrimSpace(body))
	default:
		return WriteUnknown, Record{}, errors.Errorf("unexpected status %d: %s", status, bytes.TrimSpace(body))
	}
}

// callJSON makes a call and decodes a response with status 200 into out. It is used for calls
// that may be repeated safely.
func (c *Client) callJSON(ctx context.Context, r Request, out any) (status int, err error) {
	response, err := c.conn.Call(ctx, r)
	if err != nil {
		return 0, err
	}
	switch response.Status {
	case http.StatusOK:
		return response.Status, errors.Wrap(json.Unmarshal(response.Body, out), "decode response")
	case http.StatusNoContent:
		return response.Status, nil
	default:
		return 0, errors.Errorf("unexpected status %d: %s", response.Status, bytes.TrimSpace(response.Body))
	}
}
