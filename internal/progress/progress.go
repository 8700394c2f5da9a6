// Package progress ends requests that make no progress. A timeout of the whole request would
// end a large response over a slow link, however often it is requested again.
package progress

import (
	"context"
	"io"
	"time"
)

// Tracker ends the context of a request that makes no progress. The methods of a nil tracker
// do nothing.
type Tracker struct {
	timeout time.Duration
	timer   *time.Timer
	cancel  func()
}

// New returns a tracker and a context. The context ends when Report is not called for the
// timeout, and at the latest after the limit.
func New(ctx context.Context, timeout, limit time.Duration) (*Tracker, context.Context) {
	ctx, cancelLimit := context.WithTimeout(ctx, limit)
	ctx, cancel := context.WithCancelCause(ctx)
	return &Tracker{
		timeout: timeout,
		timer:   time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) }),
		cancel:  func() { cancel(nil); cancelLimit() },
	}, ctx
}

// Report records that the request has made progress.
func (t *Tracker) Report() {
	if t != nil {
		t.timer.Reset(t.timeout)
	}
}

// Stop ends the context. It must be called when the request has ended.
func (t *Tracker) Stop() {
	if t != nil {
		t.timer.Stop()
		t.cancel()
	}
}

// Body returns a body whose reads report progress. Closing it ends the context.
func (t *Tracker) Body(b io.ReadCloser) io.ReadCloser {
	if t == nil {
		return b
	}
	return body{ReportReads(b, t.Report), t}
}

// ReportReads returns a body that calls report whenever a part has been read.
func ReportReads(b io.ReadCloser, report func()) io.ReadCloser { return reportingBody{b, report} }

type reportingBody struct {
	io.ReadCloser
	report func()
}

func (b reportingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.report()
	}
	return n, err
}

// body ends the context of its tracker when it is closed.
type body struct {
	io.ReadCloser
	tracker *Tracker
}

func (b body) Close() error {
	err := b.ReadCloser.Close()
	b.tracker.Stop()
	return err
}
