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

// callTimeout bounds a call that does not wait, so that a silent platform
// cannot hold a caller without a deadline of its own.
const callTimeout = 5 * time.Second

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
type Client struct{ conn *Conn }

// NewClient returns a client of the platform at baseURL, for example http://127.0.0.1:7400.
func NewClient(baseURL string) *Client { return &Client{conn: NewConn(baseURL)} }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Record, error) {
	var record Record
	_, err := c.callJSON(ctx, Request{Name: "get", Method: http.MethodGet, Path: "/v1/kv/" + url.PathEscape(key), Timeout: callTimeout}, &record)
	return record, errors.Wrapf(err, "get %s", key)
}

// Watch implements Store. It repeats the long poll until the record is newer or ctx ends.
func (c *Client) Watch(ctx context.Context, key string, afterRevision uint64) (Record, error) {
	path := "/v1/watch/" + url.PathEscape(key) + "?after=" + strconv.FormatUint(afterRevision, 10)
	for {
		var record Record
		status, err := c.callJSON(ctx, Request{Name: "watch", Method: http.MethodGet, Path: path, LongPoll: true}, &record)
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
	return lease, errors.Wrapf(err, "lease %s", key)
}

// CompareAndSwap implements Store. The outcome is WriteFailed only when the
// request never got a connection or the platform refused it. A non-nil error
// accompanies WriteFailed and WriteUnknown.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, expectedRevision uint64) (WriteOutcome, Record, error) {
	if len(value) > MaxValueBytes {
		return WriteFailed, Record{}, errors.Errorf("write %s: value has %d bytes, at most %d are accepted", key, len(value), MaxValueBytes)
	}
	path := "/v1/kv/" + url.PathEscape(key) + "?expect=" + strconv.FormatUint(expectedRevision, 10)
	response, err := c.conn.Call(ctx, Request{Name: "write", Method: http.MethodPut, Path: path, Body: value, Timeout: callTimeout})
	if errors.Is(err, ErrNotSent) {
		return WriteFailed, Record{}, errors.Wrapf(err, "write %s", key)
	}
	if err != nil {
		return WriteUnknown, Record{}, errors.Wrapf(err, "write %s: sent, no answer", key)
	}
	outcome, record, err := writeOutcome(response)
	return outcome, record, errors.Wrapf(err, "write %s", key)
}

// writeOutcome maps a complete answer to the outcome of a write.
func writeOutcome(response Response) (WriteOutcome, Record, error) {
	var record Record
	status, body := response.Status, response.Body
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
func (c *Client) callJSON(ctx context.Context, r Request, out any) (status int, err error) {
	response, err := c.conn.Call(ctx, r)
	if err != nil {
		return 0, err
	}
	switch response.Status {
	case http.StatusOK:
		return response.Status, errors.Wrap(json.Unmarshal(response.Body, out), "unreadable answer")
	case http.StatusNoContent:
		return response.Status, nil
	default:
		return 0, errors.Errorf("status %d: %s", response.Status, bytes.TrimSpace(response.Body))
	}
}
