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

// Feed is one held stream.
type Feed struct {
	caller   *Caller
	flow     *flow
	stream   *quic.Stream
	request  exchange.Request
	target   string
	echoes   chan uint64
	readDone chan struct{}

	// writing keeps the end of the stream apart from a write in progress.
	writeMu sync.Mutex

	mu          sync.Mutex
	lastEcho    uint64
	endReceived bool
	firstErr    error
}

// OpenFeed opens a connection and a feed on it. An interval of 0 makes an idle
// feed, whose connection carries no packets until an echo. The result is nil
// when the feed did not open, which is counted.
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

// read checks the messages until the feed ends.
func (f *Feed) readMessages(reader *bufio.Reader) {
	defer close(f.readDone)
	for nextSeq := uint64(1); ; {
		var message exchange.Message
		if err := exchange.ReadLine(reader, &message); err != nil {
			f.recordError(errors.Wrap(err, "feed lost"))
			return
		}
		switch {
		case message.ID != f.request.ID:
			f.recordError(errors.Wrapf(errMismatch, "message of feed %s", message.ID))
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
			f.recordError(errors.Wrapf(errMismatch, "message %d in place of %d", message.Seq, nextSeq))
			return
		default:
			f.caller.updateReport(func(r *Report) { r.Messages++ })
			nextSeq++
		}
	}
}

func (f *Feed) recordError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstErr == nil {
		f.firstErr = err
	}
}

// Echo sends a number to the target and waits until it comes back.
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
			f.recordError(errors.Wrapf(errMismatch, "echo %d in place of %d", received, number))
		}
	case <-f.readDone:
	case <-time.After(f.caller.options.ResponseTimeout):
		f.recordError(errors.New("no echo"))
	}
}

func (f *Feed) writeMessage(message exchange.Message) error {
	f.writeMu.Lock()
	defer f.writeMu.Unlock()
	return exchange.WriteLine(f.stream, message)
}

// closeStream tells the target that the whole feed arrived, or that the caller ends it.
func (f *Feed) closeStream() {
	f.writeMu.Lock()
	defer f.writeMu.Unlock()
	_ = f.stream.Close() // fails when the stream was reset, which read notices
}

// failEcho counts a failed write as broken, unless the target has ended the feed.
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

// Finish exchanges a last echo, which shows that the connection is alive, ends
// the feed and counts it.
func (f *Feed) Finish() {
	if !f.isReadDone() {
		f.Echo()
	}
	f.closeStream()
	select {
	case <-f.readDone:
	case <-time.After(f.caller.options.ResponseTimeout):
		f.recordError(errors.New("feed did not end"))
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
		err = errors.New("feed without end")
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
