package caller

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/kumquatworks/kumquatworks/internal/standin/exchange"
)

// errForeign marks an answer that is not the one to this request.
var errForeign = errors.New("foreign answer")

// errShed marks the target's answer that it did not run the request.
var errShed = errors.New("shed by the target")

// Work describes one request.
type Work struct {
	WorkMS     int
	Bytes      int
	Upload     int
	DeadlineMS int
}

// Request opens a connection, sends one request on it, and counts what became of it.
func (c *Caller) Request(ctx context.Context, work Work) {
	number := c.number()
	c.add(func(r *Report) { r.Requests++ })
	f, err := c.open(ctx, number, false)
	if err != nil {
		c.countUnopened(c.id(number), err)
		return
	}
	defer f.close()
	target, err := c.exchange(ctx, f, c.request(number, work))
	c.countAnswer(c.id(number), target, err)
}

func (c *Caller) request(number uint64, work Work) exchange.Request {
	return exchange.Request{
		ID: c.id(number), Service: c.options.Service, Kind: exchange.KindRequest,
		WorkMS: work.WorkMS, Bytes: work.Bytes, Upload: work.Upload, DeadlineMS: work.DeadlineMS,
	}
}

// countUnopened counts a request whose connection did not open.
func (c *Caller) countUnopened(id string, err error) {
	c.add(func(r *Report) {
		switch {
		case errors.Is(err, errNotRun):
			r.NotRun++
			r.NotRunIDs = append(r.NotRunIDs, id)
		case isShed(err):
			r.Shed++
		default:
			r.Unknown++
			r.fault(id + ": open: " + err.Error())
		}
	})
}

func (c *Caller) countAnswer(id, target string, err error) {
	c.add(func(r *Report) {
		switch {
		case err == nil:
			r.Whole++
			r.Targets[target]++
		case errors.Is(err, errShed):
			r.Shed++
		case errors.Is(err, errForeign):
			r.Foreign++
			r.fault(id + ": " + err.Error())
		default:
			r.Broken++
			r.fault(id + ": " + err.Error())
		}
	})
}

// exchange sends the request and checks the answer.
func (c *Caller) exchange(ctx context.Context, f *flow, request exchange.Request) (string, error) {
	stream, err := f.quic.OpenStreamSync(ctx)
	if err != nil {
		return "", errors.WithStack(err)
	}
	_ = stream.SetDeadline(time.Now().Add(c.options.AnswerTimeout))
	upload := exchange.Body("upload "+request.ID, request.Upload)
	if err := exchange.WriteLine(stream, request); err != nil {
		return "", err
	}
	if _, err := stream.Write(upload); err != nil {
		return "", errors.WithStack(err)
	}
	target, err := readAnswer(exchange.NewReader(stream), request, upload)
	if err != nil {
		return target, err
	}
	return target, finish(stream)
}

// finish tells the target that the whole answer arrived.
func finish(stream *quic.Stream) error { return errors.WithStack(stream.Close()) }

// readHeader reads the first line of an answer and checks whose it is.
func readHeader(reader *bufio.Reader, request exchange.Request) (exchange.Header, error) {
	var header exchange.Header
	if err := exchange.ReadLine(reader, &header); err != nil {
		return header, err
	}
	if header.ID != request.ID || header.Service != request.Service {
		return header, errors.Wrapf(errForeign, "header of %s from service %s for a request to %s", header.ID, header.Service, request.Service)
	}
	return header, nil
}

func readAnswer(reader *bufio.Reader, request exchange.Request, upload []byte) (string, error) {
	header, err := readHeader(reader, request)
	if err != nil {
		return header.Target, err
	}
	body := make([]byte, header.Bytes)
	if _, err := io.ReadFull(reader, body); err != nil {
		return header.Target, errors.Wrap(err, "answer truncated")
	}
	var trailer exchange.Trailer
	if err := exchange.ReadLine(reader, &trailer); err != nil {
		return header.Target, errors.Wrap(err, "answer truncated")
	}
	if header.Status != exchange.StatusOK {
		return header.Target, errShed
	}
	if trailer.ID != request.ID || trailer.Digest != exchange.Digest(upload) || !bytes.Equal(body, exchange.Body(request.ID, request.Bytes)) {
		return header.Target, errors.Wrap(errForeign, "body")
	}
	return header.Target, nil
}
