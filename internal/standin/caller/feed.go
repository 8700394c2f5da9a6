package caller

import (
	"bufio"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/kumquatworks/kumquatworks/internal/standin/exchange"
)

// Feed is one open stream on which the target sends messages until either side ends it.
type Feed struct {
	caller   *Caller
	flow     *flow
	stream   *quic.Stream
	request  exchange.Request
	target   string
	echoes   chan uint64
	readDone chan struct{}

	// writeMu prevents the stream from being closed during a write.
	writeMu sync.Mutex

	mu          sync.Mutex
	lastEcho    uint64
	endReceived bool
	firstErr    error
}

// OpenFeed opens a connection and a feed on it. An interval of 0 opens an idle
// feed, whose connection carries no packets until an echo is sent. OpenFeed counts
// the outcome and returns nil if the feed could not be opened.
func (c *Caller) OpenFeed(ctx context.Context, interval time.Duration) *Feed {
	number := c.nextFlowNumber()
	request := exchange.Request{
		ID: c.requestID(number), Service: c.options.Service, Kind: exchange.KindFeed,
		IntervalMS: int(interval / time.Millisecond),
	}
	c.updateReport(func(r *Report) { r.Feeds++ })
	f, err := c.open(ctx, number, interval == 0)
	if err != nil {
		c.countOpenFailure(request.ID, err)
		return nil
	}
	feed := &Feed{caller: c, flow: f, request: request, echoes: make(chan uint64, 16), readDone: make(chan struct{})}
	reader, err := feed.openStream(ctx)
	if err != nil {
		f.close()
		c.countResponse(request.ID, "", err)
		return nil
	}
	c.updateReport(func(r *Report) {
		r.FeedsOpen++
		r.Targets[feed.target]++
	})
	go feed.readMessages(reader)
	return feed
}

// openStream opens the stream, sends the request and reads the response header.
func (f *Feed) openStream(ctx context.Context) (*bufio.Reader, error) {
	stream, err := f.flow.quicConn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	f.stream = stream
	if err := exchange.WriteLine(stream, f.request); err != nil {
		return nil, err
	}
	_ = stream.SetReadDeadline(time.Now().Add(f.caller.options.ResponseTimeout))
	defer stream.SetReadDeadline(time.Time{})
	reader := exchange.NewReader(stream)
	header, err := readHeader(reader, f.request)
	if err == nil && header.Status != exchange.StatusOK {
		err = errShed
	}
	f.target = header.Target
	return reader, err
}

// readMessages reads and checks messages until the feed ends or fails.
func (f *Feed) readMessages(reader *bufio.Reader) {
	defer close(f.readDone)
	for nextSeq := uint64(1); ; {
		var message exchange.Message
		if err := exchange.ReadLine(reader, &message); err != nil {
			f.recordError(errors.Wrap(err, "read feed message"))
			return
		}
		switch {
		case message.ID != f.request.ID:
			f.recordError(errors.Wrapf(errMismatch, "received a message of feed %s", message.ID))
			return
		case message.End:
			f.mu.Lock()
			f.endReceived = true
			f.mu.Unlock()
			f.closeStream()
			return
		case message.Echo > 0:
			f.caller.updateReport(func(r *Report) { r.Echoes++ })
			f.echoes <- message.Echo
		case message.Seq != nextSeq:
			f.recordError(errors.Wrapf(errMismatch, "received message %d, expected message %d", message.Seq, nextSeq))
			return
		default:
			f.caller.updateReport(func(r *Report) { r.Messages++ })
			nextSeq++
		}
	}
}

// recordError keeps the first error of the feed.
func (f *Feed) recordError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstErr == nil {
		f.firstErr = err
	}
}

// Echo sends a number to the target and waits until the target returns it.
func (f *Feed) Echo() {
	f.mu.Lock()
	f.lastEcho++
	number := f.lastEcho
	f.mu.Unlock()
	if err := f.writeMessage(exchange.Message{ID: f.request.ID, Echo: number}); err != nil {
		f.recordWriteError(err)
		return
	}
	select {
	case received := <-f.echoes:
		if received != number {
			f.recordError(errors.Wrapf(errMismatch, "received echo %d, expected echo %d", received, number))
		}
	case <-f.readDone:
	case <-time.After(f.caller.options.ResponseTimeout):
		f.recordError(errors.New("no echo within the response timeout"))
	}
}

func (f *Feed) writeMessage(message exchange.Message) error {
	f.writeMu.Lock()
	defer f.writeMu.Unlock()
	return exchange.WriteLine(f.stream, message)
}

// closeStream closes the caller's side of the stream. This confirms the end message to
// the target or, if there was none yet, makes the target end the feed.
func (f *Feed) closeStream() {
	f.writeMu.Lock()
	defer f.writeMu.Unlock()
	_ = f.stream.Close() // fails if the stream was reset; readMessages records that error
}

// recordWriteError records a failed write, unless the target has ended the feed.
func (f *Feed) recordWriteError(err error) {
	f.mu.Lock()
	endReceived := f.endReceived
	f.mu.Unlock()
	if !endReceived {
		f.recordError(err)
	}
}

// Target returns the name of the target that serves the feed.
func (f *Feed) Target() string { return f.target }

// Finish exchanges a last echo to verify that the connection still works, ends
// the feed and counts its outcome.
func (f *Feed) Finish() {
	if !f.isReadDone() {
		f.Echo()
	}
	f.closeStream()
	select {
	case <-f.readDone:
	case <-time.After(f.caller.options.ResponseTimeout):
		f.recordError(errors.New("feed did not end within the response timeout"))
	}
	f.flow.close()
	f.countOutcome()
}

func (f *Feed) isReadDone() bool {
	select {
	case <-f.readDone:
		return true
	default:
		return false
	}
}

func (f *Feed) countOutcome() {
	f.mu.Lock()
	err := f.firstErr
	if err == nil && !f.endReceived {
		err = errors.New("feed closed without an end message")
	}
	f.mu.Unlock()
	f.caller.updateReport(func(r *Report) {
		r.FeedsOpen--
		if err == nil {
			r.FeedsComplete++
			return
		}
		if errors.Is(err, errMismatch) {
			r.Mismatched++
		} else {
			r.Broken++
		}
		r.countError(f.request.ID + ": feed: " + err.Error())
	})
}
