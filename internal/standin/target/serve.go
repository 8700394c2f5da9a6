package target

import (
	"bufio"
	"context"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/kumquatworks/kumquatworks/internal/standin/exchange"
)

// maxUploadBytes limits the upload of one request.
const maxUploadBytes = 16 << 20

// serveStream serves one request or one feed.
func (t *Target) serveStream(stream *quic.Stream) {
	t.recorder.beginStream()
	defer t.recorder.endStream()
	reader := exchange.NewReader(stream)
	var request exchange.Request
	if err := exchange.ReadLine(reader, &request); err != nil || request.UploadBytes > maxUploadBytes {
		stream.CancelWrite(0)
		stream.CancelRead(0)
		return
	}
	if request.Service != t.options.Service {
		t.recorder.updateReport(func(r *Report) { r.WrongService++ })
	}
	if request.Kind == exchange.KindFeed {
		t.serveFeed(stream, reader, request)
		return
	}
	t.serveRequest(stream, reader, request)
}

// serveRequest reads the upload, runs the request in a slot and sends the response. It
// then waits until the caller confirms the response.
func (t *Target) serveRequest(stream *quic.Stream, reader *bufio.Reader, request exchange.Request) {
	upload := make([]byte, request.UploadBytes)
	if _, err := io.ReadFull(reader, upload); err != nil {
		stream.CancelWrite(0)
		return
	}
	status := t.acquireSlot(stream.Context(), request)
	if status == "" {
		t.recorder.updateReport(func(r *Report) { r.Cancelled++ })
		return
	}
	if status == exchange.StatusOK {
		t.recorder.recordRun(request.ID)
		t.occupySlot(stream.Context(), request)
		<-t.slots
	}
	if t.sendResponse(stream, request, status, upload) == nil {
		t.recorder.awaitConfirmation(func() { _, _ = io.Copy(io.Discard, reader) })
	}
}

// acquireSlot waits for a free slot. It returns StatusOK when the request has a slot,
// another status if the request must not run, and an empty string if the caller cancelled.
func (t *Target) acquireSlot(ctx context.Context, request exchange.Request) string {
	if t.isLeaving() {
		return exchange.StatusLeaving
	}
	select {
	case t.slots <- struct{}{}:
		t.recorder.updateReport(func(r *Report) { r.SlotFreeOnArrival++ })
		return exchange.StatusOK
	default:
	}
	if t.recorder.enqueue() > t.options.MaxQueued {
		t.recorder.dequeue()
		t.recorder.updateReport(func(r *Report) { r.Shed++ })
		return exchange.StatusShed
	}
	defer t.recorder.dequeue()
	return t.awaitSlot(ctx, request)
}

// awaitSlot waits for a slot until the deadline of the request or the end of ctx.
func (t *Target) awaitSlot(ctx context.Context, request exchange.Request) string {
	var deadline <-chan time.Time
	if request.DeadlineMS > 0 {
		deadline = time.After(time.Duration(request.DeadlineMS) * time.Millisecond)
	}
	select {
	case t.slots <- struct{}{}:
		return exchange.StatusOK
	case <-deadline:
		t.recorder.updateReport(func(r *Report) { r.Expired++ })
		return exchange.StatusExpired
	case <-ctx.Done():
		return ""
	}
}

func (t *Target) isLeaving() bool {
	select {
	case <-t.leaving:
		return true
	default:
		return false
	}
}

// occupySlot waits for the duration of the request. During the cold start period, a
// request takes twice its duration.
func (t *Target) occupySlot(ctx context.Context, request exchange.Request) {
	duration := time.Duration(request.WorkMS) * time.Millisecond
	if time.Since(t.startedAt) < t.options.ColdStartPeriod {
		duration *= 2
	}
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

func (t *Target) newHeader(request exchange.Request, status string) exchange.Header {
	return exchange.Header{ID: request.ID, Service: t.options.Service, Target: t.options.Name, Status: status}
}

func (t *Target) sendResponse(stream *quic.Stream, request exchange.Request, status string, upload []byte) error {
	header := t.newHeader(request, status)
	var body []byte
	if status == exchange.StatusOK {
		body = exchange.Body(request.ID, request.BodyBytes)
	}
	header.BodyBytes = len(body)
	if err := exchange.WriteLine(stream, header); err != nil {
		return err
	}
	if _, err := stream.Write(body); err != nil {
		return err
	}
	if err := exchange.WriteLine(stream, exchange.Trailer{ID: request.ID, Digest: exchange.Digest(upload)}); err != nil {
		return err
	}
	return stream.Close()
}

// feedWriter serializes the writes to the stream of a feed: one goroutine sends
// messages, another one sends echoes.
type feedWriter struct {
	mu     sync.Mutex
	stream *quic.Stream
}

func (f *feedWriter) send(message exchange.Message) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return exchange.WriteLine(f.stream, message)
}

// serveFeed sends messages and echoes until the caller closes its side of the stream or
// the target stops. It then sends the end message.
func (t *Target) serveFeed(stream *quic.Stream, reader *bufio.Reader, request exchange.Request) {
	if t.isLeaving() {
		_ = exchange.WriteLine(stream, t.newHeader(request, exchange.StatusLeaving))
		_ = stream.Close()
		return
	}
	t.recorder.updateReport(func(r *Report) { r.FeedsOpen++ })
	defer t.recorder.updateReport(func(r *Report) { r.FeedsOpen-- })
	if exchange.WriteLine(stream, t.newHeader(request, exchange.StatusOK)) != nil {
		return
	}
	writer := &feedWriter{stream: stream}
	callerClosed := make(chan struct{})
	go func() {
		defer close(callerClosed)
		echoMessages(writer, reader, request.ID)
	}()
	t.sendMessages(writer, request, callerClosed)
	if writer.send(exchange.Message{ID: request.ID, End: true}) != nil {
		return
	}
	_ = stream.Close()
	t.recorder.awaitConfirmation(func() { <-callerClosed })
}

// echoMessages returns the echo numbers of the caller until the caller closes its side
// of the stream.
func echoMessages(writer *feedWriter, reader *bufio.Reader, id string) {
	for {
		var message exchange.Message
		if exchange.ReadLine(reader, &message) != nil {
			return
		}
		if writer.send(exchange.Message{ID: id, Echo: message.Echo}) != nil {
			return
		}
	}
}

// sendMessages sends a message at each interval until the caller closes its side of the
// stream or the target stops.
func (t *Target) sendMessages(writer *feedWriter, request exchange.Request, callerClosed <-chan struct{}) {
	var tick <-chan time.Time
	if request.IntervalMS > 0 {
		ticker := time.NewTicker(time.Duration(request.IntervalMS) * time.Millisecond)
		defer ticker.Stop()
		tick = ticker.C
	}
	for seq := uint64(1); ; seq++ {
		select {
		case <-tick:
		case <-callerClosed:
			return
		case <-t.leaving:
			return
		}
		if writer.send(exchange.Message{ID: request.ID, Seq: seq}) != nil {
			return
		}
	}
}
