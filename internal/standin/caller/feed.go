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
	caller  *Caller
	flow    *flow
	stream  *quic.Stream
	request exchange.Request
	target  string
	echoes  chan uint64
	done    chan struct{}

	// writing keeps the end of the stream apart from a write in progress.
	writing sync.Mutex

	mu     sync.Mutex
	asked  uint64
	ended  bool
	broken error
}

// OpenFeed opens a connection and a feed on it. An interval of 0 makes an idle
// feed, whose connection carries no packets until an echo. The result is nil
// when the feed did not open, which is counted.
func (c *Caller) OpenFeed(ctx context.Context, interval time.Duration) *Feed {
	number := c.number()
	request := exchange.Request{
		ID: c.id(number), Service: c.options.Service, Kind: exchange.KindFeed,
		IntervalMS: int(interval / time.Millisecond),
	}
	c.add(func(r *Report) { r.Feeds++ })
	f, err := c.open(ctx, number, interval == 0)
	if err != nil {
		c.countUnopened(request.ID, err)
		return nil
	}
	feed := &Feed{caller: c, flow: f, request: request, echoes: make(chan uint64, 16), done: make(chan struct{})}
	reader, err := feed.start(ctx)
	if err != nil {
		f.close()
		c.countAnswer(request.ID, "", err)
		return nil
	}
	c.add(func(r *Report) {
		r.FeedsOpen++
		r.Targets[feed.target]++
	})
	go feed.read(reader)
	return feed
}

func (f *Feed) start(ctx context.Context) (*bufio.Reader, error) {
	stream, err := f.flow.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	f.stream = stream
	if err := exchange.WriteLine(stream, f.request); err != nil {
		return nil, err
	}
	_ = stream.SetReadDeadline(time.Now().Add(f.caller.options.AnswerTimeout))
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
func (f *Feed) read(reader *bufio.Reader) {
	defer close(f.done)
	for seq := uint64(1); ; {
		var message exchange.Message
		if err := exchange.ReadLine(reader, &message); err != nil {
			f.fail(errors.Wrap(err, "feed lost"))
			return
		}
		switch {
		case message.ID != f.request.ID:
			f.fail(errors.Wrapf(errForeign, "message of feed %s", message.ID))
			return
		case message.End:
			f.mu.Lock()
			f.ended = true
			f.mu.Unlock()
			f.closeStream()
			return
		case message.Echo > 0:
			f.caller.add(func(r *Report) { r.Echoes++ })
			f.echoes <- message.Echo
		case message.Seq != seq:
			f.fail(errors.Wrapf(errForeign, "message %d in place of %d", message.Seq, seq))
			return
		default:
			f.caller.add(func(r *Report) { r.Messages++ })
			seq++
		}
	}
}

func (f *Feed) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.broken == nil {
		f.broken = err
	}
}

// Echo sends a number to the target and waits until it comes back.
func (f *Feed) Echo() {
	f.mu.Lock()
	f.asked++
	number := f.asked
	f.mu.Unlock()
	if err := f.write(exchange.Message{ID: f.request.ID, Echo: number}); err != nil {
		f.failEcho(err)
		return
	}
	select {
	case got := <-f.echoes:
		if got != number {
			f.fail(errors.Wrapf(errForeign, "echo %d in place of %d", got, number))
		}
	case <-f.done:
	case <-time.After(f.caller.options.AnswerTimeout):
		f.fail(errors.New("no echo"))
	}
}

func (f *Feed) write(message exchange.Message) error {
	f.writing.Lock()
	defer f.writing.Unlock()
	return exchange.WriteLine(f.stream, message)
}

// closeStream tells the target that the whole feed arrived, or that the caller ends it.
func (f *Feed) closeStream() {
	f.writing.Lock()
	defer f.writing.Unlock()
	_ = f.stream.Close() // fails when the stream was reset, which read notices
}

// failEcho counts a failed write as broken, unless the target has ended the feed.
func (f *Feed) failEcho(err error) {
	f.mu.Lock()
	ended := f.ended
	f.mu.Unlock()
	if !ended {
		f.fail(err)
	}
}

// Target returns the name of the target that serves the feed.
func (f *Feed) Target() string { return f.target }

// Finish exchanges a last echo, which shows that the connection is alive, ends
// the feed and counts it.
func (f *Feed) Finish() {
	if !f.isDone() {
		f.Echo()
	}
	f.closeStream()
	select {
	case <-f.done:
	case <-time.After(f.caller.options.AnswerTimeout):
		f.fail(errors.New("feed did not end"))
	}
	f.flow.close()
	f.count()
}

func (f *Feed) isDone() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

func (f *Feed) count() {
	f.mu.Lock()
	err := f.broken
	if err == nil && !f.ended {
		err = errors.New("feed without end")
	}
	f.mu.Unlock()
	f.caller.add(func(r *Report) {
		r.FeedsOpen--
		if err == nil {
			r.FeedsWhole++
			return
		}
		if errors.Is(err, errForeign) {
			r.Foreign++
		} else {
			r.Broken++
		}
		r.fault(f.request.ID + ": feed: " + err.Error())
	})
}
